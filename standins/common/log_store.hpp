#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <json/value.h>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::standin {

/// Result of reading the log.
struct log_read
{
  bool down = false;
  bool gone = false; ///< The records were removed by retention.
  std::vector<Json::Value> records;
  std::int64_t next = 0;
  std::int64_t first = 0;
};

/// Append-only log with offsets, long polls, limited retention and outages.
class log_store
{
public:
  /// @return The offset, or nothing while the log is down.
  [[nodiscard]] std::optional<std::int64_t> Append(const std::string& aId,
                                                   const Json::Value& aRecord);

  /// Reads up to `aLimit` records, waiting up to `aWait` for the first one.
  [[nodiscard]] log_read Read(std::int64_t aFrom,
                              std::size_t aLimit,
                              std::chrono::milliseconds aWait);

  /// Starts or ends an outage; waiting reads return immediately.
  void SetDown(bool aDown);
  /// @param aRecords Newest records to keep; 0 keeps all.
  void SetRetention(std::size_t aRecords);
  /// @param aPerSecond Appends per second that are accepted without delay.
  void SetRate(double aPerSecond);

private:
  void Trim();

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Json::Value> mRecords;
  std::int64_t mFirstOffset = 0;
  std::size_t mRetention = 0;
  bool mDown = false;
  double mAppendsPerSecond = 500;
  std::chrono::steady_clock::time_point mNextAppend{};
};

} // namespace arbutusferry::standin
