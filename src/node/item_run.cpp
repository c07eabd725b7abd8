#include "arbutusferry/node/item_run.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

std::string_view
RunOutcomeName(run_outcome aEnd) noexcept
{
  switch (aEnd) {
    case run_outcome::Complete:
      return "complete";
    case run_outcome::Full:
      return "full";
    case run_outcome::Misplaced:
      return "misplaced";
    case run_outcome::Broken:
      return "broken";
    case run_outcome::Failed:
      return "failed";
    case run_outcome::Impossible:
      return "impossible";
    case run_outcome::RelayLost:
      break;
  }
  return "relay_lost";
}

item_run::item_run(run_observer& aObserver,
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
item_run::Start(http_client& aClient,
                const target_entry& aTarget,
                start_right aRight)
{
  Send(aClient,
       aTarget.address,
       mProtocol.MakeItemRequest(mCall, aTarget),
       &aTarget,
       aRight);
}

void
item_run::StartRelayed(http_client& aClient,
                       run_location aPlace,
                       std::uint64_t aFence,
                       std::optional<std::int64_t> aSentAt,
                       const target_entry& aTarget,
                       start_right aRight)
{
  mPlace = std::move(aPlace);
  Send(aClient,
       mPlace->relay,
       MakeRelayedRun(mPlace->run,
                      aFence,
                      aSentAt,
                      aTarget.address,
                      mProtocol.MakeItemRequest(mCall, aTarget),
                      aTarget.zone,
                      aRight,
                      mCall.homes));
}

void
item_run::Attach(http_client& aClient,
                 run_location aPlace,
                 std::uint64_t aFence,
                 std::size_t aKnownEvents)
{
  mPlace = std::move(aPlace);
  mKnownEvents = aKnownEvents;
  mAttached = true;
  Send(aClient, mPlace->relay, MakeRelayedAttach(mPlace->run, aFence));
}

void
item_run::Send(http_client& aClient,
               const socket_address& aPeer,
               http_request aRequest,
               const target_entry* aTarget,
               start_right aRight)
{
  exchange_options options;
  options.connectTimeout = kRunConnectTimeout;
  if (aTarget) {
    options.targetZone = aTarget->zone;
    options.homes = mCall.homes;
    options.start = aRight;
    if (aRight == start_right::Granted) {
      options.connectTimeout = kColdConnectTimeout;
    }
  }
  options.readTimeout = kRunIdleTimeout;
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
    options.connectTimeout = kRunConnectTimeout;
    // If this is lost, the node ends the run by itself some seconds later.
    mClient->Send(mPlace->relay,
                  MakeRelayedCancel(mPlace->run),
                  options,
                  std::make_shared<response_collector>(
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

run_outcome
item_run::RelayErrorEnd() const noexcept
{
  if (*mRelayError == relay_error::Limited) {
    return run_outcome::Full;
  }
  return *mRelayError == relay_error::Unknown ||
             *mRelayError == relay_error::Stale ||
             *mRelayError == relay_error::Late
           ? run_outcome::RelayLost
           : run_outcome::Broken;
}

void
item_run::Conclude(run_outcome aEnd)
{
  const auto self = shared_from_this();
  run_observer* observer = mObserver;
  if (aEnd == run_outcome::Broken) {
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
  mRelayError = mPlace ? ReadRelayError(aHeaders) : std::nullopt;
  const auto clockMs = mPlace ? ReadRelayClock(aHeaders) : std::nullopt;
  if (clockMs && mObserver) {
    mObserver->OnRelayClock(*this, *clockMs);
  }
  mVerdict = mProtocol.ClassifyResponse(aStatus, aHeaders);
  if (mVerdict == response_class::Genuine && aStatus / 100 != 2) {
    mVerdict = response_class::Failed;
  }
  if (mRelayError == relay_error::Limited && mObserver) {
    mObserver->OnRunLimit(*this, ReadRelayLimit(aHeaders), false);
  } else if (!mAttached && !mRelayError && mObserver &&
             mVerdict != response_class::WrongTarget) {
    mObserver->OnRunLimit(*this,
                          mProtocol.ReadLimit(aHeaders),
                          mVerdict == response_class::Genuine);
  }
  mVersion = mProtocol.WeightVersion(aHeaders).value_or(mCall.expectedVersion);
}

void
item_run::OnBody(std::string_view aPart)
{
  if (mVerdict != response_class::Genuine) {
    return;
  }
  const auto self = shared_from_this();
  for (event_stream_parser::event& event : mStream.Feed(aPart)) {
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
      Conclude(run_outcome::Broken);
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
    case response_class::Genuine:
      Conclude(mStream.AtBoundary() ? run_outcome::Complete
                                    : run_outcome::Broken);
      break;
    case response_class::NotRun:
      Conclude(run_outcome::Full);
      break;
    case response_class::WrongTarget:
      Conclude(run_outcome::Misplaced);
      break;
    case response_class::Failed:
      Conclude(run_outcome::Failed);
      break;
    case response_class::Impossible:
      Conclude(run_outcome::Impossible);
      break;
  }
}

void
item_run::OnFailure(exchange_failure aFailure)
{
  mRelayUnreachable = mPlace && !mHeadSeen;
  // A relaying node that refuses connections has ended, which tells nothing of
  // the sampler; one that can't be reached may be cut off together with it.
  Conclude(mPlace && aFailure == exchange_failure::Refused
             ? run_outcome::RelayLost
             : run_outcome::Broken);
}

} // namespace arbutusferry::node
