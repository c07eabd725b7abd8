#include "arbutusferry/node/request_limit.hpp"

#include <algorithm>
#include <limits>

namespace arbutusferry::node {

namespace {

/// A target that names a lower rate still gets this many requests a second,
/// since only a response tells that the limit has ended.
constexpr double kMinPerSecond = 0.25;

} // namespace

bool
target_limit::Note(const limit_notice& aNotice,
                   bool aGenuine,
                   time_point aSentAt,
                   time_point aNow)
{
  if (aNotice.perSecond) {
    const bool changed = !mNamed || mNamed->perSecond != *aNotice.perSecond;
    Set({ *aNotice.perSecond, aNow }, aNow);
    return changed;
  }
  if (aNotice.present || !aGenuine || (mNamed && aSentAt < mNamed->namedAt)) {
    return false;
  }
  const bool changed = mNamed.has_value();
  mNamed.reset();
  mUnlimitedAt = aNow;
  return changed;
}

void
target_limit::Learn(const request_limit& aLimit, time_point aNow)
{
  if (aLimit.namedAt > mUnlimitedAt &&
      (!mNamed || aLimit.namedAt > mNamed->namedAt)) {
    Set(aLimit, aNow);
  }
}

void
target_limit::Set(const request_limit& aLimit, time_point aNow)
{
  const bool added = !Limited();
  const bool changed = !mNamed || mNamed->perSecond != aLimit.perSecond;
  mNamed = aLimit;
  if (added || changed) {
    ChangeRate(added, aNow);
  }
}

void
target_limit::SetColdRate(std::optional<double> aPerSecond, time_point aNow)
{
  if (aPerSecond == mColdRate) {
    return;
  }
  const bool added = !Limited();
  mColdRate = aPerSecond;
  if (Limited()) {
    ChangeRate(added, aNow);
  }
}

void
target_limit::ChangeRate(bool aAdded, time_point aNow)
{
  if (aAdded) {
    mNext = mLastStart = aNow;
    SpendBurst(aNow);
  } else {
    mNext = std::min(mNext, std::max(mLastStart, aNow) + mBurst * Interval());
  }
}

void
target_limit::SpendBurst(time_point aNow)
{
  if (Limited()) {
    mNext = std::max(mNext, aNow + (mBurst - 1) * Interval());
  }
}

duration
target_limit::Interval() const
{
  constexpr double kUnlimited = std::numeric_limits<double>::max();
  const double perSecond = std::min(mNamed ? mNamed->perSecond : kUnlimited,
                                    mColdRate.value_or(kUnlimited));
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(1.0 / std::max(perSecond, kMinPerSecond)));
}

time_point
target_limit::NextStart(time_point aNow) const
{
  return Limited() ? std::max(aNow, mNext - (mBurst - 1) * Interval()) : aNow;
}

int
target_limit::StartsAvailable(time_point aNow) const
{
  if (!Limited()) {
    return std::numeric_limits<int>::max();
  }
  const duration unused = aNow + mBurst * Interval() - std::max(mNext, aNow);
  return static_cast<int>(std::max(unused / Interval(), std::int64_t{ 0 }));
}

std::optional<time_point>
target_limit::Reserve(time_point aLatest, time_point aNow)
{
  const time_point start = NextStart(aNow);
  if (!Limited()) {
    return start;
  }
  if (start > aLatest) {
    return std::nullopt;
  }
  mNext = std::max(mNext, start) + Interval();
  mLastStart = start;
  return start;
}

} // namespace arbutusferry::node
