#include "arbutusferry/entry_server.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/rpc_http.hpp"
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

/// Longest call of the control process, above the hold of a sync.
constexpr std::chrono::milliseconds kControlTimeout{ 3000 };

/// Every thread would otherwise reserve a memory arena of its own.
constexpr int kMallocArenas = 4;

int
Report(const error_info& aError, int aCode)
{
  std::cerr << FormatError(aError) << '\n';
  return aCode;
}

int
Run(const entry_settings& aSettings)
{
  // The signals are waited for in this thread; all others inherit the mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  InitLogging("arbutusferry-entry", aSettings.logLevel);
  entry_parts parts;
  parts.clock = std::make_shared<system_clock_source>();
  parts.metrics = std::make_shared<metrics_registry>();
  dispatcher_options options;
  options.zone = aSettings.zone;
  options.maxQueuePerTenant =
    static_cast<std::size_t>(aSettings.limits.maxQueuePerTenant);
  options.seed =
    static_cast<std::uint64_t>(parts.clock->Now().time_since_epoch().count());
  parts.work = MakeDispatcher(options);
  parts.transport = MakeHttpTransport({}, *parts.clock);
  parts.makeClient = [](const std::string& aAddress) {
    return MakeHttpRpcClient(aAddress, kControlTimeout);
  };
  const auto server = MakeEntryServer(aSettings, parts);
  const auto started = Capture([&] { return server->Start(); });
  if (const auto* failure = std::get_if<error_info>(&started)) {
    return Report(*failure, kFailed);
  }
  Json::Value ready(Json::objectValue);
  ready["ready"] = true;
  ready["address"] = server->Address();
  ready["instance"] = server->Instance();
  std::cout << WriteJson(ready) << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  Log(log_level::Info, "stopping");
  server->Shutdown();
  Log(log_level::Info, "stopped");
  return kSuccess;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  mallopt(M_ARENA_MAX, kMallocArenas);
  gflags::SetUsageMessage(
    "serves callers and trainers in front of the targets\n"
    "usage: arbutusferry-entry --settings FILE [--check]");
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_settings.empty() || aCount > 1) {
    std::cerr << "command line: field \"--settings\": expected a file\n";
    return kBadSettings;
  }
  auto settings = Capture([] { return LoadEntrySettings(FLAGS_settings); });
  if (const auto* failure = std::get_if<error_info>(&settings)) {
    return Report(*failure, kBadSettings);
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": valid\n";
    return kSuccess;
  }
  return Run(std::get<entry_settings>(settings));
}
