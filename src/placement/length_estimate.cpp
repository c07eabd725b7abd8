#include "placement/length_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::node {

namespace {

/// Length assumed until items have completed: the reference loads have means of
/// 10 to 18 events.
constexpr double kDefaultEvents = 14.0;
/// Completed items after which lengths count as known: with fewer, a single
/// item of the heavy tail would decide.
constexpr int kMinCompleted = 8;
/// Relative step of the median towards a new value. Small against the spread of
/// lengths, large enough to follow a change within about 30 items.
constexpr double kMedianStep = 0.05;
/// Weight of a new length in the mean: about the last 100 items decide, among
/// which are some of the heavy tail.
constexpr double kMeanStep = 0.01;
/// An item that is longer than expected probably belongs to the heavy tail,
/// whose expected rest grows with what was generated.
constexpr double kTailFactor = 0.5;

void
MoveMedian(double& aMedian, double aValue, bool aFirst)
{
  if (aFirst) {
    aMedian = aValue;
  } else if (aValue != aMedian) {
    aMedian *= std::exp(aValue > aMedian ? kMedianStep : -kMedianStep);
  }
}

} // namespace

void
length_estimate::Note(std::int64_t aHint, std::size_t aEvents)
{
  const auto events = static_cast<double>(std::max<std::size_t>(1, aEvents));
  if (Known()) {
    mMeanFactor += kMeanStep * (events / Events(aHint, 0.0) - mMeanFactor);
  }
  MoveMedian(mEvents, events, mCompleted++ == 0);
  if (aHint > 0) {
    MoveMedian(
      mEventsPerToken, events / static_cast<double>(aHint), mHinted++ == 0);
  }
}

bool
length_estimate::Known() const noexcept
{
  return mCompleted >= kMinCompleted;
}

double
length_estimate::Events(std::int64_t aHint, double aTypicalHint) const
{
  const double typical = Known() ? mEvents : kDefaultEvents;
  if (aHint <= 0) {
    return typical;
  }
  const auto hint = static_cast<double>(aHint);
  if (mHinted >= kMinCompleted) {
    return std::max(1.0, hint * mEventsPerToken);
  }
  return aTypicalHint > 0.0 ? std::max(1.0, typical * hint / aTypicalHint)
                            : typical;
}

double
RemainingEvents(double aExpected, std::size_t aGenerated)
{
  const auto generated = static_cast<double>(aGenerated);
  return generated < aExpected ? std::max(1.0, aExpected - generated)
                               : std::max(1.0, kTailFactor * generated);
}

} // namespace arbutusferry::node
