#pragma once

#include "arbutusferry/log_record.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/usage.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace arbutusferry {

/// Usage of one answered request or delivered sample.
struct usage_event
{
  std::string team;
  unix_seconds window = 0; ///< Start of the accounting window.
  std::int64_t promptTokens = 0;
  std::int64_t generatedTokens = 0;
};

/// Cumulative counters of this instance by team and window. Thread-safe.
class usage_meter
{
public:
  explicit usage_meter(std::string aInstance);

  void Add(const usage_event& aEvent);

  /// @return Counters that changed since they were last confirmed.
  [[nodiscard]] std::vector<usage_counter> Unconfirmed() const;

  /// Marks counters as received by a control process.
  void Confirm(const std::vector<usage_counter>& aCounters);

  /// Drops the counters of windows that started before a time.
  /// @return Number of dropped counters that were never confirmed.
  std::size_t DropBefore(unix_seconds aWindow);

private:
  std::string mInstance;
  mutable std::mutex mMutex;
  usage_counter_set mCounters;
};

} // namespace arbutusferry
