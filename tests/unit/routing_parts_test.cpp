#include "arbutusferry/prefix_hints.hpp"
#include "arbutusferry/retry_budget.hpp"
#include "arbutusferry/target_selector.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <set>

using namespace arbutusferry;
using namespace std::chrono_literals;

namespace {

using random_engine = boost::random::mt19937_64;

std::int64_t
Draw(random_engine& aRandom, std::int64_t aLow, std::int64_t aHigh)
{
  return boost::random::uniform_int_distribution<std::int64_t>(aLow,
                                                               aHigh)(aRandom);
}

} // namespace

// Guards against retries that multiply the load on failing targets.
TEST_CASE("The retry budget bounds the total of retries")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    random_engine random(seed);
    retry_budget budget;
    time_point now{ 100s };
    std::int64_t successes = 0;
    std::int64_t retries = 0;
    const auto failRate = Draw(random, 0, 100);
    const int windows = 20;
    // Every failed attempt is retried immediately, up to 50 attempts.
    for (int request = 0; request < 5000; ++request) {
      now += windows * 10s / 5000;
      for (int attempt = 0; attempt < 50; ++attempt) {
        if (Draw(random, 1, 100) > failRate) {
          budget.OnSuccess(now);
          ++successes;
          break;
        }
        if (!budget.TryTake(now)) {
          break;
        }
        ++retries;
      }
    }
    const auto floors = 3 * (windows + 1);
    CHECK(static_cast<double>(retries) <=
          0.1 * static_cast<double>(successes) * 2 + floors);
    CHECK((failRate == 0 || retries > 0));
  }
}

// Guards against hints that outlive a gap in the events, and against unbounded
// memory.
TEST_CASE("Prefix hints follow late and lost cache events")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    random_engine random(seed);
    prefix_hints hints(1000);
    std::set<std::uint64_t> expectedBlocks; ///< By the events applied so far.
    std::vector<cache_event> backlog;
    std::int64_t expectedSeq = 0;
    for (std::int64_t seq = 0; seq < 300; ++seq) {
      cache_event event;
      event.seq = seq;
      event.added.push_back(static_cast<std::uint64_t>(Draw(random, 0, 50)));
      event.removed.push_back(static_cast<std::uint64_t>(Draw(random, 51, 99)));
      if (Draw(random, 0, 1) == 0) {
        std::swap(event.added, event.removed);
      }
      if (Draw(random, 0, 20) == 0) {
        continue; // Lost.
      }
      backlog.push_back(event);
      if (Draw(random, 0, 3) == 0) {
        hints.Apply("t", backlog);
        hints.Apply("t", backlog); // Delivered twice.
        for (const auto& each : backlog) {
          if (each.seq != expectedSeq) {
            expectedBlocks.clear();
          }
          expectedSeq = each.seq + 1;
          expectedBlocks.erase(each.removed.front());
          expectedBlocks.insert(each.added.front());
        }
        backlog.clear();
        for (std::uint64_t block = 0; block < 100; ++block) {
          REQUIRE(hints.Hits("t", { block }) == expectedBlocks.count(block));
        }
      }
    }
  }
  prefix_hints bounded(8);
  for (std::uint64_t block = 0; block < 1000; ++block) {
    bounded.AddExpected("t", { block });
  }
  CHECK(bounded.Size("t") == 8);
  CHECK(bounded.Hits("t", { 998, 999, 5 }) == 2);
}

// Guards against a selection that sends everything to the target with the
// oldest load report, and against one that ignores cached prefixes.
TEST_CASE("Two sampled candidates balance load and prefer cached prefixes")
{
  const auto selector = MakeTwoChoiceSelector(7);
  prefix_hints hints;
  std::vector<target_info> targets(20);
  std::vector<target_candidate> candidates;
  for (std::size_t t = 0; t < targets.size(); ++t) {
    targets[t].id = "t" + std::to_string(t);
    targets[t].slots = 8;
    candidates.push_back({ &targets[t], 0, 0 });
  }
  work_item item;
  for (int i = 0; i < 2000; ++i) {
    ++candidates[selector->Select(candidates, item, hints)].inFlight;
  }
  for (const auto& candidate : candidates) {
    CHECK(candidate.inFlight == Approx(100).margin(5));
  }
  item.prefix = { 1, 2, 3 };
  hints.AddExpected("t3", item.prefix);
  int hits = 0;
  for (auto& candidate : candidates) {
    candidate.inFlight = 4;
  }
  for (int i = 0; i < 1000; ++i) {
    hits += selector->Select(candidates, item, hints) == 3 ? 1 : 0;
  }
  CHECK(hits > 80); // 100 of 1000 draws contain t3; 50 would win at random.
}
