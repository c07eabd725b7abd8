#include "arbutusferry/node/result_wait.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Hold after the arrival of a read: shorter than the interval of a trainer
/// that reads twice a second, so that its next read is not delayed.
constexpr milliseconds kHold{ 450 };
/// Hold after the first result if that ends later: items that started together
/// end within a few events of each other.
constexpr milliseconds kGather{ 100 };
/// A step is near its end when at most one in `kTailPart` of its items, or
/// `kLeastTail` items, are missing.
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
