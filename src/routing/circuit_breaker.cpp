#include "arbutusferry/circuit_breaker.hpp"

#include <algorithm>

namespace arbutusferry {

breaker_state
circuit_breaker::State(time_point aNow) const noexcept
{
  if (!mOpen) {
    return breaker_state::Closed;
  }
  return aNow < mOpenUntil ? breaker_state::Open : breaker_state::HalfOpen;
}

bool
circuit_breaker::Allows(time_point aNow) const noexcept
{
  // A probe that has not ended after maxOpenFor no longer blocks the next one.
  return !mOpen || (aNow >= mOpenUntil && aNow >= mProbeUntil);
}

void
circuit_breaker::OnStart(time_point aNow) noexcept
{
  if (mOpen) {
    mProbeUntil = aNow + mOptions.maxOpenFor;
  }
}

void
circuit_breaker::OnSuccess() noexcept
{
  mConsecutiveFailures = 0;
  mOpen = false;
  mProbeUntil = {};
  mOpenFor = mOptions.openFor;
}

void
circuit_breaker::OnFailure(time_point aStarted, time_point aNow) noexcept
{
  if (!mOpen) {
    if (++mConsecutiveFailures < mOptions.failureThreshold) {
      return;
    }
    mOpen = true;
  } else if (aStarted < mOpenUntil) {
    // Not the probe: it started before the breaker opened.
    return;
  } else {
    mOpenFor = std::min(mOpenFor * 2, mOptions.maxOpenFor);
  }
  mOpenUntil = aNow + mOpenFor;
  mProbeUntil = {};
}

} // namespace arbutusferry
