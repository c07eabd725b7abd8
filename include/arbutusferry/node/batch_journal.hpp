#pragma once

#include "arbutusferry/node/batch_records.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/record_log.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace arbutusferry::node {

/// Writes the leader's journal partition. One call is in flight at a time and
/// carries as many queued appends as fit. A call without a response is retried
/// with the same sequence number until the store reports its outcome.
class batch_journal
{
public:
  /// @param aEpoch Fencing token of the leader's term.
  /// @param aOnFenced Called once when a later leader has taken over.
  batch_journal(event_loop& aLoop,
                record_log& aLog,
                log_partition aPartition,
                std::uint64_t aEpoch,
                std::function<void()> aOnFenced);

  /// Fences earlier writers, then reads the journal. Retries failed calls.
  /// @param aDone Receives the contents.
  void Open(std::function<void(journal_contents)> aDone);
  /// Reads one page of result texts.
  /// @param aFrom First position.
  /// @param aDone Receives texts by position; empty if the read fails.
  void ReadTexts(
    const std::string& aBatch,
    std::size_t aFrom,
    std::function<void(std::map<std::size_t, std::string>&)> aDone);
  /// Appends records atomically.
  /// @param aDone Called when they are durable.
  /// @param aOnRejected Called instead if the store rejects them as invalid.
  /// Neither is called if the term ends first.
  void Append(std::vector<log_record> aRecords,
              std::function<void()> aDone,
              std::function<void()> aOnRejected = {});
  /// @return Appends that are not durable yet.
  [[nodiscard]] std::size_t PendingAppends() const noexcept
  {
    return mQueue.size() + mInFlight.size();
  }
  /// @return When the call in flight first failed, if it is being retried.
  [[nodiscard]] std::optional<time_point> RetryingSince() const noexcept
  {
    return mRetryingSince;
  }

private:
  struct pending_append
  {
    std::vector<log_record> records;
    std::function<void()> done;
    std::function<void()> onRejected;
  };

  void Fence();
  void ReadPage(const std::string& aAfter);
  void SendNext();
  void SendCall();
  void OnAppendResult(const append_result& aResult);
  /// Takes the appends out of flight and calls one of their functions.
  /// @return Whether the journal still exists afterwards.
  [[nodiscard]] bool Conclude(std::function<void()> pending_append::*aFunction);
  void Retry();

  event_loop& mLoop;
  record_log& mLog;
  log_partition mPartition;
  std::uint64_t mEpoch;
  std::function<void()> mOnFenced;
  std::function<void(journal_contents)> mOnOpened;
  journal_reader mReader;
  std::deque<pending_append> mQueue;
  std::vector<pending_append> mInFlight;
  std::vector<log_record> mCallRecords;
  std::uint64_t mSequence = 0;
  bool mOpen = false;
  bool mOutcomeUnknown = false; ///< The call in flight may have been applied.
  std::optional<time_point> mRetryingSince;
  std::unique_ptr<timer> mTimer;
  /// Expires with the journal, so that late responses are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
