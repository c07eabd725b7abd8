#pragma once

#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node/batch_journal.hpp"
#include "arbutusferry/node/batch_table.hpp"
#include "arbutusferry/node/environment_view.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/limit_records.hpp"
#include "arbutusferry/node/node_directory.hpp"
#include "arbutusferry/node/result_wait.hpp"
#include "arbutusferry/node/sampler_pool.hpp"
#include "arbutusferry/node/target_protocol.hpp"
#include "placement/placement_pass.hpp"
#include "placement/run_history.hpp"

#include <functional>
#include <memory>

namespace arbutusferry::node {

/// Outcome of a call on a batch.
enum class batch_outcome
{
  Done,
  NotFound,
  Unavailable, ///< This process can't currently tell.
};

/// Owns all batches during one leadership term: accepts them, runs their items,
/// has their texts scored, stores their results and orders weight loads on
/// samplers. batch_leader.cpp has the term and the calls on batches,
/// batch_runs.cpp the runs of items, batch_moves.cpp their moves to faster
/// samplers, batch_rewards.cpp their scoring.
class batch_leader final : private run_observer
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;       ///< For other nodes.
    http_client& targetClient; ///< For targets.
    record_log& log;
    target_view& targets;
    /// Other nodes, which relay the streams of runs.
    node_directory& nodes;
    const target_protocol& protocol;
    const environment_source& environment;
    reward_caller& rewards;
    metrics_registry& metrics;
    std::string holder;
    /// How long a closed batch stays readable after its submission.
    std::chrono::milliseconds readableFor{ 120'000 };
    /// Called when a later leader was seen.
    std::function<void()> superseded;
    /// Whether weight orders may be sent now.
    std::function<bool()> maySendOrders;
    /// Whether runs may start now. False while the term is unconfirmed, since a
    /// later leader may have ended batches.
    std::function<bool()> mayStartRuns;
    /// Whether runs may start at cold samplers, where the starts of two leaders
    /// would add up. Unset, the same as `mayStartRuns`.
    std::function<bool()> mayStartCold = {};
  };

  /// @param aFence Fencing token of the term; also the epoch of the journal.
  batch_leader(parts aParts, std::uint64_t aFence);
  ~batch_leader() override;
  batch_leader(const batch_leader&) = delete;
  batch_leader& operator=(const batch_leader&) = delete;

  /// Fences earlier leaders, reads the journal and starts to run items.
  /// @param aReady Receives the encoded usage counts in the journal, by window.
  void Start(
    std::function<void(const std::map<std::int64_t, std::string>&)> aReady);
  [[nodiscard]] bool Ready() const noexcept { return mReady; }

  /// Accepts a batch, unless it was accepted before.
  /// @param aDone Called when the batch is durable.
  void Submit(batch_request aRequest, std::function<void()> aDone);
  /// @param aTeam Team of the caller's key; empty without a key.
  /// @return The batch if it exists and belongs to the team, or to no team;
  /// else null.
  [[nodiscard]] batch* Find(const std::string& aId, const std::string& aTeam);
  /// Calls `aDone` when the batch has more than `aAfter` results, is closed or
  /// unknown, or `aWait` has passed. Near the end of a step, results may be
  /// held until the step is complete.
  void AwaitResults(const std::string& aId,
                    std::size_t aAfter,
                    std::chrono::milliseconds aWait,
                    std::function<void()> aDone);
  /// Loads a page of result texts from position `aFrom` on from the journal.
  /// @param aDone Called after the read, also if it failed.
  void LoadTexts(const std::string& aId,
                 std::size_t aFrom,
                 std::function<void()> aDone);
  /// Cancels the runs of a batch and ends it. May be repeated.
  /// @param aDone Called when the end is durable. Destroyed without a call if
  /// the store rejects the end, or the term ends first.
  void End(batch& aBatch, std::function<void()> aDone);
  /// Appends other journal records of the leader, such as usage counts.
  void AppendRecords(std::vector<log_record> aRecords,
                     std::function<void()> aDone)
  {
    mJournal.Append(std::move(aRecords), std::move(aDone));
  }
  /// Detaches from the runs and saves their progress for the next leader.
  void HandOver(std::function<void()> aDone);
  void SetNewestVersion(const std::string& aModel, std::int64_t aVersion);
  void OnTargetsChanged() { SchedulePlacement(); }
  /// Drops the events of open items whose last run is at a sampler that has
  /// started again with other software: they may come from either.
  void OnSoftwareChanged(const std::string& aSampler);
  [[nodiscard]] std::size_t ActiveRuns() const;

private:
  struct waiter
  {
    std::string batch;
    std::size_t after = 0;
    result_wait wait;
    std::optional<time_point> resultsSince;
    std::function<void()> done;
  };

  /// @return Whether a waiting read should be answered now.
  [[nodiscard]] bool Due(waiter& aEntry);

  void Restore(journal_contents aContents);
  /// Ends a batch in memory: cancels its runs and reward calls, and keeps the
  /// progress of its items.
  void CloseBatch(batch& aBatch);
  /// Stores the end of a batch, and answers all who wait for it.
  void StoreEnd(const batch& aBatch);
  void SchedulePlacement();
  /// Saves limits of targets that have changed.
  void SaveLimits();
  void Tick();
  void PlaceItems();
  void MoveSlowRuns();
  /// @return Runs that won't end before their results are due, at the speed of
  /// their samplers.
  [[nodiscard]] std::vector<std::shared_ptr<item_run>> RunsThatEndLate();
  /// Moves runs that can't end in time where they are to samplers at which
  /// they can.
  void MoveEarly();
  /// Moves a run early if that is worth its cost.
  /// @param aRoom Samplers by service, less the slots that were taken.
  /// @return Whether it was moved.
  [[nodiscard]] bool TryMoveEarly(
    const std::shared_ptr<item_run>& aRun,
    std::map<std::string, service_samplers>& aRoom);
  /// Takes a slot for a run of a slow sampler at a faster one that may go on
  /// with it.
  /// @param aRoom Samplers by service, less the slots that were taken.
  /// @return Whether there is one.
  [[nodiscard]] bool TakeFasterSlot(
    const item_run& aRun,
    std::map<std::string, std::vector<sampler_state>>& aRoom);
  /// Logs that an item's events are dropped.
  static void LogRestart(const batch& aBatch, std::size_t aIndex);
  /// Drops the events of an item, also those in the journal.
  void RestartItem(batch& aBatch, std::size_t aIndex);
  /// @return Whether the versions of an item's events allow that its batch
  /// lists a text with them.
  [[nodiscard]] bool TextFits(const batch& aBatch, std::size_t aIndex) const;
  /// Saves the progress of items with at least `aMinNewEvents` new events.
  void SaveProgress(std::size_t aMinNewEvents, std::function<void()> aDone);
  void ExpireItems();
  void ExpireBatches();
  void WakeWaiters();
  /// @return Time since the batch was submitted.
  [[nodiscard]] std::chrono::milliseconds Age(const batch& aBatch) const
  {
    return std::chrono::milliseconds(mParts.loop.UnixMilliseconds() -
                                     aBatch.Request().submittedUnixMs);
  }
  void FinishItem(batch& aBatch,
                  std::size_t aIndex,
                  result_state aState,
                  std::string aScore = {});
  /// Saves an item's complete text and has it scored, or commits it if it needs
  /// no score.
  void FinishText(batch& aBatch, std::size_t aIndex);
  /// Finishes the items of a batch whose texts are complete already.
  void FinishCompleteTexts(batch& aBatch);
  /// Saves the progress of one item at once.
  void SaveItem(batch& aBatch, std::size_t aIndex);
  /// Sends the reward calls for which targets have room.
  void SendRewardCalls();
  [[nodiscard]] std::vector<waiting_reward> WaitingRewards();
  void StartRewardCall(const waiting_reward& aReward);
  void OnRewardCallEnded(const std::string& aBatch,
                         std::size_t aIndex,
                         const reward_result& aResult);
  /// @return Error responses to an item's reward calls after which it may end
  /// as errored.
  [[nodiscard]] int MaxRewardErrors(const batch& aBatch,
                                    std::size_t aIndex) const;
  void ScheduleRewardCalls();
  /// Ends the reward calls in progress of a batch, or of all.
  static void CancelRewardCalls(batch& aBatch);
  void CancelRewardCalls();
  /// Chooses a sampler for a waiting item. Drops its events if it can only be
  /// restarted.
  [[nodiscard]] std::optional<std::size_t> ChooseFor(
    waiting_item& aItem,
    const service_samplers& aService,
    double aTypicalEvents);
  /// Logs and counts an item whose run has started.
  void NotePlaced(const waiting_item& aItem, int aTeamSlots);
  [[nodiscard]] bool StartRun(const waiting_item& aItem,
                              const std::string& aSampler);
  /// Attaches to relayed streams of an earlier leader's runs.
  void AttachRuns();
  /// @return The regions that an item and its reward calls may reach.
  [[nodiscard]] home_regions HomesOf(const batch& aBatch,
                                     std::size_t aIndex) const;
  [[nodiscard]] std::shared_ptr<item_run> MakeRun(batch& aBatch,
                                                  std::size_t aIndex,
                                                  const std::string& aSampler,
                                                  std::int64_t aVersion,
                                                  std::size_t aResumeAfter);

  void OnRunEvent(const item_run& aRun,
                  std::string aData,
                  std::int64_t aVersion) override;
  void OnRunEnded(const item_run& aRun, run_outcome aEnd) override;
  void OnRunLimit(const item_run& aRun,
                  const limit_notice& aNotice,
                  bool aGenuine) override;
  void OnRelayClock(const item_run& aRun, std::int64_t aClockMs) override;

  parts mParts;
  std::uint64_t mFence;
  std::uint64_t mRunsStarted = 0;
  batch_table mBatches;
  batch_journal mJournal;
  sampler_pool mPool;
  run_history mHistory;
  limit_records mLimitRecords;
  std::function<void(const std::map<std::int64_t, std::string>&)> mOnReady;
  bool mReady = false;
  bool mHandedOver = false;
  bool mAttached = false;
  bool mSuperseded = false; ///< A relay node has reported a later leader.
  bool mSavingProgress = false;
  time_point mLastProgressSave;
  /// Items by model for which the last placement found no sampler.
  std::map<std::string, std::size_t> mUnplaced;
  std::vector<waiter> mWaiters;
  std::map<std::string, std::vector<std::function<void()>>> mPendingSubmits;
  /// Calls that wait until the end of a batch is durable, by batch.
  std::map<std::string, std::vector<std::function<void()>>> mPendingEnds;
  std::unique_ptr<timer> mPlacementTimer;
  std::unique_ptr<timer> mRewardTimer;
  std::unique_ptr<periodic_timer> mTicker;
  /// Expires with the leader, so that late responses are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
