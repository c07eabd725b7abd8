#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/node/http_message.hpp"
#include "arbutusferry/node/item_scoring.hpp"
#include "arbutusferry/node/reward_call.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// One requested sample of a batch.
struct batch_item
{
  std::string id;
  std::string path;
  header_list headers;
  std::string body;
  std::int64_t tokens = 0;     ///< Prompt plus maximum output.
  std::string group;           ///< Items of a group share a prompt.
  std::int64_t lengthHint = 0; ///< Estimated output tokens; 0 if unknown.
  /// Call whose response scores the text, if the item completes with a score.
  std::optional<reward_request> reward = std::nullopt;
};

/// An accepted batch. All fields are stored in the journal.
struct batch_request
{
  std::string id;
  std::string team;
  std::string host;
  std::string route;
  std::string model;
  std::int64_t step = -1;
  std::int64_t minimumVersion = 0; ///< Oldest permitted weights.
  std::size_t neededGroups = 0;    ///< Groups that the trainer needs.
  std::int64_t submittedUnixMs = 0;
  std::vector<batch_item> items;
};

enum class result_state
{
  Completed,
  Errored,
};

/// A durable result. Its position in the batch never changes.
struct batch_result
{
  std::size_t item = 0; ///< Index into the batch's items.
  result_state state = result_state::Completed;
  /// False if the text must first be read from the journal.
  bool loaded = true;
  std::string text;
  std::vector<std::int64_t> versions;
  std::string score = {}; ///< Empty if the item has no reward call.
};

/// Where the run of an item is relayed, and its sampler.
struct run_location
{
  std::string run;      ///< Id of the run on that node.
  socket_address relay; ///< Address of the node.
  std::string sampler;
  std::size_t resumedAfter = 0; ///< Item events before the run's first.
};

/// Events generated so far for an item.
struct item_progress
{
  std::vector<std::string> events;
  std::vector<std::int64_t> versions; ///< Weight version of each event.
  /// Software version of the samplers that generated the events; empty if it
  /// isn't known, so that no sampler can continue them.
  std::optional<std::string> software = std::nullopt;
  /// Relayed run that continues these events, if there is one.
  std::optional<run_location> location = std::nullopt;
  /// Whether the text is complete, so that only its score is missing.
  bool complete = false;
  /// Error responses of targets to the item's reward calls.
  int rewardErrors = 0;

  [[nodiscard]] bool MeetsMinimumVersion(std::int64_t aMinimum) const;
  /// @return Whether the events have at most one version.
  [[nodiscard]] bool HasOneVersion() const;
  [[nodiscard]] std::string Text() const;
  /// @return Versions in ascending order, without duplicates.
  [[nodiscard]] std::vector<std::int64_t> DistinctVersions() const;
};

enum class item_phase
{
  Waiting,
  Running,
  Scoring, ///< The text is complete; its reward call is due or in progress.
  Saving,  ///< Ended; its result is being written to the journal.
  Committed,
};

struct item_state
{
  item_phase phase = item_phase::Waiting;
  item_progress progress;
  int failures = 0;            ///< Runs that a target answered with a failure.
  int impossible = 0;          ///< Runs answered as impossible.
  bool carried = false;        ///< Resubmitted from an earlier batch.
  std::size_t savedEvents = 0; ///< Events in the last saved progress.
  std::string savedRun;        ///< Run named in the last saved progress.
  int runCount = 0;            ///< Runs started by this leader.
  /// From the submission of the batch to the first run.
  std::chrono::milliseconds queueTime{ 0 };
  std::string sampler;  ///< Sampler of the last run.
  time_point notBefore; ///< End of the retry delay after a failure.
  scoring_state scoring;
};

/// A batch with its items and results.
class batch
{
public:
  batch(batch_request aRequest, bool aEnded);

  [[nodiscard]] const batch_request& Request() const noexcept
  {
    return mRequest;
  }
  [[nodiscard]] std::vector<item_state>& Items() noexcept { return mItems; }
  [[nodiscard]] const std::vector<item_state>& Items() const noexcept
  {
    return mItems;
  }
  [[nodiscard]] const std::vector<batch_result>& Results() const noexcept
  {
    return mResults;
  }
  [[nodiscard]] std::optional<std::size_t> FindItem(
    const std::string& aId) const;
  /// Appends a durable result and frees the item's progress and request body.
  void CommitResult(batch_result aResult);
  [[nodiscard]] bool Ended() const noexcept { return mEnded; }
  void End();
  [[nodiscard]] bool Complete() const noexcept
  {
    return mResults.size() == mItems.size();
  }
  /// @return Whether no items are left to run.
  [[nodiscard]] bool Closed() const noexcept { return mEnded || Complete(); }
  /// @return Items of a group without a durable result.
  [[nodiscard]] std::size_t UncommittedItems(const std::string& aGroup) const;
  /// @return Number of an item's group in the batch.
  [[nodiscard]] std::size_t GroupOf(std::size_t aIndex) const
  {
    return mGroupOf[aIndex];
  }
  [[nodiscard]] std::size_t GroupCount() const noexcept
  {
    return mUncommittedByGroup.size();
  }
  /// @return Groups in which every item has a durable result.
  [[nodiscard]] std::size_t CompleteGroups() const noexcept
  {
    return mCompleteGroups;
  }
  /// @return Items without a durable result in the groups that the trainer
  /// needs: all resubmitted groups, then those with the fewest items left.
  [[nodiscard]] std::size_t MissingItems() const;
  /// Sets the text of a result after reading it from the journal.
  void SetText(std::size_t aPosition, std::string aText);
  /// Frees the texts of all results, which stay in the journal.
  void ReleaseTexts();
  /// @return Whether the text of a result is in memory.
  [[nodiscard]] bool HoldsTexts() const noexcept { return mHoldsTexts; }
  /// Number of journal records that hold the request.
  std::size_t journalParts = 1;
  time_point endedAt;
  time_point textsReadAt; ///< When texts were last read from the journal.
  /// Whether the end is durable. A new leader resumes an ended batch whose end
  /// isn't.
  bool endStored = false;
  /// Positions assigned to results, including those not durable yet.
  std::size_t assignedPositions = 0;

private:
  batch_request mRequest;
  std::vector<item_state> mItems;
  std::vector<batch_result> mResults;
  std::map<std::string, std::size_t> mItemIndexes;
  std::map<std::string, std::size_t> mUncommittedByGroup;
  std::vector<std::size_t> mGroupOf; ///< Number of each item's group.
  std::size_t mCompleteGroups = 0;
  bool mEnded = false;
  bool mHoldsTexts = false;
};

/// All readable batches, and the progress of unfinished items of ended ones.
class batch_table
{
public:
  /// Adds a batch. An item with progress kept from an earlier batch continues
  /// from it if all its events meet the minimum version.
  batch& Add(batch_request aRequest, bool aEnded = false);
  [[nodiscard]] batch* Find(const std::string& aId);
  /// Ends a batch and keeps the progress of its unfinished items.
  void End(batch& aBatch, time_point aNow);
  [[nodiscard]] std::map<std::string, std::unique_ptr<batch>>& All() noexcept
  {
    return mBatches;
  }
  void Erase(const std::string& aId);
  /// Keeps the progress of an item in case it is resubmitted.
  void KeepProgress(const std::string& aItem,
                    item_progress aProgress,
                    time_point aNow);
  /// Drops kept progress past its retention time.
  void ExpireProgress(time_point aNow);

private:
  struct kept_progress
  {
    item_progress progress;
    time_point since;
  };
  std::map<std::string, std::unique_ptr<batch>> mBatches;
  std::map<std::string, kept_progress> mKeptProgress; ///< By item id.
};

/// Incremental parser of a target's server-sent events.
class event_stream_parser
{
public:
  struct event
  {
    std::size_t id = 0;
    std::string data;
    std::vector<std::string> otherLines; ///< Lines other than `id` and `data`.
  };
  /// Parses the next bytes of the body.
  /// @return Events completed by these bytes.
  [[nodiscard]] std::vector<event> Feed(std::string_view aBytes);
  /// @return Whether the input so far ends between two events.
  [[nodiscard]] bool AtBoundary() const noexcept
  {
    return mLine.empty() && !mHasFields;
  }

private:
  std::string mLine;
  event mEvent;
  bool mHasFields = false;
  bool mHasData = false;
};

} // namespace arbutusferry::node
