#include "registry/source_choice.hpp"

#include "arbutusferry/hash.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Backoff after a reader failed; doubles with each further failure.
constexpr milliseconds kInitialBackoff{ 2'000 };
constexpr milliseconds kMaxBackoff{ 30'000 };
constexpr int kMaxDoublings = 4;
/// A neighbor with an old build is asked again after this time: rollouts take
/// minutes.
constexpr milliseconds kUnsupportedBackoff{ 60'000 };
/// The same after a neighbor said that it doesn't read the store: it may begin
/// to at any time.
constexpr milliseconds kNotServingBackoff{ 1'000 };
/// A node that reads in place of a failed one asks that again only after this
/// time, since its followers lose it for as long; up to twice that, drawn.
constexpr milliseconds kReaderPatience{ 60'000 };
/// Failures in a row after which the fallback is armed: of the reader and of
/// its standby.
constexpr int kFailuresToFallback = 2;
/// Followers that lose both readers return to the store within this time. With
/// 0.5 s for each of the two to be noticed that is 2 s, so that a draining
/// target is known within 3 s.
constexpr milliseconds kFallbackSpread{ 1'000 };
/// A reader that starts has this time for its listing of the store.
constexpr milliseconds kStartingPatience{ 3'000 };
/// Shortest stay at the store after a fallback; up to twice that, drawn.
constexpr milliseconds kStoreStay{ 8'000 };
/// After an outage of the store, its readers have this time to read again
/// before followers take an old view for the reader's own fault: the longest
/// delay between tries is 0.8 s.
constexpr milliseconds kStoreSettle{ 1'200 };
/// A node that takes over from failed readers has this time to notice that they
/// failed, 0.5 s at most, and to read the store. Otherwise its followers would
/// give up one successor after the other at the pace of their questions.
constexpr milliseconds kTakeoverGrace{ 600 };
/// A store that is silent shows in a node's own reads, which wait for 1.8 s at
/// most, later than in the age of its reader's view (1.5 s).
constexpr milliseconds kSilentStoreDelay{ 500 };
/// A reader that was a read behind has caught up by then.
constexpr milliseconds kBehindGrace{ 1'000 };

} // namespace

source_choice::source_choice(zone_neighbor aSelf,
                             std::string aZone,
                             std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mKey("registry/" + std::move(aZone))
  , mRandom(aSeed)
{
}

duration
source_choice::Draw(duration aLongest)
{
  return duration(
    std::uniform_int_distribution<duration::rep>(0, aLongest.count())(mRandom));
}

bool
source_choice::TakingOver(time_point aNow) const
{
  return mFailuresInRow > 0 && aNow - mFollowedSince < kTakeoverGrace;
}

bool
source_choice::StoreSettled(time_point aNow) const
{
  return mStoreReachableSince && aNow - *mStoreReachableSince >= kStoreSettle;
}

void
source_choice::ArmFallback(duration aDelay, time_point aNow)
{
  if (!mFallbackAt) {
    mFallbackAt = aNow + aDelay + Draw(kFallbackSpread);
  }
}

std::optional<zone_neighbor>
source_choice::Choose(const inputs& aInputs, time_point aNow)
{
  if (aInputs.storeReachable) {
    mStoreReachableSince = mStoreReachableSince.value_or(aNow);
    mStoreLostSince.reset();
  } else {
    mStoreReachableSince.reset();
    mStoreLostSince = mStoreLostSince.value_or(aNow);
  }
  // A reader that has lost the store for as long as its followers accept an old
  // view follows another node itself.
  const bool usesStore =
    !mStoreLostSince || aNow - *mStoreLostSince < kMaxViewAge;
  if (!aInputs.enabled || aInputs.neighbors.empty()) {
    mReason = aInputs.enabled ? source_reason::Alone : source_reason::Small;
    mFallbackAt.reset();
    mFallbackUntil.reset();
    mFollowedVm.clear();
    mNeighbors.clear();
    mFailuresInRow = 0;
    return std::nullopt;
  }
  const bool reads =
    mReason == source_reason::Reader || mReason == source_reason::Standby;
  using rank = std::tuple<double, std::uint64_t, const zone_neighbor*>;
  std::vector<rank> ranked;
  ranked.reserve(aInputs.neighbors.size() + 1);
  const auto add = [&](const zone_neighbor& aNode) {
    ranked.emplace_back(
      aNode.cpuShare, RendezvousWeight(mKey, aNode.vm), &aNode);
  };
  if (usesStore) {
    add(mSelf);
  }
  for (const zone_neighbor& neighbor : aInputs.neighbors) {
    const auto state = mNeighbors.find(neighbor.vm);
    if (state == mNeighbors.end() ||
        (reads ? state->second.readerAvoidUntil : state->second.avoidUntil) <=
          aNow) {
      add(neighbor);
    }
  }
  if (ranked.empty()) {
    mReason = source_reason::Alone;
    return std::nullopt;
  }
  const std::size_t readers = std::min(ranked.size(), kReaders);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(readers),
                    ranked.end(),
                    std::greater<>());
  for (std::size_t at = 0; at < readers; ++at) {
    if (std::get<const zone_neighbor*>(ranked[at]) == &mSelf) {
      mReason = at == 0 ? source_reason::Reader : source_reason::Standby;
      mFallbackAt.reset();
      mFallbackUntil.reset();
      mFollowedVm.clear();
      mWasReader = true;
      return std::nullopt;
    }
  }
  if (mFallbackAt && *mFallbackAt <= aNow && StoreSettled(aNow)) {
    mFallbackAt.reset();
    mFallbackUntil = aNow + kStoreStay + Draw(kStoreStay);
  }
  if (mFallbackUntil && *mFallbackUntil > aNow) {
    mReason = source_reason::Fallback;
    return std::nullopt;
  }
  if (mFallbackUntil) {
    mFallbackUntil.reset();
    mFailuresInRow = 0;
  }
  mReason = source_reason::Follower;
  if (const std::string& vm =
        std::get<const zone_neighbor*>(ranked.front())->vm;
      vm != mFollowedVm) {
    mFollowedVm = vm;
    mFollowedSince = aNow;
  }
  return *std::get<const zone_neighbor*>(ranked.front());
}

std::optional<feed_failure>
source_choice::NoteAnswer(const std::string& aVm,
                          duration aAge,
                          bool aBehind,
                          time_point aNow)
{
  if (aBehind && !mBehindSince) {
    mBehindSince = aNow;
  } else if (!aBehind) {
    mBehindSince.reset();
  }
  std::optional<feed_failure> failure;
  if (aAge > kMaxViewAge) {
    failure = feed_failure::Stale;
  } else if (mBehindSince && aNow - *mBehindSince >= kBehindGrace) {
    failure = feed_failure::Behind;
  }
  if (!failure) {
    mNeighbors.erase(aVm);
    mWasReader = mWasReader && !StoreSettled(aNow);
    mFailuresInRow = 0;
    mFallbackAt.reset();
    return std::nullopt;
  }
  if (!StoreSettled(aNow) || TakingOver(aNow)) {
    // The store is or was away, or the reader has just begun: no source is
    // better.
    return std::nullopt;
  }
  NoteFailure(aVm, *failure, aNow);
  return failure;
}

void
source_choice::NoteFailure(const std::string& aVm,
                           feed_failure aFailure,
                           time_point aNow)
{
  mBehindSince.reset();
  if (aFailure == feed_failure::Starting) {
    ArmFallback(kStartingPatience, aNow);
    return;
  }
  if (aFailure == feed_failure::NotServing &&
      ((!StoreSettled(aNow) && !mWasReader) || TakingOver(aNow))) {
    // The zone's readers have lost the store too and will be the first to read
    // it again, or the next reader hasn't noticed yet that it is one. Only a
    // reader looks for another node that still reads.
    return;
  }
  neighbor_state& state = mNeighbors[aVm];
  if (aFailure == feed_failure::Unsupported) {
    state.avoidUntil = aNow + kUnsupportedBackoff;
  } else {
    const milliseconds first = aFailure == feed_failure::NotServing
                                 ? kNotServingBackoff
                                 : kInitialBackoff;
    const duration backoff = std::min(
      kMaxBackoff, first * (1 << std::min(state.failures, kMaxDoublings)));
    // Drawn, so that the zone's nodes don't all try it at one time.
    state.avoidUntil = aNow + backoff + Draw(backoff);
    ++state.failures;
  }
  state.readerAvoidUntil =
    std::max(state.avoidUntil, aNow + kReaderPatience + Draw(kReaderPatience));
  if (++mFailuresInRow >= kFailuresToFallback) {
    ArmFallback(aFailure == feed_failure::Stale ? kSilentStoreDelay
                                                : milliseconds(0),
                aNow);
  }
}

} // namespace arbutusferry::node
