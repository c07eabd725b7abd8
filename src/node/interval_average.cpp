#include "arbutusferry/node/interval_average.hpp"

#include <chrono>
#include <cmath>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Time in which the weight of an interval falls to 1/e.
constexpr double kDecayMs = 700.0;
/// The mean is unknown until it covers this time and so many intervals, however
/// little the first of them still count.
constexpr milliseconds kMinSpan{ 250 };
constexpr int kMinIntervals = 4;
/// A mean that was not updated for this long is discarded, so that a slow
/// sampler is tried again.
constexpr milliseconds kMaxAge{ 3'000 };

double
InMilliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

void
interval_average::Note(duration aInterval, time_point aNow)
{
  if (mCount == 0.0 || aNow - mLast >= kMaxAge) {
    mTotalMs = mCount = 0.0;
    mIntervals = 0;
    mFirst = aNow;
  } else {
    const double kept = std::exp(-InMilliseconds(aNow - mLast) / kDecayMs);
    mTotalMs *= kept;
    mCount *= kept;
  }
  mTotalMs += InMilliseconds(aInterval);
  mCount += 1.0;
  ++mIntervals;
  mLast = aNow;
}

std::optional<double>
interval_average::Milliseconds(time_point aNow) const
{
  if (mIntervals < kMinIntervals || mLast - mFirst < kMinSpan ||
      aNow - mLast >= kMaxAge) {
    return std::nullopt;
  }
  return mTotalMs / mCount;
}

} // namespace arbutusferry::node
