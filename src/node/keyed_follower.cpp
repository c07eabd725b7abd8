#include "arbutusferry/node/keyed_follower.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace arbutusferry::node {

namespace {

constexpr std::chrono::milliseconds kPromptRetryDelay{ 300 };
/// Records that are applied before other events of the process get their turn.
/// A record of the registry takes 15 to 150 us, by the machine's CPU share, so
/// that the newest environment waits for 10 ms at most.
constexpr std::size_t kPortionRecords = 64;

} // namespace

void
keyed_follower::KeepNewest(std::vector<log_entry>& aEntries)
{
  std::unordered_set<std::string_view> seen;
  std::vector<bool> newest(aEntries.size());
  for (std::size_t at = aEntries.size(); at-- > 0;) {
    newest[at] = seen.insert(aEntries[at].record.key).second;
  }
  std::vector<log_entry> kept;
  kept.reserve(seen.size());
  for (std::size_t at = 0; at < aEntries.size(); ++at) {
    if (newest[at]) {
      kept.push_back(std::move(aEntries[at]));
    }
  }
  std::stable_partition(
    kept.begin(), kept.end(), [this](const log_entry& aEntry) {
      return aEntry.record.value.empty() || mObserver.IsUrgent(aEntry.record);
    });
  aEntries = std::move(kept);
}

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
  mPaused = false;
  Relist();
}

void
keyed_follower::Relist()
{
  mListedKeys.clear();
  mListAfter.clear();
  List();
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
keyed_follower::List()
{
  mLog.Newest(
    mPartition,
    mListAfter,
    [this, alive = std::weak_ptr<bool>(mCalls)](const newest_result& aResult) {
      if (!alive.expired()) {
        OnPage(aResult);
      }
    });
}

void
keyed_follower::OnPage(const newest_result& aResult)
{
  SetDisconnected(!aResult.done);
  if (!aResult.done) {
    // The pages that were read stay valid. Reading them again would keep a
    // store that is at its limit from ever completing a long listing.
    Schedule(mRetryDelay.Next(), &keyed_follower::List);
    return;
  }
  if (mListAfter.empty()) {
    mListEnd = aResult.end;
  } else if (aResult.end < mListEnd) {
    // An older state than that of the first page may lack keys.
    Schedule(mRetryDelay.Next(), &keyed_follower::Relist);
    return;
  }
  std::string last;
  for (const log_entry& entry : aResult.entries) {
    mListedKeys.insert(entry.record.key);
    last = entry.record.key;
  }
  const bool more = aResult.more && !last.empty();
  mPortion = aResult.entries;
  mInOrder = false;
  ApplyPortion(0, [this, more, last] {
    if (more) {
      mListAfter = last;
      List();
    } else {
      FinishListing();
    }
  });
}

void
keyed_follower::FinishListing()
{
  if (mListEnd < mNext) {
    // The store returned a state older than what was read before.
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
  mListedKeys.clear();
  mNext = mListEnd;
  mListed = true;
  mObserver.OnCaughtUp();
  Poll();
}

void
keyed_follower::ApplyPortion(std::size_t aFrom, std::function<void()> aDone)
{
  const std::size_t end = std::min(aFrom + kPortionRecords, mPortion.size());
  for (std::size_t at = aFrom; at < end; ++at) {
    const log_entry& entry = mPortion[at];
    if (mInOrder && entry.offset < mNext) {
      continue; // `ReadNow` has delivered it meanwhile.
    }
    Apply(entry);
    if (mInOrder) {
      mNext = entry.offset + 1;
    }
  }
  if (end == mPortion.size()) {
    mPortion.clear();
    aDone();
    return;
  }
  mTimer = mLoop.After(duration::zero(), [this, end, done = std::move(aDone)] {
    ApplyPortion(end, done);
  });
}

void
keyed_follower::Poll()
{
  mLog.Read(
    mPartition,
    mNext,
    mTiming.pollWait.count(),
    [this, alive = std::weak_ptr<bool>(mCalls)](const read_result& aResult) {
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
      OnRead(aResult);
    });
}

void
keyed_follower::OnRead(const read_result& aResult)
{
  mPortion.clear();
  std::uint64_t next = mNext;
  for (const log_entry& entry : aResult.entries) {
    if (entry.offset >= mNext) {
      mPortion.push_back(entry);
      next = std::max(next, entry.offset + 1);
    }
  }
  mInOrder = !mTiming.newestOnly;
  if (mTiming.newestOnly) {
    KeepNewest(mPortion);
  }
  const bool any = !aResult.entries.empty();
  ApplyPortion(0, [this, next, any, end = aResult.end] {
    mNext = std::max(mNext, next);
    if (mNext >= end) {
      mObserver.OnCaughtUp();
    }
    if (any && mTiming.batchDelay.count() > 0) {
      Schedule(mTiming.batchDelay, &keyed_follower::Poll);
    } else {
      Poll();
    }
  });
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
    [this, alive = std::weak_ptr<bool>(mCalls)](const read_result& aResult) {
      if (alive.expired() || aResult.status != read_status::Done) {
        return;
      }
      for (const log_entry& entry : aResult.entries) {
        if (entry.offset >= mNext) {
          Apply(entry);
          mNext = entry.offset + 1;
        }
      }
      if (mNext >= aResult.end) {
        mObserver.OnCaughtUp();
      }
    });
}

void
keyed_follower::Pause()
{
  mCalls = std::make_shared<bool>(true);
  mTimer.reset();
  mPortion.clear();
  mPaused = true;
}

void
keyed_follower::Resume(std::uint64_t aNext,
                       std::map<std::string, std::uint64_t> aOffsets)
{
  Pause();
  mPaused = false;
  mOffsets = std::move(aOffsets);
  mNext = std::max(mNext, aNext);
  if (mNext == 0) {
    Relist();
    return;
  }
  mListed = true;
  Poll();
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
