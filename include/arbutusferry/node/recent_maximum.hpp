#pragma once

#include "arbutusferry/time.hpp"

#include <algorithm>
#include <optional>

namespace arbutusferry::node {

/// The longest of the durations noted in the last one to two periods.
class recent_maximum
{
public:
  explicit recent_maximum(duration aPeriod)
    : mPeriod(aPeriod)
  {
  }
  void Note(duration aValue, time_point aNow)
  {
    if (!mCurrent || aNow - mBegan >= mPeriod) {
      mPrevious = aNow - mBegan < 2 * mPeriod ? mCurrent : std::nullopt;
      mCurrent.reset();
      mBegan = aNow;
    }
    mCurrent = std::max(mCurrent.value_or(aValue), aValue);
  }
  /// @return The longest, or nothing if none is recent.
  [[nodiscard]] std::optional<duration> Longest(time_point aNow) const
  {
    if (!mCurrent || aNow - mBegan >= 2 * mPeriod) {
      return std::nullopt;
    }
    return std::max(*mCurrent, mPrevious.value_or(*mCurrent));
  }

private:
  duration mPeriod;
  time_point mBegan;
  std::optional<duration> mCurrent; ///< Since `mBegan`.
  std::optional<duration> mPrevious;
};

} // namespace arbutusferry::node
