#include "forwarded_call.hpp"

namespace arbutusferry::node {

void
forwarded_call::Describe()
{
  mOffer.ticket = ++mState->lastTicket;
  mOffer.id = mCall.id;
  mOffer.fingerprint = mFingerprint;
  mOffer.service = mCall.service;
  mOffer.team = mCall.team;
  mOffer.priority = mCall.teamPriority.value_or(mCall.route.priority);
  mOffer.yields = mCall.leavesSlots;
  mOffer.arrived = mStarted;
  mOffer.latencyTarget = mCall.route.latencyTarget;
  mOffer.answerBy = AnswerDeadline();
  mOffer.bytes = mCall.request.body.size();
}

void
forwarded_call::Admit()
{
  OnAdmissionDecided(
    mState->admission->Offer(mOffer, mParts.loop.Now(), Decided()));
}

void
forwarded_call::WaitForTargets()
{
  const admission_decision decision =
    mState->admission->OfferAgain(mOffer, mParts.loop.Now(), Decided());
  mOffer.foundFull = false;
  OnAdmissionDecided(decision);
}

call_admission::decided
forwarded_call::Decided()
{
  // The timer of its timeout keeps a waiting call alive.
  return [weak = weak_from_this()](const admission_decision& aDecision) {
    if (const auto call = weak.lock()) {
      call->OnAdmissionDecided(aDecision);
    }
  };
}

void
forwarded_call::OnAdmissionDecided(const admission_decision& aDecision)
{
  if (mEnded) {
    return;
  }
  switch (aDecision.verdict) {
    case admission_verdict::Send:
      TryNextTarget();
      break;
    case admission_verdict::Wait:
      break;
    case admission_verdict::Refuse:
      if (!mAttempts.empty()) {
        break; // Their outcome decides.
      }
      if (MayHaveRun()) {
        Fail(false, "targets_full");
      } else {
        Refuse("targets_full", aDecision.retryAfter);
      }
      break;
  }
}

} // namespace arbutusferry::node
