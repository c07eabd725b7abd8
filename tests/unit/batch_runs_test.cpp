#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

// Load pattern: a sampler goes dark with half-done streams.
TEST_CASE("a run on a dark sampler goes on elsewhere after its last event")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(170));
  test.samplers.samplers["10.0.0.1"].dark = true;
  test.loop.Advance(milliseconds(3'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text == WholeText(found->Request().items[result.item].id));
  }
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Load pattern: one sampler turns slow.
TEST_CASE("runs leave a slow sampler while others have room")
{
  leader_test test;
  test.samplers.events = 60;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(400));
  test.samplers.samplers["10.0.0.1"].pace = milliseconds(160);
  test.loop.Advance(milliseconds(1'500));
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Load pattern: the leader is lost while a step runs. Guards against items that
// stop until the next leader has claimed the role and read the journal.
TEST_CASE("items go on while one leader follows another")
{
  leader_test test;
  const stream_holder holder(test);
  test.samplers.events = 40;
  auto first = test.Lead(1);
  first->Submit(test.Request("b", 3), [] {});
  test.loop.Advance(milliseconds(900));
  CHECK(holder.relay.Runs() == 3);
  first.reset();
  // Most of the events are made while nobody leads.
  test.loop.Advance(milliseconds(700));
  const auto second = test.Lead(2);
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

// Load pattern: a sampler is lost while the store is down, and another service
// gets its address. Guards against hundreds of runs that it refuses.
TEST_CASE("a sampler whose address another process has is asked ever less")
{
  leader_test test;
  test.samplers.samplers["10.0.0.2"].another = true;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 24), [] {});
  test.loop.Advance(milliseconds(3'000));
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(test.samplers.misplaced <= 20);
}

// Guards against a leader that was replaced and asks nodes again and again.
TEST_CASE("a leader that a node refuses as outdated ends its term")
{
  leader_test test;
  const stream_holder holder(test, 2);
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(10));
  CHECK(test.superseded == 1);
  CHECK(test.samplers.starts.empty());
}

// Guards against texts joined of two runs: a stream that has gone can't be
// attached to, and its item goes on after its last saved event.
TEST_CASE("an item whose stream was lost with its node goes on elsewhere")
{
  leader_test test;
  auto holder = std::make_unique<stream_holder>(test);
  test.samplers.events = 40;
  auto first = test.Lead(1);
  first->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(900));
  first.reset();
  holder.reset();
  const stream_holder restarted(test);
  const auto second = test.Lead(2);
  test.loop.Advance(milliseconds(1'700));
  REQUIRE(second->Find("b", "acme")->Complete());
  REQUIRE(test.samplers.resumedAfter.size() == 1);
  CHECK(test.samplers.resumedAfter[0] >= 8);
}

TEST_CASE("a stopping leader hands on all that its runs have generated")
{
  leader_test test;
  test.samplers.events = 40;
  auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(170));
  bool saved = false;
  leader->HandOver([&] { saved = true; });
  test.loop.Advance(milliseconds(50));
  CHECK(saved);
  CHECK(leader->OpenItems() == 0);
  leader.reset();
  leader = test.Lead(2);
  test.loop.Advance(milliseconds(300));
  REQUIRE_FALSE(test.samplers.resumedAfter.empty());
  CHECK(test.samplers.resumedAfter[0] >= 3);
}

// Guards against an append over the store's limits, which is refused for ever
// and holds up all results behind it until memory runs out.
TEST_CASE("progress of many items goes in several appends")
{
  leader_test test;
  for (auto& [id, known] : test.targets.All()) {
    known.entry.slots = 64;
  }
  test.samplers.events = 400;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 100), [] {});
  test.loop.Advance(milliseconds(5'000));
  leader->End(*leader->Find("b", "acme"), [] {});
  test.loop.Advance(milliseconds(100));
  CHECK(test.log.invalid == 0);
  CHECK(leader->Find("b", "acme")->Ended());
}

// Guards against items of an ended batch that a leader begins which the store
// turns away, and which doesn't know yet that another one ended the batch.
TEST_CASE("a leader that can't confirm its term begins no runs")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 10), [] {});
  test.loop.Advance(milliseconds(100));
  test.mayRun = false;
  const auto starts = test.samplers.starts.size();
  CHECK(starts == 8);
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.samplers.starts.size() == starts);
  test.mayRun = true;
  test.loop.Advance(milliseconds(1'000));
  CHECK(leader->Find("b", "acme")->Complete());
}

// Load pattern: new weights are named while a step runs.
TEST_CASE("new weights are ordered once for each sampler, and labels are true")
{
  leader_test test;
  const auto leader = test.Lead(1);
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

// Load pattern: a step comes with the version that all its samplers must load
// first. Guards against items that wait for a report, which lags, after their
// sampler has its weights.
TEST_CASE("items start as soon as a load ends, whatever the reports say")
{
  leader_test test;
  for (auto& [address, sampler] : test.samplers.samplers) {
    sampler.loadTime = milliseconds(900);
  }
  const auto leader = test.Lead(1);
  leader->SetNewestVersion("m", 2);
  test.loop.Advance(milliseconds(50));
  leader->Submit(test.Request("b", 8, 2), [] {});
  // Load, delay of two answers, one trial interval, six events.
  test.loop.Advance(milliseconds(900 + 150 + 100 + 240));
  CHECK(leader->Find("b", "acme")->Complete());
  // One trial a sampler and interval, not one of each item.
  CHECK(test.samplers.refusedWhileLoading <= 6);
}
