#pragma once

#include "arbutusferry/control_node.hpp"
#include "arbutusferry/membership.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node_sync.hpp"
#include "control/config_feed.hpp"

#include <condition_variable>
#include <mutex>

namespace arbutusferry {

/// What an entry process last told.
struct entry_status
{
  node_sync_request report;
  std::map<std::string, std::vector<usage_counter>> usage; ///< By tenant.
  time_point heard{};
};

/// State shared by the duties and the RPC methods of one control process.
/// Thread-safe; holds its lock only for short work in memory.
class node_state
{
public:
  node_state(const control_options& aOptions, const clock_source& aClock);

  [[nodiscard]] const control_options& Options() const noexcept
  {
    return mOptions;
  }
  [[nodiscard]] const clock_source& Clock() const noexcept { return mClock; }
  [[nodiscard]] const std::string& Instance() const noexcept
  {
    return mInstance;
  }
  [[nodiscard]] metrics_registry& Metrics() noexcept { return mMetrics; }

  /// Ends all waits; later waits return at once.
  void Stop();
  [[nodiscard]] bool Stopping() const;
  /// Waits up to `aTime` or until the process stops.
  void Sleep(duration aTime) const;

  /// Runs a function on the configuration feed under the lock.
  template<typename Function>
  auto WithFeed(Function&& aFunction)
  {
    const std::lock_guard lock(mMutex);
    return aFunction(mFeed);
  }
  /// Runs a function that may change the feed and wakes all waiting syncs if
  /// it returns true.
  template<typename Function>
  void UpdateFeed(Function&& aFunction)
  {
    const std::lock_guard lock(mMutex);
    if (aFunction(mFeed)) {
      mChanged.notify_all();
    }
  }

  void SetLogReach(bool aReaches);
  [[nodiscard]] bool LogReach() const;

  void SetVms(std::vector<vm_info> aVms);
  void SetTargets(std::vector<target_info> aTargets);
  void SetLoad(const std::string& aTarget,
               std::int64_t aRunning,
               std::int64_t aWaiting,
               std::int64_t aWeightVersion);
  [[nodiscard]] std::vector<target_info> Targets() const;
  /// @return Engines of the zone whose load this process asks for.
  [[nodiscard]] std::vector<target_info> PolledTargets() const;

  /// Serves one `node.sync`; waits until there is something new for the entry
  /// or its hold time passed.
  [[nodiscard]] node_sync_response NodeSync(const node_sync_request& aRequest);

  /// Waits until the record with this id is folded.
  /// @param aOffset Offset that the log answered, or `kNoOffset` if the answer
  /// was lost.
  /// @return Its outcome; nothing if it was not seen in time.
  [[nodiscard]] std::optional<std::pair<log_offset, fold_outcome>>
  WaitForRecord(const std::string& aId, log_offset aOffset, duration aTimeout);

  /// @return Whether the process has configuration and may serve entries.
  [[nodiscard]] bool Ready() const;
  /// @return Content of `operator.status`.
  [[nodiscard]] Json::Value Status() const;

private:
  using lock_type = std::unique_lock<std::mutex>;
  void Wait(lock_type& aLock, duration aTime);
  [[nodiscard]] node_sync_response Answer(const node_sync_request& aRequest,
                                          time_point aNow) const;

  control_options mOptions;
  const clock_source& mClock;
  std::string mInstance;
  metrics_registry mMetrics;

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  bool mStopping = false;
  bool mLogReach = false;
  config_feed mFeed;
  zone_membership mMembership;
  std::vector<vm_info> mVms;
  std::vector<target_info> mTargets;
  std::uint64_t mListVersion = 1; ///< Changes with targets and entries.
  std::map<std::string, std::uint64_t> mSeenVersion; ///< By entry instance.
  std::map<std::string, entry_status> mEntries;      ///< By instance.
};

} // namespace arbutusferry
