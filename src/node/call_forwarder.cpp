#include "admission/node_admission.hpp"
#include "forwarded_call.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Time without a response after which an idempotent request is also sent to
/// another target: several times the duration of an ordinary request (25 ms in
/// both deployments).
constexpr milliseconds kHedgeDelay{ 120 };
constexpr milliseconds kConnectTimeout{ 400 };
/// A granted start at a cold target is used within this time of the earliest
/// time that the leader may have meant, and then sent within the connect
/// timeout: 250 ms and 200 ms. In a second, starts of at most 1.45 s then
/// arrive: rate * 1.45 + 4, below the rate * 1.5 + 5 that the platform allows.
constexpr milliseconds kGrantUse{ 250 };
/// Time before the caller's deadline at which the final response is sent, so
/// that it arrives in time.
constexpr milliseconds kAnswerMargin{ 20 };
/// No request is sent to a target with less time left than this.
constexpr milliseconds kMinTimeLeft{ 5 };
/// Delay after which a refused caller should retry: time for a full or failed
/// target to recover.
constexpr milliseconds kRetryAfter{ 200 };
/// The same for callers of a stopping node: another can serve them at once.
constexpr milliseconds kStoppingRetryAfter{ 50 };
/// For how long response times of a route are remembered, at least.
constexpr std::chrono::seconds kResponseTimePeriod{ 15 };
/// A call is expected to take at most this many times as long as the longest
/// recent one.
constexpr int kResponseTimeFactor = 2;

} // namespace

time_point
forwarded_call::AnswerDeadline() const
{
  return std::min(mCall.deadline - kAnswerMargin, mCall.timeout);
}

void
forwarded_call::Start()
{
  mResponder->OnDisconnect([weak = weak_from_this()] {
    if (const auto call = weak.lock()) {
      call->OnCallerGone();
    }
  });
  const duration left = AnswerDeadline() - mStarted;
  if (left <= kMinTimeLeft) {
    Refuse("no_time_left", kRetryAfter);
    return;
  }
  mTimeoutTimer =
    mParts.loop.After(left, [self = shared_from_this()] { self->OnTimeout(); });
  if (mCall.resumesStream) {
    ResumeStream();
  } else {
    Admit();
  }
}

void
forwarded_call::ResumeStream()
{
  mParts.origins.Find(
    mCall.streamOrigin,
    mCall.service,
    [self = shared_from_this()](const std::optional<std::string>& aSoftware) {
      self->OnStreamOrigin(aSoftware);
    });
}

void
forwarded_call::OnStreamOrigin(const std::optional<std::string>& aSoftware)
{
  if (mEnded) {
    return;
  }
  Log(log_level::Info,
      "stream_resumed",
      { { "request", mCall.id },
        { "origin", mCall.streamOrigin },
        { "software", aSoftware.value_or("unknown") } });
  if (!aSoftware) {
    Refuse("stream_origin_unknown", kRetryAfter);
    return;
  }
  mQuery.software = aSoftware;
  Admit();
}

void
forwarded_call::TryNextTarget()
{
  mRetryTimer.reset();
  if (mEnded || RefuseIfBlocked()) {
    return;
  }
  const time_point now = mParts.loop.Now();
  mQuery.ranking = mState->admission->Ranking(mCall.service, now);
  const std::string chosen = mParts.targets.Choose(mQuery, now);
  auto* known = mParts.targets.Find(chosen);
  if (!known) {
    if (mAttempts.empty()) {
      const char* reason =
        mQuery.excluded.empty() ? "no_target" : "targets_unreachable";
      if (MayHaveRun()) {
        Fail(false, reason);
      } else {
        Refuse(reason, kRetryAfter);
      }
    }
    return;
  }
  const int maxAttempts = mCall.route.maxAttempts;
  if (mFailedRuns >= maxAttempts ||
      (!mUsedTargets.contains(chosen) &&
       static_cast<int>(mUsedTargets.size()) >= maxAttempts)) {
    if (mAttempts.empty()) {
      Fail(false, "attempts_used_up");
    }
    return;
  }
  mQuery.tried.push_back(chosen);
  if (known->limit.Limited()) {
    RequestAdmission(chosen);
  } else {
    SendTo(chosen, start_right::Warm);
  }
}

void
forwarded_call::RequestAdmission(const std::string& aTarget)
{
  const time_point now = mParts.loop.Now();
  const auto* known = mParts.targets.Find(aTarget);
  // A longer wait would leave too little time for a response on time.
  const milliseconds maxWait = std::clamp(
    std::chrono::duration_cast<milliseconds>(mCall.deadline - now) / 2,
    milliseconds(0),
    mCall.route.latencyTarget / 2);
  if (known->nextStart > now + maxWait) {
    OnNotAdmitted(std::chrono::ceil<milliseconds>(known->nextStart - now));
    return;
  }
  mAwaitingAdmission = true;
  mParts.admission.Request(
    aTarget,
    target_view::LimitsOf(*known),
    maxWait,
    [self = shared_from_this(), aTarget, now](const admission& aAdmission) {
      self->OnAdmission(aTarget, aAdmission, now);
    });
}

void
forwarded_call::OnAdmission(const std::string& aTarget,
                            const admission& aAdmission,
                            time_point aAskedAt)
{
  if (!aAdmission.granted) {
    mAwaitingAdmission = false;
    if (auto* known = mParts.targets.Find(aTarget)) {
      known->nextStart = mParts.loop.Now() + aAdmission.wait;
    }
    if (!mEnded) {
      OnNotAdmitted(aAdmission.wait);
    }
    return;
  }
  const time_point useBy = aAskedAt + aAdmission.wait + kGrantUse;
  const auto send = [self = shared_from_this(), aTarget, useBy] {
    self->mAwaitingAdmission = false;
    if (self->mEnded) {
      return;
    }
    const time_point present = self->mParts.loop.Now();
    const auto* granted = self->mParts.targets.Find(aTarget);
    if (granted && granted->limit.ColdRate() && present > useBy) {
      self->OnNotAdmitted(milliseconds(0));
      return;
    }
    self->SendTo(aTarget, start_right::Granted);
  };
  if (aAdmission.wait > milliseconds(0) && !mEnded) {
    mRetryTimer = mParts.loop.After(aAdmission.wait, send);
  } else {
    send();
  }
}

void
forwarded_call::OnNotAdmitted(milliseconds aWait)
{
  ++mNotAdmitted;
  mShortestWait = std::min(mShortestWait, aWait);
  if (!mAttempts.empty()) {
    return;
  }
  if (mNotAdmitted < mQuery.tried.size() || MoreTargets()) {
    TryAfterRefusal();
  } else if (MayHaveRun()) {
    Fail(false, "target_limits");
  } else {
    Refuse("target_limits", std::max(mShortestWait, kRetryAfter));
  }
}

void
forwarded_call::SendTo(const std::string& aTarget, start_right aRight)
{
  const time_point now = mParts.loop.Now();
  auto* known = mParts.targets.Find(aTarget);
  if (!known || known->entry.draining || !mParts.targets.Allows(*known) ||
      (mQuery.software && known->entry.software != *mQuery.software)) {
    TryNextTarget();
    return;
  }
  const auto left =
    std::chrono::duration_cast<milliseconds>(mCall.deadline - now);
  if (left <= kMinTimeLeft) {
    return;
  }
  mUsedTargets.insert(aTarget);
  mLastTarget = aTarget;
  ++mAttemptCount;
  ++known->outstanding;
  http_request request = mCall.request;
  mParts.protocol.Prepare(request, known->entry, left);
  exchange_options options;
  const bool cold = known->limit.ColdRate().has_value();
  options.connectTimeout = cold ? kColdConnectTimeout : kConnectTimeout;
  if (mParts.targets.HasColdRates()) {
    // A grant for the target's own limit may be older than its coldness.
    options.start = cold ? aRight : start_right::Warm;
  }
  options.readTimeout = std::max(left, milliseconds(1'000));
  options.echoHeader = mParts.protocol.EchoHeader();
  options.targetZone = known->entry.zone;
  options.homes = mCall.homes;
  auto sink =
    std::make_shared<attempt>(shared_from_this(), known->entry, mParts.loop);
  mAttempts.push_back(sink);
  sink->exchange =
    mParts.client.Send(known->entry.address, std::move(request), options, sink);
  if (MayRepeat() &&
      static_cast<int>(mUsedTargets.size()) < mCall.route.maxAttempts) {
    mHedgeTimer = mParts.loop.After(
      kHedgeDelay, [self = shared_from_this()] { self->Hedge(); });
  }
}

void
forwarded_call::Hedge()
{
  if (!mEnded && mAttempts.size() == 1 && !mAwaitingAdmission &&
      mState->admission->MayHedge(mOffer, mParts.loop.Now())) {
    mParts.targets.NoteFailure(mAttempts.front()->Target(), mParts.loop.Now());
    TryNextTarget();
  }
}

void
forwarded_call::StopAttempts(const attempt* aExcept)
{
  std::vector<std::shared_ptr<attempt>> kept;
  for (const auto& running : std::exchange(mAttempts, {})) {
    if (running.get() == aExcept) {
      kept.push_back(running);
      continue;
    }
    running->ReleaseTarget();
    if (running->exchange) {
      running->exchange->Cancel();
    }
  }
  mAttempts = std::move(kept);
}

void
forwarded_call::OnAttemptDone(attempt& aAttempt)
{
  mParts.targets.NoteSuccess(aAttempt.Target());
  mParts.crashes.NoteServed(mFingerprint);
  if (!mRunCounted) {
    mRunCounted = true;
    mParts.runs.CountRun(mCall.team, aAttempt.SentUnixMs());
  }
  const std::string target = aAttempt.Target();
  if (aAttempt.Streaming()) {
    mState->admission->NoteAccepted(mOffer, mParts.loop.Now());
    mEnded = true;
    StopAttempts(nullptr);
    mResponder->End();
    RecordOutcome("answered", target);
    return;
  }
  http_response response = std::move(aAttempt.response);
  for (const char* name : { "Connection", "Keep-Alive", "Transfer-Encoding" }) {
    response.headers.Remove(name);
  }
  const time_point now = mParts.loop.Now();
  const duration taken = aAttempt.TimeSinceSent();
  mState->responseTimes
    .try_emplace(mCall.route.name, recent_maximum(kResponseTimePeriod))
    .first->second.Note(now - mStarted, now);
  Conclude(std::move(response), "answered");
  if (mCall.route.kind == route_kind::Stream) {
    // Its time is that of an error, which says nothing of the target's speed.
    mState->admission->NoteAccepted(mOffer, now);
  } else {
    mState->admission->NoteAnswered(mOffer, target, taken, now);
  }
}

void
forwarded_call::OnNotRun(attempt& aAttempt, response_class aVerdict)
{
  const time_point now = mParts.loop.Now();
  std::erase_if(mAttempts,
                [&](const auto& aEntry) { return aEntry.get() == &aAttempt; });
  if (!MayHaveRun() || mAttempts.empty()) {
    mUsedTargets.erase(aAttempt.Target());
  }
  if (aVerdict == response_class::WrongTarget) {
    mParts.targets.NoteFailure(aAttempt.Target(), now);
  } else {
    const auto* known = mParts.targets.Find(aAttempt.Target());
    if (known && !known->limit.Named()) {
      mOffer.foundFull = true;
      mState->admission->NoteFull(mOffer, aAttempt.Target(), now);
    }
    mParts.targets.NoteFull(aAttempt.Target(), now);
  }
  TryAfterRefusal();
}

bool
forwarded_call::MoreTargets() const
{
  return mQuery.tried.size() < mParts.targets.CountReady(mQuery);
}

void
forwarded_call::TryAfterRefusal()
{
  if (MoreTargets()) {
    TryNextTarget();
    return;
  }
  mQuery.tried.clear();
  mNotAdmitted = 0;
  WaitForTargets();
}

void
forwarded_call::OnUnreachable(attempt& aAttempt)
{
  const std::string target = aAttempt.Target();
  mParts.targets.NoteFailure(target, mParts.loop.Now());
  std::erase_if(mAttempts,
                [&](const auto& aEntry) { return aEntry.get() == &aAttempt; });
  mUsedTargets.erase(target);
  std::erase(mQuery.tried, target);
  mQuery.excluded.insert(target);
  if (MoreTargets() || mQuery.tried.empty()) {
    TryNextTarget();
  } else if (mAttempts.empty()) {
    TryAfterRefusal();
  }
}

bool
forwarded_call::MayPassOn(const attempt& aAttempt) const
{
  return aAttempt.whole && mParts.protocol.IsFailure(aAttempt.response.status,
                                                     aAttempt.response.headers);
}

void
forwarded_call::OnAttemptFailed(attempt& aAttempt)
{
  const std::string target = aAttempt.Target();
  mParts.targets.NoteFailure(target, mParts.loop.Now());
  std::erase_if(mAttempts,
                [&](const auto& aEntry) { return aEntry.get() == &aAttempt; });
  ++mFailedRuns;
  const bool targetFailed = MayPassOn(aAttempt);
  if (targetFailed && mCall.onTargetError) {
    mCall.onTargetError();
  }
  if (!mRunCounted && aAttempt.response.status != 0) {
    mRunCounted = true;
    mParts.runs.CountRun(mCall.team, aAttempt.SentUnixMs());
  }
  if (!MayRepeat()) {
    if (targetFailed) {
      // The target's own error response goes to the caller.
      http_response response = std::move(aAttempt.response);
      for (const char* name :
           { "Connection", "Keep-Alive", "Transfer-Encoding" }) {
        response.headers.Remove(name);
      }
      Conclude(std::move(response), "target_failed");
    } else {
      Fail(false, "may_have_run");
    }
    return;
  }
  if (!mState->admission->MayRetry(mOffer, mParts.loop.Now())) {
    if (mAttempts.empty()) {
      Fail(false, "retry_budget");
    }
    return;
  }
  TryNextTarget();
}

void
forwarded_call::OnTimeout()
{
  if (mEnded) {
    return;
  }
  for (const auto& running : mAttempts) {
    if (running->Streaming()) {
      if (mParts.loop.Now() < mCall.deadline - kAnswerMargin) {
        // The route's timeout applies only to the start of a stream.
        mTimeoutTimer =
          mParts.loop.After(mCall.deadline - mParts.loop.Now(),
                            [self = shared_from_this()] { self->OnTimeout(); });
        return;
      }
      mEnded = true;
      StopAttempts(nullptr);
      mResponder->Abort();
      RecordOutcome("stream_timeout", {});
      return;
    }
  }
  if (MayHaveRun() || !mAttempts.empty()) {
    Fail(true, "timeout");
  } else {
    Refuse("timeout_before_any_target", kRetryAfter);
  }
}

void
forwarded_call::EndNow(const char* aReason)
{
  if (mEnded ||
      std::any_of(mAttempts.begin(), mAttempts.end(), [](const auto& aEntry) {
        return aEntry->Streaming();
      })) {
    return;
  }
  if (MayHaveRun() || !mAttempts.empty()) {
    Fail(true, aReason);
  } else {
    Refuse(aReason, kStoppingRetryAfter);
  }
}

void
forwarded_call::OnCallerGone()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  StopAttempts(nullptr);
  RecordOutcome("caller_gone", {});
}

void
forwarded_call::Conclude(http_response aResponse, const char* aOutcome)
{
  mEnded = true;
  StopAttempts(nullptr);
  mResponder->Send(std::move(aResponse));
  RecordOutcome(aOutcome, mLastTarget);
}

bool
forwarded_call::RefuseIfBlocked()
{
  const auto blocked = mParts.crashes.BlockedFor(mFingerprint);
  if (!blocked) {
    return false;
  }
  if (!mAttempts.empty()) {
    return true; // Their outcome decides.
  }
  if (MayHaveRun()) {
    Fail(false, "targets_end_under_it");
  } else {
    Refuse("targets_end_under_it", *blocked);
  }
  return true;
}

void
forwarded_call::Refuse(const char* aReason, milliseconds aRetryAfter)
{
  Conclude(mParts.callers.Refusal(mCall.id, aRetryAfter), aReason);
}

void
forwarded_call::Fail(bool aTimedOut, const char* aReason)
{
  Conclude(mParts.callers.Failure(mCall.id, aTimedOut), aReason);
}

void
forwarded_call::RecordOutcome(const char* aOutcome, const std::string& aTarget)
{
  mTimeoutTimer.reset();
  mRetryTimer.reset();
  mHedgeTimer.reset();
  mState->admission->Leave(mOffer.ticket);
  const duration taken = mParts.loop.Now() - mStarted;
  mParts.metrics.Count("ferry_requests_total",
                       { { "tenant", mCall.team }, { "outcome", aOutcome } });
  mParts.metrics.Observe("ferry_request_seconds",
                         { { "tenant", mCall.team } },
                         std::chrono::duration<double>(taken).count());
  Log(log_level::Info,
      "request_ended",
      { { "request", mCall.id },
        { "fingerprint", mFingerprint },
        { "route", mCall.route.name },
        { "tenant", mCall.team },
        { "outcome", aOutcome },
        { "target", aTarget },
        { "attempts", std::to_string(mAttemptCount) },
        { "ms", std::to_string(ToMilliseconds(taken)) } });
}

call_forwarder::call_forwarder(parts aParts,
                               std::unique_ptr<call_admission> aAdmission)
  : mParts(std::move(aParts))
{
  mState->admission =
    aAdmission ? std::move(aAdmission)
               : std::make_unique<node_admission>(mParts.loop, mParts.metrics);
}

void
call_forwarder::Forward(admitted_call aCall,
                        std::shared_ptr<responder> aResponder)
{
  const time_point now = mParts.loop.Now();
  const bool taken =
    !mShutdown || mShutdown->Takes(now, ExpectedEnd(aCall, now));
  const auto call = std::make_shared<forwarded_call>(
    mParts, std::move(aCall), std::move(aResponder), mState);
  if (taken) {
    call->Start();
  } else {
    call->EndNow("node_stopping");
  }
}

time_point
call_forwarder::ExpectedEnd(const admitted_call& aCall, time_point aNow) const
{
  if (aCall.route.kind == route_kind::Stream) {
    return aCall.deadline; // A stream may take any time.
  }
  const time_point end = std::min(aCall.deadline, aCall.timeout);
  const auto known = mState->responseTimes.find(aCall.route.name);
  const auto longest = known == mState->responseTimes.end()
                         ? std::nullopt
                         : known->second.Longest(aNow);
  return longest ? std::min(end, aNow + kResponseTimeFactor * *longest) : end;
}

void
call_forwarder::EndCalls()
{
  std::vector<std::shared_ptr<forwarded_call>> calls;
  for (forwarded_call* call : mState->active) {
    if (auto running = call->weak_from_this().lock()) {
      calls.push_back(std::move(running));
    }
  }
  for (const auto& call : calls) {
    call->EndNow("node_stopping");
  }
}

} // namespace arbutusferry::node
