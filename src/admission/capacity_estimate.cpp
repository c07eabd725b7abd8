#include "admission/capacity_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::node {

namespace {

using seconds_double = std::chrono::duration<double>;

/// The fastest response of one to two such periods counts as one without
/// queueing.
constexpr std::chrono::seconds kFastestPeriod{ 10 };
/// Share of the time between the fastest response and the latency target that
/// requests may spend in the queues of targets; the rest is for uneven work and
/// for the swing of the control. With 0.5, 0.80 of the capacity was answered in
/// time by targets of unequal speed, with 0.3, 0.88 to 0.90.
constexpr double kQueueShare = 0.3;
/// Change of the logarithm of the share per second at an error of 1.
constexpr double kIntegralGain = 1;
/// Longest time that counts for one sample; a node that gets few responses
/// must not let a single one decide.
constexpr double kMaxSampleSeconds = 0.2;
/// Weight of the smoothed error. Responses tell of queues of about 0.1 s ago;
/// without this term the share would swing.
constexpr double kProportionalGain = 0.4;
/// Smoothing of errors: time constant, and largest weight of one sample.
constexpr double kErrorSeconds = 0.1;
constexpr double kMaxErrorWeight = 0.35;
/// Largest error of one response: one in a hundred takes five times as long.
constexpr double kMaxError = 1;
/// Error of a request that found all targets full. The queues fill within
/// 0.1 to 0.2 s of a burst's begin, in which a node sees one or two of these.
constexpr double kFullError = 3;
/// Response times regulate the share for so long after all targets were full:
/// slow responses without this need not come from queues.
constexpr std::chrono::seconds kFullEvidence{ 5 };
/// Greatest logarithm of offered requests per request sent: at least one in
/// 33 is sent and tells of the targets.
constexpr double kMaxIntegral = 3.5;
/// Until this age samples count in full; nodes with little load see two
/// responses a second.
constexpr double kHoldSeconds = 0.6;
/// Time in which older samples lose most of their weight.
constexpr double kDropSeconds = 0.2;
/// Smaller logarithms are noise.
constexpr double kNoise = 0.05;

} // namespace

void
queueing_estimate::NoteFastest(duration aTaken, time_point aNow)
{
  if (aNow - mPeriodStart >= kFastestPeriod) {
    mPreviousFastest =
      aNow - mPeriodStart < 2 * kFastestPeriod ? mFastest : duration::max();
    mFastest = duration::max();
    mPeriodStart = aNow;
  }
  mFastest = std::min(mFastest, aTaken);
}

void
queueing_estimate::NoteAnswered(duration aTaken,
                                duration aTarget,
                                time_point aNow)
{
  if (aTarget <= duration::zero()) {
    Apply(-1, aNow);
    return;
  }
  NoteFastest(aTaken, aNow);
  const duration fastest = std::min(mFastest, mPreviousFastest);
  const double taken = seconds_double(aTaken).count();
  mMeanResponse +=
    (mMeanResponse == 0 ? 1 : kMaxErrorWeight) * (taken - mMeanResponse);
  if (aTarget <= fastest || aNow - mLastFull >= kFullEvidence) {
    Apply(-1, aNow);
    return;
  }
  const double allowed =
    kQueueShare * seconds_double(aTarget - fastest).count();
  const double delay = seconds_double(aTaken - fastest).count();
  Apply(std::min(kMaxError, delay / allowed - 1), aNow);
}

void
queueing_estimate::NoteFull(time_point aNow)
{
  // A single request that finds all targets full may be chance.
  const bool repeated = aNow - mLastFull < kFullEvidence;
  mLastFull = aNow;
  if (repeated) {
    Apply(kFullError, aNow);
  }
}

void
queueing_estimate::Apply(double aError, time_point aNow)
{
  const double decay = Decay(aNow);
  const double since = seconds_double(aNow - mLastSample).count();
  mIntegral =
    std::clamp(mIntegral * decay +
                 kIntegralGain * aError * std::min(since, kMaxSampleSeconds),
               0.0,
               kMaxIntegral);
  mMeanError = (mMeanError + 1) * decay - 1;
  mMeanError +=
    std::min(kMaxErrorWeight, 1 - std::exp(-since / kErrorSeconds)) *
    (aError - mMeanError);
  mLastSample = aNow;
}

double
queueing_estimate::Decay(time_point aNow) const
{
  const double over =
    (seconds_double(aNow - mLastSample).count() - kHoldSeconds) / kDropSeconds;
  return over <= 0 ? 1 : std::exp(-over * over);
}

double
queueing_estimate::Share(time_point aNow) const
{
  if (mIntegral == 0 && mMeanError <= 0) {
    return 1;
  }
  const double decay = Decay(aNow);
  const double heldBack =
    mIntegral * decay + kProportionalGain * ((mMeanError + 1) * decay - 1);
  return heldBack < kNoise ? 1 : std::exp(-std::min(heldBack, kMaxIntegral));
}

duration
queueing_estimate::ExpectedResponse() const
{
  return std::chrono::duration_cast<duration>(seconds_double(mMeanResponse));
}

} // namespace arbutusferry::node
