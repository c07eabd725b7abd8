#include "arbutusferry/node/forwarded_rewards.hpp"

#include "support/call_fleet.hpp"
#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

batch_request
ScoredRequest(leader_test& aTest, const std::string& aId, int aItems)
{
  batch_request request = aTest.Request(aId, aItems);
  for (batch_item& item : request.items) {
    item.reward = { "w-" + item.id, "h.example", "/score/1", "body" };
  }
  return request;
}

bool
AllScored(const batch& aBatch)
{
  return std::all_of(aBatch.Results().begin(),
                     aBatch.Results().end(),
                     [&](const batch_result& aResult) {
                       return aResult.score.starts_with(
                         "score-w-" + aBatch.Request().items[aResult.item].id +
                         "-");
                     });
}

} // namespace

// Guards against results without a score, and calls for texts that are not
// complete.
TEST_CASE("an item completes with the score of its own call")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 5), [] {});
  test.loop.Advance(milliseconds(220));
  CHECK(test.scorer.calls.empty());
  test.loop.Advance(milliseconds(1'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  CHECK(AllScored(*found));
  CHECK(test.scorer.calls.size() == 5);
  CHECK(found->Results().front().state == result_state::Completed);
}

TEST_CASE("an item whose calls get errors ends as errored, the others don't")
{
  leader_test test;
  test.scorer.failing.insert("w-i1");
  const auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 3), [] {});
  test.loop.Advance(milliseconds(3'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.state ==
          (result.item == 1 ? result_state::Errored : result_state::Completed));
  }
  // As many errors as the route allows attempts, and no more calls than that.
  CHECK(test.scorer.calls.size() == 2 + 3);
}

// Guards against a text that is generated again because its leader, or every
// process, ended while it was being scored.
TEST_CASE("a complete text survives all processes and is only scored again")
{
  leader_test test;
  test.scorer.silent = true;
  auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 4), [] {});
  test.loop.Advance(milliseconds(600));
  REQUIRE(test.scorer.calls.size() >= 4);
  const auto starts = test.samplers.starts;
  leader.reset();
  test.scorer.silent = false;
  const std::size_t before = test.scorer.calls.size();
  leader = test.StartLeader(2);
  test.loop.Advance(milliseconds(500));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  CHECK(AllScored(*found));
  CHECK(test.samplers.starts == starts);
  CHECK(test.scorer.calls.size() == before + 4);
  bool loaded = false;
  leader->LoadTexts("b", 0, [&] { loaded = true; });
  test.loop.Advance(milliseconds(50));
  REQUIRE(loaded);
  for (const batch_result& result : found->Results()) {
    CHECK(result.text == ExpectedText(found->Request().items[result.item].id));
  }
}

// Guards against a takeover that begins to count errors anew, so that an item
// whose call always fails is called without bound.
TEST_CASE("errors of reward calls are counted over leaders")
{
  leader_test test;
  test.scorer.failing.insert("w-i0");
  auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 1), [] {});
  while (test.scorer.calls.size() < 2) {
    test.loop.Advance(milliseconds(10));
  }
  test.loop.Advance(milliseconds(35));
  leader.reset();
  leader = test.StartLeader(2);
  test.loop.Advance(milliseconds(3'000));
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(test.scorer.calls.size() == 3);
}

// Guards against calls that go on after the end of their batch.
TEST_CASE("no reward call begins or goes on after the end of its batch")
{
  leader_test test;
  test.scorer.silent = true;
  const auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 3), [] {});
  test.loop.Advance(milliseconds(500));
  REQUIRE_FALSE(test.scorer.calls.empty());
  test.scorer.latency = std::chrono::seconds(10);
  leader->End(*leader->Find("b", "acme"), [] {});
  const std::size_t before = test.scorer.calls.size();
  test.loop.Advance(milliseconds(5'000));
  CHECK(test.scorer.calls.size() == before);
  for (const auto& call : test.scorer.calls) {
    CHECK_FALSE(call->open);
  }
}

// Guards against a leader that has lost touch with the store and calls for
// batches that a later leader has ended.
TEST_CASE("a leader whose term is unconfirmed sends no reward calls")
{
  leader_test test;
  test.scorer.latency = milliseconds(400);
  const auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 3), [] {});
  test.loop.Advance(milliseconds(150));
  test.mayStartRuns = false;
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.scorer.calls.empty());
  test.mayStartRuns = true;
  test.loop.Advance(milliseconds(2'000));
  CHECK(leader->Find("b", "acme")->Complete());
}

// Guards against a text that is generated again, or listed without a score,
// when its batch ends between the text and the score.
TEST_CASE("a complete text of an ended batch is scored in a later one")
{
  leader_test test;
  test.scorer.silent = true;
  auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 2), [] {});
  test.loop.Advance(milliseconds(500));
  leader->End(*leader->Find("b", "acme"), [] {});
  test.loop.Advance(milliseconds(50));
  const auto starts = test.samplers.starts;
  test.scorer.silent = false;
  const bool anotherLeader = GENERATE(false, true);
  if (anotherLeader) {
    leader.reset();
    leader = test.StartLeader(2);
  }
  auto again = ScoredRequest(test, "c", 2);
  for (batch_item& item : again.items) {
    item.reward->id = "w-" + item.id + "-c";
  }
  leader->Submit(std::move(again), [] {});
  test.loop.Advance(milliseconds(300));
  batch* found = leader->Find("c", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.score.starts_with(
      "score-w-" + found->Request().items[result.item].id + "-c-"));
  }
  CHECK(test.samplers.starts == starts);
}

TEST_CASE("a lost or refused reward call is repeated")
{
  leader_test test;
  test.scorer.outcome =
    GENERATE(reward_outcome::Unanswered, reward_outcome::Refused);
  const auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 2), [] {});
  test.loop.Advance(milliseconds(2'000));
  CHECK(leader->Find("b", "acme")->Results().empty());
  test.scorer.outcome = reward_outcome::Scored;
  test.loop.Advance(milliseconds(1'500));
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(AllScored(*leader->Find("b", "acme")));
}

TEST_CASE("an item that is never scored ends as errored after its retention")
{
  leader_test test;
  test.scorer.outcome = reward_outcome::Refused;
  const auto leader = test.StartLeader(1);
  leader->Submit(ScoredRequest(test, "b", 1), [] {});
  test.loop.Advance(milliseconds(39'000));
  CHECK(leader->Find("b", "acme")->Results().empty());
  test.loop.Advance(milliseconds(3'000));
  REQUIRE(leader->Find("b", "acme")->Complete());
  CHECK(leader->Find("b", "acme")->Results()[0].state == result_state::Errored);
}

namespace {

/// Sends reward calls of one node of a fleet through its forwarder.
struct reward_fleet : environment_source
{
  explicit reward_fleet(int aTargets)
    : fleet(1, aTargets)
  {
    route.host = "h.example";
    route.pathPrefix = "/";
    route.kind = route_kind::Idempotent;
    route.services = { { call_fleet::kService, 1 } };
    route.maxAttempts = 2;
    route.latencyTarget = milliseconds(150);
    environment = environment_view(1, { route }, {}, {}, {}, true);
  }
  [[nodiscard]] const environment_view& Environment() const override
  {
    return environment;
  }

  std::shared_ptr<reward_exchange> Call(const std::string& aPath,
                                        const std::string& aBody = "body")
  {
    return rewards.Call({ "w1", "h.example", aPath, aBody },
                        milliseconds(1'000),
                        [this](const reward_result& aResult) {
                          ended = true;
                          result = aResult;
                        });
  }

  call_fleet fleet;
  route_entry route;
  environment_view environment;
  forwarded_rewards rewards{
    { fleet.loop, fleet.nodes[0]->forwarder, fleet.protocol, *this }
  };
  bool ended = false;
  reward_result result;
};

} // namespace

TEST_CASE("a reward call is forwarded without key or team")
{
  reward_fleet test(2);
  (void)test.Call("/score/1");
  test.fleet.loop.Advance(milliseconds(100));
  REQUIRE(test.ended);
  CHECK(test.result.outcome == reward_outcome::Scored);
  CHECK(test.result.score == "s");
  const auto& sent = test.fleet.nodes[0]->client.requests.front()->request;
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/score/1");
  CHECK(sent.headers.Get("Host") == "h.example");
  CHECK(sent.headers.Get("Arbutusferry-Request-Id") == "w1");
  CHECK_FALSE(sent.headers.Find("Arbutusferry-Tenant"));
  CHECK_FALSE(sent.headers.Find("Authorization"));
}

TEST_CASE("a reward call without a route isn't sent")
{
  reward_fleet test(1);
  test.environment = environment_view(2, {}, {}, {}, {}, true);
  (void)test.Call("/score/1");
  CHECK(test.ended);
  CHECK(test.result.outcome == reward_outcome::NoRoute);
  CHECK(test.fleet.nodes[0]->client.requests.empty());
}

// Guards against errors of targets that aren't counted, so that a call that
// always fails is repeated without end.
TEST_CASE("error responses of targets are counted")
{
  reward_fleet test(2);
  for (const auto& target : test.fleet.targets) {
    test.fleet.erroring.insert(target.entry.id);
  }
  (void)test.Call("/score/1");
  test.fleet.loop.Advance(milliseconds(1'200));
  REQUIRE(test.ended);
  CHECK(test.result.outcome == reward_outcome::Failed);
  CHECK(test.result.errors == 2);
}

TEST_CASE("a cancelled reward call ends at its target")
{
  reward_fleet test(1);
  const auto call = test.Call("/score/1");
  call->Cancel();
  test.fleet.loop.Advance(milliseconds(100));
  CHECK_FALSE(test.ended);
  CHECK(test.fleet.nodes[0]->client.Open().empty());
}

// Guards against reward calls that end one target after the other.
TEST_CASE("a reward call under which targets end is blocked like a request")
{
  reward_fleet test(6);
  for (int attempt = 0; attempt < 30; ++attempt) {
    (void)test.Call("/score/1", call_fleet::kCrashingBody);
    test.fleet.loop.Advance(milliseconds(1'100));
  }
  CHECK(test.fleet.Ended() <= 3);
  CHECK(test.result.outcome == reward_outcome::Refused);
}
