#include "arbutusferry/settings.hpp"

#include "arbutusferry/address.hpp"
#include "arbutusferry/json.hpp"
#include "environment/json_support.hpp"

#include <fstream>
#include <iterator>

namespace arbutusferry {

namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{ 16 } * 1024 * 1024;
constexpr std::int64_t kMaxMilliseconds = 86'400'000;

void
CheckAddress(object_reader& aReader,
             const std::string& aField,
             const std::string& aText,
             bool aAllowPortZero)
{
  const auto address = ParseAddress(aText);
  if (!address || (!aAllowPortZero && address->port == 0)) {
    aReader.Fail(aField,
                 aAllowPortZero ? "expected \"IP:port\""
                                : "expected \"IP:port\" with a port above 0");
  }
}

template<typename Settings>
void
ReadCommonSettings(object_reader& aReader, Settings& aSettings)
{
  aSettings.vm = ReadName(aReader, "vm");
  aSettings.zone = ReadName(aReader, "zone");
  aSettings.environment = ReadName(aReader, "environment");
  aSettings.listen = aReader.String("listen");
  CheckAddress(aReader, "listen", aSettings.listen, true);
  if (aReader.Has("log_level")) {
    aSettings.logLevel = aReader.Enumerator<log_level>("log_level");
  }
}

std::chrono::milliseconds
ReadDuration(object_reader& aReader,
             const char* aField,
             std::chrono::milliseconds aDefault)
{
  return std::chrono::milliseconds(
    aReader.Integer(aField, 1, kMaxMilliseconds, aDefault.count()));
}

void
ReadTiming(object_reader& aReader, control_timing& aTiming)
{
  aTiming.lease = ReadDuration(aReader, "lease_ms", aTiming.lease);
  aTiming.guard = ReadDuration(aReader, "guard_ms", aTiming.guard);
  aTiming.renew = ReadDuration(aReader, "renew_ms", aTiming.renew);
  aTiming.sync = ReadDuration(aReader, "sync_ms", aTiming.sync);
  aTiming.stale = ReadDuration(aReader, "stale_ms", aTiming.stale);
  aTiming.usageBatchInterval =
    ReadDuration(aReader, "usage_batch_ms", aTiming.usageBatchInterval);
  aTiming.checkpointInterval =
    ReadDuration(aReader, "checkpoint_ms", aTiming.checkpointInterval);
  // A renewal must arrive before the holder stops acting on its lease.
  if (aTiming.renew + aTiming.guard >= aTiming.lease) {
    aReader.Fail("lease_ms", "expected more than renew_ms plus guard_ms");
  }
  if (aTiming.sync >= aTiming.stale) {
    aReader.Fail("stale_ms", "expected more than sync_ms");
  }
}

/// Parses the text and calls `aRead` with a reader of the object.
template<typename Settings, typename Read>
result<Settings>
ReadSettings(std::string_view aText, const std::string& aSource, Read aRead)
{
  const auto parsed = Capture([&] { return ParseJson(aText, aSource); });
  if (parsed.index() == 1) {
    return MakeError(error_code::InvalidSettings,
                     "read settings",
                     aSource,
                     std::get<1>(parsed).message);
  }
  object_reader reader(std::get<0>(parsed), aSource);
  Settings settings;
  ARBUTUSFERRY_CHECK(aRead(reader, settings));
  ARBUTUSFERRY_CHECK(reader.Finish(error_code::InvalidSettings));
  return settings;
}

} // namespace

result<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text;
  if (file) {
    text.assign(std::istreambuf_iterator<char>(file), {});
  }
  if (!file || text.size() > kMaxFileBytes) {
    return MakeError(error_code::InvalidSettings,
                     "read file",
                     aPath,
                     "expected a readable file of at most 16 MiB");
  }
  return text;
}

result<entry_settings>
ReadEntrySettings(std::string_view aText, const std::string& aSource)
{
  return ReadSettings<entry_settings>(
    aText,
    aSource,
    [&](object_reader& aReader, entry_settings& aSettings) -> result<void> {
      ReadCommonSettings(aReader, aSettings);
      aSettings.control = aReader.Strings("control");
      if (aSettings.control.empty()) {
        aReader.Fail("control", "expected at least one \"IP:port\"");
      }
      for (std::size_t i = 0; i < aSettings.control.size(); ++i) {
        CheckAddress(aReader,
                     "control[" + std::to_string(i) + "]",
                     aSettings.control[i],
                     false);
      }
      entry_limits& limits = aSettings.limits;
      object_reader reader(aReader.Object("limits"), aSource, "limits");
      limits.maxBodyBytes = reader.Integer(
        "max_body_bytes", 1, std::int64_t{ 1 } << 30, limits.maxBodyBytes);
      limits.maxConnections =
        reader.Integer("max_connections", 1, 65'536, limits.maxConnections);
      limits.maxQueuePerTeam = reader.Integer(
        "max_queue_per_tenant", 1, 1'000'000, limits.maxQueuePerTeam);
      return reader.Finish(error_code::InvalidSettings);
    });
}

result<control_settings>
ReadControlSettings(std::string_view aText, const std::string& aSource)
{
  return ReadSettings<control_settings>(
    aText,
    aSource,
    [&](object_reader& aReader, control_settings& aSettings) -> result<void> {
      ReadCommonSettings(aReader, aSettings);
      aSettings.platform = aReader.String("platform");
      CheckAddress(aReader, "platform", aSettings.platform, false);
      object_reader reader(aReader.Object("timing"), aSource, "timing");
      ReadTiming(reader, aSettings.timing);
      return reader.Finish(error_code::InvalidSettings);
    });
}

result<entry_settings>
LoadEntrySettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  return ReadEntrySettings(text, aPath);
}

result<control_settings>
LoadControlSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  return ReadControlSettings(text, aPath);
}

} // namespace arbutusferry
