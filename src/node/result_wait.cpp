#include "arbutusferry/node/result_wait.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Longest hold after the arrival of a read: under the pause of a trainer that
/// reads twice a second, so that its next read is not later.
constexpr milliseconds kHold{ 450 };
/// Hold after the first result of a read that had nothing to return for longer
/// than that: items that began together end within a few events.
constexpr milliseconds kGather{ 100 };
/// Part of a batch's items below which its step is near the end.
constexpr std::size_t kTailPart = 4;
constexpr std::size_t kLeastTail = 4;

} // namespace

time_point
AnswerTime(const result_wait& aWait,
           const step_state& aStep,
           time_point aResultsSince)
{
  if (aStep.missing == 0 || aWait.since >= aStep.due ||
      aStep.missing > std::max(kLeastTail, aStep.items / kTailPart)) {
    return aResultsSince;
  }
  const time_point held =
    std::max<time_point>(aWait.since + kHold, aResultsSince + kGather);
  return std::min(held, aWait.until);
}

} // namespace arbutusferry::node
