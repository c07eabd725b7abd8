#include "admission/node_admission.hpp"

#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Estimate with a share that the test sets.
struct set_estimate final : capacity_estimate
{
  explicit set_estimate(const double& aShare)
    : share(aShare)
  {
  }
  void NoteOffered(time_point) override {}
  void NoteAnswered(duration, duration, time_point) override {}
  void NoteFull(time_point) override {}
  [[nodiscard]] double Share(time_point) const override { return share; }
  [[nodiscard]] duration ExpectedResponse() const override
  {
    return milliseconds(40);
  }
  [[nodiscard]] duration Age(time_point) const override { return {}; }
  const double& share;
};

struct admission_test
{
  offered_call Call(int aPriority = 0, const std::string& aTeam = "acme")
  {
    offered_call call;
    call.ticket = ++calls;
    call.id = "r" + std::to_string(calls);
    call.fingerprint = call.id;
    call.service = "desk";
    call.team = aTeam;
    call.priority = aPriority;
    call.arrived = loop.Now();
    call.latencyTarget = milliseconds(150);
    call.answerBy = loop.Now() + milliseconds(780);
    return call;
  }
  admission_decision Offer(const offered_call& aCall)
  {
    return admission.Offer(
      aCall, loop.Now(), [this, id = aCall.id](const auto& aDecision) {
        decided.emplace_back(id, aDecision.verdict);
      });
  }
  /// Offers and takes calls until the class has no right left to send one.
  void UseUp(int aPriority = 0, const std::string& aTeam = "acme")
  {
    while (Offer(Call(aPriority, aTeam)).verdict == admission_verdict::Send) {
    }
  }

  manual_loop loop;
  metrics_registry metrics;
  double share = 1;
  node_admission admission{ loop,
                            metrics,
                            [this] {
                              return std::make_unique<set_estimate>(share);
                            },
                            { 4, 1'000 } };
  std::uint64_t calls = 0;
  std::vector<std::pair<std::string, admission_verdict>> decided;
};

} // namespace

// Guards against waits, refusals and hedges withheld while there is capacity.
TEST_CASE("with capacity every request is sent at once")
{
  admission_test test;
  for (int index = 0; index < 1'000; ++index) {
    CHECK(test.Offer(test.Call(index % 3)).verdict == admission_verdict::Send);
  }
  CHECK(test.admission.MayHedge(test.Call(), test.loop.Now()));
  CHECK(test.admission.MayRetry(test.Call(), test.loop.Now()));
  CHECK(test.admission.Ranking("desk", test.loop.Now()) == nullptr);
}

TEST_CASE("refused callers are told different delays that they can honor")
{
  admission_test test;
  test.share = 0.05;
  test.UseUp();
  std::set<milliseconds> delays;
  for (int index = 0; index < 50; ++index) {
    const auto decision = test.Offer(test.Call());
    if (decision.verdict == admission_verdict::Refuse) {
      delays.insert(decision.retryAfter);
      CHECK(decision.retryAfter >= milliseconds(100));
      CHECK(decision.retryAfter <= milliseconds(260));
    }
  }
  CHECK(delays.size() > 20);
}

TEST_CASE("requests wait while they can be in time, and are sent on capacity")
{
  admission_test test;
  test.share = 0.9;
  for (int index = 0; index < 200; ++index) {
    (void)test.Offer(test.Call());
    test.loop.Advance(milliseconds(2));
  }
  test.decided.clear();
  auto call = test.Call();
  while (test.Offer(call).verdict != admission_verdict::Wait) {
    call = test.Call();
  }
  test.share = 1;
  test.loop.Advance(milliseconds(30));
  REQUIRE(!test.decided.empty());
  CHECK(test.decided.back() == std::pair(call.id, admission_verdict::Send));
}

// Guards against a request that waits on after its answer is decided.
TEST_CASE("a caller that leaves or a late request doesn't wait on")
{
  admission_test test;
  auto call = test.Call();
  call.foundFull = true;
  const auto again = [&](const offered_call& aCall) {
    return test.admission
      .OfferAgain(aCall,
                  test.loop.Now(),
                  [&test, id = aCall.id](const auto& aDecision) {
                    test.decided.emplace_back(id, aDecision.verdict);
                  })
      .verdict;
  };
  REQUIRE(again(call) == admission_verdict::Wait);
  test.admission.Leave(call.ticket);
  test.loop.Advance(milliseconds(100));
  CHECK(test.decided.empty());

  const auto second = test.Call();
  REQUIRE(again(second) == admission_verdict::Wait);
  test.share = 0.01;
  test.UseUp();
  test.loop.Advance(milliseconds(200));
  REQUIRE(test.decided.size() == 1);
  const auto late = test.Call();
  test.loop.Advance(milliseconds(140));
  CHECK(again(late) == admission_verdict::Refuse);
}

TEST_CASE("a request that returns goes before new ones")
{
  admission_test test;
  test.share = 0.05;
  test.UseUp();
  auto call = test.Call();
  REQUIRE(test.Offer(call).verdict == admission_verdict::Refuse);
  test.loop.Advance(milliseconds(100));
  CHECK(test.Offer(test.Call()).verdict != admission_verdict::Send);
  call.ticket = 10'000;
  CHECK(test.Offer(call).verdict == admission_verdict::Send);
}

TEST_CASE("reward calls yield to callers, and second attempts are few")
{
  admission_test test;
  test.share = 0.5;
  int callers = 0;
  int rewards = 0;
  for (int index = 0; index < 400; ++index) {
    auto reward = test.Call(0, "rewards");
    reward.yields = true;
    rewards += test.Offer(reward).verdict == admission_verdict::Send ? 1 : 0;
    callers += test.Offer(test.Call(1)).verdict == admission_verdict::Send;
    test.loop.Advance(milliseconds(5));
  }
  CHECK(callers > 350);
  CHECK(rewards < 40);
  int hedges = 0;
  for (int index = 0; index < 100; ++index) {
    hedges += test.admission.MayHedge(test.Call(), test.loop.Now()) ? 1 : 0;
  }
  CHECK(hedges <= 1);
}

TEST_CASE("waiting requests are ordered and bounded")
{
  admission_test test;
  waiting_calls waiting({ 3, 1'000 });
  const auto add =
    [&](int aPriority, milliseconds aLatest, std::size_t aBytes) {
      auto call = test.Call(aPriority);
      call.bytes = aBytes;
      return waiting.Add({ call, {}, test.loop.Now() + aLatest },
                         test.loop.Now());
    };
  CHECK(add(1, milliseconds(10), 10).empty());
  CHECK(add(0, milliseconds(30), 10).empty());
  CHECK(add(0, milliseconds(20), 10).empty());
  std::vector<std::uint64_t> order;
  for (const auto& [key, entry] : waiting.InOrder()) {
    order.push_back(entry.call.ticket);
  }
  CHECK(order == std::vector<std::uint64_t>{ 3, 2, 1 });
  auto dropped = add(0, milliseconds(40), 10);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped.front().call.ticket == 1);
  dropped = add(0, milliseconds(10), 990);
  CHECK(dropped.size() == 2);
  test.loop.Advance(milliseconds(15));
  waiting.Reorder(test.loop.Now());
  CHECK(waiting.InOrder().begin()->second.call.ticket == 3);
}

// Guards against a single slow or full response in calm that has an effect,
// and against slow targets that are taken for full ones.
TEST_CASE("the estimate needs evidence of full targets and forgets it")
{
  queueing_estimate estimate;
  time_point now(std::chrono::hours(1));
  for (int index = 0; index < 50; ++index) {
    now += milliseconds(100);
    estimate.NoteAnswered(
      milliseconds(index % 7 == 0 ? 140 : 25), milliseconds(150), now);
    CHECK(estimate.Share(now) == 1);
  }
  for (int index = 0; index < 50; ++index) {
    now += milliseconds(100);
    estimate.NoteAnswered(milliseconds(400), milliseconds(150), now);
    CHECK(estimate.Share(now) == 1);
  }
  for (int index = 0; index < 10; ++index) {
    now += milliseconds(100);
    estimate.NoteFull(now);
  }
  CHECK(estimate.Share(now) < 0.4);
  CHECK(estimate.Share(now + std::chrono::seconds(1)) > 0.8);
  for (int index = 0; index < 30; ++index) {
    now += milliseconds(100);
    estimate.NoteAnswered(milliseconds(25), milliseconds(150), now);
  }
  CHECK(estimate.Share(now) == 1);
}

// Guards against one request that is full by chance in calm and makes its node
// refuse others.
TEST_CASE("a single request that finds all targets full changes nothing")
{
  queueing_estimate estimate;
  const time_point now(std::chrono::hours(1));
  estimate.NoteFull(now);
  CHECK(estimate.Share(now) == 1);
  estimate.NoteAnswered(milliseconds(200), milliseconds(150), now);
  CHECK(estimate.Share(now) == 1);
}

TEST_CASE("a team's unused share goes to the others")
{
  class_shares shares;
  time_point now(std::chrono::hours(1));
  std::map<std::string, std::pair<int, int>> sent;
  for (int index = 0; index < 4'000; ++index) {
    now += milliseconds(1);
    const std::string team = index % 10 == 0  ? "small"
                             : index % 2 == 0 ? "a"
                                              : "b";
    shares.NoteOffered({ 0, team }, 0.5, now);
    ++sent[team].second;
    sent[team].first += shares.TryTake({ 0, team }, 0) ? 1 : 0;
  }
  // Half of the load: the small team has all of its tenth, the others share
  // the remaining four tenths.
  CHECK(sent["small"].first > 0.95 * sent["small"].second);
  CHECK(std::abs(sent["a"].first - sent["b"].first) < 100);
  CHECK(std::abs(sent["a"].first + sent["b"].first - 1'600) < 100);
}
