#pragma once

#include "arbutusferry/control_node.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/slot_planner.hpp"
#include "control/config_feed.hpp"
#include "control/zone_board.hpp"

#include <condition_variable>
#include <mutex>

namespace arbutusferry {

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

  /// Runs a function on the configuration feed under the lock.
  template<typename Function>
  auto WithFeed(Function&& aFunction) const
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
  /// Runs a function on the lists of the zone under the lock and wakes the
  /// waiting syncs if a list changed.
  template<typename Function>
  auto WithBoard(Function&& aFunction)
  {
    const std::lock_guard lock(mMutex);
    const notify_on_change notify(*this);
    return aFunction(mBoard);
  }

  /// @return Whether this process reads the log and the lists itself.
  [[nodiscard]] bool Reads() const;
  /// Waits until it is to read, at most for `aTime`.
  /// @return Whether it reads.
  bool WaitToRead(duration aTime);
  /// @return Whether this process is the relay and slot planner of its zone.
  [[nodiscard]] bool IsRelay() const;
  /// Decides whether this process reads the log, from its relay, the age of
  /// its view and the leases it holds.
  void UpdateReading(bool aHoldsRoles);

  void SetLogReach(bool aReachable);
  /// Takes over a plan of the own slot planner.
  void SetGrants(std::map<std::string, entry_plan> aPlans);
  /// @return Engines of the zone whose load this process asks for.
  [[nodiscard]] std::vector<target_info> PolledTargets();

  /// Serves one `node.sync`; waits until there is something new for the entry
  /// or its hold time passed.
  [[nodiscard]] node_sync_response NodeSync(const node_sync_request& aRequest);
  /// Serves one `zone.sync` of a member.
  [[nodiscard]] zone_sync_response ZoneSync(const zone_sync_request& aRequest);
  /// Serves one `zone.summary` of another zone.
  [[nodiscard]] zone_summary_response ZoneSummary(
    const zone_summary_request& aRequest);

  /// @return Request to the relay.
  [[nodiscard]] zone_sync_request MakeZoneSync(const list_versions& aSeen,
                                               std::int64_t aAnswered);
  /// Takes over the relay's answer.
  result<void> OnZoneSync(const zone_sync_request& aRequest,
                          const zone_sync_response& aAnswer,
                          time_point aSent);
  /// Takes over the answer of another zone's relay.
  result<void> OnZoneSummary(const zone_summary_response& aAnswer,
                             time_point aSent);

  /// Waits until the record with this id is folded.
  /// @param aOffset Offset that the log answered, or `kNoOffset` if the answer
  /// was lost.
  /// @return Its outcome; nothing if it was not seen in time.
  [[nodiscard]] std::optional<std::pair<log_offset, fold_outcome>>
  WaitForRecord(const std::string& aId, log_offset aOffset, duration aTimeout);

  /// @return Whether the process has configuration and may serve entries.
  [[nodiscard]] bool Ready() const;
  /// Sets the gauges of the metrics to the present state.
  void UpdateGauges();
  /// @return Content of `operator.status`.
  [[nodiscard]] Json::Value Status() const;

private:
  using lock_type = std::unique_lock<std::mutex>;

  /// Wakes waiting syncs when a list changed during its life.
  class notify_on_change
  {
  public:
    explicit notify_on_change(node_state& aState)
      : mState(aState)
      , mVms(aState.mBoard.Versions().vms)
      , mEntry(aState.mBoard.EntryVersion())
    {
    }
    notify_on_change(const notify_on_change&) = delete;
    notify_on_change& operator=(const notify_on_change&) = delete;
    ~notify_on_change()
    {
      if (mVms != mState.mBoard.Versions().vms ||
          mEntry != mState.mBoard.EntryVersion()) {
        mState.mChanged.notify_all();
      }
    }

  private:
    node_state& mState;
    std::int64_t mVms;
    std::int64_t mEntry;
  };

  struct stored_grants
  {
    entry_plan plan;
    time_point planned{};
    std::int64_t version = 0; ///< Changes with the slots.
  };
  /// What an entry was last answered.
  struct seen_lists
  {
    std::int64_t version = 0; ///< Of lists and grants.
    std::string view;
    list_versions lists;
  };
  /// What a member was last answered, to date its next statement.
  struct last_answer
  {
    std::int64_t number = 0;
    time_point sent{};
  };

  [[nodiscard]] duration Interval() const;
  [[nodiscard]] std::int64_t ViewAgeMs(time_point aNow) const;
  [[nodiscard]] bool CompleteSinceStart(time_point aNow) const;
  /// Applies the third source of freshness: the statements of all members.
  void UpdateIsolation(time_point aNow);
  /// @return Statements to pass on, only while the log is out of reach.
  [[nodiscard]] std::optional<isolation_report> MakeIsolationReport(
    time_point aNow,
    bool aOwnZoneOnly);
  [[nodiscard]] std::int64_t GrantVersion(const std::string& aInstance) const;
  void FillGrants(const std::string& aInstance,
                  time_point aNow,
                  node_sync_response& aAnswer) const;
  void StoreGrants(const std::string& aInstance,
                   entry_plan aPlan,
                   time_point aPlanned);

  control_options mOptions;
  const clock_source& mClock;
  std::string mInstance;
  time_point mStarted;
  metrics_registry mMetrics;

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  bool mStopping = false;
  bool mReadsLog = true;
  bool mLogReachable = false;
  bool mFollowsRelay = false; ///< The relay's answers are recent and fresh.
  time_point mRelayAnswered{};
  duration mRelayViewAge{};
  config_feed mFeed;
  zone_board mBoard;
  std::map<std::string, seen_lists> mSeenByEntry; ///< By entry instance.
  std::map<std::string, last_answer> mAnswers;    ///< By member.
  std::map<std::string, stored_grants> mGrants;   ///< By entry instance.
  /// When each VM that may have accepted a change was last listed.
  std::map<std::string, time_point> mLastListed;
};

} // namespace arbutusferry
