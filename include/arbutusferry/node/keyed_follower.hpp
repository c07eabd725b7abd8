#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/record_log.hpp"

#include <map>
#include <set>

namespace arbutusferry::node {

/// Receives the records of a followed partition.
class record_observer
{
public:
  virtual ~record_observer() = default;
  /// @param aValue Null if the key was dropped.
  virtual void OnRecord(const std::string& aKey,
                        const std::string* aValue,
                        std::uint64_t aOffset) = 0;
  /// All records up to the end that the store named have been passed on.
  virtual void OnCaughtUp() = 0;
  /// The partition can be read again after calls had failed.
  virtual void OnRegained() {}
};

/// Follows one keyed partition: reads the newest records once, then everything
/// that is appended. Records never go back: each key's offset only rises, also
/// when the store answers with an older state.
class keyed_follower
{
public:
  struct timing
  {
    /// Longest wait of a read; also bounds how long a dead connection hides
    /// news.
    std::chrono::milliseconds poll{ 1'000 };
    /// Pause after a read that brought records, so that a read brings many.
    std::chrono::milliseconds gather{ 0 };
    /// Pause after a failed call.
    std::chrono::milliseconds retry{ 200 };
  };

  keyed_follower(event_loop& aLoop,
                 record_log& aLog,
                 log_partition aWhere,
                 timing aTiming,
                 record_observer& aObserver);

  /// Starts to follow.
  void Start();
  /// Reads at once what is there, beside the read that waits.
  void ReadNow();
  /// @return The offset up to which everything was read.
  [[nodiscard]] std::uint64_t Next() const noexcept { return mNext; }
  /// @return Whether the newest records have been read once.
  [[nodiscard]] bool Listed() const noexcept { return mListed; }
  /// @return Time of the last successful call.
  [[nodiscard]] time_point LastContact() const noexcept { return mLastContact; }
  /// @return Whether calls fail at present.
  [[nodiscard]] bool Lost() const noexcept { return mLost; }

private:
  void List(const std::string& aAfter);
  void Poll();
  void Later(duration aDelay, void (keyed_follower::*aStep)());
  void Relist();
  void Take(const read_result& aResult);
  void Apply(const log_entry& aEntry);
  void SetLost(bool aLost);

  event_loop& mLoop;
  record_log& mLog;
  log_partition mWhere;
  timing mTiming;
  record_observer& mObserver;
  std::unique_ptr<timer> mTimer;
  std::map<std::string, std::uint64_t> mOffsets; ///< Of each present key.
  std::set<std::string> mSeen; ///< Keys of the listing that is being read.
  std::uint64_t mListEnd = 0;
  std::uint64_t mNext = 0;
  bool mListed = false;
  bool mLost = false;
  time_point mLastContact;
  /// Answers that arrive after the follower is gone are dropped.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
