#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/target.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace arbutusferry {

/// Position in the log service.
using log_offset = std::int64_t;

/// No offset.
inline constexpr log_offset kNoOffset = -1;

/// A record as the log service returns it.
struct raw_log_record
{
  log_offset offset = kNoOffset;
  std::string id;
  Json::Value record;
};

/// Answer to one read of the log.
struct log_batch
{
  std::vector<raw_log_record> records;
  log_offset next = 0;    ///< Offset to read from next.
  log_offset first = 0;   ///< Oldest offset that is still kept.
  bool truncated = false; ///< The requested offset is no longer kept.
};

/// Append-only log of the platform.
class platform_log
{
public:
  virtual ~platform_log() = default;

  /// Appends a record. A `Timeout` or `BrokenExchange` error means that the
  /// append may have taken effect.
  /// @param aId Unique id of the record, by which it can be found again.
  [[nodiscard]] virtual result<log_offset> Append(
    const std::string& aId,
    const Json::Value& aRecord) = 0;

  /// Reads records, waiting up to `aWait` when there are none yet.
  [[nodiscard]] virtual result<log_batch> Read(log_offset aFrom,
                                               std::size_t aLimit,
                                               duration aWait) = 0;
};

/// A VM in the platform's list.
struct vm_info
{
  std::string id;
  std::string zone;
  std::string entryAddress;
  std::string controlAddress;
  bool leaving = false;
};

/// Lists of VMs and targets, which may lag behind the actual state.
class vm_directory
{
public:
  virtual ~vm_directory() = default;
  [[nodiscard]] virtual result<std::vector<vm_info>> ListVms() = 0;
  /// @param aZone Zone whose targets are listed; empty for all zones.
  [[nodiscard]] virtual result<std::vector<target_info>> ListTargets(
    const std::string& aZone) = 0;
};

/// Number of targets wanted of one class and pool.
struct target_count
{
  std::string targetClass;
  target_pool pool = target_pool::Protected;
  std::int64_t count = 0;
};

/// Desired targets of one availability zone.
struct target_order
{
  std::string zone;
  std::string orderId;
  log_offset fencing = kNoOffset;
  std::vector<target_count> counts;
  std::vector<std::string> stop; ///< Ids of drained targets to stop.
};

/// Called right before the last byte of a fenced send; returning false aborts
/// the send.
using send_check = std::function<bool()>;

/// Platform interface that starts and stops targets.
class target_provisioner
{
public:
  virtual ~target_provisioner() = default;

  /// Sends an order, withholding its last byte until `aCheck` passes.
  [[nodiscard]] virtual result<void> Send(const target_order& aOrder,
                                          const send_check& aCheck) = 0;

  /// @return The last accepted order of a zone; an empty id if none.
  [[nodiscard]] virtual result<target_order> Last(const std::string& aZone) = 0;
};

/// One line of a usage report.
struct usage_line
{
  std::string team;
  std::int64_t requests = 0;
  std::int64_t promptTokens = 0;
  std::int64_t generatedTokens = 0;
  unix_seconds carriedFrom = -1; ///< Earlier window the line belongs to, or -1.

  bool operator==(const usage_line&) const = default;
};

/// Final usage of one time window.
struct usage_report
{
  unix_seconds window = 0; ///< Start of the window.
  log_offset fencing = kNoOffset;
  std::vector<usage_line> lines;
};

/// Platform interface that accepts usage reports.
class usage_sink
{
public:
  virtual ~usage_sink() = default;

  /// Sends a report, withholding its last byte until `aCheck` passes.
  [[nodiscard]] virtual result<void> Send(const usage_report& aReport,
                                          const send_check& aCheck) = 0;
};

} // namespace arbutusferry
