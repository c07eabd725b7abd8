#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

// Load pattern: a sampler stops responding in the middle of its streams.
TEST_CASE(
  "a run on an unresponsive sampler resumes elsewhere after its last event")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(170));
  test.samplers.samplers["10.0.0.1"].unresponsive = true;
  test.loop.Advance(milliseconds(3'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text == ExpectedText(found->Request().items[result.item].id));
  }
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Load pattern: a sampler falls silent in the middle of its streams. Guards
// against runs that are moved to the silent sampler itself, which has the best
// score for their group.
TEST_CASE("a silent sampler does not get its own items back")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(170));
  test.samplers.samplers["10.0.0.1"].unresponsive = true;
  test.loop.Advance(milliseconds(900));
  CHECK(leader->Find("b", "acme")->Complete());
}

// Load pattern: one sampler becomes slow.
TEST_CASE("runs move away from a slow sampler while others have room")
{
  leader_test test;
  test.samplers.events = 60;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(400));
  test.samplers.samplers["10.0.0.1"].eventInterval = milliseconds(160);
  test.loop.Advance(milliseconds(1'500));
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Load pattern: one sampler becomes slow while all others are full. Guards
// against runs that are ended and sent to the same sampler again and again.
TEST_CASE("runs stay at a slow sampler while no other has room")
{
  leader_test test;
  test.samplers.events = 60;
  const auto leader = test.StartLeader(1);
  std::size_t slots = 0;
  for (const auto& [id, known] : test.targets.All()) {
    slots += static_cast<std::size_t>(known.entry.slots);
  }
  leader->Submit(test.Request("b", static_cast<int>(slots)), [] {});
  test.loop.Advance(milliseconds(400));
  test.samplers.samplers["10.0.0.1"].eventInterval = milliseconds(160);
  test.loop.Advance(milliseconds(1'500));
  CHECK(test.samplers.resumedAfter.empty());
}

// Load pattern: the leader is lost during a step. Guards against items that
// stop until the next leader has claimed the role and read the journal.
TEST_CASE("items keep running through a change of leader")
{
  leader_test test;
  const relay_node relayNode(test);
  test.samplers.events = 40;
  auto first = test.StartLeader(1);
  first->Submit(test.Request("b", 3), [] {});
  test.loop.Advance(milliseconds(900));
  CHECK(relayNode.relay.Runs() == 3);
  first.reset();
  // Most events are generated while there is no leader.
  test.loop.Advance(milliseconds(700));
  const auto second = test.StartLeader(2);
  test.loop.Advance(milliseconds(200));
  batch* found = second->Find("b", "acme");
  REQUIRE(found->Complete());
  CHECK(test.samplers.starts["i0"] == 1);
  CHECK(test.samplers.resumedAfter.empty());
  std::string expected;
  for (int id = 1; id <= 40; ++id) {
    expected += (id > 1 ? "\n" : "") + std::string("i1.") + std::to_string(id);
  }
  for (const batch_result& result : found->Results()) {
    if (found->Request().items[result.item].id == "i1") {
      CHECK(result.text == expected);
    }
  }
}

// Load pattern: a sampler is lost while the store is down, and its address goes
// to another service. Guards against hundreds of runs that the service refuses.
TEST_CASE("a sampler whose address another process has gets ever fewer runs")
{
  leader_test test;
  test.samplers.samplers["10.0.0.2"].otherProcess = true;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 24), [] {});
  test.loop.Advance(milliseconds(3'000));
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(test.samplers.misplaced <= 20);
}

// Guards against a sampler whose response is taken for that of a relaying node
// and ends the leader's term.
TEST_CASE("a sampler's response can't end the term of a leader")
{
  leader_test test;
  test.samplers.samplers["10.0.0.1"].unresponsive = true;
  test.samplers.samplers["10.0.0.2"].unresponsive = true;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b1", 1), [] {});
  test.loop.Advance(milliseconds(100));
  std::size_t items = 0;
  for (const auto& sent : test.client.Open()) {
    if (sent->request.target == "/p/x") {
      ++items;
      sent->Answer(502, { { "Ferry-Relay-Error", "stale" } });
    }
  }
  test.loop.Advance(milliseconds(100));
  CHECK(items == 1);
  CHECK(test.superseded == 0);
}

// Guards against a replaced leader that keeps sending requests to nodes.
TEST_CASE("a leader that a node rejects as superseded ends its term")
{
  leader_test test;
  const relay_node relayNode(test, 2);
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(10));
  CHECK(test.superseded == 1);
  CHECK(test.samplers.starts.empty());
}

// Guards against texts that mix two runs: a lost stream can't be attached to,
// and its item resumes after its last saved event.
TEST_CASE("an item whose stream was lost with its relay node resumes elsewhere")
{
  leader_test test;
  auto relayNode = std::make_unique<relay_node>(test);
  test.samplers.events = 40;
  auto first = test.StartLeader(1);
  first->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(900));
  first.reset();
  relayNode.reset();
  const relay_node restarted(test);
  const auto second = test.StartLeader(2);
  test.loop.Advance(milliseconds(1'700));
  REQUIRE(second->Find("b", "acme")->Complete());
  REQUIRE(test.samplers.resumedAfter.size() == 1);
  CHECK(test.samplers.resumedAfter[0] >= 8);
}

TEST_CASE("a stopping leader saves all events of its runs for the next one")
{
  leader_test test;
  test.samplers.events = 40;
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(170));
  bool saved = false;
  leader->HandOver([&] { saved = true; });
  test.loop.Advance(milliseconds(50));
  CHECK(saved);
  CHECK(leader->ActiveRuns() == 0);
  leader.reset();
  leader = test.StartLeader(2);
  test.loop.Advance(milliseconds(300));
  REQUIRE_FALSE(test.samplers.resumedAfter.empty());
  CHECK(test.samplers.resumedAfter[0] >= 3);
}

// Guards against an append above the store's limits, which is refused on every
// retry and blocks all later results until memory runs out.
TEST_CASE("progress of many items is split into several appends")
{
  leader_test test;
  for (auto& [id, known] : test.targets.All()) {
    known.entry.slots = 64;
  }
  test.samplers.events = 400;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 100), [] {});
  test.loop.Advance(milliseconds(5'000));
  leader->End(*leader->Find("b", "acme"), [] {});
  test.loop.Advance(milliseconds(100));
  CHECK(test.log.invalid == 0);
  CHECK(leader->Find("b", "acme")->Ended());
}

// Guards against a leader without access to the store that starts items of a
// batch which a later leader has already ended.
TEST_CASE("a leader that can't confirm its term starts no runs")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 10), [] {});
  test.loop.Advance(milliseconds(100));
  test.mayStartRuns = false;
  const auto starts = test.samplers.starts.size();
  CHECK(starts == 8);
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.samplers.starts.size() == starts);
  test.mayStartRuns = true;
  test.loop.Advance(milliseconds(1'000));
  CHECK(leader->Find("b", "acme")->Complete());
}

// Load pattern: new weights are announced during a step.
TEST_CASE(
  "new weights are ordered once per sampler and results have their version")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->SetNewestVersion("m", 2);
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.samplers["10.0.0.1"].version == 2);
  CHECK(test.samplers.samplers["10.0.0.2"].version == 2);
  CHECK(test.samplers.samplers["10.0.0.1"].orders == 1);
  leader->Submit(test.Request("b", 3, 2), [] {});
  test.loop.Advance(milliseconds(1'500));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.versions == std::vector<std::int64_t>{ 2 });
  }
}

// Load pattern: a step needs a version that all its samplers must load first.
// Guards against items that wait for a lagging report although their sampler
// has loaded the weights.
TEST_CASE("items start as soon as a load ends, even if reports lag")
{
  leader_test test;
  for (auto& [address, sampler] : test.samplers.samplers) {
    sampler.loadTime = milliseconds(900);
  }
  const auto leader = test.StartLeader(1);
  leader->SetNewestVersion("m", 2);
  test.loop.Advance(milliseconds(50));
  leader->Submit(test.Request("b", 8, 2), [] {});
  // Load, delay of two responses, one trial interval, six events.
  test.loop.Advance(milliseconds(900 + 150 + 100 + 240));
  CHECK(leader->Find("b", "acme")->Complete());
  // One trial per sampler and interval, not one per item.
  CHECK(test.samplers.refusedWhileLoading <= 6);
}

// Load pattern: new weights come in the middle of a step, for runs that may go
// on under them. Guards against the pause of a load being taken for silence, or
// for slowness, of the sampler.
TEST_CASE("runs that pause while their sampler loads weights stay there")
{
  leader_test test;
  test.samplers.events = 60;
  for (auto& [address, sampler] : test.samplers.samplers) {
    sampler.loadTime = milliseconds(900);
  }
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 8), [] {});
  test.loop.Advance(milliseconds(600));
  leader->SetNewestVersion("m", 2);
  test.loop.Advance(milliseconds(60 * 40 + 2 * 900 + 400));
  CHECK(test.samplers.samplers["10.0.0.1"].version == 2);
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(test.samplers.resumedAfter.empty());
}

// Load pattern: two teams ask for more items than there are slots. Guards
// against an operator's priority that has no effect on items.
TEST_CASE("items of a team with a higher priority are placed first")
{
  leader_test test;
  test.environment = environment_view(1,
                                      { test.route },
                                      { test.service },
                                      { { "acme", {}, 3 }, { "vip", {}, 0 } },
                                      {},
                                      true);
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("a", 24), [] {});
  batch_request later = test.Request("z", 8);
  later.team = "vip";
  later.submittedUnixMs += 1;
  for (batch_item& item : later.items) {
    item.id += "z";
  }
  leader->Submit(std::move(later), [] {});
  // The first eight of the other team run, then those with priority.
  test.loop.Advance(milliseconds(650));
  CHECK(leader->Find("z", "vip")->Complete());
  CHECK(leader->Find("a", "acme")->Results().size() == 8);
  test.loop.Advance(milliseconds(1'000));
  CHECK(leader->Find("a", "acme")->Complete());
  const std::string metrics = test.metrics.Export();
  CHECK(metrics.find("ferry_items_placed_total") != std::string::npos);
  CHECK(metrics.find("ferry_item_wait_seconds") != std::string::npos);
}

namespace {

/// A batch whose items have a length hint.
batch_request
HintedRequest(leader_test& aTest, const std::string& aId, int aItems)
{
  batch_request request = aTest.Request(aId, aItems);
  for (batch_item& item : request.items) {
    item.id += aId;
    item.lengthHint = 600;
  }
  return request;
}

/// Runs four items at a sampler that is half as slow again as another one,
/// which becomes free. They are due after 3 s; there they need 3.6 s.
void
RunAtSlowerSampler(leader_test& aTest, batch_leader& aLeader)
{
  // The lengths of completed items are known before.
  aLeader.Submit(HintedRequest(aTest, "first", 8), [] {});
  aTest.loop.Advance(milliseconds(4'000));
  REQUIRE(aLeader.Find("first", "acme")->Complete());
  aLeader.Submit(HintedRequest(aTest, "other", 4), [] {});
  aTest.loop.Advance(milliseconds(20));
  aLeader.Submit(HintedRequest(aTest, "b", 4), [] {});
  aTest.loop.Advance(milliseconds(400));
  aLeader.End(*aLeader.Find("other", "acme"), [] {});
}

} // namespace

// Load pattern: samplers of unequal speed, of which none is slow enough to move
// all of its runs. Guards against runs that stay until they are late.
TEST_CASE("runs that would end late move to a faster sampler early")
{
  leader_test test;
  test.samplers.events = 60;
  test.samplers.samplers["10.0.0.2"].eventInterval = milliseconds(60);
  test.route.resultDue = milliseconds(3'000);
  test.environment =
    environment_view(1, { test.route }, { test.service }, {}, {}, false);
  const auto leader = test.StartLeader(1);
  RunAtSlowerSampler(test, *leader);
  test.loop.Advance(milliseconds(2'500));
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(test.samplers.resumedAfter.size() == 4);
}

// Guards against early moves of a leader that is not certain of its term, and
// against moves where nothing is due.
TEST_CASE("no run moves early without a confirmed term or a due time")
{
  for (const bool due : { true, false }) {
    leader_test test;
    test.samplers.events = 60;
    test.samplers.samplers["10.0.0.2"].eventInterval = milliseconds(60);
    test.route.resultDue = milliseconds(due ? 3'000 : 0);
    test.environment =
      environment_view(1, { test.route }, { test.service }, {}, {}, false);
    const auto leader = test.StartLeader(1);
    RunAtSlowerSampler(test, *leader);
    test.mayStartRuns = !due;
    test.loop.Advance(milliseconds(2'500));
    CHECK_FALSE(leader->Find("b", "acme")->Complete());
    CHECK(test.samplers.resumedAfter.empty());
  }
}
