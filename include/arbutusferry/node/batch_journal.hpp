#pragma once

#include "arbutusferry/node/batch_table.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/record_log.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace arbutusferry::node {

/// Room of a record for its key and lengths, in bytes: a key has 255 at most.
inline constexpr std::size_t kRecordOverhead = 300;

/// Bytes of a journal value and back.
/// @param aWithItems Whether the items' requests are kept, or only their names.
[[nodiscard]] std::string
EncodeBatch(const batch_request& aBatch, bool aWithItems = true);
[[nodiscard]] std::optional<batch_request>
DecodeBatch(const std::string& aText);
/// A result without its text, which has a record of its own.
[[nodiscard]] std::string
EncodeResult(const batch_result& aResult);
[[nodiscard]] std::optional<batch_result>
DecodeResult(const std::string& aText);

[[nodiscard]] std::string
EncodeProgress(const item_progress& aProgress);
[[nodiscard]] std::optional<item_progress>
DecodeProgress(const std::string& aText);

/// Keys of the journal. Texts sort last, so that a new leader need not read
/// them.
[[nodiscard]] std::string
BatchKey(const std::string& aBatch, std::size_t aPart);
[[nodiscard]] std::string
ResultKey(const std::string& aBatch, std::size_t aPosition);
[[nodiscard]] std::string
TextKey(const std::string& aBatch, std::size_t aPosition);
[[nodiscard]] std::string
EndKey(const std::string& aBatch);
[[nodiscard]] std::string
ProgressKey(const std::string& aBatch, std::size_t aItem);
[[nodiscard]] std::string
UsageKey(std::int64_t aWindow);

/// What a journal holds, as read at the beginning of a term.
struct journal_contents
{
  std::vector<batch_request> batches;
  std::map<std::string, std::size_t> parts; ///< Records of each batch.
  std::map<std::string, std::map<std::size_t, batch_result>> results;
  std::set<std::string> ended;
  /// By batch and index of the item.
  std::map<std::string, std::map<std::size_t, item_progress>> progress;
  std::map<std::int64_t, std::string> usage; ///< By window.
};

/// Collects the records of a journal.
class journal_reader
{
public:
  void Add(const log_entry& aEntry);
  /// Joins the parts of batches.
  [[nodiscard]] journal_contents Finish();

private:
  std::map<std::string, std::map<std::size_t, std::string>> mParts;
  journal_contents mContents;
};

/// The leader's writer of one journal partition. Appends go out one call at a
/// time, as many records together as wait. A call without an answer is
/// repeated with its sequence number until the store says what became of it.
class batch_journal
{
public:
  /// @param aFenced Called once when a later leader has taken over.
  batch_journal(event_loop& aLoop,
                record_log& aLog,
                log_partition aWhere,
                std::uint64_t aEpoch,
                std::function<void()> aFenced);

  /// Fences earlier writers, then reads the journal.
  /// @param aDone Receives the contents.
  void Open(std::function<void(journal_contents)> aDone);
  /// Reads texts of results.
  /// @param aFrom First position; one page is read.
  /// @param aDone Receives texts by position; empty if the store can't be read.
  void ReadTexts(
    const std::string& aBatch,
    std::size_t aFrom,
    std::function<void(std::map<std::size_t, std::string>&)> aDone);
  /// Appends records, all or nothing.
  /// @param aDone Called when they are durable.
  void Append(std::vector<log_record> aRecords, std::function<void()> aDone);
  /// @return Appends that are not durable yet.
  [[nodiscard]] std::size_t Waiting() const noexcept
  {
    return mQueue.size() + mSending.size();
  }
  /// @return Since when the present call has been without success.
  [[nodiscard]] std::optional<time_point> StuckSince() const noexcept
  {
    return mStuckSince;
  }

private:
  struct entry
  {
    std::vector<log_record> records;
    std::function<void()> done;
  };

  void Fence();
  void ReadPage(const std::string& aAfter);
  void SendNext();
  void SendCall();
  void OnAnswer(const append_result& aResult);
  void Retry();

  event_loop& mLoop;
  record_log& mLog;
  log_partition mWhere;
  std::uint64_t mEpoch;
  std::function<void()> mFenced;
  std::function<void(journal_contents)> mOpened;
  journal_reader mReader;
  std::deque<entry> mQueue;
  std::vector<entry> mSending;
  std::vector<log_record> mCall;
  std::uint64_t mSequence = 0;
  bool mOpen = false;
  bool mDoubt = false; ///< The present call may have been carried out.
  std::optional<time_point> mStuckSince;
  std::unique_ptr<timer> mTimer;
  /// Answers that arrive after the journal is gone are dropped.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
