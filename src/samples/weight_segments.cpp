#include "arbutusferry/weight_segments.hpp"

#include <algorithm>

namespace arbutusferry {

bool
weight_segments::Add(std::int64_t aVersion,
                     std::int64_t aIndex,
                     std::int64_t aCount)
{
  if (mInvalid || aIndex != Tokens() || aCount < 0 ||
      (aCount > 0 && aVersion < 0)) {
    mInvalid = true;
    return false;
  }
  if (aCount == 0) {
    return true;
  }
  if (!mSegments.empty() && mSegments.back().version == aVersion) {
    mSegments.back().to += aCount;
  } else {
    mSegments.push_back({ aVersion, aIndex, aIndex + aCount });
  }
  return true;
}

bool
weight_segments::Covers(std::int64_t aTokens) const noexcept
{
  return !mInvalid && aTokens > 0 && Tokens() == aTokens;
}

std::int64_t
weight_segments::Oldest() const noexcept
{
  const auto oldest = std::min_element(
    mSegments.begin(),
    mSegments.end(),
    [](const weight_segment& aLeft, const weight_segment& aRight) {
      return aLeft.version < aRight.version;
    });
  return oldest == mSegments.end() ? -1 : oldest->version;
}

std::int64_t
weight_segments::Tokens() const noexcept
{
  return mSegments.empty() ? 0 : mSegments.back().to;
}

} // namespace arbutusferry
