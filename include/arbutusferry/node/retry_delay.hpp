#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <random>

namespace arbutusferry::node {

/// Delays between the tries of a call that fails. They double up to a limit,
/// and each is drawn between half and all of it, so that the nodes which lost
/// a service together don't come back to it together.
class retry_delay
{
public:
  /// @param aSeed Different for each caller.
  retry_delay(duration aFirst, duration aLongest, std::uint64_t aSeed);
  /// @return The delay after one more failed try.
  [[nodiscard]] duration Next();
  /// Begins anew with the first delay, after a try that succeeded.
  void Reset() noexcept { mCurrent = mFirst; }

private:
  duration mFirst;
  duration mLongest;
  duration mCurrent;
  std::mt19937_64 mRandom;
};

} // namespace arbutusferry::node
