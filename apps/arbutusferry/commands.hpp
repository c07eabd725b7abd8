#pragma once

#include "arbutusferry/error.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Exit codes of the programs.
enum class exit_code
{
  Success = 0,
  Failed = 1,      ///< Rejected or failed; nothing was changed.
  BadInput = 2,    ///< Invalid command line, file or settings.
  Unknown = 3,     ///< The change may take effect.
  Unreachable = 4, ///< No process could be reached; nothing was changed.
};

/// Values of the command-line flags.
struct command_options
{
  std::vector<std::string> controlAddresses; ///< "IP:port" each.
  std::string stage;    ///< Empty for the command's default.
  std::string base;     ///< Revision, "current", or empty.
  std::string recordId; ///< Empty to generate one.
  std::string sha256;
  std::string entryAddress; ///< "IP:port" of an entry process.
  std::string nameFilter;   ///< Substring of the names of the histograms shown.
  std::optional<std::int64_t> windowStart; ///< Unix time in seconds.
  bool json = false;
  std::chrono::seconds timeout{ 20 };
};

/// Runs a command and prints its result to standard output.
/// @param aArguments Command and its arguments.
/// @return The exit code; an error is for the caller to print on one line.
[[nodiscard]] result<exit_code>
RunCommand(const command_options& aOptions,
           const std::vector<std::string>& aArguments);

} // namespace arbutusferry
