#pragma once

#include "arbutusferry/hash.hpp"
#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/request_fingerprint.hpp"
#include "streams/event_stream.hpp"

#include <set>
#include <vector>

namespace arbutusferry::node {

/// A call in progress; its exchanges and timers keep it alive.
class forwarded_call final : public std::enable_shared_from_this<forwarded_call>
{
public:
  forwarded_call(const call_forwarder::parts& aParts,
                 admitted_call aCall,
                 std::shared_ptr<responder> aResponder,
                 std::shared_ptr<forwarder_state> aState)
    : mParts(aParts)
    , mCall(std::move(aCall))
    , mFingerprint(FingerprintOf(mCall.team, mCall.request))
    , mResponder(std::move(aResponder))
    , mState(std::move(aState))
    , mStarted(aParts.loop.Now())
    , mQuery{
      mCall.service,     {},         aParts.zone, {}, {}, Hash64(mCall.id),
      mCall.leavesSlots, mCall.homes
    }
  {
    mState->active.insert(this);
    Describe();
  }
  ~forwarded_call() { mState->active.erase(this); }
  forwarded_call(const forwarded_call&) = delete;
  forwarded_call& operator=(const forwarded_call&) = delete;

  void Start();
  /// Answers the call now, unless its stream has begun.
  void EndNow(const char* aReason);

private:
  class attempt;

  /// Describes the call for its admission.
  void Describe();

  [[nodiscard]] bool MayRepeat() const
  {
    return mCall.route.kind == route_kind::Idempotent;
  }
  [[nodiscard]] bool MayHaveRun() const noexcept { return mFailedRuns > 0; }
  [[nodiscard]] time_point AnswerDeadline() const;
  void ResumeStream();
  void OnStreamOrigin(const std::optional<std::string>& aSoftware);
  /// Asks for admission, then sends the call, waits or refuses it.
  void Admit();
  /// Asks again after all targets were tried.
  void WaitForTargets();
  [[nodiscard]] call_admission::decided Decided();
  void OnAdmissionDecided(const admission_decision& aDecision);
  void TryNextTarget();
  void RequestAdmission(const std::string& aTarget);
  void OnAdmission(const std::string& aTarget,
                   const admission& aAdmission,
                   time_point aAskedAt);
  void OnNotAdmitted(std::chrono::milliseconds aWait);
  void SendTo(const std::string& aTarget, start_right aRight);
  /// @return Whether a ready target has not been tried.
  [[nodiscard]] bool MoreTargets() const;
  /// Tries another target at once, or all again after a delay.
  void TryAfterRefusal();
  void Hedge();
  void OnTimeout();
  void OnCallerGone();
  /// Handles an attempt whose target has received nothing.
  void OnUnreachable(attempt& aAttempt);
  /// Handles an attempt that failed and may have run.
  void OnAttemptFailed(attempt& aAttempt);
  /// @return Whether the response of a failed attempt may go to the caller: it
  /// is complete, and tells that the request failed.
  [[nodiscard]] bool MayPassOn(const attempt& aAttempt) const;
  void OnNotRun(attempt& aAttempt, response_class aVerdict);
  void OnAttemptDone(attempt& aAttempt);
  void Conclude(http_response aResponse, const char* aOutcome);
  /// Refuses the call if the targets end that run it.
  /// @return Whether the call has ended.
  bool RefuseIfBlocked();
  void Refuse(const char* aReason, std::chrono::milliseconds aRetryAfter);
  void Fail(bool aTimedOut, const char* aReason);
  void StopAttempts(const attempt* aExcept);
  void RecordOutcome(const char* aOutcome, const std::string& aTarget);

  const call_forwarder::parts& mParts;
  admitted_call mCall;
  std::string mFingerprint;
  offered_call mOffer;
  std::shared_ptr<responder> mResponder;
  std::shared_ptr<forwarder_state> mState;
  time_point mStarted;
  std::vector<std::shared_ptr<attempt>> mAttempts;
  /// Its `tried` is cleared when all targets were tried and are full; targets
  /// that can't be reached are `excluded`.
  target_query mQuery;
  std::size_t mAttemptCount = 0;
  std::string mLastTarget;
  /// Attempts that failed and may have run the request.
  int mFailedRuns = 0;
  /// Targets that may have run the request; at most the route's `maxAttempts`.
  std::set<std::string> mUsedTargets;
  /// Tried targets that may not get a request now because of their limits, and
  /// the shortest wait until one of them may.
  std::size_t mNotAdmitted = 0;
  std::chrono::milliseconds mShortestWait = std::chrono::milliseconds::max();
  bool mAwaitingAdmission = false;
  bool mEnded = false;
  bool mRunCounted = false;
  std::unique_ptr<timer> mTimeoutTimer;
  std::unique_ptr<timer> mRetryTimer;
  std::unique_ptr<timer> mHedgeTimer;
};

/// One attempt at one target.
class forwarded_call::attempt final : public response_sink
{
public:
  attempt(std::shared_ptr<forwarded_call> aCall,
          const target_entry& aTarget,
          const event_loop& aLoop)
    : mCall(std::move(aCall))
    , mTarget(aTarget)
    , mSentAt(aLoop.Now())
    , mSentUnixMs(aLoop.UnixMilliseconds())
  {
  }

  void OnHead(int aStatus, const header_list& aHeaders) override;
  void OnBody(std::string_view aPart) override;
  void OnEnd() override;
  void OnFailure(exchange_failure aFailure) override;
  /// Subtracts the attempt from its target's outstanding requests, once.
  void ReleaseTarget();

  [[nodiscard]] const std::string& Target() const noexcept
  {
    return mTarget.id;
  }
  [[nodiscard]] bool Streaming() const noexcept { return mStreaming; }
  [[nodiscard]] std::int64_t SentUnixMs() const noexcept { return mSentUnixMs; }
  [[nodiscard]] duration TimeSinceSent() const
  {
    return mCall->mParts.loop.Now() - mSentAt;
  }
  http_response response;
  bool whole = false; ///< Whether `response` is complete.
  std::shared_ptr<http_exchange> exchange;
  response_class verdict = response_class::Failed;

private:
  void OnStreamBroken();

  std::shared_ptr<forwarded_call> mCall;
  target_entry mTarget; ///< As of the time of sending.
  time_point mSentAt;
  std::int64_t mSentUnixMs;
  bool mStreaming = false;
  event_stream_end mStreamEnd;
  bool mOriginNoted = false;
  bool mReleased = false;
};

} // namespace arbutusferry::node
