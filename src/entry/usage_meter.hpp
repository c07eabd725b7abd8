#pragma once

#include "arbutusferry/log_record.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry {

/// What one answered request or delivered sample used.
struct usage_event
{
  std::string tenant;
  unix_seconds window = 0; ///< Start of its window.
  std::int64_t promptTokens = 0;
  std::int64_t generatedTokens = 0;
};

/// Cumulative counters of this instance by tenant and window. Thread-safe.
class usage_meter
{
public:
  explicit usage_meter(std::string aInstance);

  void Add(const usage_event& aEvent);

  /// @return Counters that changed since they were last confirmed.
  [[nodiscard]] std::vector<usage_counter> Unconfirmed() const;

  /// Notes that a control process has these counters.
  void Confirm(const std::vector<usage_counter>& aCounters);

  /// Drops confirmed counters of windows that started before a time.
  void DropBefore(unix_seconds aWindow);

private:
  struct counted
  {
    usage_counter counter;
    std::int64_t confirmedRequests = 0;
  };

  std::string mInstance;
  mutable std::mutex mMutex;
  std::map<std::pair<unix_seconds, std::string>, counted> mCounters;
};

} // namespace arbutusferry
