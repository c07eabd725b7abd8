#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/record_log.hpp"
#include "arbutusferry/node/retry_delay.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace arbutusferry::node {

/// Receives the records of a followed partition.
class record_observer
{
public:
  virtual ~record_observer() = default;
  /// @param aValue Null if the key was deleted.
  virtual void OnRecord(const std::string& aKey,
                        const std::string* aValue,
                        std::uint64_t aOffset) = 0;
  /// All records up to the end that the store reported have been delivered.
  virtual void OnCaughtUp() = 0;
  /// @return Whether a record goes before others that were read with it.
  [[nodiscard]] virtual bool IsUrgent(const log_record&) const { return false; }
  /// The partition can be read again after failed calls.
  virtual void OnReconnected() {}
};

/// Follows one keyed partition: reads the newest record of each key once, then
/// everything that is appended. The offset of each key only rises, even if the
/// store returns an older state.
class keyed_follower
{
public:
  struct timing
  {
    /// Longest wait of a read; bounds how long a dead connection holds back
    /// new records.
    std::chrono::milliseconds pollWait{ 1'000 };
    /// Delay after a read that returned records, so that the next returns many.
    std::chrono::milliseconds batchDelay{ 0 };
    /// Delivers only the newest record of each key of one read, deleted keys
    /// and urgent records first.
    bool newestOnly = false;
    /// Delay after a call that failed, and after many that did.
    std::chrono::milliseconds retryDelay{ 400 };
    std::chrono::milliseconds longestRetryDelay{ 800 };
    /// Spreads the retries; random by default.
    std::uint64_t retrySeed = std::random_device{}();

    /// @return The timing for a topic on which other decisions wait: retries
    /// stay frequent.
    [[nodiscard]] static timing Prompt(std::chrono::milliseconds aPollWait);
  };

  keyed_follower(event_loop& aLoop,
                 record_log& aLog,
                 log_partition aPartition,
                 timing aTiming,
                 record_observer& aObserver);

  void Start();
  /// Reads available records at once, in parallel with the waiting read.
  void ReadNow();
  /// Makes no calls until `Resume` or `Start`, and delivers nothing.
  void Pause();
  /// Reads on without a listing where another source of the same records has
  /// ended.
  /// @param aNext Offset up to which all records are known; 0 if that source
  /// was not read to its end: then the newest records are listed.
  /// @param aOffsets Offset of each present key.
  void Resume(std::uint64_t aNext,
              std::map<std::string, std::uint64_t> aOffsets);
  [[nodiscard]] bool Paused() const noexcept { return mPaused; }
  /// @return The offset of each present key.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Offsets()
    const noexcept
  {
    return mOffsets;
  }
  /// @return The offset up to which everything was read.
  [[nodiscard]] std::uint64_t NextOffset() const noexcept { return mNext; }
  /// @return Whether the newest records have been read once.
  [[nodiscard]] bool InitialReadDone() const noexcept { return mListed; }
  /// @return Time of the last successful call.
  [[nodiscard]] time_point LastContact() const noexcept { return mLastContact; }
  /// @return Whether calls fail at present.
  [[nodiscard]] bool Disconnected() const noexcept { return mDisconnected; }

private:
  /// Reads the page of the listing after `mListAfter`.
  void List();
  void OnPage(const newest_result& aResult);
  void FinishListing();
  void Poll();
  void OnRead(const read_result& aResult);
  /// Applies `mPortion` from an index on, a bounded number of records at a time
  /// with other events between.
  void ApplyPortion(std::size_t aFrom, std::function<void()> aDone);
  void KeepNewest(std::vector<log_entry>& aEntries);
  void Schedule(duration aDelay, void (keyed_follower::*aStep)());
  void Relist();
  void Apply(const log_entry& aEntry);
  void SetDisconnected(bool aDisconnected);

  event_loop& mLoop;
  record_log& mLog;
  log_partition mPartition;
  timing mTiming;
  record_observer& mObserver;
  retry_delay mRetryDelay;
  std::unique_ptr<timer> mTimer;
  std::map<std::string, std::uint64_t> mOffsets; ///< Of each present key.
  /// Keys of the listing that is being read.
  std::set<std::string> mListedKeys;
  std::string mListAfter;          ///< Last key of the pages that were read.
  std::vector<log_entry> mPortion; ///< Read and not yet applied.
  /// Whether the portion's offsets rise one by one, as those of a read do.
  bool mInOrder = false;
  std::uint64_t mListEnd = 0;
  std::uint64_t mNext = 0;
  bool mListed = false;
  bool mDisconnected = false;
  bool mPaused = false;
  time_point mLastContact;
  /// Expires with the follower and when it pauses, so that later callbacks do
  /// nothing.
  std::shared_ptr<bool> mCalls = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
