#include "arbutusferry/control_node.hpp"
#include "arbutusferry/settings.hpp"
#include "common/daemon.hpp"

DEFINE_string(settings, "", "Settings file (JSON with comments).");
DEFINE_bool(check, false, "Check the settings and exit.");

namespace {

using namespace arbutusferry;

/// Timeout of calls to the platform. Shorter than the safety margin of a lease,
/// so that a call that hangs cannot take effect after the lease has expired.
constexpr std::chrono::milliseconds kPlatformTimeout{ 1500 };

/// Two malloc arenas, because the memory budget of the process is 32 MB.
constexpr daemon::description kDescription{
  "arbutusferry-control",
  "follows the configuration of an availability zone",
  2
};

control_options
ToOptions(const control_settings& aSettings)
{
  control_options options;
  options.vm = aSettings.vm;
  options.zone = aSettings.zone;
  options.environment = aSettings.environment;
  options.listen = aSettings.listen;
  options.lease = { aSettings.timing.lease,
                    aSettings.timing.guard,
                    aSettings.timing.renew };
  options.syncInterval = aSettings.timing.sync;
  options.staleAfter = aSettings.timing.stale;
  options.usageBatchInterval = aSettings.timing.usageBatchInterval;
  options.checkpointInterval = aSettings.timing.checkpointInterval;
  return options;
}

daemon::exit_code
Run(const control_settings& aSettings)
{
  const sigset_t signals = daemon::BlockStopSignals();
  InitLogging(kDescription.name, aSettings.logLevel);
  const system_clock_source clock;
  auto started = Capture([&] {
    return StartControlNode(
      ToOptions(aSettings),
      MakeHttpPlatform(aSettings.platform, kPlatformTimeout),
      clock);
  });
  if (const auto* failure = std::get_if<error_info>(&started)) {
    return daemon::PrintStartError(*failure, FLAGS_settings);
  }
  auto& node = std::get<std::unique_ptr<control_node>>(started);
  daemon::ServeUntilSignal(
    signals, node->Address(), node->Instance(), [&] { node->Stop(); });
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
                      LoadControlSettings,
                      Run);
}
