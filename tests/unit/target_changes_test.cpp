#include "registry/target_changes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;

namespace {

target_entry
Target(const std::string& aId, std::int64_t aVersion = 1)
{
  target_entry target;
  target.id = aId;
  target.service = "sampler";
  target.address = { "127.0.0.1", 9'000 };
  target.zone = "z1";
  target.software = "2.1";
  target.slots = 6;
  target.bornUnixMs = 1'700'000'000'000;
  target.modelVersions = { { "m", aVersion } };
  return target;
}

std::vector<target_change>
Changes(const change_page& aPage)
{
  const auto changes = DecodeChanges(aPage.text);
  REQUIRE(changes);
  return *changes;
}

} // namespace

// Guards against a field that decides something and is lost on the way.
TEST_CASE("changes keep every field that a decision depends on")
{
  target_entry target = Target("a", 7);
  target.draining = true;
  target.reclaimable = true;
  target_changes changes("n/1");
  changes.Update(target, 12, false);
  const auto decoded = Changes(changes.After({}));
  REQUIRE(decoded.size() == 1);
  CHECK(decoded[0].offset == 12);
  REQUIRE(decoded[0].entry);
  CHECK(decoded[0].entry->id == "a");
  CHECK(SameDecisions(*decoded[0].entry, target));
  target_entry other = target;
  other.modelVersions["m"] = 8;
  CHECK_FALSE(SameDecisions(other, target));
  CHECK_FALSE(DecodeChanges("{}"));
  CHECK_FALSE(DecodeChanges(R"({"targets":[{"id":"a","at":-1}]})"));
}

// Guards against a feed that carries each target's report: 2,500 a second.
TEST_CASE("a record that repeats the one before is no change")
{
  target_changes changes("n/1");
  changes.Update(Target("a"), 1, false);
  const auto cursor = changes.After({}).next;
  changes.Update(Target("a"), 2, false);
  CHECK_FALSE(changes.Has(cursor));
  // A target that was reported as ended: its next record shows that it lives.
  changes.Update(Target("a"), 3, true);
  CHECK(Changes(changes.After(cursor)).size() == 1);
  changes.Update(Target("a", 2), 4, false);
  const auto decoded = Changes(changes.After(cursor));
  REQUIRE(decoded.size() == 1);
  CHECK(decoded[0].entry->modelVersions.at("m") == 2);
}

TEST_CASE("a cursor of another process or none gets a snapshot in pages")
{
  target_changes changes("n/1");
  for (int index = 0; index < 300; ++index) {
    changes.Update(Target("t" + std::to_string(index)),
                   static_cast<std::uint64_t>(index),
                   false);
  }
  feed_cursor cursor{ "other/1", 5, 5, 0 };
  std::set<std::string> seen;
  int pages = 0;
  for (bool more = true; more; ++pages) {
    const auto page = changes.After(cursor);
    CHECK(page.snapshot == (pages == 0));
    for (const auto& change : Changes(page)) {
      seen.insert(change.id);
    }
    cursor = page.next;
    more = page.more;
  }
  CHECK(pages == 3);
  CHECK(seen.size() == 300);
  CHECK_FALSE(changes.Has(cursor));
}

// Guards against a snapshot that begins anew for ever where more removals were
// forgotten than targets are left.
TEST_CASE("a snapshot completes after many removals")
{
  target_changes changes("n/1");
  for (int index = 0; index < 200; ++index) {
    changes.Update(Target("t" + std::to_string(index)), 1, false);
  }
  for (std::size_t index = 0; index < target_changes::kMaxRemoved + 50;
       ++index) {
    const std::string id = "gone" + std::to_string(index);
    changes.Update(Target(id), 2, false);
    changes.Remove(id, 3);
  }
  feed_cursor cursor;
  int pages = 0;
  for (bool more = true; more && pages < 100; ++pages) {
    const auto page = changes.After(cursor);
    CHECK(page.snapshot == (pages == 0));
    cursor = page.next;
    more = page.more;
  }
  CHECK(pages < 100);
}

// Guards against a follower that keeps a target whose removal was forgotten.
TEST_CASE("a cursor older than a forgotten removal gets a snapshot")
{
  target_changes changes("n/1");
  changes.Update(Target("a"), 1, false);
  const auto cursor = changes.After({}).next;
  changes.Remove("a", 2);
  CHECK_FALSE(changes.After(cursor).snapshot);
  CHECK_FALSE(Changes(changes.After(cursor)).front().entry);
  for (std::size_t index = 0; index < target_changes::kMaxRemoved; ++index) {
    const std::string id = "b" + std::to_string(index);
    changes.Update(Target(id), 3, false);
    changes.Remove(id, 4);
  }
  CHECK(changes.After(cursor).snapshot);
}

// Guards against 100 followers that each read all targets anew from the standby
// when their reader dies.
TEST_CASE("a follower of another reader gets what changed since its offset")
{
  target_changes changes("n/2");
  for (int index = 0; index < 50; ++index) {
    changes.Update(Target("t" + std::to_string(index)),
                   100U + static_cast<std::uint64_t>(index),
                   false);
  }
  const feed_cursor other{ "n/1", 900, 900, 160 };
  // It isn't known yet what changed before the view was complete.
  CHECK(changes.After(other).snapshot);
  changes.SetHistoryFrom(155);
  changes.Update(Target("t7", 2), 170, false);
  changes.Remove("t8", 171);
  const auto page = changes.After(other);
  CHECK_FALSE(page.snapshot);
  const auto decoded = Changes(page);
  REQUIRE(decoded.size() == 2);
  CHECK(decoded[0].id == "t7");
  CHECK_FALSE(decoded[1].entry);
  CHECK(page.next.epoch == "n/2");
  CHECK(changes.After({ "n/1", 900, 900, 154 }).snapshot);
  // A follower with nothing new takes over this process's cursor at once.
  CHECK(changes.Has({ "n/1", 900, 900, 200 }));
  CHECK(Changes(changes.After({ "n/1", 900, 900, 200 })).empty());
}

TEST_CASE("older records and removals change nothing")
{
  target_changes changes("n/1");
  changes.Update(Target("a", 5), 10, false);
  const auto cursor = changes.After({}).next;
  changes.Update(Target("a", 4), 9, false);
  changes.Remove("a", 8);
  changes.Remove("unknown", 20);
  CHECK_FALSE(changes.Has(cursor));
}
