#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/logging.hpp"

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Limits of an entry process.
struct entry_limits
{
  std::int64_t maxBodyBytes = std::int64_t{ 8 } * 1024 * 1024;
  std::int64_t maxConnections = 256; ///< Each occupies a thread.
  std::int64_t maxQueuePerTeam = 4096;
};

/// Settings of `arbutusferry-entry`.
struct entry_settings
{
  std::string vm;
  std::string zone;
  std::string environment;
  std::string listen; ///< "IP:port"; port 0 lets the system choose.
  std::vector<std::string> control; ///< "IP:port"; the own VM's first.
  entry_limits limits;
  log_level logLevel = log_level::Info;
};

/// Intervals and time limits of the control protocols.
struct control_timing
{
  std::chrono::milliseconds lease{ 9'000 }; ///< Term of a lease.
  std::chrono::milliseconds guard{ 2'000 }; ///< Safety margin of a lease.
  std::chrono::milliseconds renew{ 3'000 }; ///< Renewal interval.
  std::chrono::milliseconds sync{ 1'000 };  ///< Minimum sync interval.
  std::chrono::milliseconds stale{ 4'000 }; ///< Maximum view age for keys.
  std::chrono::milliseconds usageBatchInterval{ 10'000 };
  std::chrono::milliseconds checkpointInterval{ 600'000 };
};

/// Settings of `arbutusferry-control`.
struct control_settings
{
  std::string vm;
  std::string zone;
  std::string environment;
  std::string listen;
  std::string platform; ///< "IP:port".
  control_timing timing;
  log_level logLevel = log_level::Info;
};

/// Reads a whole file.
/// @return Its text; `InvalidSettings` with the file as peer if it cannot be
/// read or has more than 16 MiB.
[[nodiscard]] result<std::string>
ReadTextFile(const std::string& aPath);

/// Checks the settings of an entry process.
/// @param aText JSON with comments.
/// @param aSource File name, for errors.
/// @return The settings; `InvalidSettings` with file, field and expectation.
[[nodiscard]] result<entry_settings>
ReadEntrySettings(std::string_view aText, const std::string& aSource);

/// Checks the settings of a control process; see `ReadEntrySettings`.
[[nodiscard]] result<control_settings>
ReadControlSettings(std::string_view aText, const std::string& aSource);

[[nodiscard]] result<entry_settings>
LoadEntrySettings(const std::string& aPath);

[[nodiscard]] result<control_settings>
LoadControlSettings(const std::string& aPath);

} // namespace arbutusferry
