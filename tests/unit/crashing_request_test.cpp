#include "support/call_fleet.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Time after the third target has ended from which nodes must know of it
/// (`contact-ms` of the platform), and the further runs allowed then.
constexpr milliseconds kContactTime{ 3'000 };
constexpr std::size_t kLateRuns = 3;

/// @return Runs of the crashing request that began too late.
std::size_t
LateRuns(const call_fleet& aFleet)
{
  std::size_t late = 0;
  for (std::size_t run = 3; run < aFleet.crashingRuns.size(); ++run) {
    late += aFleet.crashingRuns[run] - aFleet.crashingRuns[2] >
                call_fleet::kRunTime + kContactTime
              ? 1U
              : 0U;
  }
  return late;
}

/// Sends the crashing request to one node after the other, and another one to
/// each node as often.
/// @return The share of the others that were served.
double
CallSteadily(call_fleet& aFleet, milliseconds aFor)
{
  int others = 0;
  int answered = 0;
  std::vector<std::shared_ptr<recording_responder>> answers;
  const time_point end = aFleet.loop.Now() + aFor;
  for (int round = 0; aFleet.loop.Now() < end; ++round) {
    const int node = round % static_cast<int>(aFleet.nodes.size());
    (void)aFleet.Call(node, call_fleet::kCrashingBody);
    answers.push_back(aFleet.Call(node, "other" + std::to_string(round)));
    aFleet.loop.Advance(milliseconds(150));
  }
  aFleet.loop.Advance(milliseconds(1'000));
  for (const auto& answer : answers) {
    ++others;
    answered += answer->response.status == 200 ? 1 : 0;
  }
  return static_cast<double>(answered) / others;
}

} // namespace

// Guards against a request that makes one target after the other end: it comes
// again under other ids, at other nodes, after the targets are back.
TEST_CASE("a request under which three targets ended reaches no more of them")
{
  call_fleet fleet(6, 4);
  (void)CallSteadily(fleet, milliseconds(20'000));
  CAPTURE(fleet.Ended());
  CHECK(LateRuns(fleet) <= kLateRuns);
}

// Guards against other callers who lose their service with the targets that the
// crashing request ends, again and again.
TEST_CASE("other requests are served while a crashing request comes again")
{
  call_fleet fleet(6, 4);
  (void)CallSteadily(fleet, milliseconds(5'000));
  CHECK(CallSteadily(fleet, milliseconds(10'000)) >= 0.9);
}
