#include "zones/cold_state.hpp"

#include "support/call_fleet.hpp"
#include "wire_format.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kColdStart{ 20'000 };
/// Requests per second that a cold target takes on the reference platform.
constexpr double kPerSecond = 7.8;
constexpr time_point kNow{ std::chrono::hours(1) };

/// @return The largest number of requests in a sliding second.
std::size_t
PeakInSecond(const std::vector<time_point>& aArrivals)
{
  std::size_t peak = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aArrivals.size(); ++last) {
    while (aArrivals[last] - aArrivals[first] >= seconds(1)) {
      ++first;
    }
    peak = std::max(peak, last - first + 1);
  }
  return peak;
}

/// The platform's bound (`cold-overage`, `cold-slack`).
std::size_t
Allowed(double aPerSecond)
{
  return static_cast<std::size_t>(std::floor(1.5 * aPerSecond + 5));
}

/// A fleet whose targets may be cold, with one node that grants starts.
struct cold_fleet : call_fleet
{
  cold_fleet(int aNodes, int aTargets, double aPerSecond = kPerSecond)
    : call_fleet(aNodes, aTargets)
  {
    leader = 0;
    for (const auto& node : nodes) {
      node->targets.SetColdRates({ { kService, { kColdStart, aPerSecond } } },
                                 loop.Now());
    }
    SetCold(0, milliseconds(0), static_cast<std::size_t>(aTargets));
  }
  /// Lets targets write that they are cold for a time, in each record.
  void SetCold(std::size_t aFirst, milliseconds aLeft, std::size_t aCount = 1)
  {
    for (std::size_t index = aFirst; index < aFirst + aCount; ++index) {
      targets[index].entry.coldLeft = aLeft;
    }
    loop.Advance(kHeartbeat);
  }
  /// Sends requests to all nodes in turn.
  void CallSteadily(milliseconds aFor, milliseconds aInterval)
  {
    const time_point end = loop.Now() + aFor;
    while (loop.Now() < end) {
      (void)Call(static_cast<int>(mNext % nodes.size()),
                 "call" + std::to_string(mNext));
      ++mNext;
      loop.Advance(aInterval);
    }
  }

private:
  std::size_t mNext = 0;
};

} // namespace

// Guards against a target that is taken for warm by a record or response that
// predates the reason why it is presumed cold, or that says nothing.
TEST_CASE("a target is cold by its records and by what was seen since")
{
  cold_state state;
  CHECK_FALSE(state.Cold(kNow));
  state.NoteRecord(milliseconds(3'000), true, kColdStart, kNow);
  CHECK(state.Cold(kNow + milliseconds(2'999)));
  CHECK_FALSE(state.Cold(kNow + milliseconds(3'000)));
  state.NoteRecord(milliseconds(0), false, kColdStart, kNow + seconds(1));
  CHECK_FALSE(state.Cold(kNow + seconds(1)));
  state.NoteResponse(milliseconds(500), kNow + seconds(1));
  CHECK(state.Cold(kNow + seconds(1)));

  time_point now = kNow + seconds(10);
  CHECK(state.Presume(now, now));
  CHECK_FALSE(state.Presume(now, now));
  CHECK(state.Cold(now + seconds(60)));
  state.NoteRecord(std::nullopt, false, kColdStart, now + seconds(1));
  CHECK(state.Cold(now + seconds(1))); // The record doesn't tell.
  state.NoteRecord(milliseconds(0), false, kColdStart, now + seconds(2));
  CHECK_FALSE(state.Cold(now + seconds(2)));

  now += seconds(10);
  (void)state.Presume(now + milliseconds(1'500), now);
  state.NoteRecord(
    milliseconds(0), false, kColdStart, now + milliseconds(1'400));
  CHECK(state.Cold(now + milliseconds(1'400)));
  state.NoteRecord(
    milliseconds(0), false, kColdStart, now + milliseconds(1'501));
  CHECK_FALSE(state.Cold(now + milliseconds(1'501)));

  // A new process whose record lacks the figure.
  now += seconds(10);
  state.NoteRecord(std::nullopt, true, kColdStart, now);
  CHECK(state.Cold(now + kColdStart - milliseconds(1)));
  CHECK_FALSE(state.Cold(now + kColdStart));
}

// Guards against presumptions that never end where no record has the figure.
TEST_CASE("records without the figure end a presumption after the cold start")
{
  cold_state state;
  state.NoteRecord(std::nullopt, true, kColdStart, kNow);
  (void)state.Presume(kNow + seconds(30), kNow + seconds(30));
  state.NoteRecord(std::nullopt, false, kColdStart, kNow + seconds(40));
  CHECK(state.Cold(kNow + seconds(40)));
  state.NoteRecord(std::nullopt, false, kColdStart, kNow + seconds(50));
  CHECK_FALSE(state.Cold(kNow + seconds(50)));
}

// Guards against the higher of two rates, and against a burst at the moment
// when a target turns cold.
TEST_CASE("the lower of a target's limit and its cold rate binds")
{
  target_limit limit;
  CHECK_FALSE(limit.Limited());
  limit.SetColdRate(8.0, kNow);
  CHECK(limit.StartsAvailable(kNow) == 1);
  CHECK(limit.StartsAvailable(kNow + seconds(10)) == kLimitBurst);
  CHECK_FALSE(limit.Named());
  (void)limit.Note({ true, 2.0, {} }, true, kNow, kNow + seconds(10));
  time_point now = kNow + seconds(20);
  int starts = 0;
  for (; now < kNow + seconds(30); now += milliseconds(10)) {
    starts += limit.Reserve(now, now) ? 1 : 0;
  }
  CHECK(starts <= 20 + kLimitBurst);
  CHECK(starts >= 20);
  limit.SetColdRate(std::nullopt, now);
  CHECK(limit.Limited());
  (void)limit.Note({}, true, now, now);
  CHECK_FALSE(limit.Limited());
}

// Guards against names on the wire that are not read.
TEST_CASE("cold rates and times are read from the platform's documents")
{
  const auto manifest = Capture([] {
    return platform::DecodeManifest(
      R"({"version":1,"routes":[],"services":[{"name":"a","cold-start-s":20,)"
      R"("coldstart-per-s":7.8},{"name":"b","cold-start-s":20,)"
      R"("coldstart-per-s":0},{"name":"c"}]})");
  });
  const auto& view = std::get<environment_view>(manifest);
  REQUIRE(view.Service("a")->coldRate);
  CHECK(*view.Service("a")->coldRate == cold_rate{ kColdStart, kPerSecond });
  CHECK_FALSE(view.Service("b")->coldRate);
  CHECK_FALSE(view.Service("c")->coldRate);
  const auto read = [](const std::string& aField) {
    const auto target = Capture([&] {
      return platform::DecodeTarget(
        "t",
        R"({"service":"a","zone":"z","slots":1,"state":"ready",)"
        R"("address":"10.0.0.1:80")" +
          aField + "}");
    });
    return std::get<target_entry>(target).coldLeft;
  };
  CHECK(read(R"(,"cold-left-ms":1500)") == milliseconds(1'500));
  CHECK(read(R"(,"cold-left-ms":0)") == milliseconds(0));
  CHECK_FALSE(read({}));
  const platform::http_target_protocol protocol;
  CHECK(protocol.ReadLimit({ { "Arbutusferry-Cold-Ms", "900" } }).coldLeft ==
        milliseconds(900));
  CHECK_FALSE(protocol.ReadLimit({}).coldLeft);
}

// Guards against a target that returns cold with its zone and gets the load of
// warm ones, and against one that stays presumed cold.
TEST_CASE("targets are presumed cold after outages and evacuations")
{
  target_view targets;
  time_point now = kNow;
  target_entry entry;
  entry.id = "t0";
  entry.service = "desk";
  entry.zone = "y";
  entry.address = { "10.0.0.1", 80 };
  entry.bornUnixMs = 1;
  entry.coldLeft = milliseconds(0);
  targets.Update(entry, now);
  CHECK_FALSE(targets.ColdAt(entry.address));
  targets.NoteBroken(entry.address, now);
  CHECK_FALSE(targets.ColdAt(entry.address)); // No service has cold targets.
  targets.SetColdRates({ { "desk", { kColdStart, kPerSecond } } }, now);
  CHECK_FALSE(targets.ColdAt(entry.address));

  SECTION("after a broken exchange")
  {
    targets.NoteBroken(entry.address, now);
    CHECK(targets.ColdAt(entry.address));
    targets.Expire(now + seconds(60));
    CHECK(targets.ColdAt(entry.address));
    targets.Update(entry, now + seconds(61));
    CHECK_FALSE(targets.ColdAt(entry.address));
  }
  SECTION("after an evacuation")
  {
    targets.NoteZoneBack("y", now);
    targets.Update(entry, now + milliseconds(1'400));
    CHECK(targets.ColdAt(entry.address));
    target_entry late = entry;
    late.id = "t1";
    late.address = { "10.0.0.2", 80 };
    targets.Update(late, now + milliseconds(1'400));
    CHECK(targets.ColdAt(late.address));
    targets.Update(entry, now + milliseconds(1'600));
    targets.Update(late, now + milliseconds(1'600));
    CHECK_FALSE(targets.ColdAt(entry.address));
    CHECK_FALSE(targets.ColdAt(late.address));
  }
  SECTION("after a start under the same id")
  {
    entry.bornUnixMs = 2;
    entry.coldLeft.reset();
    targets.Update(entry, now);
    CHECK(targets.ColdAt(entry.address));
    targets.Update(entry, now + seconds(10));
    CHECK(targets.ColdAt(entry.address));
    targets.Expire(now + kColdStart);
    CHECK_FALSE(targets.ColdAt(entry.address));
  }
  SECTION("by a response")
  {
    targets.NoteLimit(
      "t0", { false, std::nullopt, milliseconds(700) }, true, now, now);
    CHECK(targets.ColdAt(entry.address));
    targets.Expire(now + milliseconds(700));
    CHECK_FALSE(targets.ColdAt(entry.address));
  }
}

// Guards against requests that wait for cold targets, or go there, while warm
// ones have room; and against cold ones that stay unused.
TEST_CASE("warm targets come first, and cold ones are used by their rate")
{
  cold_fleet fleet(4, 3);
  fleet.SetCold(0, seconds(60));
  fleet.targets[0].arrivals.clear();
  fleet.CallSteadily(seconds(3), milliseconds(20));
  CHECK(fleet.targets[0].arrivals.empty());
  fleet.targets[1].up = false;
  fleet.targets[2].up = false;
  fleet.CallSteadily(seconds(4), milliseconds(20));
  CHECK(PeakInSecond(fleet.targets[0].arrivals) <= Allowed(kPerSecond));
  CHECK(fleet.targets[0].arrivals.size() >= 20);
}

// Guards against a cold target that gets more than it can take from all nodes
// together: with several starts at one moment, a change of leader, a node that
// has lost its links to targets, and nodes that reach no leader.
TEST_CASE("all nodes together keep the rate of a cold target")
{
  const auto perSecond = GENERATE(0.5, 2.0, kPerSecond, 20.0);
  cold_fleet fleet(8, 1, perSecond);
  fleet.SetCold(0, seconds(60));
  fleet.targets[0].arrivals.clear();
  fleet.nodes[3]->link = call_fleet::link_state::Silent;
  for (int second = 0; second < 12; ++second) {
    if (second % 3 == 2) {
      fleet.leader = (*fleet.leader + 1) % 8;
      fleet.nodes[static_cast<std::size_t>(*fleet.leader)]
        ->targets.SpendLimitBursts(fleet.loop.Now());
    }
    for (int call = 0; call < 40; ++call) {
      (void)fleet.Call(call % 8, "burst" + std::to_string(call));
    }
    fleet.CallSteadily(seconds(1), milliseconds(4));
  }
  CAPTURE(perSecond, fleet.targets[0].arrivals.size());
  CHECK(PeakInSecond(fleet.targets[0].arrivals) <= Allowed(perSecond));
  CHECK(static_cast<double>(fleet.targets[0].arrivals.size()) >= 6 * perSecond);
  fleet.leader = -1;
  fleet.loop.Advance(seconds(2));
  fleet.targets[0].arrivals.clear();
  fleet.CallSteadily(seconds(2), milliseconds(4));
  CHECK(fleet.targets[0].arrivals.empty());
}

// Guards against a start that goes on with a decision which no longer holds
// when its connection is made: the target is cold now, or the grant is old.
TEST_CASE("a request is checked for cold targets right before it is written")
{
  cold_fleet fleet(1, 2);
  auto& node = *fleet.nodes[0];
  const socket_address address = fleet.targets[0].entry.address;
  const auto send = [&](start_right aRight) {
    exchange_options options;
    options.start = aRight;
    options.connectTimeout = kColdConnectTimeout;
    const std::size_t before = node.client.requests.size();
    node.targetClient.Send(
      address,
      call_fleet::Request("x"),
      options,
      std::make_shared<response_collector>([](auto...) {}));
    return node.client.requests.size() > before ? node.client.requests.back()
                                                : nullptr;
  };
  const auto warm = send(start_right::Warm);
  const auto granted = send(start_right::Granted);
  const auto order = send(start_right::Any);
  REQUIRE((warm && granted && order));
  const auto warmCheck = warm->options.mayWrite;
  const auto grantedCheck = granted->options.mayWrite;
  const auto orderCheck = order->options.mayWrite;
  CHECK(warmCheck());
  node.targets.PresumeCold("t0", cold_reason::Broken, fleet.loop.Now());
  CHECK_FALSE(warmCheck());
  CHECK(grantedCheck());
  CHECK(orderCheck());
  CHECK_FALSE(send(start_right::Warm));
  CHECK(send(start_right::Granted));

  // Through a gateway that knows of the coldness, while the sender doesn't.
  gateway_call call;
  call.target = address;
  call.sentAt = ToMilliseconds(fleet.loop.Now().time_since_epoch());
  const auto serve = [&](start_right aRight) {
    call.options.start = aRight;
    auto answer = std::make_shared<recording_responder>();
    node.gateway.Serve(MakeGatewaySend(call, call_fleet::Request("x")), answer);
    fleet.loop.Advance(milliseconds(0));
    return ReadGatewayError(answer->response.headers);
  };
  CHECK(serve(start_right::Warm) == gateway_error::NotSent);
  CHECK_FALSE(serve(start_right::Granted));
}

// Guards against late starts through a relaying node, which add to those of a
// later second, and against starts there by a leader that takes a cold sampler
// for warm.
TEST_CASE("a relaying node refuses late and ungranted starts at cold samplers")
{
  cold_fleet fleet(1, 1);
  auto& node = *fleet.nodes[0];
  run_relay relay{ { fleet.loop,
                     node.targetClient,
                     fleet.protocol,
                     [] { return std::uint64_t{ 1 }; },
                     [] {},
                     node.other } };
  node.targets.PresumeCold("t0", cold_reason::Broken, fleet.loop.Now());
  int runs = 0;
  const auto run = [&](start_right aRight, milliseconds aTransit) {
    auto answer = std::make_shared<recording_responder>();
    relay.Handle(
      MakeRelayedRun(
        "1-" + std::to_string(++runs),
        1,
        ToMilliseconds((fleet.loop.Now() - aTransit).time_since_epoch()),
        fleet.targets[0].entry.address,
        call_fleet::Request("x"),
        "z",
        aRight),
      answer);
    fleet.loop.Advance(milliseconds(0));
    return ReadRelayError(answer->response.headers);
  };
  CHECK(run(start_right::Granted, milliseconds(260)) == relay_error::Late);
  CHECK(run(start_right::Warm, milliseconds(0)) == relay_error::Unreachable);
  CHECK(run(start_right::Any, milliseconds(0)) == relay_error::Unreachable);
  CHECK(node.client.requests.empty());
  CHECK_FALSE(run(start_right::Granted, milliseconds(100)));
  CHECK(node.client.requests.size() == 1);
}

// Guards against a leader that limits a warm target for all since one node,
// which gets no more records, takes it for cold; and against one that does not
// believe later evidence.
TEST_CASE("a leader weighs what another node knows of a cold target")
{
  cold_fleet fleet(2, 1);
  auto& leader = *fleet.nodes[0];
  const auto request = [&](duration aAge) {
    start_limits limits;
    limits.cold = cold_limit{ kPerSecond, fleet.loop.Now() - aAge };
    std::optional<admission> answer;
    leader.limits.Request(
      "t0", limits, milliseconds(0), [&](const admission& aAdmission) {
        answer = aAdmission;
      });
    return answer->granted;
  };
  fleet.loop.Advance(milliseconds(100));
  int granted = 0;
  for (int call = 0; call < 100; ++call) {
    granted += request(seconds(10)) ? 1 : 0;
    fleet.loop.Advance(milliseconds(10));
  }
  CHECK(granted <= kLimitBurst + 8);
  CHECK(granted >= 7);
  CHECK_FALSE(leader.targets.ColdAt(fleet.targets[0].entry.address));
  (void)request(milliseconds(0));
  CHECK(leader.targets.ColdAt(fleet.targets[0].entry.address));
}

// Guards against items that two leaders start at a cold sampler, and against a
// batch of starts there at one moment.
TEST_CASE("items start at cold samplers by their rate and a fresh leadership")
{
  leader_test test;
  target_entry cold = test.targets.Find("s1")->entry;
  cold.slots = 64;
  cold.coldLeft = seconds(60);
  target_entry warm = test.targets.Find("s2")->entry;
  warm.coldLeft = milliseconds(0);
  test.targets.SetColdRates({ { "models", { kColdStart, 2.0 } } },
                            test.loop.Now());
  test.targets.Update(cold, test.loop.Now());
  test.targets.Update(warm, test.loop.Now());
  test.samplers.events = 60;
  bool fresh = false;
  batch_leader leader(batch_leader::parts{ test.loop,
                                           test.client,
                                           test.client,
                                           test.log,
                                           test.targets,
                                           test.nodes,
                                           test.protocol,
                                           test,
                                           test.scorer,
                                           test.metrics,
                                           "vm",
                                           milliseconds(120'000),
                                           [] {},
                                           [] { return true; },
                                           [] { return true; },
                                           [&] { return fresh; } },
                      1);
  leader.Start([](const auto&) {});
  test.loop.Advance(milliseconds(100));
  const auto startsAt = [&](const target_entry& aTarget) {
    return std::count_if(test.client.requests.begin(),
                         test.client.requests.end(),
                         [&](const auto& aSent) {
                           return aSent->peer == aTarget.address &&
                                  aSent->request.target == "/p/x";
                         });
  };
  leader.Submit(test.Request("b", 40), [] {});
  test.loop.Advance(milliseconds(500));
  CHECK(startsAt(warm) == 4); // All its slots.
  CHECK(startsAt(cold) == 0);
  fresh = true;
  test.loop.Advance(milliseconds(1'000));
  CHECK(startsAt(cold) >= 1);
  CHECK(startsAt(cold) <= kLimitBurst + 2);
}
