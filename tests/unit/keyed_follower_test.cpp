#include "arbutusferry/node/keyed_follower.hpp"

#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

const log_partition kWhere{ "things", 0, true };

struct seen_records final : record_observer
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
  }
  void OnCaughtUp() override { ++caughtUp; }
  void OnRegained() override { ++regained; }

  std::map<std::string, std::string> values;
  std::vector<std::string> history;
  int caughtUp = 0;
  int regained = 0;
};

struct followed
{
  void Put(const std::string& aKey, const std::string& aValue)
  {
    (void)store.Append({ kWhere, { { aKey, aValue } }, {}, {} });
  }

  manual_loop loop;
  memory_store store;
  memory_log log{ loop, store };
  seen_records seen;
  keyed_follower follower{ loop, log, kWhere, {}, seen };
};

} // namespace

TEST_CASE("a follower reads all pages once and then what is appended")
{
  followed test;
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
  CHECK(test.follower.Next() == 22);
}

// Guards against a follower that stops for good when the store forgets its
// history, or misses keys that were dropped meanwhile.
TEST_CASE("a forgotten history is made up for by listing again")
{
  followed test;
  test.Put("a", "1");
  test.Put("b", "1");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  test.log.down = true;
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.follower.Lost());
  test.Put("a", "2");
  test.Put("b", "");
  test.Put("c", "1");
  test.store.Compact();
  test.log.down = false;
  test.loop.Advance(milliseconds(2'000));
  CHECK_FALSE(test.follower.Lost());
  CHECK(test.seen.regained == 1);
  CHECK(test.seen.values ==
        std::map<std::string, std::string>{ { "a", "2" }, { "c", "1" } });
}

// Guards against a second of delay where a read that waits misses an append
// that was in progress when it arrived.
TEST_CASE("a read at once finds what the waiting read has missed")
{
  followed test;
  test.Put("a", "1");
  test.follower.Start();
  test.loop.Advance(milliseconds(50));
  test.log.deafWaits = true;
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

// Guards against a configuration or target list that goes back to an older
// state when the store answers with one.
TEST_CASE("records never go back")
{
  followed test;
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
