#include "arbutusferry/node/call_forwarder.hpp"

#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

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

struct ignored_runs final : run_counter
{
  void CountRun(const std::string&, std::int64_t) override {}
};

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
      : name("n" + std::to_string(aIndex))
      , service(aService)
    {
      client.onSend = [this](const auto& aSent) {
        service.OnSend(*this, aSent);
      };
    }
    std::string name;
    limited_service& service;
    scripted_client client;
    target_view targets;
    call_forwarder forwarder{ { service.loop,
                                client,
                                targets,
                                service.protocol,
                                service.callers,
                                service.runs,
                                service.metrics,
                                "z" } };
  };

  void OnSend(calling_node& aNode,
              const std::shared_ptr<scripted_client::sent>& aSent)
  {
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
  void CallSteadily(int aSeconds)
  {
    for (int round = 0; round < 5 * aSeconds; ++round) {
      for (const auto& node : nodes) {
        responses.push_back(Call(*node));
        loop.Advance(milliseconds(200) / static_cast<int>(nodes.size()));
      }
    }
    loop.Advance(milliseconds(1'000));
  }

  manual_loop loop;
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_runs runs;
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

// Guards against a new leader that knows no limit and fills the sampler again.
TEST_CASE("items keep to the rate through changes of leader")
{
  leader_test test;
  test.log.pageEntries = 1'000;
  const relay_node relayNode(test);
  auto& limited = test.samplers.samplers["10.0.0.1"];
  limited.limit.SetLimit(1.0, test.loop.Now());
  for (std::uint64_t fence = 1; fence <= 12; ++fence) {
    // A process that takes over has only seen the registry.
    for (auto& [id, known] : test.targets.All()) {
      known.limit.reset();
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
  test.CallSteadily(12);
  CHECK(test.excess == 0);
}
