#include "arbutusferry/node/keyed_follower.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

namespace {

constexpr std::chrono::milliseconds kPromptRetryDelay{ 300 };

} // namespace

keyed_follower::timing
keyed_follower::timing::Prompt(std::chrono::milliseconds aPollWait)
{
  timing prompt;
  prompt.pollWait = aPollWait;
  prompt.retryDelay = prompt.longestRetryDelay = kPromptRetryDelay;
  return prompt;
}

keyed_follower::keyed_follower(event_loop& aLoop,
                               record_log& aLog,
                               log_partition aPartition,
                               timing aTiming,
                               record_observer& aObserver)
  : mLoop(aLoop)
  , mLog(aLog)
  , mPartition(std::move(aPartition))
  , mTiming(aTiming)
  , mObserver(aObserver)
  , mRetryDelay(aTiming.retryDelay,
                aTiming.longestRetryDelay,
                aTiming.retrySeed)
  , mLastContact(aLoop.Now())
{
}

void
keyed_follower::Start()
{
  Relist();
}

void
keyed_follower::Relist()
{
  mListedKeys.clear();
  List({});
}

void
keyed_follower::Schedule(duration aDelay, void (keyed_follower::*aStep)())
{
  mTimer = mLoop.After(aDelay, [this, aStep] { (this->*aStep)(); });
}

void
keyed_follower::SetDisconnected(bool aDisconnected)
{
  if (!aDisconnected) {
    mLastContact = mLoop.Now();
    mRetryDelay.Reset();
  }
  if (aDisconnected != mDisconnected) {
    mDisconnected = aDisconnected;
    Log(aDisconnected ? log_level::Warning : log_level::Info,
        aDisconnected ? "store_lost" : "store_regained",
        { { "topic", mPartition.topic }, { "offset", std::to_string(mNext) } });
    if (!aDisconnected) {
      mObserver.OnReconnected();
    }
  }
}

void
keyed_follower::List(const std::string& aAfter)
{
  mLog.Newest(mPartition,
              aAfter,
              [this, aAfter, alive = std::weak_ptr<bool>(mAlive)](
                const newest_result& aResult) {
                if (alive.expired()) {
                  return;
                }
                SetDisconnected(!aResult.done);
                if (!aResult.done) {
                  Schedule(mRetryDelay.Next(), &keyed_follower::Relist);
                  return;
                }
                if (aAfter.empty()) {
                  mListEnd = aResult.end;
                }
                std::string last;
                for (const log_entry& entry : aResult.entries) {
                  mListedKeys.insert(entry.record.key);
                  Apply(entry);
                  last = entry.record.key;
                }
                if (aResult.more && !last.empty()) {
                  List(last);
                  return;
                }
                if (mListEnd < mNext) {
                  // The store returned a state older than what was read
                  // before.
                  Schedule(mRetryDelay.Next(), &keyed_follower::Relist);
                  return;
                }
                // Keys missing from the listing were deleted before its end.
                const auto offsets = mOffsets;
                for (const auto& [key, offset] : offsets) {
                  if (!mListedKeys.contains(key) && offset < mListEnd) {
                    mOffsets.erase(key);
                    mObserver.OnRecord(key, nullptr, mListEnd);
                  }
                }
                mNext = mListEnd;
                mListed = true;
                mObserver.OnCaughtUp();
                Poll();
              });
}

void
keyed_follower::Poll()
{
  mLog.Read(
    mPartition,
    mNext,
    mTiming.pollWait.count(),
    [this, alive = std::weak_ptr<bool>(mAlive)](const read_result& aResult) {
      if (alive.expired()) {
        return;
      }
      SetDisconnected(aResult.status == read_status::Failed);
      if (aResult.status == read_status::Failed) {
        Schedule(mRetryDelay.Next(), &keyed_follower::Poll);
        return;
      }
      if (aResult.status == read_status::Truncated) {
        Log(log_level::Warning,
            "history_dropped",
            { { "topic", mPartition.topic },
              { "offset", std::to_string(mNext) } });
        Relist();
        return;
      }
      ApplyEntries(aResult);
      if (!aResult.entries.empty() && mTiming.batchDelay.count() > 0) {
        Schedule(mTiming.batchDelay, &keyed_follower::Poll);
      } else {
        Poll();
      }
    });
}

void
keyed_follower::ApplyEntries(const read_result& aResult)
{
  for (const log_entry& entry : aResult.entries) {
    if (entry.offset >= mNext) {
      Apply(entry);
      mNext = entry.offset + 1;
    }
  }
  if (mNext >= aResult.end) {
    mObserver.OnCaughtUp();
  }
}

void
keyed_follower::ReadNow()
{
  if (!mListed) {
    return;
  }
  mLog.Read(
    mPartition,
    mNext,
    0,
    [this, alive = std::weak_ptr<bool>(mAlive)](const read_result& aResult) {
      if (!alive.expired() && aResult.status == read_status::Done) {
        ApplyEntries(aResult);
      }
    });
}

void
keyed_follower::Apply(const log_entry& aEntry)
{
  const auto& [key, value] = aEntry.record;
  const auto known = mOffsets.find(key);
  if (known != mOffsets.end() && aEntry.offset <= known->second) {
    return;
  }
  if (value.empty()) {
    mOffsets.erase(key);
  } else {
    mOffsets[key] = aEntry.offset;
  }
  try {
    mObserver.OnRecord(key, value.empty() ? nullptr : &value, aEntry.offset);
  } catch (const std::exception& error) {
    // Later records are still read; this one is as good as missing.
    Log(log_level::Error,
        "record_failed",
        { { "topic", mPartition.topic },
          { "key", key },
          { "offset", std::to_string(aEntry.offset) },
          { "error", error.what() } });
  }
}

} // namespace arbutusferry::node
