#include "registry/target_registry.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Interval of choices beside those that follow from a failure.
constexpr milliseconds kTick{ 100 };
/// Interval of looks whether the first choice can be made.
constexpr milliseconds kStartTick{ 10 };
/// Longest time for which the first read of targets waits for the addresses of
/// nodes after the operator's records.
constexpr milliseconds kStartWait{ 500 };

} // namespace

target_registry::target_registry(parts aParts,
                                 const zone_neighbor& aSelf,
                                 std::string aZone,
                                 std::string aInstance)
  : mParts(std::move(aParts))
  , mZone(std::move(aZone))
  , mInstance(std::move(aInstance))
  , mChoice(aSelf, mZone, Hash64(mInstance))
  , mFeed(
      { mParts.loop,
        mParts.client,
        mFeedSink,
        [this](const std::string& aVm, const feed_head& aHead, bool aBehind) {
          const time_point now = mParts.loop.Now();
          mParts.metrics.Count(
            "ferry_registry_answers_total",
            { { "page", aHead.snapshot ? "snapshot" : "changes" } });
          if (!aHead.more && !aBehind) {
            NoteComplete(aHead.next, now - aHead.age);
          }
          const auto failure = mChoice.NoteAnswer(aVm, aHead.age, aBehind, now);
          if (failure) {
            LogFailure(aVm, *failure, aHead.age);
            Choose();
          }
        },
        [this](const std::string& aVm, feed_failure aFailure) {
          mParts.metrics.Count(
            "ferry_registry_failures_total",
            { { "reason", std::string(EnumName(aFailure)) } });
          LogFailure(aVm, aFailure, duration::zero());
          mChoice.NoteFailure(aVm, aFailure, mParts.loop.Now());
          Choose();
        } })
  , mService({ mParts.loop, [this] { return Look(); } })
{
}

void
target_registry::Start(keyed_follower& aFollower)
{
  mFollower = &aFollower;
  if (mParts.size().storeReadMegabytes <= 0.0) {
    // Without the store's rate there are never zone readers.
    ReadStore();
    return;
  }
  Step();
}

bool
target_registry::MayStart()
{
  if (!mParts.operatorRead()) {
    // The store is away or just starts to answer. If all nodes began to list
    // the targets now, they would do so before they know of zone readers.
    return false;
  }
  mStartBy = mStartBy.value_or(mParts.loop.Now() + kStartWait);
  return mParts.nodesRead() || mParts.loop.Now() >= *mStartBy;
}

void
target_registry::Step()
{
  const bool waits = !mStarted && !MayStart();
  mTicker = mParts.loop.After(waits ? kStartTick : kTick, [this] { Step(); });
  if (waits) {
    return;
  }
  UpdateEnabled();
  Choose();
  if (!mEnabled) {
    return;
  }
  mParts.metrics.SetGauge(
    "ferry_registry_reads_store", {}, ReadsStore() ? 1.0 : 0.0);
  mParts.metrics.SetGauge("ferry_registry_followers_waiting",
                          {},
                          static_cast<double>(mService.Waiting()));
  if (mComplete) {
    mParts.metrics.SetGauge(
      "ferry_registry_view_age_seconds",
      {},
      static_cast<double>(ToMilliseconds(mParts.loop.Now() - mViewAt)) / 1e3);
  }
}

void
target_registry::UpdateEnabled()
{
  if (mEnabled && !mComplete) {
    return; // The targets that have arrived so far say nothing of the size.
  }
  const registry_size size = mParts.size();
  const bool enabled = NeedsZoneReaders(size, mEnabled);
  if (enabled == mEnabled) {
    return;
  }
  mEnabled = enabled;
  Log(
    log_level::Info,
    enabled ? "registry_zone_readers_on" : "registry_zone_readers_off",
    { { "nodes", std::to_string(size.nodes) },
      { "targets", std::to_string(size.targets) },
      { "bytes_per_s",
        std::to_string(static_cast<std::int64_t>(RegistryReadRate(size))) } });
  mChanges.reset();
  if (!enabled) {
    return;
  }
  mChanges = std::make_unique<target_changes>(mInstance + ":" +
                                              std::to_string(++mEnabledCount));
  const auto& offsets = mFeed.Active() ? mFeed.Offsets() : mFollower->Offsets();
  for (const target_entry& target : mParts.targets()) {
    if (const auto known = offsets.find(target.id); known != offsets.end()) {
      mChanges->Update(target, known->second, false);
    }
  }
  if (mComplete) {
    mChanges->SetHistoryFrom(mFeed.Active() ? mFeed.NextOffset()
                                            : mFollower->NextOffset());
  }
}

void
target_registry::Choose()
{
  source_choice::inputs inputs;
  inputs.enabled = mEnabled;
  inputs.storeReachable = mParts.storeReachable();
  if (mEnabled) {
    for (const node_entry& node : mParts.nodes.InZone(mZone)) {
      inputs.neighbors.push_back({ node.vm, node.address, node.cpuShare });
    }
  }
  const auto reader = mChoice.Choose(inputs, mParts.loop.Now());
  if (reader) {
    FollowNeighbor(*reader);
  } else {
    ReadStore();
  }
  const source_reason reason = mChoice.Reason();
  if (mEnabled &&
      (mLoggedSource != reason || mLoggedReader != mFeed.Reader())) {
    Log(log_level::Info,
        "registry_source",
        { { "source", std::string(EnumName(reason)) },
          { "reader", mFeed.Reader() },
          { "offset",
            std::to_string(mFeed.Active() ? mFeed.NextOffset()
                                          : mFollower->NextOffset()) } });
    if (reason == source_reason::Fallback) {
      mParts.metrics.Count("ferry_registry_fallbacks_total", {});
    }
  }
  if (mLoggedReader != mFeed.Reader()) {
    mLoggedFailure = {};
  }
  mLoggedSource = reason;
  mLoggedReader = mFeed.Reader();
}

void
target_registry::LogFailure(const std::string& aVm,
                            feed_failure aFailure,
                            duration aAge)
{
  // A node that isn't ready is asked several times a second.
  if (mLoggedFailure == std::pair(aVm, aFailure)) {
    return;
  }
  mLoggedFailure = { aVm, aFailure };
  Log(log_level::Warning,
      "registry_feed_failed",
      { { "reader", aVm },
        { "reason", std::string(EnumName(aFailure)) },
        { "age_ms", std::to_string(ToMilliseconds(aAge)) },
        { "known", std::to_string(mFeed.NextOffset()) } });
}

void
target_registry::ReadStore()
{
  if (mFeed.Active()) {
    const std::uint64_t next = mFeed.NextOffset();
    auto offsets = mFeed.Offsets();
    mFeed.Stop();
    mFollower->Resume(next, std::move(offsets));
  } else if (!mStarted) {
    mFollower->Start();
  }
  mStarted = true;
}

void
target_registry::FollowNeighbor(const zone_neighbor& aReader)
{
  if (!mFeed.Active()) {
    mFollower->Pause();
    mFeed.SetKnown(mFollower->InitialReadDone() ? mFollower->NextOffset() : 0,
                   mFollower->Offsets());
  }
  mStarted = true;
  mFeed.Follow(aReader);
}

feed_service::view
target_registry::Look() const
{
  const bool serves = mChanges && ReadsStore();
  return { serves && mComplete ? mChanges.get() : nullptr,
           serves && !mComplete,
           mFollower ? mFollower->NextOffset() : 0,
           std::chrono::ceil<milliseconds>(mParts.loop.Now() - mViewAt) };
}

void
target_registry::Deliver(const target_entry& aTarget, std::uint64_t aOffset)
{
  if (mChanges) {
    const std::uint64_t before = mChanges->Sequence();
    mChanges->Update(aTarget, aOffset, mParts.repeatWanted(aTarget.id));
    if (mChanges->Sequence() != before) {
      mService.NoteChange();
    }
  }
  mParts.node.UpdateTarget(aTarget, aOffset);
}

void
target_registry::DeliverRemoval(const std::string& aId, std::uint64_t aOffset)
{
  if (mChanges) {
    mChanges->Remove(aId, aOffset);
    mService.NoteChange();
  }
  mParts.node.RemoveTarget(aId, aOffset);
}

void
target_registry::NoteComplete(std::uint64_t aNext, time_point aViewAt)
{
  mViewAt = std::max(mViewAt, aViewAt);
  if (!mComplete) {
    mComplete = true;
    if (mChanges) {
      mChanges->SetHistoryFrom(aNext);
    }
  }
}

void
target_registry::UpdateTarget(const target_entry& aTarget,
                              std::uint64_t aOffset)
{
  Deliver(aTarget, aOffset);
}

void
target_registry::RemoveTarget(const std::string& aId, std::uint64_t aOffset)
{
  DeliverRemoval(aId, aOffset);
}

void
target_registry::NoteTargetsRead(duration aAge)
{
  if (mFollower) {
    NoteComplete(mFollower->NextOffset(), mParts.loop.Now() - aAge);
  }
  mParts.node.NoteTargetsRead(aAge);
}

void
target_registry::feed_sink::UpdateTarget(const target_entry& aTarget,
                                         std::uint64_t aOffset)
{
  mOwner.Deliver(aTarget, aOffset);
}

void
target_registry::feed_sink::RemoveTarget(const std::string& aId,
                                         std::uint64_t aOffset)
{
  mOwner.DeliverRemoval(aId, aOffset);
}

void
target_registry::feed_sink::NoteTargetsRead(duration aAge)
{
  mOwner.mParts.node.NoteTargetsRead(aAge);
}

} // namespace arbutusferry::node
