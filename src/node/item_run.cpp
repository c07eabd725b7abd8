#include "arbutusferry/node/item_run.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

std::string_view
RunEndName(run_end aEnd) noexcept
{
  switch (aEnd) {
    case run_end::Complete:
      return "complete";
    case run_end::Full:
      return "full";
    case run_end::Misplaced:
      return "misplaced";
    case run_end::Broken:
      return "broken";
    case run_end::Failed:
      return "failed";
    case run_end::Impossible:
      return "impossible";
    case run_end::RelayLost:
      break;
  }
  return "relay_lost";
}

item_run::item_run(run_owner& aObserver,
                   event_loop& aLoop,
                   const target_protocol& aProtocol,
                   std::string aBatch,
                   std::size_t aIndex,
                   std::string aSampler,
                   item_call aCall)
  : mObserver(&aObserver)
  , mLoop(aLoop)
  , mProtocol(aProtocol)
  , mBatch(std::move(aBatch))
  , mIndex(aIndex)
  , mSampler(std::move(aSampler))
  , mCall(std::move(aCall))
  , mNextEvent(mCall.resumeAfter + 1)
  , mKnownEvents(mCall.resumeAfter)
{
  mTiming.started = mTiming.lastEvent = aLoop.Now();
}

void
item_run::Start(http_client& aClient, const target_entry& aTarget)
{
  Send(aClient, aTarget.address, mProtocol.MakeItemRequest(mCall, aTarget));
}

void
item_run::StartThrough(http_client& aClient,
                       run_place aPlace,
                       std::uint64_t aFence,
                       std::optional<std::int64_t> aSentAt,
                       const target_entry& aTarget)
{
  mPlace = std::move(aPlace);
  Send(aClient,
       mPlace->relay,
       MakeRelayedRun(mPlace->run,
                      aFence,
                      aSentAt,
                      aTarget.address,
                      mProtocol.MakeItemRequest(mCall, aTarget)));
}

void
item_run::Attach(http_client& aClient,
                 run_place aPlace,
                 std::uint64_t aFence,
                 std::size_t aKnownEvents)
{
  mPlace = std::move(aPlace);
  mKnownEvents = aKnownEvents;
  Send(aClient, mPlace->relay, MakeRelayedAttach(mPlace->run, aFence));
}

void
item_run::Send(http_client& aClient,
               const socket_address& aPeer,
               http_request aRequest)
{
  exchange_options options;
  options.connect = kRunConnectTimeout;
  options.silence = kRunIdleTimeout;
  if (!mPlace) {
    options.echoHeader = mProtocol.EchoHeader();
  }
  mClient = &aClient;
  mExchange =
    aClient.Send(aPeer, std::move(aRequest), options, shared_from_this());
}

void
item_run::Cancel()
{
  const bool running = mExchange != nullptr;
  Detach();
  if (mPlace && running) {
    exchange_options options;
    options.connect = kRunConnectTimeout;
    // If this is lost, the node ends the run by itself some seconds later.
    mClient->Send(mPlace->relay,
                  MakeRelayedCancel(mPlace->run),
                  options,
                  std::make_shared<whole_response>(
                    [](const http_response*, exchange_failure) {}));
  }
}

void
item_run::Detach()
{
  mObserver = nullptr;
  if (const auto exchange = std::exchange(mExchange, nullptr)) {
    exchange->Cancel();
  }
}

run_end
item_run::RelayErrorEnd() const noexcept
{
  return *mRelayError == relay_error::Unknown ||
             *mRelayError == relay_error::Stale ||
             *mRelayError == relay_error::Late
           ? run_end::RelayLost
           : run_end::Broken;
}

void
item_run::Conclude(run_end aEnd)
{
  const auto self = shared_from_this();
  run_owner* observer = mObserver;
  if (aEnd == run_end::Broken) {
    Cancel(); // The relaying node may not have noticed.
  } else {
    Detach();
  }
  if (observer) {
    observer->OnRunEnded(*this, aEnd);
  }
}

void
item_run::OnHead(int aStatus, const header_list& aHeaders)
{
  mHeadSeen = true;
  mRelayError = ReadRelayError(aHeaders);
  const auto time = mPlace ? ReadRelayTime(aHeaders) : std::nullopt;
  if (time && mObserver) {
    mObserver->OnRelayTime(*this, *time);
  }
  mVerdict = mProtocol.Judge(aStatus, aHeaders);
  if (mVerdict == target_verdict::Genuine && aStatus / 100 != 2) {
    mVerdict = target_verdict::Failed;
  }
  mVersion = mProtocol.WeightVersion(aHeaders).value_or(mCall.expectedVersion);
}

void
item_run::OnBody(std::string_view aPart)
{
  if (mVerdict != target_verdict::Genuine) {
    return;
  }
  const auto self = shared_from_this();
  for (event_stream::event& event : mStream.Feed(aPart)) {
    if (!mObserver) {
      return;
    }
    for (const std::string& line : event.otherLines) {
      if (const auto version = mProtocol.WeightVersionOfLine(line)) {
        mVersion = *version;
      }
    }
    if (event.id < mNextEvent) {
      continue; // A repeated event.
    }
    if (event.id > mNextEvent) {
      Log(log_level::Warning,
          "event_missing",
          { { "item", mCall.id },
            { "target", mSampler },
            { "expected", std::to_string(mNextEvent) },
            { "event", std::to_string(event.id) } });
      Conclude(run_end::Broken);
      return;
    }
    ++mNextEvent;
    if (event.id <= mKnownEvents) {
      continue; // The journal has this event of the same run.
    }
    ++mNewEvents;
    mObserver->OnRunEvent(*this, std::move(event.data), mVersion);
    mTiming.lastEvent = mLoop.Now();
    mTiming.begun = true;
  }
}

void
item_run::OnEnd()
{
  if (mRelayError) {
    Conclude(RelayErrorEnd());
    return;
  }
  switch (mVerdict) {
    case target_verdict::Genuine:
      Conclude(mStream.AtBoundary() ? run_end::Complete : run_end::Broken);
      break;
    case target_verdict::NotRun:
      Conclude(run_end::Full);
      break;
    case target_verdict::WrongTarget:
      Conclude(run_end::Misplaced);
      break;
    case target_verdict::Failed:
      Conclude(run_end::Failed);
      break;
    case target_verdict::Impossible:
      Conclude(run_end::Impossible);
      break;
  }
}

void
item_run::OnFailure(exchange_failure aFailure)
{
  mRelayUnreachable = mPlace && !mHeadSeen;
  // A relaying node that refuses connections has ended, which tells nothing of
  // the sampler; one that can't be reached may be cut off together with it.
  Conclude(mPlace && aFailure == exchange_failure::Refused ? run_end::RelayLost
                                                           : run_end::Broken);
}

} // namespace arbutusferry::node
