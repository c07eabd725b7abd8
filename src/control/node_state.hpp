#pragma once

#include "arbutusferry/control_node.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/slot_planner.hpp"
#include "control/config_feed.hpp"
#include "control/zone_view.hpp"

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

  /// Ends all waits; later waits return immediately.
  void Stop();
  [[nodiscard]] bool Stopping() const;

  /// Runs a function on the configuration feed under the lock.
  template<typename Function>
  auto WithFeed(Function&& aFunction) const
  {
    const std::lock_guard lock(mMutex);
    return aFunction(mFeed);
  }
  /// Runs a function that may change the feed, under the lock, and wakes all
  /// waiting syncs if it returns true.
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
  auto WithZoneView(Function&& aFunction)
  {
    const std::lock_guard lock(mMutex);
    const notify_on_change notify(*this);
    return aFunction(mZoneView);
  }

  /// @return Whether this process reads the log and the platform's lists
  /// itself.
  [[nodiscard]] bool ReadsLog() const;
  /// Waits until this process is to read the log, at most for `aTime`.
  /// @return Whether it is; false while stopping.
  bool WaitToReadLog(duration aTime);
  /// @return Whether this process is the relay and slot planner of its zone.
  [[nodiscard]] bool IsRelay() const;
  /// Decides whether this process reads the log: it does as the relay, when
  /// its relay does not answer or has an old view, and while it holds roles.
  void UpdateReadsLog(bool aHoldsRoles);

  void SetLogReachable(bool aReachable);
  /// Stores the plans of this process's slot planner.
  void SetGrants(std::map<std::string, entry_plan> aPlans);
  /// @return Engines of the zone whose load this process polls.
  [[nodiscard]] std::vector<target_info> PolledTargets();

  /// Serves one `node.sync`; blocks until there is a change for the entry or
  /// the hold time has passed.
  [[nodiscard]] node_sync_response NodeSync(const node_sync_request& aRequest);
  /// Serves one `zone.sync` of a member; blocks as `NodeSync` does.
  [[nodiscard]] zone_sync_response ZoneSync(const zone_sync_request& aRequest);
  /// Serves one `zone.summary` of another zone.
  [[nodiscard]] zone_summary_response ZoneSummary(
    const zone_summary_request& aRequest);

  /// @param aAnswered Number of the relay's last answer.
  /// @return Request to the relay.
  [[nodiscard]] zone_sync_request MakeZoneSyncRequest(
    const list_versions& aSeen,
    std::int64_t aAnswered);
  /// Applies the contents of the relay's answer.
  /// @param aSent Time before the request was sent.
  result<void> OnZoneSync(const zone_sync_request& aRequest,
                          const zone_sync_response& aAnswer,
                          time_point aSent);
  /// Applies the contents of an answer of another zone's relay.
  result<void> OnZoneSummary(const zone_summary_response& aAnswer,
                             time_point aSent);

  /// Waits until the record with this id is applied to the configuration.
  /// @param aOffset Offset that the log answered, or `kNoOffset` if the answer
  /// was lost.
  /// @return Offset and outcome; nothing if the record was not seen in time.
  [[nodiscard]] std::optional<std::pair<log_offset, fold_outcome>>
  WaitForRecord(const std::string& aId, log_offset aOffset, duration aTimeout);

  /// @return Whether the process has a configuration to serve and is not
  /// stopping.
  [[nodiscard]] bool Ready() const;
  /// Sets the gauges to the current state.
  void UpdateGauges();
  /// @return Result of `operator.status`.
  [[nodiscard]] Json::Value Status() const;

private:
  using lock_type = std::unique_lock<std::mutex>;

  /// Wakes the waiting syncs in its destructor if a list changed since its
  /// construction.
  class notify_on_change
  {
  public:
    explicit notify_on_change(node_state& aState)
      : mState(aState)
      , mVms(aState.mZoneView.Versions().vms)
      , mEntry(aState.mZoneView.EntryAnswerVersion())
    {
    }
    notify_on_change(const notify_on_change&) = delete;
    notify_on_change& operator=(const notify_on_change&) = delete;
    ~notify_on_change()
    {
      if (mVms != mState.mZoneView.Versions().vms ||
          mEntry != mState.mZoneView.EntryAnswerVersion()) {
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
    std::int64_t version = 0; ///< Grows when the slots change.
  };
  /// Versions in the last answer to an entry.
  struct seen_lists
  {
    std::int64_t version = 0; ///< Of lists and grants.
    std::string view;
    list_versions lists;
  };
  /// Last answer to a member; its time dates the member's next statement.
  struct last_answer
  {
    std::int64_t number = 0;
    time_point sent{};
  };

  [[nodiscard]] duration Interval() const;
  [[nodiscard]] std::int64_t ViewAgeMs(time_point aNow) const;
  [[nodiscard]] bool CompleteSinceStart(time_point aNow) const;
  /// Advances the freshness of the view while the log is unreachable: the
  /// statements of all members together show that the view is complete.
  void UpdateIsolation(time_point aNow);
  /// @return Statements to pass on; nothing while the view is fresh,
  /// which means that the log can be reached.
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
  bool mFollowsRelay = false; ///< The relay answers, and its view is fresh.
  time_point mRelayAnswered{};
  duration mRelayViewAge{};
  config_feed mFeed;
  zone_view mZoneView;
  std::map<std::string, seen_lists> mSeenByEntry; ///< By entry instance.
  std::map<std::string, last_answer> mAnswers;    ///< By member.
  std::map<std::string, stored_grants> mGrants;   ///< By entry instance.
  /// Time at which each VM that may have accepted a change was last listed.
  std::map<std::string, time_point> mLastListed;
};

} // namespace arbutusferry
