#pragma once

#include "arbutusferry/config_state.hpp"
#include "arbutusferry/freshness.hpp"
#include "arbutusferry/lease.hpp"
#include "arbutusferry/zone_sync.hpp"

#include <deque>

namespace arbutusferry {

/// Receives every record that a process reads from the log itself, once and in
/// order of offset.
class log_listener
{
public:
  virtual ~log_listener() = default;
  virtual void OnRecord(const raw_log_record& aRaw,
                        const log_record& aRecord,
                        time_point aReadAt) = 0;
  /// @return Own folded state, to be kept in a checkpoint.
  [[nodiscard]] virtual Json::Value Save() const = 0;
  [[nodiscard]] virtual result<void> Restore(const Json::Value& aState,
                                             time_point aReadAt) = 0;
};

/// Configuration as followed by one process, from the log or from a peer, and
/// the roles, which are folded only from the log. Not thread-safe.
class config_feed
{
public:
  /// Adds a listener for the records of the log; it must outlive the feed.
  void AddListener(const std::string& aName, log_listener& aListener);

  /// @return Offset from which the log is to be read next.
  [[nodiscard]] log_offset ReadFrom() const noexcept { return mReadFrom; }

  /// Folds one read of the log.
  /// @param aLimit Limit of the read; a shorter batch was complete.
  /// @param aSent Time before the read was sent.
  /// @param aNow Time after it returned.
  /// @return True when there is a new configuration record.
  bool OnLogBatch(const log_batch& aBatch,
                  std::size_t aLimit,
                  time_point aSent,
                  time_point aNow);

  /// Folds what a peer sent. The roles do not advance.
  result<bool> OnPeerUpdate(const config_update& aUpdate);

  /// @return Offset of the newest change of the configuration. Leases and
  /// usage also move the folded offset, but a reader need not hear of them.
  [[nodiscard]] log_offset NewestChange() const noexcept
  {
    return mNewestChange;
  }

  /// @return What a reader that folded `aAfter` needs.
  [[nodiscard]] config_update Collect(log_offset aAfter) const;

  /// @return State to append as a checkpoint of everything folded; null while
  /// the log is not followed from a known state.
  [[nodiscard]] Json::Value SaveCheckpoint() const;

  [[nodiscard]] const config_state& State() const noexcept { return mState; }
  [[nodiscard]] const role_table& Roles() const noexcept { return mRoles; }
  [[nodiscard]] view_freshness& Freshness() noexcept { return mFreshness; }
  [[nodiscard]] const view_freshness& Freshness() const noexcept
  {
    return mFreshness;
  }
  /// @return True when everything read so far connects to the log's start or
  /// to a checkpoint, so that the roles are known.
  [[nodiscard]] bool Anchored() const noexcept { return !mHasGap; }
  /// @return True once a read of the log returned everything.
  [[nodiscard]] bool CaughtUp() const noexcept { return mCaughtUp; }
  /// @return Offset of the newest checkpoint known, or `kNoOffset`.
  [[nodiscard]] log_offset CheckpointOffset() const noexcept
  {
    return mCheckpointOffset;
  }
  /// Takes over a newer checkpoint offset that a peer told, so that a process
  /// that starts to read the log need not read all of it.
  void NoteCheckpoint(log_offset aOffset);
  /// The process follows a peer from now on; the roles are no longer current.
  void PauseReading() noexcept;

private:
  void Fold(const raw_log_record& aRaw, time_point aNow);
  bool RestoreCheckpoint(const checkpoint& aCheckpoint, time_point aNow);
  void KeepForPeers(const raw_log_record& aRaw);

  config_state mState;
  role_table mRoles;
  view_freshness mFreshness;
  std::map<std::string, log_listener*> mListeners;
  std::deque<raw_log_record> mRecent;  ///< All configuration records above
  log_offset mRecentAfter = kNoOffset; ///< this offset.
  std::size_t mRecentBytes = 0;
  log_offset mReadFrom = 0;
  log_offset mOldestInLog = 0; ///< Oldest record that the log still keeps.
  log_offset mCheckpointOffset = kNoOffset;
  log_offset mNewestChange = kNoOffset;
  bool mReadingLog = false; ///< The log was read from a known state.
  bool mHasGap = false;     ///< Records before `mReadFrom` were never read.
  bool mCaughtUp = false;
};

} // namespace arbutusferry
