#include "arbutusferry/node/request_fingerprint.hpp"
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

// Guards against targets that are taken to live since they closed their
// connections some time before they ended.
TEST_CASE("a request under which targets end slowly is blocked")
{
  call_fleet fleet(6, 4);
  fleet.endDelay = milliseconds(100);
  (void)CallSteadily(fleet, milliseconds(20'000));
  CHECK(LateRuns(fleet) <= kLateRuns);
}

// Guards against nodes that learn of an ended target only from a later record,
// since a waiting read at the store may miss one that is being written.
TEST_CASE("nodes whose reads miss records block a crashing request in time")
{
  call_fleet fleet(6, 4);
  for (const auto& node : fleet.nodes) {
    node->log.waitsMissAppends = true;
  }
  (void)CallSteadily(fleet, milliseconds(20'000));
  CHECK(LateRuns(fleet) <= kLateRuns);
}

// Guards against a node that forgets blocked requests when its process ends.
TEST_CASE("a node that starts again blocks a crashing request")
{
  call_fleet fleet(3, 4);
  (void)CallSteadily(fleet, milliseconds(5'000));
  const std::size_t runs = fleet.crashingRuns.size();
  REQUIRE(runs >= 3);
  fleet.AddNode();
  fleet.loop.Advance(milliseconds(3'000));
  const auto answer = fleet.Call(3, call_fleet::kCrashingBody);
  fleet.loop.Advance(milliseconds(100));
  CHECK(answer->response.status == 503);
  CHECK(answer->response.headers.Find("Retry-After"));
  CHECK(fleet.crashingRuns.size() == runs);
}

// Guards against a request that is blocked since connections broke while it
// ran, though its targets live.
TEST_CASE("a request on connections that are only reset stays served")
{
  call_fleet fleet(2, 4);
  for (int round = 0; round < 12; ++round) {
    (void)fleet.Call(round % 2, "same");
    fleet.loop.Advance(milliseconds(3));
    fleet.ResetConnections();
    fleet.loop.Advance(milliseconds(3));
    fleet.ResetConnections();
    fleet.loop.Advance(milliseconds(200));
  }
  const auto answer = fleet.Call(0, "same");
  fleet.loop.Advance(milliseconds(200));
  CHECK(answer->response.status == 200);
}

// Guards against an innocent request that is blocked since it ran beside the
// one under which targets ended.
TEST_CASE("a request that ran beside ended targets stays served")
{
  call_fleet fleet(6, 4);
  // The same request is under way at all targets whenever one of them ends.
  for (int round = 0; round < 40; ++round) {
    for (int node = 0; node < 6; ++node) {
      (void)fleet.Call(node, "same");
    }
    if (round % 10 == 5) {
      fleet.loop.Advance(milliseconds(2));
      fleet.EndTarget(static_cast<std::size_t>(round / 10));
    }
    fleet.loop.Advance(milliseconds(400));
  }
  const auto answer = fleet.Call(0, "same");
  fleet.loop.Advance(milliseconds(200));
  CHECK(answer->response.status == 200);
}

// Guards against a request that a cut-off node reports: it can't connect to
// targets that live.
TEST_CASE("reports that living targets have ended are dropped")
{
  call_fleet fleet(2, 4);
  fleet.nodes[1]->link = call_fleet::link_state::Refused;
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.nodes[1]->crashes.NoteBroken(
      FingerprintOf("acme", fleet.Request("same")), fleet.targets[index].entry);
  }
  fleet.loop.Advance(milliseconds(100));
  CHECK(fleet.Call(0, "same")->response.status == 503);
  fleet.loop.Advance(milliseconds(3'000));
  const auto answer = fleet.Call(0, "same");
  fleet.loop.Advance(milliseconds(200));
  CHECK(answer->response.status == 200);
}

// Guards against a second target that ends under a request that may run once.
TEST_CASE("a crashing request that may run once is answered without a promise")
{
  call_fleet fleet(1, 4);
  const auto answer =
    fleet.Call(0, call_fleet::kCrashingBody, route_kind::NonIdempotent);
  fleet.loop.Advance(milliseconds(200));
  CHECK(answer->response.status == 502);
  CHECK(fleet.crashingRuns.size() == 1);
}
