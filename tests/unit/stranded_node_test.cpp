#include "support/call_fleet.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Time after which a node that is cut off must serve its callers
/// (`contact-ms` of the platform).
constexpr milliseconds kContactTime{ 3'000 };

struct served_share
{
  int calls = 0;
  int served = 0;
};

/// Calls each node in turn, for which a node needs connections to targets.
/// @return By whether the node's links were cut at the time.
std::map<bool, served_share>
CallSteadily(call_fleet& aFleet, route_kind aKind, milliseconds aFor)
{
  std::vector<std::pair<bool, std::shared_ptr<recording_responder>>> calls;
  const time_point end = aFleet.loop.Now() + aFor;
  for (int round = 0; aFleet.loop.Now() < end; ++round) {
    const auto node = static_cast<std::size_t>(round) % aFleet.nodes.size();
    const bool cut = aFleet.nodes[node]->link != call_fleet::link_state::Up;
    calls.emplace_back(cut,
                       aFleet.Call(static_cast<int>(node),
                                   "call" + std::to_string(round),
                                   aKind));
    aFleet.loop.Advance(milliseconds(170));
  }
  aFleet.loop.Advance(milliseconds(1'000));
  std::map<bool, served_share> shares;
  for (const auto& [cut, answer] : calls) {
    ++shares[cut].calls;
    shares[cut].served += answer->response.status == 200 ? 1 : 0;
  }
  return shares;
}

} // namespace

// Guards against callers who are not served since their node has lost its
// links to the targets, while other nodes reach them.
TEST_CASE("a node that is cut off from all targets serves through other nodes")
{
  const auto link =
    GENERATE(call_fleet::link_state::Silent, call_fleet::link_state::Refused);
  const auto kind = GENERATE(
    route_kind::Idempotent, route_kind::NonIdempotent, route_kind::Stream);
  call_fleet fleet(6, 4);
  (void)CallSteadily(fleet, kind, milliseconds(2'000));
  for (int node = 0; node < 4; ++node) {
    fleet.nodes[static_cast<std::size_t>(node)]->link = link;
  }
  (void)CallSteadily(fleet, kind, kContactTime);
  auto shares = CallSteadily(fleet, kind, milliseconds(9'000));
  CAPTURE(link == call_fleet::link_state::Silent);
  CAPTURE(shares[true].served, shares[true].calls);
  CHECK(shares[false].served == shares[false].calls);
  CHECK(3 * shares[true].served >= 2 * shares[true].calls);
  // After the cut nothing goes through other nodes any more.
  for (const auto& node : fleet.nodes) {
    node->link = call_fleet::link_state::Up;
  }
  fleet.loop.Advance(milliseconds(2'000));
  fleet.relayed = 0;
  shares = CallSteadily(fleet, kind, milliseconds(3'000));
  CHECK(shares[false].served == shares[false].calls);
  CHECK(fleet.relayed == 0);
}
