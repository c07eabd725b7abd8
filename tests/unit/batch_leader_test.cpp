#include "support/leader_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Reads all results from the first position on, as callers do.
/// @return Their texts, up to the first that can't be read.
std::vector<std::string>
ReadTexts(leader_test& aTest, batch_leader& aLeader, const std::string& aBatch)
{
  std::vector<std::string> texts;
  batch* found = aLeader.Find(aBatch, "acme");
  REQUIRE(found);
  while (texts.size() < found->Results().size()) {
    const std::size_t from = texts.size();
    aLeader.LoadTexts(aBatch, from, [&] {
      for (std::size_t at = from;
           at < found->Results().size() && found->Results()[at].loaded;
           ++at) {
        texts.push_back(found->Results()[at].text);
      }
    });
    aTest.loop.Advance(milliseconds(20));
    if (texts.size() == from) {
      break;
    }
  }
  return texts;
}

} // namespace

TEST_CASE("a batch is accepted once it is durable, and its items complete")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  int accepted = 0;
  leader->Submit(test.Request("b", 5), [&] { ++accepted; });
  CHECK(accepted == 0);
  test.loop.Advance(milliseconds(20));
  CHECK(accepted == 1);
  // A repeated submission, as through another node, is answered at once.
  leader->Submit(test.Request("b", 5), [&] { ++accepted; });
  CHECK(accepted == 2);
  test.loop.Advance(milliseconds(1'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found);
  CHECK_FALSE(leader->Find("b", "birch"));
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text == ExpectedText(found->Request().items[result.item].id));
    CHECK(result.versions == std::vector<std::int64_t>{ 1 });
  }
  CHECK(test.samplers.starts["i0"] == 1);
}

// Guards against reporting results before they are durable: after a power loss
// they would be gone although a trainer has read them.
TEST_CASE("a result is reported only once it is durable")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(20));
  test.log.down = true;
  test.loop.Advance(milliseconds(2'000));
  CHECK(leader->Find("b", "acme")->Results().empty());
  test.log.down = false;
  test.loop.Advance(milliseconds(300));
  CHECK(leader->Find("b", "acme")->Results().size() == 2);
}

// Guards against a change of leader that restarts all items or changes the
// positions of results.
TEST_CASE("a new leader keeps results and resumes from saved progress")
{
  leader_test test;
  test.samplers.events = 40;
  test.samplers.samplers["10.0.0.2"].eventInterval = milliseconds(25);
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 6), [] {});
  test.loop.Advance(milliseconds(1'200));
  std::vector<std::size_t> before;
  for (const auto& result : leader->Find("b", "acme")->Results()) {
    before.push_back(result.item);
  }
  CHECK_FALSE(before.empty());
  CHECK(before.size() < 6);
  leader.reset();
  test.samplers.resumedAfter.clear();
  leader = test.StartLeader(2);
  batch* found = leader->Find("b", "acme");
  REQUIRE(found);
  REQUIRE(found->Results().size() >= before.size());
  for (std::size_t at = 0; at < before.size(); ++at) {
    CHECK(found->Results()[at].item == before[at]);
    CHECK_FALSE(found->Results()[at].loaded);
  }
  bool loaded = false;
  leader->LoadTexts("b", 0, [&] { loaded = true; });
  test.loop.Advance(milliseconds(50));
  CHECK(loaded);
  CHECK(found->Results()[0].text.starts_with(
    found->Request().items[before[0]].id + ".1\n"));
  test.loop.Advance(milliseconds(3'000));
  CHECK(found->Complete());
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Guards against results that can't be read any more from an empty text on,
// which has no record of its own, once its text is no longer in memory.
TEST_CASE("an empty text and the results behind it are read again")
{
  const bool ended = GENERATE(true, false);
  leader_test test;
  test.samplers.emptyItems = { "i1", "i3" };
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 6), [] {});
  test.loop.Advance(milliseconds(1'000));
  const auto before = ReadTexts(test, *leader, "b");
  REQUIRE(before.size() == 6);
  CHECK(std::count(before.begin(), before.end(), "") == 2);
  if (ended) {
    leader->End(*leader->Find("b", "acme"), [] {});
    test.loop.Advance(milliseconds(8'000));
    CHECK_FALSE(leader->Find("b", "acme")->HoldsTexts());
  } else {
    leader = test.StartLeader(2);
  }
  CHECK(ReadTexts(test, *leader, "b") == before);
}

// Guards against a leader that reads the same texts from the journal for each
// page that a caller fetches.
TEST_CASE("texts that were read from the journal stay for the next reads")
{
  leader_test test;
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 6), [] {});
  test.loop.Advance(milliseconds(1'000));
  leader->End(*leader->Find("b", "acme"), [] {});
  test.loop.Advance(milliseconds(100));
  leader = test.StartLeader(2);
  test.loop.Advance(milliseconds(8'000));
  const auto texts = ReadTexts(test, *leader, "b");
  REQUIRE(texts.size() == 6);
  test.loop.Advance(milliseconds(1'000));
  test.log.down = true;
  CHECK(ReadTexts(test, *leader, "b") == texts);
  test.loop.Advance(milliseconds(6'000));
  CHECK_FALSE(leader->Find("b", "acme")->HoldsTexts());
}

// Guards against accepted batches that the next leader doesn't find: a last
// part without content would remove its record.
TEST_CASE("a batch of any size is found by the next leader")
{
  leader_test test;
  auto leader = test.StartLeader(1);
  int accepted = 0;
  const std::size_t room = test.log.MaxRecordBytes() - kRecordOverhead;
  const std::size_t least = EncodeBatch(test.Request("b00", 1)).size();
  for (int size = 0; size < 40; ++size) {
    auto request = test.Request("b" + std::to_string(10 + size), 1);
    const std::size_t encoded = 2 * room - 20 + static_cast<std::size_t>(size);
    request.route += std::string(encoded - least, 'r');
    leader->Submit(std::move(request), [&] { ++accepted; });
    test.loop.Advance(milliseconds(20));
  }
  CHECK(accepted == 40);
  leader = test.StartLeader(2);
  for (int size = 0; size < 40; ++size) {
    CAPTURE(size);
    CHECK(leader->Find("b" + std::to_string(10 + size), "acme"));
  }
}

TEST_CASE("an ended batch starts no runs, and its items can be resubmitted")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(150));
  int ended = 0;
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  test.loop.Advance(milliseconds(20));
  CHECK(ended == 1);
  CHECK(leader->ActiveRuns() == 0);
  const auto starts = test.samplers.starts;
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.samplers.starts == starts);
  leader->Submit(test.Request("c", 2), [] {});
  test.loop.Advance(milliseconds(1'000));
  CHECK(leader->Find("c", "acme")->Complete());
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Guards against an acknowledged end that no store has: the next leader would
// run the batch's items.
TEST_CASE("each end of a batch is acknowledged only once the end is durable")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(150));
  test.log.down = true;
  int ended = 0;
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  test.loop.Advance(milliseconds(1'000));
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  CHECK(ended == 0);
  test.loop.Advance(milliseconds(2'000));
  CHECK(ended == 0);
  test.log.down = false;
  test.loop.Advance(milliseconds(300));
  CHECK(ended == 2);
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  CHECK(ended == 3);
}

// Guards against calls that are never answered, or answered as a success, when
// the leader is lost before the end of a batch is durable.
TEST_CASE("ends that a lost leader hasn't stored are not acknowledged")
{
  leader_test test;
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(100));
  test.log.down = true;
  int ended = 0;
  const auto waiting = std::make_shared<int>();
  for (int call = 0; call < 2; ++call) {
    leader->End(*leader->Find("b", "acme"), [&ended, waiting] { ++ended; });
    test.loop.Advance(milliseconds(1'000));
  }
  CHECK(waiting.use_count() == 3);
  leader.reset();
  CHECK(waiting.use_count() == 1);
  test.log.down = false;
  leader = test.StartLeader(2);
  CHECK(ended == 0);
  batch* found = leader->Find("b", "acme");
  CHECK_FALSE(found->Ended());
  leader->End(*found, [&] { ++ended; });
  test.loop.Advance(milliseconds(50));
  CHECK(ended == 1);
  leader = test.StartLeader(3);
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  CHECK(ended == 2);
}

// Guards against an end that is lost for good with another append that the
// store rejects.
TEST_CASE("an end that the store has rejected is stored by a repeated call")
{
  leader_test test;
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(100));
  // The second and third append wait for the first and share a call.
  leader->AppendRecords({ { UsageKey(1), "x" } }, {});
  leader->AppendRecords({ { UsageKey(2), std::string(5'000, 'x') } }, {});
  int ended = 0;
  const auto waiting = std::make_shared<int>();
  leader->End(*leader->Find("b", "acme"), [&ended, waiting] { ++ended; });
  test.loop.Advance(milliseconds(50));
  REQUIRE(test.log.invalid == 1);
  CHECK(ended == 0);
  CHECK(waiting.use_count() == 1);
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  CHECK(ended == 0);
  test.loop.Advance(milliseconds(50));
  CHECK(ended == 1);
  leader = test.StartLeader(2);
  CHECK(leader->Find("b", "acme")->Ended());
}

// Guards against items whose requests were removed from the journal although
// the end of their batch was not stored.
TEST_CASE("a batch keeps its requests in the journal until its end is there")
{
  leader_test test;
  test.mayStartRuns = false; // No progress is saved in between.
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 60), [] {});
  test.loop.Advance(milliseconds(50));
  // They wait for the first, and fill the next call up to the end's record.
  leader->AppendRecords({ { UsageKey(1), "x" } }, {});
  for (int filler = 0; filler < 14; ++filler) {
    leader->AppendRecords({ { UsageKey(2), std::string(3'750, 'x') } }, {});
  }
  leader->AppendRecords({ { UsageKey(3), std::string(7'650, 'x') } }, {});
  int ended = 0;
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  test.loop.Advance(milliseconds(50));
  REQUIRE(test.log.invalid == 1);
  leader = test.StartLeader(2);
  batch* found = leader->Find("b", "acme");
  REQUIRE(found);
  CHECK(found->Ended() == (ended == 1));
  for (const batch_item& item : found->Request().items) {
    CHECK(item.path == (found->Ended() ? "" : "/p/x"));
  }
}

// Guards against an end that the store always rejects, since the names of the
// batch's items don't fit into one record.
TEST_CASE("a batch with more items than a record can name is ended")
{
  leader_test test;
  auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 300), [] {});
  test.loop.Advance(milliseconds(100));
  int ended = 0;
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  test.loop.Advance(milliseconds(50));
  CHECK(ended == 1);
  CHECK(test.log.invalid == 0);
  leader = test.StartLeader(2);
  CHECK(leader->Find("b", "acme")->Ended());
  CHECK(leader->Find("b", "acme")->Items().size() == 300);
}

TEST_CASE("reads wait for results or for their timeout")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(20));
  int woken = 0;
  leader->AwaitResults("b", 0, milliseconds(100), [&] { ++woken; });
  test.loop.Advance(milliseconds(60));
  CHECK(woken == 0);
  test.loop.Advance(milliseconds(100));
  CHECK(woken == 1);
  leader->AwaitResults("b", 0, milliseconds(1'000), [&] { ++woken; });
  test.loop.Advance(milliseconds(400));
  CHECK(woken == 2);
}

// Guards against a read that returns a step with one item missing, which the
// trainer fetches only half a second later.
TEST_CASE("a read near the end of a step returns all of its results")
{
  leader_test test;
  auto request = test.Request("b", 4);
  request.neededGroups = 1;
  const auto leader = test.StartLeader(1);
  test.environment = environment_view(2,
                                      { [&] {
                                        route_entry route = test.route;
                                        route.resultDue = milliseconds(2'000);
                                        return route;
                                      }() },
                                      { test.service },
                                      {},
                                      {},
                                      false);
  leader->Submit(std::move(request), [] {});
  // One sampler is far slower than the other.
  test.samplers.samplers["10.0.0.2"].eventInterval = milliseconds(70);
  test.loop.Advance(milliseconds(300));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Results().size() == 2);
  std::size_t seen = 0;
  leader->AwaitResults(
    "b", 0, milliseconds(1'000), [&] { seen = found->Results().size(); });
  CHECK(seen == 0);
  test.loop.Advance(milliseconds(400));
  CHECK(seen == 4);
}

TEST_CASE("items of a removed route end as errored")
{
  leader_test test;
  const auto leader = test.StartLeader(1);
  test.environment = environment_view(2, {}, {}, {}, {}, false);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(200));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  CHECK(found->Results()[0].state == result_state::Errored);
}
