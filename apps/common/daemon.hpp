#pragma once

#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"

#include <csignal>
#include <exception>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <string>

namespace arbutusferry::daemon {

/// Exit codes of the daemons.
enum class exit_code
{
  Success = 0,
  Failed = 1,
  BadSettings = 2,
};

/// Properties that differ between the daemons.
struct description
{
  const char* name;
  const char* purpose;
  /// Limit of malloc arenas; without it, each thread would reserve its own.
  int mallocArenas;
};

/// Prints an error on one line.
/// @return The exit code passed in.
[[nodiscard]] inline exit_code
PrintError(const error_info& aError, exit_code aCode)
{
  std::cerr << FormatError(aError) << '\n';
  return aCode;
}

/// Prints why a daemon could not start. For an invalid setting, such as an
/// address in use, the message names the settings file.
/// @return `BadSettings` for an invalid setting, else `Failed`.
[[nodiscard]] inline exit_code
PrintStartError(error_info aError, const std::string& aFile)
{
  if (aError.code != error_code::InvalidSettings) {
    return PrintError(aError, exit_code::Failed);
  }
  aError.peer = aFile + ": " + aError.peer;
  return PrintError(aError, exit_code::BadSettings);
}

/// Blocks SIGTERM and SIGINT. Must be called before any thread starts, so that
/// all threads inherit the mask.
/// @return The blocked signals.
[[nodiscard]] inline sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Prints the ready line, blocks until a stop signal arrives and calls `aStop`.
inline void
ServeUntilSignal(const sigset_t& aSignals,
                 const std::string& aAddress,
                 const std::string& aInstance,
                 const std::function<void()>& aStop)
{
  Json::Value ready(Json::objectValue);
  ready["ready"] = true;
  ready["address"] = aAddress;
  ready["instance"] = aInstance;
  std::cout << WriteJson(ready) << std::endl;
  int received = 0;
  sigwait(&aSignals, &received);
  Log(log_level::Info, "stopping");
  aStop();
  Log(log_level::Info, "stopped");
}

/// Reads the command line and the settings, then runs the daemon.
/// @param aFile Flag that names the settings file.
/// @param aCheck Flag to validate the settings and exit.
/// @param aLoad Reads a settings file.
/// @param aRun Runs the daemon until a stop signal arrives.
/// @return Exit status of the process.
template<typename Load, typename Run>
[[nodiscard]] int
Main(int aCount,
     char** aArguments,
     const description& aDescription,
     const std::string& aFile,
     const bool& aCheck,
     const Load& aLoad,
     const Run& aRun)
try {
  mallopt(M_ARENA_MAX, aDescription.mallocArenas);
  gflags::SetUsageMessage(std::string(aDescription.purpose) + "\nusage: " +
                          aDescription.name + " --settings FILE [--check]");
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (aFile.empty() || aCount > 1) {
    std::cerr << "command line: flag \"--settings\": expected one file\n";
    return static_cast<int>(exit_code::BadSettings);
  }
  auto settings = Capture([&] { return aLoad(aFile); });
  if (const auto* failure = std::get_if<error_info>(&settings)) {
    return static_cast<int>(PrintError(*failure, exit_code::BadSettings));
  }
  if (aCheck) {
    std::cout << aFile << ": valid\n";
    return static_cast<int>(exit_code::Success);
  }
  return static_cast<int>(aRun(std::get<0>(settings)));
} catch (const std::exception& exception) {
  std::cerr << exception.what() << '\n';
  return static_cast<int>(exit_code::Failed);
}

} // namespace arbutusferry::daemon
