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

/// Limits for a daemon whose log reader may be slow or gone.
struct log_bounds
{
  /// Maximum lines per second of one event; more are dropped and counted.
  int linesPerSecond = 200;
};

/// Sets up spdlog to write JSON lines to standard output without blocking.
/// Lines that would block or exceed the limits are dropped and counted; a later
/// "log_lines_dropped" event reports them.
void
InitBoundedLogging(const std::string& aProgram,
                   log_level aLevel,
                   const log_bounds& aBounds);

/// Writes one JSON line with time, level, program, event and the fields.
/// Common fields: "step", "peer", "request". Never pass an API key.
void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields = {});

/// Writes an error with its step, peer and message.
void
LogError(log_level aLevel, std::string_view aEvent, const error_info& aError);

} // namespace arbutusferry
