#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/node/http_message.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// One sample of a batch, as the caller asked for it.
struct batch_item
{
  std::string id;
  std::string path;
  header_list headers;
  std::string body;
  std::int64_t tokens = 0;     ///< Prompt and largest output.
  std::string group;           ///< Items of a group share their prompt.
  std::int64_t lengthHint = 0; ///< Estimated output tokens; 0 if unknown.
};

/// A batch as accepted. Everything here lasts in the journal.
struct batch_request
{
  std::string id;
  std::string team;
  std::string host;
  std::string route;
  std::string model;
  std::int64_t step = -1;
  std::int64_t minimumVersion = 0; ///< Oldest weights that may be used.
  std::size_t targetGroups = 0;    ///< Groups that the trainer waits for.
  std::int64_t submittedUnixMs = 0;
  std::vector<batch_item> items;
};

enum class result_state
{
  Completed,
  Errored,
};

/// A listed result; its position in the batch never changes.
struct batch_result
{
  std::size_t item = 0; ///< Index into the batch's items.
  result_state state = result_state::Completed;
  /// False while the text is only in the journal.
  bool loaded = true;
  std::string text;
  std::vector<std::int64_t> versions;
};

/// Where a running item's stream is held.
struct run_location
{
  std::string run;      ///< Name of the stream there.
  socket_address relay; ///< Node that holds it.
  std::string sampler;
  std::size_t resumedAfter = 0; ///< Events before its first.
};

/// Events of a sample that were generated so far.
struct item_progress
{
  std::vector<std::string> events;
  std::vector<std::int64_t> versions; ///< Of each event.
  /// The stream that goes on from here, if a node holds it.
  std::optional<run_location> place = std::nullopt;

  [[nodiscard]] bool FitsVersion(std::int64_t aMinimum) const;
  [[nodiscard]] std::string Text() const;
  /// @return All versions, without repeats, rising.
  [[nodiscard]] std::vector<std::int64_t> DistinctVersions() const;
};

enum class item_phase
{
  Waiting,
  Running,
  Saving, ///< Ended; its result is on its way to the journal.
  Committed,
};

struct open_item
{
  item_phase phase = item_phase::Waiting;
  item_progress progress;
  int failures = 0;     ///< Answers of the target that count as an attempt.
  int impossible = 0;   ///< Answers that it can never be done.
  bool carried = false; ///< Came back from an earlier batch.
  std::size_t savedEvents = 0; ///< Events of the last save of its progress.
  std::string savedRun;        ///< Stream named by that save.
  int runs = 0;                ///< Begun by this leader.
  /// From the batch's submission to the first of them.
  std::chrono::milliseconds waited{ 0 };
  std::string sampler;  ///< Of the last run.
  time_point notBefore; ///< Pause after a failure.
};

/// One batch with its results.
class batch
{
public:
  batch(batch_request aRequest, bool aEnded);

  [[nodiscard]] const batch_request& Request() const noexcept
  {
    return mRequest;
  }
  [[nodiscard]] std::vector<open_item>& Items() noexcept { return mItems; }
  [[nodiscard]] const std::vector<open_item>& Items() const noexcept
  {
    return mItems;
  }
  [[nodiscard]] const std::vector<batch_result>& Results() const noexcept
  {
    return mResults;
  }
  [[nodiscard]] std::optional<std::size_t> FindItem(
    const std::string& aId) const;
  /// Adds the result of the next position. Frees what only running needed.
  void CommitResult(batch_result aResult);
  [[nodiscard]] bool Ended() const noexcept { return mEnded; }
  void End();
  [[nodiscard]] bool Complete() const noexcept
  {
    return mResults.size() == mItems.size();
  }
  /// @return Whether nothing is left to run.
  [[nodiscard]] bool Closed() const noexcept { return mEnded || Complete(); }
  /// @return Items of a group that are not listed.
  [[nodiscard]] std::size_t Unlisted(const std::string& aGroup) const;
  /// @return Groups with all items listed.
  [[nodiscard]] std::size_t CompleteGroups() const noexcept
  {
    return mCompleteGroups;
  }
  /// @return Unlisted items of the groups that the trainer waits for: those
  /// that came back, and of the others the ones nearest to completion.
  [[nodiscard]] std::size_t MissingItems() const;
  /// Sets the text of a result that was read from the journal.
  void SetText(std::size_t aPosition, std::string aText);
  /// Frees the texts of all results; the journal has them.
  void ForgetTexts();
  /// Records that hold the request in the journal.
  std::size_t journalParts = 1;
  time_point endedAt;
  /// Positions handed to the journal, listed or on their way.
  std::size_t assignedPositions = 0;

private:
  batch_request mRequest;
  std::vector<open_item> mItems;
  std::vector<batch_result> mResults;
  std::map<std::string, std::size_t> mIndex;
  std::map<std::string, std::size_t> mUnlisted;
  std::size_t mCompleteGroups = 0;
  bool mEnded = false;
};

/// All batches that can still be read, and what is kept of unfinished items.
class batch_book
{
public:
  /// Adds a batch; items that were begun in an earlier batch go on from there
  /// if their versions fit.
  batch& Add(batch_request aRequest, bool aEnded = false);
  [[nodiscard]] batch* Find(const std::string& aId);
  /// Ends a batch and keeps the progress of its unfinished items.
  void End(batch& aBatch, time_point aNow);
  [[nodiscard]] std::map<std::string, std::unique_ptr<batch>>& All() noexcept
  {
    return mBatches;
  }
  void Erase(const std::string& aId);
  /// Keeps progress for the time when its item comes again.
  void Keep(const std::string& aItem, item_progress aProgress, time_point aNow);
  /// Drops kept progress that is older than the limit.
  void ExpireProgress(time_point aNow);

private:
  struct kept_progress
  {
    item_progress progress;
    time_point since;
  };
  std::map<std::string, std::unique_ptr<batch>> mBatches;
  std::map<std::string, kept_progress> mKept; ///< By item id.
};

/// Reads a server-sent event stream of a target.
class event_stream_parser
{
public:
  struct event
  {
    std::size_t id = 0;
    std::string data;
    std::vector<std::string> otherLines; ///< Neither id nor data.
  };
  /// Takes bytes of the body.
  /// @return The events that they complete.
  [[nodiscard]] std::vector<event> Feed(std::string_view aBytes);
  /// @return Whether the bytes so far end between two events.
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
