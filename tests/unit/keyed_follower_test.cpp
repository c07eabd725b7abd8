#include "arbutusferry/node/keyed_follower.hpp"

#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>
#include <stdexcept>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

const log_partition kWhere{ "things", 0, true };

struct recording_observer final : record_observer
{
  void OnRecord(const std::string& aKey,
                const std::string* aValue,
                std::uint64_t) override
  {
    if (aValue) {
      values[aKey] = *aValue;
    } else {
      values.erase(aKey);
    }
    history.push_back(aKey + "=" + (aValue ? *aValue : "-"));
    if (aValue && *aValue == "throw") {
      throw std::runtime_error("unexpected");
    }
  }
  void OnCaughtUp() override { ++caughtUp; }
  void OnReconnected() override { ++reconnected; }
  [[nodiscard]] bool IsUrgent(const log_record& aRecord) const override
  {
    return aRecord.value == "urgent";
  }

  std::map<std::string, std::string> values;
  std::vector<std::string> history;
  int caughtUp = 0;
  int reconnected = 0;
};

struct follower_fixture
{
  explicit follower_fixture(keyed_follower::timing aTiming = {})
    : follower(loop, log, kWhere, aTiming, seen)
  {
  }
  void Put(const std::string& aKey, const std::string& aValue)
  {
    (void)store.Append({ kWhere, { { aKey, aValue } }, {}, {} });
  }

  manual_loop loop;
  memory_store store;
  memory_log log{ loop, store };
  recording_observer seen;
  keyed_follower follower;
};

} // namespace

TEST_CASE("a follower reads all pages once and then what is appended")
{
  follower_fixture test;
  for (int index = 0; index < 20; ++index) {
    test.Put("k" + std::to_string(index), "v");
  }
  test.follower.Start();
  test.loop.Advance(milliseconds(100));
  CHECK(test.seen.values.size() == 20);
  test.Put("k3", "w");
  test.Put("k4", "");
  test.loop.Advance(milliseconds(100));
  CHECK(test.seen.values["k3"] == "w");
  CHECK_FALSE(test.seen.values.contains("k4"));
  CHECK(test.follower.NextOffset() == 22);
}

// Guards against a follower that stops for good when the store truncates its
// history, or misses keys that were deleted meanwhile.
TEST_CASE("the newest records are listed again after the history is truncated")
{
  follower_fixture test;
  test.Put("a", "1");
  test.Put("b", "1");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  test.log.down = true;
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.follower.Disconnected());
  test.Put("a", "2");
  test.Put("b", "");
  test.Put("c", "1");
  test.store.Compact();
  test.log.down = false;
  test.loop.Advance(milliseconds(2'000));
  CHECK_FALSE(test.follower.Disconnected());
  CHECK(test.seen.reconnected == 1);
  CHECK(test.seen.values ==
        std::map<std::string, std::string>{ { "a", "2" }, { "c", "1" } });
}

// Guards against a delay of one second when a waiting read misses an append
// that was in progress when it arrived.
TEST_CASE("an immediate read finds what the waiting read has missed")
{
  follower_fixture test;
  test.Put("a", "1");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  test.log.waitsMissAppends = true;
  test.loop.Advance(milliseconds(1'000));
  test.Put("a", "2");
  test.loop.Advance(milliseconds(100));
  REQUIRE(test.seen.values["a"] == "1");
  test.follower.ReadNow();
  test.loop.Advance(milliseconds(10));
  CHECK(test.seen.values["a"] == "2");
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.seen.history == std::vector<std::string>{ "a=1", "a=2" });
}

// Guards against a configuration or target list that reverts to an older state
// when the store returns one.
TEST_CASE("records never revert to an older state")
{
  follower_fixture test;
  test.Put("a", "1");
  test.Put("a", "2");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  REQUIRE(test.seen.values["a"] == "2");
  // A store that is behind: its newest record of the key is the first one.
  memory_store behind;
  (void)behind.Append({ kWhere, { { "a", "1" } }, {}, {} });
  std::swap(test.store.At(kWhere), behind.At(kWhere));
  test.store.At(kWhere).first = 2;
  test.loop.Advance(milliseconds(1'500));
  CHECK(test.seen.values["a"] == "2");
  std::swap(test.store.At(kWhere), behind.At(kWhere));
  test.Put("a", "3");
  test.loop.Advance(milliseconds(1'500));
  CHECK(test.seen.values["a"] == "3");
  CHECK(test.seen.history == std::vector<std::string>{ "a=2", "a=3" });
}

// Guards against one record that stops a node from following its topic.
TEST_CASE("records after one that can't be applied are still read")
{
  follower_fixture test;
  test.Put("a", "throw");
  test.Put("b", "v");
  test.follower.Start();
  test.loop.Advance(milliseconds(100));
  CHECK(test.seen.values["b"] == "v");
  test.Put("c", "throw");
  test.Put("d", "v");
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.seen.values["d"] == "v");
}

// Guards against a large read of target records that holds back the operator's
// records: everything between two looks at other events is bounded.
TEST_CASE("a large read is applied in portions with other events between them")
{
  follower_fixture test;
  test.log.pageEntries = 1'000;
  for (int index = 0; index < 200; ++index) {
    test.Put("k" + std::to_string(index), "v");
  }
  test.follower.Start();
  std::vector<std::size_t> atOtherEvents;
  test.loop.Post(milliseconds(4), [&] {
    test.loop.Post(duration::zero(), [&] {
      atOtherEvents.push_back(test.seen.values.size());
      test.loop.Post(duration::zero(),
                     [&] { atOtherEvents.push_back(test.seen.values.size()); });
    });
  });
  test.loop.Advance(milliseconds(4));
  CHECK(test.seen.values.size() == 200);
  REQUIRE(atOtherEvents.size() == 2);
  CHECK(atOtherEvents[0] < 200);
  CHECK(atOtherEvents[1] < 200);
  CHECK(test.seen.caughtUp == 1);
}

// Guards against an endless start: at a store that is at its limit one page of
// a long listing fails now and then, and beginning anew adds to its load.
TEST_CASE("a listing goes on at the page that failed")
{
  follower_fixture test;
  for (int index = 10; index < 40; ++index) {
    test.Put("k" + std::to_string(index), "v");
  }
  test.follower.Start();
  test.loop.Advance(milliseconds(10));
  REQUIRE(test.seen.values.size() == 14);
  test.log.down = true;
  test.loop.Advance(milliseconds(1'000));
  test.log.down = false;
  test.log.listedPages = 0;
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.seen.values.size() == 30);
  // 16 of 30 keys in pages of 7; a listing from the start takes 5 pages.
  CHECK(test.log.listedPages <= 3);
  CHECK(test.follower.InitialReadDone());
}

// Guards against targets that vanish since a later page of the listing came
// from a store that is behind the first page.
TEST_CASE("a page that is older than the first one begins the listing anew")
{
  follower_fixture test;
  for (int index = 10; index < 30; ++index) {
    test.Put("k" + std::to_string(index), "v");
  }
  test.follower.Start();
  test.loop.Advance(milliseconds(5));
  REQUIRE(test.seen.values.size() == 7);
  memory_store behind;
  (void)behind.Append({ kWhere, { { "k10", "v" } }, {}, {} });
  std::swap(test.store.At(kWhere), behind.At(kWhere));
  test.loop.Advance(milliseconds(100));
  CHECK_FALSE(test.follower.InitialReadDone());
  std::swap(test.store.At(kWhere), behind.At(kWhere));
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.follower.InitialReadDone());
  CHECK(test.seen.values.size() == 20);
}

// Guards against a leaving target that waits behind the records of others, and
// against a node that falls further behind with each record of a busy target.
TEST_CASE("leaving keys go first and repeated records of one read are skipped")
{
  keyed_follower::timing timing;
  timing.newestOnly = true;
  follower_fixture test(timing);
  test.Put("a", "1");
  test.Put("b", "1");
  test.Put("c", "1");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  test.seen.history.clear();
  test.log.down = true;
  test.loop.Advance(milliseconds(2'000));
  test.Put("a", "2");
  test.Put("b", "2");
  test.Put("a", "3");
  test.Put("b", "");
  test.Put("c", "urgent");
  test.log.down = false;
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.seen.history ==
        std::vector<std::string>{ "b=-", "c=urgent", "a=3" });
  CHECK(test.follower.NextOffset() == 8);
  test.Put("b", "4");
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.seen.values["b"] == "4");
}

// Guards against a second listing when a node reads on where a neighbor's view
// ended, and against records that are delivered while it doesn't read itself.
TEST_CASE("a paused follower reads on from the offset it is given")
{
  follower_fixture test;
  test.Put("a", "1");
  test.Put("b", "1");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  test.follower.Pause();
  test.Put("a", "2");
  test.Put("b", "");
  test.Put("c", "1");
  test.loop.Advance(milliseconds(3'000));
  REQUIRE(test.seen.history == std::vector<std::string>{ "a=1", "b=1" });
  CHECK(test.follower.Paused());
  test.follower.Resume(4, { { "a", 2 } });
  test.loop.Advance(milliseconds(50));
  CHECK(test.seen.history == std::vector<std::string>{ "a=1", "b=1", "c=1" });
  CHECK(test.follower.NextOffset() == 5);
}
