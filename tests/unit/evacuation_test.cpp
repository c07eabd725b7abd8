#include "arbutusferry/node/ferry_node.hpp"
#include "arbutusferry/node/item_scoring.hpp"

#include "record_observers.hpp"
#include "support/call_fleet.hpp"
#include "support/ignored_duties.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr const char* kHotZone = "y";

/// Longest wait of a read of the operator's topic, and some latency.
constexpr milliseconds kTopicDelay{ 1'100 };

/// A node that follows the operator's topic.
struct following_node
{
  void Write(const std::string& aKey, const std::string& aValue)
  {
    append_request request;
    request.where = platform::OperatorPartition();
    request.records.push_back({ aKey, aValue });
    (void)store.Append(request);
  }
  [[nodiscard]] bool Allows(const char* aZone)
  {
    target_query query;
    query.service = "desk";
    target_entry entry;
    entry.id = "t";
    entry.service = "desk";
    entry.zone = aZone;
    node.UpdateTarget(entry);
    exchange_options options;
    options.targetZone = aZone;
    const std::size_t before = client.requests.size();
    node.TargetClient().Send(
      {}, {}, options, std::make_shared<response_collector>([](auto...) {}));
    return client.requests.size() > before;
  }

  manual_loop loop;
  scripted_client client;
  memory_store store;
  memory_log log{ loop, store };
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_duties duties;
  ferry_node node{ { loop, client, log, protocol, callers, duties },
                   { "vm1", "z", {}, { "z", kHotZone } } };
  platform::operator_record_observer observer{ node };
  keyed_follower follower{ loop,
                           log,
                           platform::OperatorPartition(),
                           keyed_follower::timing{},
                           observer };
};

/// A fleet whose targets with even numbers are in the nodes' own zone, which is
/// evacuated, since nodes prefer it.
struct zoned_fleet : call_fleet
{
  zoned_fleet(int aNodes, int aTargets)
    : call_fleet(aNodes, aTargets)
  {
    for (std::size_t index = 1; index < targets.size(); index += 2) {
      targets[index].entry.zone = "y";
    }
    loop.Advance(kHeartbeat);
  }
  void Evacuate(const char* aZone)
  {
    for (const auto& node : nodes) {
      (void)node->targets.Evacuations().Order(aZone, 1);
    }
  }
  [[nodiscard]] std::size_t RunningInHotZone() const
  {
    std::size_t running = 0;
    for (std::size_t index = 0; index < targets.size(); index += 2) {
      running += targets[index].running.size();
    }
    return running;
  }
};

} // namespace

// Guards against an order that an older record or listing lifts, or that is
// lost when the key is written again right behind a listing.
TEST_CASE("an evacuation is lifted only by a later record")
{
  evacuations orders;
  CHECK(orders.AllowsAll());
  CHECK(orders.Order("y", 5));
  CHECK_FALSE(orders.Order("y", 7));
  CHECK_FALSE(orders.Allows("y"));
  CHECK(orders.Allows("z"));
  CHECK_FALSE(orders.Lift("y", 6));
  CHECK_FALSE(orders.Lift("z", 8));
  CHECK(orders.Count() == 1);
  CHECK(orders.Lift("y", 9));
  CHECK(orders.Allows("y"));
  CHECK_FALSE(orders.Order("y", 8));
  CHECK(orders.Order("y", 9));
  CHECK(orders.Count() == 1);
}

// Guards against a starting node that sends to a zone whose order it has not
// read yet.
TEST_CASE("a node sends nothing to targets before it has read the orders")
{
  following_node test;
  test.Write("evacuate/y", "{}");
  for (int key = 0; key < 20; ++key) {
    test.Write("a" + std::to_string(key), "{}");
  }
  CHECK_FALSE(test.Allows("z"));
  test.follower.Start();
  test.loop.Advance(test.log.latency);
  CHECK_FALSE(test.Allows("z")); // One page of several.
  test.loop.Advance(milliseconds(100));
  CHECK(test.Allows("z"));
  CHECK_FALSE(test.Allows("y"));
}

// Guards against orders that are missed since their value can't be read, and
// against ones that outlast their key.
TEST_CASE("a key orders an evacuation until it is dropped")
{
  const auto* value = GENERATE("{}", "no JSON", "[1");
  following_node test;
  test.follower.Start();
  test.loop.Advance(milliseconds(100));
  REQUIRE(test.Allows("y"));
  test.Write("evacuate/y", value);
  test.loop.Advance(kTopicDelay);
  CHECK_FALSE(test.Allows("y"));
  CHECK(test.Allows("z"));
  test.loop.Advance(std::chrono::hours(1));
  CHECK_FALSE(test.Allows("y"));
  SECTION("by a record")
  {
    test.Write("evacuate/y", {});
    test.loop.Advance(kTopicDelay);
  }
  SECTION("by a listing that no longer holds it")
  {
    test.log.down = true;
    test.loop.Advance(kTopicDelay);
    CHECK_FALSE(test.Allows("y")); // Cut off, a node keeps its view.
    test.Write("evacuate/y", {});
    test.Write("other", "{}");
    test.store.Compact();
    test.log.down = false;
    test.loop.Advance(milliseconds(5'000));
  }
  CHECK(test.Allows("y"));
}

// Guards against plain requests to an evacuated zone, and against callers who
// wait although other zones have targets.
TEST_CASE("plain requests go to targets of other zones")
{
  zoned_fleet fleet(2, 4);
  fleet.Evacuate("z");
  for (int call = 0; call < 40; ++call) {
    const auto answer = fleet.Call(call % 2, "call" + std::to_string(call));
    CHECK(fleet.RunningInHotZone() == 0);
    fleet.loop.Advance(milliseconds(2));
    CHECK(fleet.RunningInHotZone() == 0);
    fleet.loop.Advance(milliseconds(10));
    CHECK(answer->response.status == 200);
  }
}

// Guards against requests that were on their way to a zone when its evacuation
// was ordered: they wait for a connection, or for an admission.
TEST_CASE("a request that was not sent before the order goes elsewhere")
{
  zoned_fleet fleet(1, 2);
  fleet.targets[1].up = false; // Only the zone to evacuate answers.
  fleet.nodes[0]->targets.NoteFailure("t1", fleet.loop.Now());
  const auto answer = fleet.Call(0, "x", route_kind::NonIdempotent);
  REQUIRE(fleet.nodes[0]->client.requests.back()->peer ==
          fleet.targets[0].entry.address);
  fleet.targets[1].up = true;
  fleet.Evacuate("z");
  fleet.loop.Advance(milliseconds(50));
  CHECK(answer->response.status == 200);
  CHECK(fleet.runsOf["r1"] == 1);
  CHECK(fleet.nodes[0]->client.requests.back()->peer ==
        fleet.targets[1].entry.address);
  CHECK(fleet.nodes[0]->targetClient.HeldBack() == 1);
}

// Guards against a hedge or a further attempt in an evacuated zone, and against
// a request in progress that is cancelled.
TEST_CASE("requests in progress end, and their further attempts go elsewhere")
{
  zoned_fleet fleet(1, 3);
  const auto answer = fleet.Call(0, "x");
  fleet.loop.Advance(milliseconds(2));
  REQUIRE(fleet.RunningInHotZone() == 1);
  fleet.Evacuate("z");
  std::size_t further = 0;
  SECTION("it ends") {}
  SECTION("it breaks")
  {
    fleet.ResetConnections();
    further = 1;
  }
  fleet.loop.Advance(milliseconds(200));
  CHECK(answer->response.status == 200);
  const auto& sent = fleet.nodes[0]->client.requests;
  REQUIRE(sent.size() == 1 + further);
  CHECK((further == 0 || sent[1]->peer == fleet.targets[1].entry.address));
}

// Guards against callers who wait for their time limit where no target is left.
TEST_CASE("requests are refused at once when all zones are evacuated")
{
  zoned_fleet fleet(1, 4);
  fleet.Evacuate("y");
  fleet.Evacuate("z");
  const std::size_t before = fleet.nodes[0]->client.requests.size();
  const auto answer = fleet.Call(0, "x");
  CHECK(answer->response.status == 503);
  CHECK(answer->response.headers.Find("Retry-After"));
  CHECK(fleet.nodes[0]->client.requests.size() == before);
  CHECK(RoomForRewardCalls(fleet.nodes[0]->targets,
                           call_fleet::kService,
                           fleet.loop.Now()) == 0);
}

// Guards against requests of nodes that lag behind, through a node that knows
// the order; also when it doesn't know the target.
TEST_CASE("a gateway sends nothing to an evacuated zone")
{
  zoned_fleet fleet(1, 2);
  auto& node = *fleet.nodes[0];
  const auto serve = [&](const socket_address& aTarget, std::string aZone) {
    gateway_call call;
    call.target = aTarget;
    call.options.targetZone = std::move(aZone);
    call.sentAt = ToMilliseconds(fleet.loop.Now().time_since_epoch());
    auto answer = std::make_shared<recording_responder>();
    node.gateway.Serve(MakeGatewaySend(call, call_fleet::Request("x")), answer);
    fleet.loop.Advance(milliseconds(1));
    return ReadGatewayError(answer->response.headers);
  };
  const socket_address unknown{ "10.0.9.9", 80 };
  CHECK_FALSE(serve(fleet.targets[0].entry.address, {}));
  REQUIRE(node.client.requests.size() == 1);
  fleet.Evacuate("z");
  CHECK(serve(fleet.targets[0].entry.address, {}) == gateway_error::NotSent);
  CHECK(serve(unknown, "z") == gateway_error::NotSent);
  CHECK(serve(unknown, {}) == gateway_error::NotSent);
  CHECK(node.client.requests.size() == 1);
  CHECK_FALSE(serve(fleet.targets[1].entry.address, {}));
  CHECK(node.client.requests.size() == 2);
  node.targets.Evacuations().AwaitOrders();
  CHECK(serve(fleet.targets[1].entry.address, "y") == gateway_error::CutOff);
  CHECK(node.client.requests.size() == 2);
}

// Guards against runs that a lagging leader starts through a node that knows
// the order, and against a sampler that is blamed for a starting node.
TEST_CASE("a relaying node starts no run in an evacuated zone")
{
  manual_loop loop;
  scripted_client client;
  platform::http_target_protocol protocol;
  node_directory nodes{ "vm/1" };
  target_view targets;
  target_client targetClient{ { loop, client, nodes, targets } };
  ignoring_handler other;
  bool mayStart = false;
  run_relay relay{ { loop,
                     targetClient,
                     protocol,
                     [] { return std::uint64_t{ 1 }; },
                     [] {},
                     other,
                     [&] { return mayStart; } } };
  const auto run = [&](const std::string& aRun, const std::string& aZone) {
    auto answer = std::make_shared<recording_responder>();
    relay.Handle(MakeRelayedRun(aRun,
                                1,
                                ToMilliseconds(loop.Now().time_since_epoch()),
                                { "10.0.0.9", 80 },
                                { "POST", "/p/x", { { "Host", "h" } }, {} },
                                aZone),
                 answer);
    loop.Advance(milliseconds(1));
    return answer;
  };
  auto answer = run("1-1", "z");
  CHECK(answer->response.status == 0);
  CHECK(answer->aborted);
  CHECK(client.requests.empty());
  mayStart = true;
  (void)targets.Evacuations().Order(kHotZone, 1);
  answer = run("1-2", kHotZone);
  CHECK(ReadRelayError(answer->response.headers) == relay_error::Unreachable);
  answer = run("1-3", {}); // Of a leader that names no zone.
  CHECK(ReadRelayError(answer->response.headers) == relay_error::Unreachable);
  CHECK(client.requests.empty());
  (void)run("1-4", "z");
  CHECK(client.requests.size() == 1);
}

// Guards against items, weight orders and requests for reports that go to an
// evacuated zone, and against items that are lost instead of waiting.
TEST_CASE("items wait for zones that are not evacuated")
{
  leader_test test;
  (void)test.targets.Evacuations().Order("z", 1);
  const auto leader = test.StartLeader(1);
  leader->SetNewestVersion("m", 2);
  leader->Submit(test.Request("b", 6), [](auto...) {});
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.starts.empty());
  CHECK(test.samplers.reports == 0);
  CHECK(test.samplers.samplers["10.0.0.1"].orders == 0);
  (void)test.targets.Evacuations().Lift("z", 2);
  leader->OnTargetsChanged();
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.starts.size() == 6);
}

// Guards against a broken stream that goes on in an evacuated zone.
TEST_CASE("an item whose stream breaks continues in another zone")
{
  leader_test test;
  target_entry moved = test.targets.Find("s1")->entry;
  moved.zone = kHotZone;
  test.targets.Update(moved, test.loop.Now());
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 6), [](auto...) {});
  test.loop.Advance(milliseconds(100));
  REQUIRE(test.samplers.starts.size() == 6);
  (void)test.targets.Evacuations().Order(kHotZone, 1);
  const std::size_t before = test.client.requests.size();
  for (const auto& open : test.client.Open()) {
    if (open->peer == moved.address) {
      open->Fail(exchange_failure::Broken);
    }
  }
  test.loop.Advance(milliseconds(3'000));
  CHECK_FALSE(test.samplers.resumedAfter.empty());
  for (std::size_t at = before; at < test.client.requests.size(); ++at) {
    CHECK(test.client.requests[at]->peer != moved.address);
  }
}
