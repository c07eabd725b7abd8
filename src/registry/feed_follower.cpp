#include "registry/feed_follower.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Longest wait for a change, and time limit of a poll: a reader that is silent
/// for this long is replaced.
constexpr milliseconds kPollWait{ 300 };
constexpr milliseconds kPollTimeout{ 500 };
constexpr milliseconds kConnectTimeout{ 300 };
/// Delay after a failure. What is followed then is decided anew.
constexpr milliseconds kRetryDelay{ 100 };
/// Delay after a node said that it doesn't serve the feed, or not yet: 100
/// followers ask it 400 times a second.
constexpr milliseconds kRefusedDelay{ 250 };

} // namespace

void
feed_follower::SetKnown(std::uint64_t aNext,
                        std::map<std::string, std::uint64_t> aOffsets)
{
  mNext = std::max(mNext, aNext);
  mOffsets = std::move(aOffsets);
}

void
feed_follower::Follow(const zone_neighbor& aReader)
{
  if (mReader && mReader->vm == aReader.vm &&
      mReader->address == aReader.address) {
    return;
  }
  Stop();
  mReader = aReader;
  Poll();
}

void
feed_follower::Stop()
{
  mCalls.reset();
  mTimer.reset();
  if (const auto exchange = std::exchange(mExchange, nullptr)) {
    exchange->Cancel();
  }
  mReader.reset();
  mCursor = {};
  mSnapshotIds.reset();
  mFresh = false;
}

void
feed_follower::Poll()
{
  mCursor.known = mNext;
  const feed_request request{ mCursor, kPollWait };
  exchange_options options;
  options.connectTimeout = kConnectTimeout;
  options.readTimeout = kPollTimeout;
  options.madeAtOnce = true;
  mCalls = std::make_shared<bool>(true);
  http_request message = MakeFeedRequest(request);
  message.headers.Add("Host", FormatAddress(mReader->address));
  mExchange =
    mParts.client.Send(mReader->address,
                       std::move(message),
                       options,
                       std::make_shared<response_collector>(
                         [this, alive = std::weak_ptr<bool>(mCalls)](
                           const http_response* aResponse, exchange_failure) {
                           if (!alive.expired()) {
                             mExchange.reset();
                             OnResponse(aResponse);
                           }
                         }));
}

void
feed_follower::OnResponse(const http_response* aResponse)
{
  if (!aResponse) {
    Fail(feed_failure::Unreachable);
    return;
  }
  if (aResponse->status == 503) {
    Fail(IsStartingRefusal(aResponse->headers) ? feed_failure::Starting
                                               : feed_failure::NotServing);
    return;
  }
  const auto head =
    aResponse->status == 200 ? ReadFeedHead(aResponse->headers) : std::nullopt;
  const auto changes = head ? DecodeChanges(aResponse->body) : std::nullopt;
  if (!changes) {
    Log(log_level::Warning,
        "registry_feed_unreadable",
        { { "reader", mReader->vm },
          { "status", std::to_string(aResponse->status) } });
    Fail(feed_failure::Unsupported);
    return;
  }
  Apply(*head, *changes);
}

void
feed_follower::Apply(const feed_head& aHead,
                     const std::vector<target_change>& aChanges)
{
  if (aHead.snapshot) {
    mSnapshotIds.emplace();
    mSnapshotNext = aHead.next;
  }
  for (const target_change& change : aChanges) {
    if (mSnapshotIds && change.entry) {
      mSnapshotIds->insert(change.id);
    }
    const auto known = mOffsets.find(change.id);
    if (known != mOffsets.end() ? change.offset < known->second
                                : !change.entry || change.offset < mNext) {
      continue; // This node knows something newer, such as a removal.
    }
    if (change.entry) {
      mOffsets[change.id] = change.offset;
      mParts.sink.UpdateTarget(*change.entry, change.offset);
    } else {
      mOffsets.erase(known);
      mParts.sink.RemoveTarget(change.id, change.offset);
    }
  }
  mCursor = aHead.cursor;
  const bool behind = aHead.next < mNext;
  if (!aHead.more) {
    FinishSnapshot();
    mNext = std::max(mNext, aHead.next);
    mFresh = !behind && aHead.age <= source_choice::kMaxViewAge;
    if (!behind) {
      mViewAt = std::max(mViewAt, mParts.loop.Now() - aHead.age);
      if (mFresh) {
        mParts.sink.NoteTargetsRead(aHead.age);
      }
    }
  }
  const auto alive = std::weak_ptr<bool>(mCalls);
  const std::string vm = mReader->vm; // The call may change the reader.
  mParts.onAnswer(vm, aHead, behind);
  if (!alive.expired()) {
    Poll();
  }
}

void
feed_follower::FinishSnapshot()
{
  if (!mSnapshotIds) {
    return;
  }
  // Targets that the snapshot lacks were removed before its first page.
  const auto offsets = mOffsets;
  for (const auto& [id, offset] : offsets) {
    if (!mSnapshotIds->contains(id) && offset < mSnapshotNext) {
      mOffsets.erase(id);
      mParts.sink.RemoveTarget(id, mSnapshotNext);
    }
  }
  mSnapshotIds.reset();
}

void
feed_follower::Fail(feed_failure aFailure)
{
  mFresh = false;
  const auto alive = std::weak_ptr<bool>(mCalls);
  const std::string vm = mReader->vm; // The call may change the reader.
  mParts.onFailure(vm, aFailure);
  if (!alive.expired()) {
    const bool refused = aFailure == feed_failure::Starting ||
                         aFailure == feed_failure::NotServing;
    mTimer = mParts.loop.After(refused ? kRefusedDelay : kRetryDelay,
                               [this] { Poll(); });
  }
}

} // namespace arbutusferry::node
