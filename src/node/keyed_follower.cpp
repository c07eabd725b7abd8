#include "arbutusferry/node/keyed_follower.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

keyed_follower::keyed_follower(event_loop& aLoop,
                               record_log& aLog,
                               log_partition aWhere,
                               timing aTiming,
                               record_observer& aObserver)
  : mLoop(aLoop)
  , mLog(aLog)
  , mWhere(std::move(aWhere))
  , mTiming(aTiming)
  , mObserver(aObserver)
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
  mSeen.clear();
  List({});
}

void
keyed_follower::Later(duration aDelay, void (keyed_follower::*aStep)())
{
  mTimer = mLoop.After(aDelay, [this, aStep] { (this->*aStep)(); });
}

void
keyed_follower::SetLost(bool aLost)
{
  if (!aLost) {
    mLastContact = mLoop.Now();
  }
  if (aLost != mLost) {
    mLost = aLost;
    Log(aLost ? log_level::Warning : log_level::Info,
        aLost ? "store_lost" : "store_regained",
        { { "topic", mWhere.topic }, { "offset", std::to_string(mNext) } });
    if (!aLost) {
      mObserver.OnRegained();
    }
  }
}

void
keyed_follower::List(const std::string& aAfter)
{
  mLog.Newest(mWhere,
              aAfter,
              [this, aAfter, alive = std::weak_ptr<bool>(mAlive)](
                const newest_result& aResult) {
                if (alive.expired()) {
                  return;
                }
                SetLost(!aResult.done);
                if (!aResult.done) {
                  Later(mTiming.retry, &keyed_follower::Relist);
                  return;
                }
                if (aAfter.empty()) {
                  mListEnd = aResult.end;
                }
                std::string last;
                for (const log_entry& entry : aResult.entries) {
                  mSeen.insert(entry.record.key);
                  Apply(entry);
                  last = entry.record.key;
                }
                if (aResult.more && !last.empty()) {
                  List(last);
                  return;
                }
                if (mListEnd < mNext) {
                  // The store answered with a state older than what was read
                  // before.
                  Later(mTiming.retry, &keyed_follower::Relist);
                  return;
                }
                // Keys that are no longer there were dropped before the
                // listing's end.
                const auto offsets = mOffsets;
                for (const auto& [key, offset] : offsets) {
                  if (!mSeen.contains(key) && offset < mListEnd) {
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
    mWhere,
    mNext,
    mTiming.poll.count(),
    [this, alive = std::weak_ptr<bool>(mAlive)](const read_result& aResult) {
      if (alive.expired()) {
        return;
      }
      SetLost(aResult.status == read_status::Failed);
      if (aResult.status == read_status::Failed) {
        Later(mTiming.retry, &keyed_follower::Poll);
        return;
      }
      if (aResult.status == read_status::Truncated) {
        Log(log_level::Warning,
            "history_dropped",
            { { "topic", mWhere.topic }, { "offset", std::to_string(mNext) } });
        Relist();
        return;
      }
      Take(aResult);
      if (!aResult.entries.empty() && mTiming.gather.count() > 0) {
        Later(mTiming.gather, &keyed_follower::Poll);
      } else {
        Poll();
      }
    });
}

void
keyed_follower::Take(const read_result& aResult)
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
    mWhere,
    mNext,
    0,
    [this, alive = std::weak_ptr<bool>(mAlive)](const read_result& aResult) {
      if (!alive.expired() && aResult.status == read_status::Done) {
        Take(aResult);
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
    mObserver.OnRecord(key, nullptr, aEntry.offset);
  } else {
    mOffsets[key] = aEntry.offset;
    mObserver.OnRecord(key, &value, aEntry.offset);
  }
}

} // namespace arbutusferry::node
