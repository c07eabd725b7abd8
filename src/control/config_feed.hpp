#pragma once

#include "arbutusferry/config_state.hpp"
#include "arbutusferry/freshness.hpp"
#include "arbutusferry/lease.hpp"
#include "arbutusferry/zone_sync.hpp"

#include <deque>

namespace arbutusferry {

/// Receives every record that the process reads from the log, once and in
/// offset order. Records received from a peer are not passed on.
class log_listener
{
public:
  virtual ~log_listener() = default;
  virtual void OnRecord(const raw_log_record& aRaw,
                        const log_record& aRecord,
                        time_point aReadAt) = 0;
  /// @return State to store in a checkpoint.
  [[nodiscard]] virtual Json::Value Save() const = 0;
  [[nodiscard]] virtual result<void> Restore(const Json::Value& aState,
                                             time_point aReadAt) = 0;
};

/// Configuration of one process, replicated from the log or from a peer, and
/// the roles, which are replicated only from the log. Not thread-safe.
class config_feed
{
public:
  /// Adds a listener, which must outlive the feed. Checkpoints keep its state
  /// under `aName`.
  void AddListener(const std::string& aName, log_listener& aListener);

  /// @return Offset of the next log read.
  [[nodiscard]] log_offset ReadFrom() const noexcept { return mReadFrom; }

  /// Applies the result of one log read.
  /// @param aLimit Record limit of the read; a shorter batch reaches the end of
  /// the log.
  /// @param aSent Time before the read was sent.
  /// @param aNow Time after it returned.
  /// @return True if the configuration changed.
  bool OnLogBatch(const log_batch& aBatch,
                  std::size_t aLimit,
                  time_point aSent,
                  time_point aNow);

  /// Applies an update from a peer, which does not change the roles.
  /// @return True if the configuration changed.
  result<bool> OnPeerUpdate(const config_update& aUpdate);

  /// @return Offset of the newest configuration change. Lease and usage records
  /// advance the applied offset too, but readers need no update for them.
  [[nodiscard]] log_offset NewestChange() const noexcept
  {
    return mNewestChange;
  }

  /// @return Update for a reader that has applied everything up to `aAfter`.
  [[nodiscard]] config_update Collect(log_offset aAfter) const;

  /// @return Checkpoint of the whole applied state; null while records are
  /// missing or the end of the log has not been reached.
  [[nodiscard]] Json::Value SaveCheckpoint() const;

  [[nodiscard]] const config_state& State() const noexcept { return mState; }
  [[nodiscard]] const role_table& Roles() const noexcept { return mRoles; }
  [[nodiscard]] view_freshness& Freshness() noexcept { return mFreshness; }
  [[nodiscard]] const view_freshness& Freshness() const noexcept
  {
    return mFreshness;
  }
  /// @return True if the records read so far continue without a gap from the
  /// start of the log or from a checkpoint, so that the roles are known.
  [[nodiscard]] bool Anchored() const noexcept { return !mHasGap; }
  /// @return True once a read has reached the end of the log.
  [[nodiscard]] bool CaughtUp() const noexcept { return mCaughtUp; }
  /// @return Offset of the newest known checkpoint, or `kNoOffset`.
  [[nodiscard]] log_offset CheckpointOffset() const noexcept
  {
    return mCheckpointOffset;
  }
  /// Records a newer checkpoint offset from a peer. A process that starts to
  /// read the log afterwards starts there instead of at the beginning.
  void NoteCheckpoint(log_offset aOffset);
  /// Call when the process stops reading the log and follows a peer. The roles
  /// are no longer current afterwards.
  void PauseReading() noexcept;

private:
  void Fold(const raw_log_record& aRaw, time_point aNow);
  bool RestoreCheckpoint(const checkpoint& aCheckpoint, time_point aNow);
  void KeepForPeers(const raw_log_record& aRaw);

  config_state mState;
  role_table mRoles;
  view_freshness mFreshness;
  std::map<std::string, log_listener*> mListeners;
  std::deque<raw_log_record> mRecent;  ///< Configuration records for peers.
  log_offset mRecentAfter = kNoOffset; ///< `mRecent` is complete above it.
  std::size_t mRecentBytes = 0;
  log_offset mReadFrom = 0;
  log_offset mOldestInLog = 0; ///< Oldest record still in the log.
  log_offset mCheckpointOffset = kNoOffset;
  log_offset mNewestChange = kNoOffset;
  bool mReadingLog = false; ///< The log was read since the last pause.
  bool mHasGap = false;     ///< Records before `mReadFrom` were skipped.
  bool mCaughtUp = false;
};

} // namespace arbutusferry
