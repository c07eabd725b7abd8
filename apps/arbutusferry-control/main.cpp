#include "arbutusferry/control_node.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/settings.hpp"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "", "Settings file (JSON with comments).");
DEFINE_bool(check, false, "Check the settings, then stop.");

namespace {

using namespace arbutusferry;

constexpr int kSuccess = 0;
constexpr int kFailed = 1;
constexpr int kBadSettings = 2;

/// Calls to the platform end before the guard of a lease does, so that a
/// sender that hangs cannot act after its lease.
constexpr std::chrono::milliseconds kPlatformTimeout{ 1500 };

/// Every thread would otherwise reserve an arena of its own, which costs
/// memory that the budget of the process does not have.
constexpr int kMallocArenas = 2;

int
Report(const error_info& aError, int aCode)
{
  std::cerr << FormatError(aError) << '\n';
  return aCode;
}

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
  options.usageBatch = aSettings.timing.usageBatch;
  options.checkpoint = aSettings.timing.checkpoint;
  return options;
}

int
Run(const control_settings& aSettings)
{
  // The signals are waited for in this thread; all others inherit the mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  InitLogging("arbutusferry-control", aSettings.logLevel);
  const system_clock_source clock;
  auto started = Capture([&] {
    return StartControlNode(
      ToOptions(aSettings),
      MakeHttpPlatform(aSettings.platform, kPlatformTimeout),
      clock);
  });
  if (const auto* failure = std::get_if<error_info>(&started)) {
    return Report(*failure, kFailed);
  }
  auto& node = std::get<std::unique_ptr<control_node>>(started);
  Json::Value ready(Json::objectValue);
  ready["ready"] = true;
  ready["address"] = node->Address();
  ready["instance"] = node->Instance();
  std::cout << WriteJson(ready) << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  Log(log_level::Info, "stopping");
  node->Stop();
  Log(log_level::Info, "stopped");
  return kSuccess;
}

} // namespace

int
main(int aCount, char** aArguments)
try {
  mallopt(M_ARENA_MAX, kMallocArenas);
  gflags::SetUsageMessage(
    "follows the configuration of an availability zone\n"
    "usage: arbutusferry-control --settings FILE [--check]");
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_settings.empty() || aCount > 1) {
    std::cerr << "command line: field \"--settings\": expected a file\n";
    return kBadSettings;
  }
  auto settings = Capture([] { return LoadControlSettings(FLAGS_settings); });
  if (const auto* failure = std::get_if<error_info>(&settings)) {
    return Report(*failure, kBadSettings);
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": valid\n";
    return kSuccess;
  }
  return Run(std::get<control_settings>(settings));
} catch (const std::exception& exception) {
  std::fputs(exception.what(), stderr);
  std::fputc('\n', stderr);
  return kFailed;
}
