#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Samplers s1 and s2 with different software.
struct two_versions : leader_test
{
  two_versions()
  {
    SetSoftware("s1", "v1");
    SetSoftware("s2", "v2");
    samplers.events = 20;
  }

  void SetSoftware(const std::string& aId, const std::string& aSoftware)
  {
    target_entry entry = targets.Find(aId)->entry;
    entry.software = aSoftware;
    samplers.samplers[entry.address.ip].software = aSoftware;
    targets.Update(entry, loop.Now());
  }

  void Drain(const std::string& aId)
  {
    target_entry entry = targets.Find(aId)->entry;
    entry.draining = true;
    targets.Update(entry, loop.Now());
  }
};

std::string
TextOf(const std::string& aItem, std::size_t aEvents)
{
  std::string text;
  for (std::size_t id = 1; id <= aEvents; ++id) {
    text += (id > 1 ? "\n" : "") + aItem + "." + std::to_string(id);
  }
  return text;
}

void
CheckComplete(batch_leader& aLeader, std::size_t aEvents)
{
  batch* found = aLeader.Find("b", "acme");
  REQUIRE(found);
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text ==
          TextOf(found->Request().items[result.item].id, aEvents));
  }
}

} // namespace

// Guards against texts joined of two software versions when a sampler is lost
// or drained in the middle of its streams.
TEST_CASE("an item goes on only at the software version that began it")
{
  two_versions test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(300));
  SECTION("its sampler stops responding")
  {
    test.samplers.samplers["10.0.0.1"].unresponsive = true;
  }
  SECTION("its sampler drains")
  {
    test.Drain("s1");
  }
  test.loop.Advance(milliseconds(4'000));
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 20);
}

// Guards against a new leader that continues saved progress at any sampler.
TEST_CASE("saved progress goes on only at the software that wrote it")
{
  two_versions test;
  auto first = test.StartLeader(1);
  first->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(700));
  first->HandOver([] {});
  test.loop.Advance(milliseconds(50));
  first.reset();
  test.Drain("s1");
  const auto second = test.StartLeader(2);
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*second, 20);
}

// Guards against items of an ended batch that come again and go on at any
// sampler.
TEST_CASE("a carried item goes on only at the software that began it")
{
  two_versions test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("a", 4), [] {});
  test.loop.Advance(milliseconds(500));
  leader->End(*leader->Find("a", "acme"), [] {});
  test.Drain("s1");
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 20);
}

// Guards against work done again though a sampler of the same software serves.
TEST_CASE("an item continues while a sampler of its software serves")
{
  two_versions test;
  test.SetSoftware("s2", "v1");
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(300));
  test.samplers.samplers["10.0.0.1"].unresponsive = true;
  test.loop.Advance(milliseconds(4'000));
  CHECK_FALSE(test.samplers.resumedAfter.empty());
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 20);
}
