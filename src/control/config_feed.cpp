#include "control/config_feed.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "environment/json_support.hpp"

namespace arbutusferry {

namespace {

/// Bounds of the records kept for peers. A peer that is further behind gets
/// the whole state in one message, which saves memory in every node.
constexpr std::size_t kRecentRecords = 256;
constexpr std::size_t kRecentBytes = std::size_t{ 512 } * 1024;

/// Estimates the size of a record in bytes. Serializing it just to measure it
/// would cost too much for an approximate bound.
std::size_t
EstimateSize(const Json::Value& aValue)
{
  std::size_t size = 16;
  if (aValue.isObject() || aValue.isArray()) {
    for (const Json::Value& item : aValue) {
      size += 16 + EstimateSize(item);
    }
  } else if (aValue.isString()) {
    size += aValue.asString().size();
  }
  return size;
}

} // namespace

void
config_feed::AddListener(const std::string& aName, log_listener& aListener)
{
  mListeners[aName] = &aListener;
}

void
config_feed::NoteCheckpoint(log_offset aOffset)
{
  mCheckpointOffset = std::max(mCheckpointOffset, aOffset);
  if (!mReadingLog && mReadFrom <= aOffset) {
    // The checkpoint includes the effect of all earlier records.
    mReadFrom = aOffset;
    mHasGap = true;
  }
}

void
config_feed::PauseReading() noexcept
{
  mReadingLog = false;
  mCaughtUp = false;
}

bool
config_feed::OnLogBatch(const log_batch& aBatch,
                        std::size_t aLimit,
                        time_point aSent,
                        time_point aNow)
{
  const log_offset before = mNewestChange;
  mOldestInLog = aBatch.first;
  if (aBatch.truncated) {
    if (aBatch.first > mReadFrom) {
      // Records up to the next checkpoint cannot be applied, because they
      // depend on records that the log has dropped.
      mReadFrom = aBatch.first;
      mHasGap = true;
      mCaughtUp = false;
    }
    return false;
  }
  mReadingLog = true;
  for (const raw_log_record& raw : aBatch.records) {
    if (raw.offset < mReadFrom) {
      continue;
    }
    mReadFrom = raw.offset + 1;
    Fold(raw, aNow);
    if (mReadFrom <= raw.offset) {
      // A checkpoint was restored; continue after the offset it covers.
      return mNewestChange != before;
    }
  }
  mReadFrom = std::max(mReadFrom, aBatch.next);
  if (!mHasGap && aBatch.records.size() < aLimit) {
    mCaughtUp = true;
    mFreshness.OnLogRead(aSent);
  }
  return mNewestChange != before;
}

void
config_feed::Fold(const raw_log_record& aRaw, time_point aNow)
{
  auto read = Capture([&] { return ReadLogRecord(aRaw.record); });
  const auto* parsed = std::get_if<std::optional<log_record>>(&read);
  const log_record* record =
    parsed != nullptr && parsed->has_value() ? &**parsed : nullptr;
  const auto* saved =
    record == nullptr ? nullptr : std::get_if<checkpoint>(record);
  if (saved != nullptr) {
    mCheckpointOffset = std::max(mCheckpointOffset, aRaw.offset);
  }
  if (mHasGap) {
    if (saved != nullptr) {
      (void)RestoreCheckpoint(*saved, aNow);
    }
    return;
  }
  if (record != nullptr && !IsConfigurationRecord(*record)) {
    mState.SkipTo(aRaw.offset);
    mRoles.Apply(aRaw.offset, aRaw.id, *record, aNow);
  } else if (saved != nullptr) {
    mState.SkipTo(aRaw.offset);
  } else if (mState.Apply(aRaw) != fold_outcome::Ignored) {
    KeepForPeers(aRaw);
  }
  if (record != nullptr) {
    for (const auto& [name, listener] : mListeners) {
      listener->OnRecord(aRaw, *record, aNow);
    }
  }
}

bool
config_feed::RestoreCheckpoint(const checkpoint& aCheckpoint, time_point aNow)
{
  const Json::Value& state = aCheckpoint.state;
  // The log must still have the records after the checkpointed state.
  if (!state.isObject() || aCheckpoint.through + 1 < mOldestInLog) {
    return false;
  }
  auto restored = Capture([&]() -> result<void> {
    if (aCheckpoint.through > mState.Offset()) {
      ARBUTUSFERRY_CHECK(mState.Restore(state["config"]));
    }
    ARBUTUSFERRY_CHECK(mRoles.Restore(state["roles"], aNow));
    for (const auto& [name, listener] : mListeners) {
      ARBUTUSFERRY_CHECK(listener->Restore(state[name], aNow));
    }
    return {};
  });
  if (const auto* failure = std::get_if<error_info>(&restored)) {
    LogError(log_level::Error, "checkpoint_refused", *failure);
    return false;
  }
  mHasGap = false;
  mRecent.clear();
  mRecentBytes = 0;
  mRecentAfter = mState.Offset();
  mNewestChange = mState.Offset();
  // Read the records between the checkpointed state and the checkpoint again.
  mReadFrom = aCheckpoint.through + 1;
  return true;
}

void
config_feed::KeepForPeers(const raw_log_record& aRaw)
{
  mNewestChange = aRaw.offset;
  mRecent.push_back(aRaw);
  mRecentBytes += EstimateSize(aRaw.record);
  while (mRecent.size() > kRecentRecords ||
         (mRecentBytes > kRecentBytes && mRecent.size() > 1)) {
    mRecentAfter = mRecent.front().offset;
    mRecentBytes -= EstimateSize(mRecent.front().record);
    mRecent.pop_front();
  }
}

result<bool>
config_feed::OnPeerUpdate(const config_update& aUpdate)
{
  const log_offset before = mNewestChange;
  if (!aUpdate.state.isNull() && aUpdate.offset > mState.Offset()) {
    ARBUTUSFERRY_CHECK(mState.Restore(aUpdate.state));
    mRecent.clear();
    mRecentBytes = 0;
    mRecentAfter = mState.Offset();
    mNewestChange = mState.Offset();
  }
  for (const raw_log_record& raw : aUpdate.records) {
    if (raw.offset > mState.Offset() &&
        mState.Apply(raw) != fold_outcome::Ignored) {
      KeepForPeers(raw);
    }
  }
  mState.SkipTo(aUpdate.offset);
  return mNewestChange != before;
}

config_update
config_feed::Collect(log_offset aAfter) const
{
  config_update update;
  update.offset = mState.Offset();
  if (aAfter >= update.offset) {
    return update;
  }
  if (aAfter < mRecentAfter) {
    update.state = mState.Save();
    return update;
  }
  for (const raw_log_record& raw : mRecent) {
    if (raw.offset > aAfter) {
      update.records.push_back(raw);
    }
  }
  return update;
}

Json::Value
config_feed::SaveCheckpoint() const
{
  if (mHasGap || !mCaughtUp) {
    return {};
  }
  Json::Value saved(Json::objectValue);
  saved["config"] = mState.Save();
  saved["roles"] = mRoles.Save();
  for (const auto& [name, listener] : mListeners) {
    saved[name] = listener->Save();
  }
  return saved;
}

} // namespace arbutusferry
