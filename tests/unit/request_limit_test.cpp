#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/software_watch.hpp"

#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Submits a batch of 20 items a second.
void
SubmitSteadily(leader_test& aTest, batch_leader& aLeader, int aSeconds)
{
  for (int second = 0; second < aSeconds; ++second) {
    aLeader.Submit(
      aTest.Request("b" + std::to_string(aTest.loop.UnixMilliseconds()), 20),
      [] {});
    aTest.loop.Advance(milliseconds(1'000));
  }
}

constexpr const char* kLeaderIp = "10.0.1.1";

/// Targets of a plain service, and nodes that forward calls to them.
struct limited_service
{
  limited_service(int aNodes, int aTargets)
  {
    for (int index = 0; index < aNodes; ++index) {
      nodes.push_back(std::make_unique<calling_node>(*this, index));
    }
    for (int index = 0; index < aTargets; ++index) {
      target_entry entry;
      entry.id = "t" + std::to_string(index);
      entry.service = "desk";
      entry.address = { "10.0.0." + std::to_string(index + 1), 80 };
      entry.zone = "z";
      entry.slots = 4;
      for (const auto& node : nodes) {
        node->targets.Update(entry, loop.Now());
      }
    }
  }

  struct calling_node
  {
    calling_node(limited_service& aService, int aIndex)
      : index(aIndex)
      , name("n" + std::to_string(aIndex))
      , service(aService)
    {
      client.onSend = [this](const auto& aSent) {
        service.OnSend(*this, aSent);
      };
    }
    int index;
    std::string name;
    limited_service& service;
    scripted_client client;
    target_view targets;
    bool reachesLeader = true;
    node_directory directory{ name + "/1" };
    memory_store store;
    memory_log log{ service.loop, store };
    software_watch software{ { service.loop, log, targets } };
    shared_stream_origins origins{
      { service.loop, client, directory, software, name }
    };
    limit_coordinator limits{
      { service.loop,
        client,
        targets,
        [this] { return service.leaders.contains(index); },
        [this]() -> std::optional<socket_address> {
          return service.leaders.contains(index)
                   ? std::nullopt
                   : std::optional(LeaderAddress(service.leaderOf(index)));
        } }
    };
    call_forwarder forwarder{ { service.loop,
                                client,
                                targets,
                                service.protocol,
                                service.callers,
                                limits,
                                origins,
                                service.crashes,
                                service.runs,
                                service.metrics,
                                "z" } };
  };

  static socket_address LeaderAddress(int aNode)
  {
    return { kLeaderIp, static_cast<std::uint16_t>(aNode + 1) };
  }

  void OnSend(calling_node& aNode,
              const std::shared_ptr<scripted_client::sent>& aSent)
  {
    if (aSent->peer.ip == kLeaderIp) {
      loop.Post(milliseconds(1), [this, &aNode, aSent] {
        if (aNode.reachesLeader) {
          sink_responder response(aSent);
          nodes[aSent->peer.port - 1U]->limits.Serve(aSent->request, response);
        } else {
          aSent->Fail(exchange_failure::Timeout);
        }
      });
      return;
    }
    const std::string id(
      aSent->request.headers.Get("Arbutusferry-Expect-Instance"));
    standin::limit_rule& rule = rules[id];
    ++arrivals[id];
    excess =
      std::max(excess, rule.NoteRequest(aNode.name, loop.Now()).value_or(0));
    loop.Post(milliseconds(5), [this, &aNode, &rule, aSent] {
      header_list headers{ { "Arbutusferry-Server-Stamp", "s" } };
      if (rule.Limit()) {
        headers.Add("Server-Limit", std::to_string(*rule.Limit()));
        rule.NoteResponse(aNode.name, loop.Now());
      }
      aSent->Answer(200, headers, "done");
    });
  }

  std::shared_ptr<recording_responder> Call(calling_node& aNode)
  {
    admitted_call call;
    call.id = "r" + std::to_string(++calls);
    call.service = "desk";
    call.route.kind = route_kind::Idempotent;
    call.route.maxAttempts = 2;
    call.route.latencyTarget = milliseconds(150);
    call.request.method = "POST";
    call.request.target = "/x";
    call.deadline = loop.Now() + milliseconds(800);
    call.timeout = loop.Now() + milliseconds(800);
    auto answer = std::make_shared<recording_responder>();
    aNode.forwarder.Forward(std::move(call), answer);
    return answer;
  }

  /// Each node gets a call in every 200 ms.
  void CallSteadily(duration aTime)
  {
    const time_point end = loop.Now() + aTime;
    while (loop.Now() < end) {
      for (const auto& node : nodes) {
        responses.push_back(Call(*node));
        loop.Advance(milliseconds(200) / static_cast<int>(nodes.size()));
      }
    }
  }

  manual_loop loop;
  std::set<int> leaders{ 0 }; ///< Nodes that may grant.
  std::function<int(int)> leaderOf = [](int) { return 0; }; ///< By node.
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_runs runs;
  ignored_crashes crashes;
  metrics_registry metrics;
  std::vector<std::unique_ptr<calling_node>> nodes;
  std::map<std::string, standin::limit_rule> rules;
  std::map<std::string, int> arrivals;
  std::vector<std::shared_ptr<recording_responder>> responses;
  std::size_t excess = 0;
  int calls = 0;
};

} // namespace

// Guards against a leader that fills a sampler's slots though the sampler has
// named a lower rate of requests.
TEST_CASE("items keep to the rate that their sampler names")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  auto& limited = test.samplers.samplers["10.0.0.1"];
  limited.limit.SetLimit(1.0, test.loop.Now());
  SubmitSteadily(test, *leader, 15);
  CHECK(limited.limitExceededBy == 0);
  CHECK(limited.limit.Peak() > 0); // The sampler is still used.
}

// Guards against a new leader that knows no limit and fills the sampler again,
// through the same relaying node or directly.
TEST_CASE("items keep to the rate through changes of leader")
{
  leader_test test;
  test.log.pageEntries = 1'000;
  std::optional<relay_node> relayNode;
  if (GENERATE(true, false)) {
    relayNode.emplace(test);
  }
  auto& limited = test.samplers.samplers["10.0.0.1"];
  limited.limit.SetLimit(1.0, test.loop.Now());
  for (std::uint64_t fence = 1; fence <= 12; ++fence) {
    // A process that takes over has only seen the registry.
    for (auto& [id, known] : test.targets.All()) {
      known.limit = target_limit();
    }
    const auto leader = test.StartLeader(fence);
    SubmitSteadily(test, *leader, 1);
  }
  CHECK(limited.limitExceededBy == 0);
}

// Guards against nodes that each keep to a limit and exceed it together.
TEST_CASE("plain requests of all nodes together keep to a target's rate")
{
  limited_service test(12, 3);
  for (const char* id : { "t0", "t1", "t2" }) {
    test.rules[id].SetLimit(1.0, test.loop.Now());
  }
  test.CallSteadily(milliseconds(12'000));
  CHECK(test.excess == 0);
}

// Guards against nodes that go on by themselves when they reach no leader, and
// against callers that wait for an answer that can't come.
TEST_CASE("a node that reaches no leader sends nothing to limited targets")
{
  limited_service test(2, 1);
  test.rules["t0"].SetLimit(2.0, test.loop.Now());
  test.CallSteadily(milliseconds(4'000));
  REQUIRE(test.nodes[1]->targets.Find("t0")->limit.Named());
  test.nodes[1]->reachesLeader = false;
  const int before = test.arrivals["t0"];
  const auto response = test.Call(*test.nodes[1]);
  test.loop.Advance(milliseconds(10));
  CHECK(response->response.status == 503);
  CHECK(response->response.headers.Find("Retry-After"));
  CHECK(test.arrivals["t0"] == before);
}

// Guards against two leaders that both grant the whole rate: the old one as
// long as it may take its confirmation for valid.
TEST_CASE("a change of leader keeps plain requests to a target's rate")
{
  limited_service test(8, 1);
  test.rules["t0"].SetLimit(3.0, test.loop.Now());
  test.CallSteadily(milliseconds(5'000));
  int leader = 0;
  for (int change = 0; change < 6; ++change) {
    const int next = leader == 0 ? 7 : 0;
    test.leaders = { leader, next };
    test.nodes[static_cast<std::size_t>(next)]->targets.SpendLimitBursts(
      test.loop.Now());
    test.leaderOf = [leader, next](int aNode) {
      return aNode % 2 == 0 ? leader : next;
    };
    test.CallSteadily(milliseconds(800));
    test.leaders = { next };
    test.leaderOf = [next](int) { return next; };
    test.CallSteadily(milliseconds(1'500));
    leader = next;
  }
  CHECK(test.excess == 0);
}

// Load pattern: some targets are limited while others have room. Guards against
// callers that are refused although a target could serve them.
TEST_CASE("calls go to targets without a limit while there are some")
{
  limited_service test(4, 3);
  test.rules["t0"].SetLimit(1.0, test.loop.Now());
  test.rules["t1"].SetLimit(1.0, test.loop.Now());
  test.CallSteadily(milliseconds(10'000));
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.excess == 0);
  for (const auto& response : test.responses) {
    CHECK(response->response.status == 200);
  }
}

// Guards against a limited target that is left unused, and against a limit
// that nobody notices to have ended.
TEST_CASE("limited targets serve at their rate, and freely once it has ended")
{
  limited_service test(6, 2);
  test.rules["t0"].SetLimit(4.0, test.loop.Now());
  test.rules["t1"].SetLimit(4.0, test.loop.Now());
  test.CallSteadily(milliseconds(3'000));
  test.arrivals.clear();
  test.CallSteadily(milliseconds(10'000));
  CHECK(test.excess == 0);
  // 80 requests in 10 s may start.
  CHECK(test.arrivals["t0"] + test.arrivals["t1"] >= 70);
  test.rules["t0"].SetLimit(std::nullopt, test.loop.Now());
  test.rules["t1"].SetLimit(std::nullopt, test.loop.Now());
  test.CallSteadily(milliseconds(5'000));
  test.responses.clear();
  test.CallSteadily(milliseconds(2'000));
  test.loop.Advance(milliseconds(1'000));
  for (const auto& response : test.responses) {
    CHECK(response->response.status == 200);
  }
}

// Guards against a burst above the rate, whatever the pattern of requests.
TEST_CASE("starts under a limit never exceed the rate and the burst")
{
  for (const double rate : { 0.1, 0.3, 1.0, 7.5, 40.0 }) {
    CAPTURE(rate);
    std::mt19937 random(17);
    target_limit limit;
    time_point now{ std::chrono::hours(1) };
    limit.Note({ true, rate }, true, now, now);
    std::vector<time_point> starts;
    while (starts.size() < 300) {
      now += milliseconds(random() % 50 == 0 ? 9'000 : random() % 40);
      if (const auto start =
            limit.Reserve(now + milliseconds(random() % 200), now)) {
        REQUIRE(*start >= now);
        starts.push_back(*start);
      }
    }
    for (std::size_t first = 0; first < starts.size(); ++first) {
      for (std::size_t last = first; last < starts.size(); ++last) {
        const double seconds =
          std::chrono::duration<double>(starts[last] - starts[first]).count();
        const double allowed =
          std::max(rate, 0.25) * seconds + kLimitBurst + 1e-6;
        REQUIRE(static_cast<double>(last - first + 1) <= allowed);
      }
    }
  }
}
