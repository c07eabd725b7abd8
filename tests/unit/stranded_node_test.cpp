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

// Guards against a request that runs more often than its route allows, or is
// refused although it has run, when it goes through another node; and against
// targets that are given more time than the caller waits.
TEST_CASE("requests through other nodes keep attempts, promises and time left")
{
  const auto link =
    GENERATE(call_fleet::link_state::Silent, call_fleet::link_state::Refused);
  call_fleet fleet(4, 3);
  std::map<std::string, std::shared_ptr<recording_responder>> calls;
  for (int round = 0; round < 120; ++round) {
    const int node = round % 4;
    // Links fail and return, and connections to targets are reset meanwhile.
    fleet.nodes[static_cast<std::size_t>(round / 7 % 4)]->link =
      round % 3 == 0 ? link : call_fleet::link_state::Up;
    if (round % 5 == 0) {
      fleet.ResetConnections();
    }
    calls["r" + std::to_string(round + 1)] =
      fleet.Call(node, "x" + std::to_string(round), route_kind::NonIdempotent);
    fleet.loop.Advance(milliseconds(60 + round % 9));
  }
  fleet.loop.Advance(milliseconds(1'000));
  int served = 0;
  for (const auto& [id, answer] : calls) {
    CAPTURE(id, answer->response.status);
    CHECK(answer->answers == 1);
    CHECK(fleet.runsOf[id] <= 1);
    if (answer->response.status == 503) {
      CHECK(fleet.runsOf[id] == 0);
    }
    served += answer->response.status == 200 ? 1 : 0;
  }
  CHECK(served >= 80);
  CHECK(fleet.longestDeadline <= 800);
}

// Guards against a target that works on for a caller who has left.
TEST_CASE("a caller that leaves cancels its request behind another node")
{
  call_fleet fleet(2, 2);
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  (void)fleet.Call(0, "first");
  fleet.loop.Advance(milliseconds(500));
  REQUIRE(fleet.nodes[0]->targetClient.CutOff());
  const auto answer = fleet.Call(0, "second");
  fleet.loop.Advance(milliseconds(3));
  std::size_t running = 0;
  for (const auto& target : fleet.targets) {
    running += target.running.size();
  }
  REQUIRE(running == 1);
  answer->Leave();
  fleet.loop.Advance(milliseconds(1));
  for (const auto& target : fleet.targets) {
    for (const auto& sent : target.running) {
      CHECK(sent->cancelled);
    }
  }
}

// Guards against a stream whose length is lost on its way through another node
// and that is then aborted, since its text doesn't end behind an event.
TEST_CASE("a gateway keeps the length of a target's response")
{
  call_fleet fleet(2, 2);
  fleet.extraHeader = { "Content-Length", "4" };
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  (void)fleet.Call(0, "first");
  fleet.loop.Advance(milliseconds(500));
  REQUIRE(fleet.nodes[0]->targetClient.CutOff());
  fleet.relayed = 0;
  const auto answer = fleet.Call(0, "second", route_kind::Stream);
  fleet.loop.Advance(milliseconds(100));
  CHECK(fleet.relayed > 0);
  CHECK(answer->answers == 1);
  CHECK_FALSE(answer->aborted);
  CHECK(answer->response.body == "done");
}

// Guards against a node that waits for a body which a gateway announces and
// which no response to a HEAD request has.
TEST_CASE("a gateway passes on the length of a body only")
{
  const std::string method = GENERATE("GET", "HEAD");
  call_fleet fleet(1, 1);
  auto& node = *fleet.nodes[0];
  gateway_call call;
  call.target = fleet.targets[0].entry.address;
  call.options.connectTimeout = milliseconds(400);
  call.sentAt = ToMilliseconds(fleet.loop.Now().time_since_epoch());
  http_request request = call_fleet::Request({});
  request.method = method;
  const auto answer = std::make_shared<recording_responder>();
  node.gateway.Serve(MakeGatewaySend(call, request), answer);
  REQUIRE(node.client.requests.size() == 1);
  node.client.requests[0]->sink->OnHead(200, { { "Content-Length", "4" } });
  CHECK(answer->response.headers.Find("Content-Length").has_value() ==
        (method == "GET"));
}

// Guards against requests that end with the process of a stopping node through
// which another node has sent them.
TEST_CASE("a node that stops serves no requests of other nodes")
{
  call_fleet fleet(3, 2);
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  (void)fleet.Call(0, "first");
  fleet.loop.Advance(milliseconds(500));
  REQUIRE(fleet.nodes[0]->targetClient.CutOff());
  fleet.nodes[1]->gateway.Stop();
  for (int call = 0; call < 8; ++call) {
    const auto answer =
      fleet.Call(0, "call" + std::to_string(call), route_kind::NonIdempotent);
    fleet.loop.Advance(milliseconds(100));
    CHECK(answer->response.status == 200);
  }
  CHECK(fleet.nodes[1]->client.requests.empty());
}

// Guards against callers who wait for their time limit although no node can
// serve them.
TEST_CASE("a request is refused at once when all nodes are cut off")
{
  call_fleet fleet(3, 3);
  for (const auto& node : fleet.nodes) {
    node->link = call_fleet::link_state::Refused;
  }
  (void)CallSteadily(fleet, route_kind::Idempotent, milliseconds(1'500));
  const auto answer = fleet.Call(0, "x");
  fleet.loop.Advance(milliseconds(50));
  CHECK(answer->response.status == 503);
}

// Guards against requests that other nodes send for callers who are long gone,
// since the message was held up on its way.
TEST_CASE("a message to another node that was under way for long is refused")
{
  call_fleet fleet(1, 1);
  auto& node = *fleet.nodes[0];
  gateway_call call;
  call.target = fleet.targets[0].entry.address;
  call.options.connectTimeout = milliseconds(400);
  const auto serve = [&](std::optional<std::int64_t> aSentAt) {
    call.sentAt = aSentAt;
    auto answer = std::make_shared<recording_responder>();
    node.gateway.Serve(MakeGatewaySend(call, call_fleet::Request("x")), answer);
    return ReadGatewayError(answer->response.headers);
  };
  const std::int64_t now = ToMilliseconds(fleet.loop.Now().time_since_epoch());
  CHECK(serve(std::nullopt) == gateway_error::Late);
  CHECK(serve(now - 400) == gateway_error::Late);
  CHECK(serve(now + 400) == gateway_error::Late);
  CHECK(node.client.requests.empty());
  CHECK_FALSE(serve(now - 300));
  REQUIRE(node.client.requests.size() == 1);
  CHECK(node.client.requests[0]->options.connectTimeout == milliseconds(100));
}

// Guards against a crashing request that stays unknown since the nodes that
// send it reach targets only through others.
TEST_CASE("nodes that are cut off block a crashing request too")
{
  call_fleet fleet(4, 4);
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  fleet.nodes[1]->link = call_fleet::link_state::Silent;
  (void)fleet.Call(0, "x");
  (void)fleet.Call(1, "x");
  fleet.loop.Advance(milliseconds(1'000));
  for (int round = 0; round < 60; ++round) {
    (void)fleet.Call(round % 2, call_fleet::kCrashingBody);
    fleet.loop.Advance(milliseconds(300));
  }
  CHECK(fleet.crashingRuns.size() >= 3);
  CHECK(fleet.crashingRuns.size() <= 6);
}

// Guards against weight orders of one leader that reach a sampler from two VMs.
TEST_CASE("what may come from one node only isn't sent through others")
{
  call_fleet fleet(2, 2);
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  (void)fleet.Call(0, "x");
  fleet.loop.Advance(milliseconds(1'000));
  REQUIRE(fleet.nodes[0]->targetClient.CutOff());
  fleet.relayed = 0;
  exchange_options options;
  options.directOnly = true;
  std::optional<exchange_failure> failure;
  fleet.nodes[0]->targetClient.Send(
    fleet.targets[0].entry.address,
    call_fleet::Request("order"),
    options,
    std::make_shared<response_collector>(
      [&](const http_response*, exchange_failure aFailure) {
        failure = aFailure;
      }));
  fleet.loop.Advance(milliseconds(100));
  CHECK(failure == exchange_failure::Refused);
  CHECK(fleet.relayed == 0);
}

// Guards against a target whose response, passed on by another node, is taken
// for that node's word that the request wasn't sent: it would run twice.
TEST_CASE("a target's headers don't pass for those of a gateway")
{
  call_fleet fleet(2, 2);
  fleet.extraHeader = { "ferry-gateway-error", "not_sent" };
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  fleet.loop.Advance(milliseconds(1'000));
  const auto answer = fleet.Call(0, "x", route_kind::NonIdempotent);
  fleet.loop.Advance(milliseconds(1'000));
  CHECK(fleet.relayed > 0);
  CHECK(answer->response.status == 200);
  for (const auto& [id, runs] : fleet.runsOf) {
    CHECK(runs == 1);
  }
}
