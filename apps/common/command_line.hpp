#pragma once

#include "arbutusferry/error.hpp"

#include <gflags/gflags.h>
#include <string>
#include <vector>

namespace arbutusferry {

/// Sets the flags that the program defines. Replaces the parser of gflags,
/// which exits with code 1 and prints several lines on an invalid flag; the
/// programs exit with code 2 and print one line.
/// @return The positional arguments; `InvalidArgument` for an invalid flag.
[[nodiscard]] inline result<std::vector<std::string>>
ReadCommandLine(int aCount, char** aArguments)
{
  const auto flagError = [](const std::string& aFlag,
                            const std::string& aText) {
    return MakeError(error_code::InvalidArgument,
                     "command line",
                     "",
                     "flag \"" + aFlag + "\": " + aText);
  };
  std::vector<std::string> positional;
  for (int i = 1; i < aCount; ++i) {
    const std::string argument = aArguments[i];
    if (argument.size() < 2 || argument.front() != '-') {
      positional.push_back(argument);
      continue;
    }
    const std::size_t nameBegin = argument.find_first_not_of('-');
    if (nameBegin == std::string::npos) {
      return flagError(argument, "flag name is missing");
    }
    const std::size_t equals = argument.find('=');
    std::string name = argument.substr(nameBegin, equals - nameBegin);
    for (char& character : name) {
      character = character == '-' ? '_' : character;
    }
    gflags::CommandLineFlagInfo info;
    const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info) &&
                       (name == "help" || name == "version" ||
                        info.filename.find("gflags") == std::string::npos);
    if (!known) {
      return flagError(argument.substr(0, equals), "unknown flag; see --help");
    }
    std::string value = "true";
    if (equals != std::string::npos) {
      value = argument.substr(equals + 1);
    } else if (info.type != "bool") {
      if (i + 1 >= aCount) {
        return flagError(argument, "expected a value of type " + info.type);
      }
      value = aArguments[++i];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return flagError(argument.substr(0, equals),
                       "expected a value of type " + info.type + ", not \"" +
                         value + "\"");
    }
  }
  return positional;
}

} // namespace arbutusferry
