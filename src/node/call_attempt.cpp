#include "forwarded_call.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

namespace {

/// Unread bytes of a stream above which a slow reader is disconnected.
constexpr std::size_t kMaxUnreadBytes = std::size_t{ 1 } << 20;

} // namespace

void
forwarded_call::attempt::ReleaseTarget()
{
  if (mReleased) {
    return;
  }
  mReleased = true;
  if (auto* known = mCall->mParts.targets.Find(mTarget.id)) {
    --known->outstanding;
  }
}

void
forwarded_call::attempt::OnHead(int aStatus, const header_list& aHeaders)
{
  response.status = aStatus;
  response.headers = aHeaders;
  const call_forwarder::parts& parts = mCall->mParts;
  verdict = parts.protocol.ClassifyResponse(aStatus, aHeaders);
  if (verdict != response_class::WrongTarget) {
    parts.targets.NoteLimit(mTarget.id,
                            parts.protocol.ReadLimit(aHeaders),
                            verdict == response_class::Genuine,
                            mSentAt,
                            parts.loop.Now());
  }
  if (verdict != response_class::Genuine) {
    return;
  }
  // An error is no stream; it is passed on whole, as on other routes.
  if (mCall->mCall.route.kind == route_kind::Stream && !mCall->mEnded &&
      aStatus / 100 == 2) {
    // The first target that responds serves the stream; other attempts end.
    const auto call = mCall;
    call->StopAttempts(this);
    header_list headers = aHeaders;
    for (const char* name :
         { "Connection", "Keep-Alive", "Transfer-Encoding" }) {
      headers.Remove(name);
    }
    mStreaming = true;
    mStreamEnd = event_stream_end(aHeaders);
    call->mResponder->Begin(aStatus, headers);
  }
}

void
forwarded_call::attempt::OnBody(std::string_view aPart)
{
  if (!mStreaming) {
    response.body += aPart;
    return;
  }
  const auto call = mCall;
  if (!std::exchange(mOriginNoted, true) && !call->mCall.resumesStream) {
    call->mParts.origins.Note(call->mCall.id, mTarget.software);
  }
  mStreamEnd.Note(aPart);
  call->mResponder->Write(aPart);
  if (call->mResponder->UnsentBytes() > kMaxUnreadBytes) {
    Log(log_level::Warning,
        "stream_reader_too_slow",
        { { "request", call->mCall.id } });
    call->mResponder->Abort();
    call->OnCallerGone();
  }
}

void
forwarded_call::attempt::OnStreamBroken()
{
  const auto call = mCall;
  const std::string target = mTarget.id;
  call->mEnded = true;
  // The call and an attempt that it holds keep each other alive.
  call->StopAttempts(nullptr);
  call->mResponder->Abort();
  call->RecordOutcome("stream_broken", target);
}

void
forwarded_call::attempt::OnEnd()
{
  ReleaseTarget();
  whole = true;
  const auto call = mCall;
  if (call->mEnded) {
    return;
  }
  if (mStreaming && !mStreamEnd.Whole()) {
    Log(log_level::Warning,
        "stream_ends_in_event",
        { { "request", call->mCall.id }, { "target", mTarget.id } });
    OnStreamBroken();
    return;
  }
  switch (verdict) {
    case response_class::NotRun:
    case response_class::WrongTarget:
      call->OnNotRun(*this, verdict);
      break;
    case response_class::Genuine:
    case response_class::Impossible:
      call->OnAttemptDone(*this);
      break;
    case response_class::Failed:
      call->OnAttemptFailed(*this);
      break;
  }
}

void
forwarded_call::attempt::OnFailure(exchange_failure aFailure)
{
  ReleaseTarget();
  const auto call = mCall;
  if (call->mEnded) {
    return;
  }
  const event_loop& loop = call->mParts.loop;
  call->mParts.metrics.Count(
    "ferry_attempt_failures_total",
    { { "reason", std::string(FailureName(aFailure)) } });
  Log(log_level::Info,
      "attempt_failed",
      { { "request", call->mCall.id },
        { "fingerprint", call->mFingerprint },
        { "target", mTarget.id },
        { "reason", std::string(FailureName(aFailure)) },
        { "ms", std::to_string(ToMilliseconds(loop.Now() - mSentAt)) } });
  if (aFailure == exchange_failure::Broken) {
    call->mParts.crashes.NoteBroken(call->mFingerprint, mTarget);
  }
  if (mStreaming) {
    OnStreamBroken();
    return;
  }
  if (NothingSent(aFailure)) {
    call->OnUnreachable(*this);
  } else {
    call->OnAttemptFailed(*this);
  }
}

} // namespace arbutusferry::node
