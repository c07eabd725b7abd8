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

  std::map<std::string, std::string> values;
  std::vector<std::string> history;
  int caughtUp = 0;
  int reconnected = 0;
};

struct follower_fixture
{
  void Put(const std::string& aKey, const std::string& aValue)
  {
    (void)store.Append({ kWhere, { { aKey, aValue } }, {}, {} });
  }

  manual_loop loop;
  memory_store store;
  memory_log log{ loop, store };
  recording_observer seen;
  keyed_follower follower{ loop, log, kWhere, {}, seen };
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
