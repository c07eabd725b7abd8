#include "arbutusferry/node/retry_delay.hpp"

#include <algorithm>

namespace arbutusferry::node {

retry_delay::retry_delay(duration aFirst,
                         duration aLongest,
                         std::uint64_t aSeed)
  : mFirst(aFirst)
  , mLongest(std::max(aFirst, aLongest))
  , mCurrent(aFirst)
  , mRandom(aSeed)
{
}

duration
retry_delay::Next()
{
  std::uniform_int_distribution<duration::rep> drawn(mCurrent.count() / 2,
                                                     mCurrent.count());
  mCurrent = std::min(2 * mCurrent, mLongest);
  return duration(drawn(mRandom));
}

} // namespace arbutusferry::node
