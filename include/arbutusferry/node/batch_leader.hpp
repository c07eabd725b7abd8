#pragma once

#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node/batch_journal.hpp"
#include "arbutusferry/node/batch_table.hpp"
#include "arbutusferry/node/environment_view.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/node_directory.hpp"
#include "arbutusferry/node/result_wait.hpp"
#include "arbutusferry/node/sampler_pool.hpp"
#include "arbutusferry/node/target_protocol.hpp"

#include <functional>
#include <memory>

namespace arbutusferry::node {

/// How a call about a batch ended.
enum class batch_outcome
{
  Done,
  NotFound,
  Unavailable, ///< This process can't tell at present.
};

/// Access to the operator's environment in force.
class environment_source
{
public:
  virtual ~environment_source() = default;
  [[nodiscard]] virtual const environment_view& Environment() const = 0;
};

/// Owns all batches during one term of leadership: accepts them, runs their
/// items, keeps their results and orders weights. The term and the calls are in
/// batch_leader.cpp, the runs in batch_runs.cpp.
class batch_leader final : private run_observer
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    record_log& log;
    target_view& targets;
    /// Other nodes, which hold the streams of runs.
    node_directory& nodes;
    const target_protocol& protocol;
    const environment_source& environment;
    metrics_registry& metrics;
    std::string holder;
    /// How long an ended batch can be read after its submission.
    std::chrono::milliseconds readableFor{ 120'000 };
    /// Calls `aFenced` of `Start` when a later leader was seen.
    std::function<void()> superseded;
    /// Whether orders may be sent now.
    std::function<bool()> mayAct;
    /// Whether runs may begin now: a later leader may have ended batches.
    std::function<bool()> mayRun;
  };

  batch_leader(parts aParts, std::uint64_t aFence);
  ~batch_leader() override;
  batch_leader(const batch_leader&) = delete;
  batch_leader& operator=(const batch_leader&) = delete;

  /// Fences earlier leaders, reads the journal and starts to run items.
  /// @param aReady Receives the usage figures that were fixed earlier.
  void Start(
    std::function<void(const std::map<std::int64_t, std::string>&)> aReady);
  [[nodiscard]] bool Ready() const noexcept { return mReady; }

  /// Accepts a batch.
  /// @param aDone Called when it is durable, also if it was accepted before.
  void Submit(batch_request aRequest, std::function<void()> aDone);
  /// @return The batch of a team, or null.
  [[nodiscard]] batch* Find(const std::string& aId, const std::string& aTeam);
  /// Calls a function when a batch has results from a position on, is closed,
  /// or the time is up; near the end of a step, when it is complete.
  void AwaitResults(const std::string& aId,
                    std::size_t aAfter,
                    std::chrono::milliseconds aWait,
                    std::function<void()> aDone);
  /// Calls a function when the texts of results from a position on have been
  /// read from the journal, or can't be read.
  void LoadTexts(const std::string& aId,
                 std::size_t aFrom,
                 std::function<void()> aDone);
  /// Ends a batch.
  /// @param aDone Called when the end is durable.
  void End(batch& aBatch, std::function<void()> aDone);
  /// Appends other records of the term, such as usage figures.
  void AppendRecords(std::vector<log_record> aRecords,
                     std::function<void()> aDone)
  {
    mJournal.Append(std::move(aRecords), std::move(aDone));
  }
  /// Stops the runs and saves what they have generated, for the next leader.
  void HandOver(std::function<void()> aDone);
  void SetNewestVersion(const std::string& aModel, std::int64_t aVersion);
  /// Notes changed targets.
  void OnTargetsChanged() { ScheduleSoon(); }
  [[nodiscard]] std::size_t OpenItems() const;

private:
  struct waiter
  {
    std::string batch;
    std::size_t after = 0;
    result_wait wait;
    std::optional<time_point> resultsSince;
    std::function<void()> done;
  };

  /// @return Whether a waiting reader is to be answered now.
  [[nodiscard]] bool Due(waiter& aEntry);

  void Restore(journal_contents aContents);
  void ScheduleSoon();
  void Tick();
  void Place();
  void MoveSlowRuns();
  /// Saves the progress of items that have at least so many new events.
  void SaveProgress(std::size_t aLeastEvents, std::function<void()> aDone);
  void GiveUpItems();
  void ExpireBatches();
  void WakeWaiters();
  /// @return Time since a batch was submitted.
  [[nodiscard]] std::chrono::milliseconds Age(const batch& aBatch) const
  {
    return std::chrono::milliseconds(mParts.loop.UnixMilliseconds() -
                                     aBatch.Request().submittedUnixMs);
  }
  void Finish(batch& aBatch, std::size_t aIndex, result_state aState);
  [[nodiscard]] std::vector<waiting_item> Waiting();
  [[nodiscard]] bool StartRun(const waiting_item& aItem,
                              const std::string& aSampler);
  /// Attaches to the streams that an earlier leader's runs left at nodes.
  void AttachRuns();
  [[nodiscard]] std::shared_ptr<item_run> MakeRun(batch& aBatch,
                                                  std::size_t aIndex,
                                                  const std::string& aSampler,
                                                  std::int64_t aVersion,
                                                  std::size_t aResumeAfter);

  void OnRunEvent(const item_run& aRun,
                  std::string aData,
                  std::int64_t aVersion) override;
  void OnRunEnded(const item_run& aRun, run_outcome aEnd) override;
  void OnRelayTime(const item_run& aRun, std::int64_t aTime) override;

  parts mParts;
  std::uint64_t mFence;
  std::uint64_t mRunsStarted = 0;
  batch_book mBook;
  batch_journal mJournal;
  sampler_pool mPool;
  std::function<void(const std::map<std::int64_t, std::string>&)> mOnReady;
  bool mReady = false;
  bool mHandedOver = false;
  bool mAttached = false;
  bool mSuperseded = false; ///< A node knows of a later leader.
  bool mSavingProgress = false;
  time_point mProgressSaved;
  /// Items by model for which the last placing found no sampler.
  std::map<std::string, std::size_t> mUnplaced;
  std::vector<waiter> mWaiters;
  std::map<std::string, std::vector<std::function<void()>>> mAccepting;
  std::unique_ptr<timer> mSoon;
  std::unique_ptr<periodic> mTicker;
  /// Answers that arrive after the term are dropped.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
