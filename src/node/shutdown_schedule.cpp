#include "arbutusferry/node/shutdown_schedule.hpp"

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Time for which the load balancer still sends new connections. It checks
/// readiness once a second and removes a node after two failed checks; it does
/// not if too few nodes of the zone are left.
constexpr milliseconds kBalancerRemovalTime{ 2'500 };
constexpr milliseconds kIdleTimeout{ 1'000 };
/// Time before the process is killed at which it exits.
constexpr milliseconds kExitMargin{ 700 };
/// Time before the exit for the last responses to be written.
constexpr milliseconds kAnswerTime{ 300 };

} // namespace

shutdown_schedule::shutdown_schedule(time_point aStopped, duration aKilledAfter)
  : mStopped(aStopped)
  , mExit(aStopped + aKilledAfter - kExitMargin)
  , mAnswerBy(mExit - kAnswerTime)
{
}

bool
shutdown_schedule::Takes(time_point aNow, time_point aEnd) const
{
  return aNow < mAnswerBy &&
         (aNow < mStopped + kBalancerRemovalTime || aEnd <= mAnswerBy);
}

bool
shutdown_schedule::MayExit(time_point aNow, bool aIdle) const
{
  return aNow >= mExit ||
         (aIdle && aNow >= mStopped + kBalancerRemovalTime + kIdleTimeout);
}

duration
shutdown_schedule::IdleTimeout()
{
  return kIdleTimeout;
}

} // namespace arbutusferry::node
