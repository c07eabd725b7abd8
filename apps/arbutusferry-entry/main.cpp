#include "arbutusferry/entry_server.hpp"
#include "arbutusferry/rpc_http.hpp"
#include "arbutusferry/settings.hpp"
#include "common/daemon.hpp"

DEFINE_string(settings, "", "Settings file (JSON with comments).");
DEFINE_bool(check, false, "Check the settings and exit.");

namespace {

using namespace arbutusferry;

/// Timeout of calls to the control process. Longer than it holds a sync.
constexpr std::chrono::milliseconds kControlTimeout{ 3000 };

constexpr daemon::description kDescription{
  "arbutusferry-entry",
  "serves callers and trainers in front of the targets",
  4
};

entry_parts
MakeParts(const entry_settings& aSettings)
{
  entry_parts parts;
  parts.clock = std::make_shared<system_clock_source>();
  parts.metrics = std::make_shared<metrics_registry>();
  dispatcher_options options;
  options.zone = aSettings.zone;
  options.maxQueuePerTeam =
    static_cast<std::size_t>(aSettings.limits.maxQueuePerTeam);
  options.seed =
    static_cast<std::uint64_t>(parts.clock->Now().time_since_epoch().count());
  parts.work = MakeDispatcher(options);
  parts.transport = MakeHttpTransport({}, *parts.clock);
  parts.makeClient = [](const std::string& aAddress) {
    return MakeHttpRpcClient(aAddress, kControlTimeout);
  };
  return parts;
}

daemon::exit_code
Run(const entry_settings& aSettings)
{
  const sigset_t signals = daemon::BlockStopSignals();
  InitLogging(kDescription.name, aSettings.logLevel);
  const auto server = MakeEntryServer(aSettings, MakeParts(aSettings));
  const auto started = Capture([&] { return server->Start(); });
  if (const auto* failure = std::get_if<error_info>(&started)) {
    return daemon::PrintStartError(*failure, FLAGS_settings);
  }
  daemon::ServeUntilSignal(signals, server->Address(), server->Instance(), [&] {
    server->Shutdown();
  });
  return daemon::exit_code::Success;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return daemon::Main(aCount,
                      aArguments,
                      kDescription,
                      FLAGS_settings,
                      FLAGS_check,
                      LoadEntrySettings,
                      Run);
}
