#pragma once

#include "arbutusferry/error.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace arbutusferry {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
};

template<>
inline constexpr enum_name_table<log_level, 4> kEnumNames<log_level>{ {
  { log_level::Debug, "debug" },
  { log_level::Info, "info" },
  { log_level::Warning, "warning" },
  { log_level::Error, "error" },
} };

/// One field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Sets up spdlog to write JSON lines to standard error.
/// @param aProgram Name in the field "program".
/// @param aLevel Lowest level that is written.
void
InitLogging(const std::string& aProgram, log_level aLevel);

/// Bounds on the lines of a daemon whose reader may be slow or gone.
struct log_bounds
{
  /// Lines of one event in a second; further ones are counted and reported.
  int linesPerSecond = 200;
};

/// Sets up spdlog to write JSON lines to standard output. Lines that the reader
/// doesn't take at once, or over the bounds, are dropped and counted; a line
/// "log_lines_dropped" reports them later.
void
InitBoundedLogging(const std::string& aProgram,
                   log_level aLevel,
                   const log_bounds& aBounds);

/// Writes one JSON line with time, level, program, event and the fields.
/// Common fields: "step", "peer", "request". Never pass a key.
void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields = {});

/// Writes an error with its step, peer and message.
void
LogError(log_level aLevel, std::string_view aEvent, const error_info& aError);

} // namespace arbutusferry
