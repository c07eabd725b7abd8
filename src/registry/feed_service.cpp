#include "registry/feed_service.hpp"

#include <algorithm>
#include <utility>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Changes of this time go out together. Ten answers a second to each of 100
/// followers at most.
constexpr milliseconds kGatherTime{ 100 };
/// Longest wait that a follower can ask for.
constexpr milliseconds kMaxWait{ 1'000 };
/// Waiting polls are looked at this often.
constexpr milliseconds kDeadlineTick{ 20 };

} // namespace

void
feed_service::Serve(const http_request& aRequest,
                    const std::shared_ptr<responder>& aResponder)
{
  const auto request = ReadFeedRequest(aRequest);
  if (!request) {
    http_response malformed;
    malformed.status = 400;
    aResponder->Send(std::move(malformed));
    return;
  }
  const view seen = mParts.look();
  if (!seen.changes || mWaiting.size() >= kMaxWaiting) {
    aResponder->Send(MakeFeedRefusal(seen.starting));
    return;
  }
  if (request->wait.count() == 0 || seen.changes->Has(request->cursor)) {
    Answer(seen, request->cursor, *aResponder);
    return;
  }
  mWaiting.push_back({ aResponder,
                       request->cursor,
                       mParts.loop.Now() + std::min(request->wait, kMaxWait) });
  ArmDeadline();
}

void
feed_service::NoteChange()
{
  if (!mWaiting.empty() && !mChangeTimer) {
    mChangeTimer = mParts.loop.After(kGatherTime, [this] {
      mChangeTimer.reset();
      Flush();
    });
  }
}

void
feed_service::ArmDeadline()
{
  if (!mWaiting.empty() && !mDeadlineTimer) {
    mDeadlineTimer = mParts.loop.After(kDeadlineTick, [this] {
      mDeadlineTimer.reset();
      Flush();
    });
  }
}

void
feed_service::Flush()
{
  const time_point now = mParts.loop.Now();
  const view seen = mParts.look();
  const bool gathered = !mChangeTimer;
  std::list<waiting_poll> due;
  for (auto poll = mWaiting.begin(); poll != mWaiting.end();) {
    const auto next = std::next(poll);
    if (poll->out->Closed()) {
      mWaiting.erase(poll);
    } else if (!seen.changes || poll->deadline <= now ||
               (gathered && seen.changes->Has(poll->cursor))) {
      due.splice(due.end(), mWaiting, poll);
    }
    poll = next;
  }
  for (const waiting_poll& poll : due) {
    if (seen.changes) {
      Answer(seen, poll.cursor, *poll.out);
    } else {
      poll.out->Send(MakeFeedRefusal(seen.starting));
    }
  }
  ArmDeadline();
}

void
feed_service::Answer(const view& aView,
                     const feed_cursor& aCursor,
                     responder& aResponder)
{
  change_page page = aView.changes->After(aCursor);
  aResponder.Send(MakeFeedResponse(
    { page.next, aView.next, aView.age, page.snapshot, page.more },
    std::move(page.text)));
}

} // namespace arbutusferry::node
