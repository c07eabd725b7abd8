#include "arbutusferry/usage.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/message_json.hpp"
#include "environment/json_support.hpp"
#include "usage/usage_figures.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>

namespace arbutusferry {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr const char* kSource = "saved usage";
constexpr unsigned kBitsPerGroup = 7;

/// Appends an integer as LEB128: groups of 7 bits, the lowest first; the high
/// bit marks that more groups follow.
void
AppendVarint(std::string& aText, std::uint64_t aValue)
{
  constexpr std::uint64_t kContinuationBit = 0x80;
  while (aValue >= kContinuationBit) {
    aText +=
      static_cast<char>((aValue & (kContinuationBit - 1)) | kContinuationBit);
    aValue >>= kBitsPerGroup;
  }
  aText += static_cast<char>(aValue);
}

/// @return The integer at `aAt`, which is advanced past it; nothing if the text
/// is truncated or the value exceeds `std::int64_t`.
std::optional<std::uint64_t>
ReadVarint(const std::string& aText, std::size_t& aAt)
{
  constexpr unsigned kMaxShift = 56;
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift <= kMaxShift && aAt < aText.size();
       shift += kBitsPerGroup) {
    const auto byte = static_cast<unsigned char>(aText[aAt++]);
    value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
    if ((byte & 0x80U) == 0) {
      return value;
    }
  }
  return std::nullopt;
}

/// @return The rank of each name in alphabetical order. The order of first use
/// depends on the history of a process and is not saved.
std::vector<std::uint32_t>
Ranks(const std::vector<std::string>& aNames)
{
  std::vector<std::uint32_t> order(aNames.size());
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aNames[aLeft] < aNames[aRight];
  });
  std::vector<std::uint32_t> ranks(aNames.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    ranks[order[i]] = static_cast<std::uint32_t>(i);
  }
  return ranks;
}

Json::Value
WriteNames(const std::map<std::string, std::uint32_t>& aNames)
{
  Json::Value list(Json::arrayValue);
  for (const auto& name : aNames) {
    list.append(name.first);
  }
  return list;
}

} // namespace

std::string
usage_ledger::EncodeCells(
  const window_cells& aCells,
  const std::vector<std::uint32_t>& aTeamRanks,
  const std::vector<std::uint32_t>& aInstanceRanks) const
{
  window_cells ranked = aCells;
  for (cell& item : ranked) {
    item.team = aTeamRanks[item.team];
    item.instance = aInstanceRanks[item.instance];
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const cell& aLeft, const cell& aRight) {
      return std::make_pair(aLeft.team, aLeft.instance) <
             std::make_pair(aRight.team, aRight.instance);
    });
  std::string bytes;
  for (const cell& item : ranked) {
    AppendVarint(bytes, item.team);
    AppendVarint(bytes, item.instance);
    AppendVarint(bytes, static_cast<std::uint64_t>(item.figures.requests));
    AppendVarint(bytes, static_cast<std::uint64_t>(item.figures.promptTokens));
    AppendVarint(bytes,
                 static_cast<std::uint64_t>(item.figures.generatedTokens));
  }
  return EncodeBase64Url(bytes);
}

bool
usage_ledger::DecodeCells(unix_seconds aWindow,
                          const std::string& aText,
                          const std::vector<std::string>& aTeams,
                          const std::vector<std::string>& aInstances)
{
  mWindows[aWindow];
  const auto bytes = DecodeBase64Url(aText);
  if (!bytes) {
    return false;
  }
  std::size_t at = 0;
  while (at < bytes->size()) {
    std::array<std::uint64_t, 5> values{};
    for (std::uint64_t& value : values) {
      const auto taken = ReadVarint(*bytes, at);
      if (!taken) {
        return false;
      }
      value = *taken;
    }
    if (values[0] >= aTeams.size() || values[1] >= aInstances.size()) {
      return false;
    }
    MergeCell({ aTeams[values[0]],
                aWindow,
                aInstances[values[1]],
                static_cast<std::int64_t>(values[2]),
                static_cast<std::int64_t>(values[3]),
                static_cast<std::int64_t>(values[4]) });
  }
  return true;
}

Json::Value
usage_ledger::Save() const
{
  const auto teamRanks = Ranks(mTeams.names);
  const auto instanceRanks = Ranks(mInstances.names);
  Json::Value state(Json::objectValue);
  state["forgotten_before"] = JsonInteger(mForgottenBefore);
  state["dropped"] = JsonInteger(mDropped);
  state["tenants"] = WriteNames(mTeams.indices);
  state["instances"] = WriteNames(mInstances.indices);
  state["windows"] = Json::Value(Json::arrayValue);
  for (const auto& [window, cells] : mWindows) {
    Json::Value item(Json::objectValue);
    item["window"] = JsonInteger(window);
    item["cells"] = EncodeCells(cells, teamRanks, instanceRanks);
    state["windows"].append(item);
  }
  state["finals"] = Json::Value(Json::arrayValue);
  for (const auto& final : mFinals) {
    state["finals"].append(WriteUsageReport(final.second));
  }
  return state;
}

result<void>
usage_ledger::Restore(const Json::Value& aState)
{
  object_reader reader(aState, kSource);
  usage_ledger ledger;
  ledger.mForgottenBefore =
    reader.Integer("forgotten_before", -kMaxInteger, kMaxInteger);
  ledger.mDropped = reader.Integer("dropped", 0, kMaxInteger);
  const auto teams = reader.Strings("tenants");
  const auto instances = reader.Strings("instances");
  const auto read = [&](const Json::Value& aItem,
                        const std::string& aPath) -> result<unix_seconds> {
    object_reader item(aItem, kSource, aPath);
    const unix_seconds window = item.Integer("window", 0, kMaxInteger);
    if (!ledger.DecodeCells(
          window, item.String("cells", ""), teams, instances)) {
      item.Fail("cells", "expected base64url of the counters");
    }
    ARBUTUSFERRY_CHECK(item.Finish());
    return window;
  };
  BOOST_LEAF_AUTO(windows, ReadList(reader, "windows", read));
  BOOST_LEAF_AUTO(finals,
                  ReadList(reader,
                           "finals",
                           [](const Json::Value& aItem, const std::string&) {
                             return ReadUsageReport(aItem, kSource);
                           }));
  ARBUTUSFERRY_CHECK(reader.Finish());
  if (std::adjacent_find(windows.begin(),
                         windows.end(),
                         std::greater_equal<>()) != windows.end()) {
    return MakeError(error_code::InvalidArgument,
                     "read document",
                     kSource,
                     "field \"windows\": expected each window once, in order");
  }
  for (const usage_report& report : finals) {
    ledger.mFinals[report.window] = report;
  }
  for (const usage_report& report : finals) {
    for (const usage_line& line : report.lines) {
      const unix_seconds from =
        line.carriedFrom >= 0 ? line.carriedFrom : report.window;
      if (ledger.mFinals.count(from) != 0) {
        AddFigures(ledger.mBilled[from][line.team], Figures(line));
      }
    }
  }
  *this = std::move(ledger);
  return {};
}

} // namespace arbutusferry
