#include "arbutusferry/fair_queue.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

using namespace arbutusferry;
using namespace std::chrono_literals;

namespace {

using random_engine = boost::random::mt19937_64;

double
Uniform(random_engine& aRandom, double aLow, double aHigh)
{
  return boost::random::uniform_real_distribution<double>(aLow, aHigh)(aRandom);
}

std::int64_t
Draw(random_engine& aRandom, std::int64_t aLow, std::int64_t aHigh)
{
  return boost::random::uniform_int_distribution<std::int64_t>(aLow,
                                                               aHigh)(aRandom);
}

work_item
MakeItem(const std::string& aTeam,
         double aEstimate,
         const std::string& aClass = "c")
{
  work_item item;
  item.team = aTeam;
  item.targetClass = aClass;
  item.idempotent = true;
  item.estimatedTokens = aEstimate;
  return item;
}

work_item
MakeSample(const std::string& aGroup, std::int64_t aRemaining)
{
  auto item = MakeItem("a", 1);
  item.kind = work_kind::Sample;
  item.group = aGroup;
  item.groupRemaining = aRemaining;
  return item;
}

placement
Anywhere(const placement_needs& /*aNeeds*/)
{
  return placement::Now;
}

/// Simulates teams that always have work waiting, and slots that serve one
/// token per second each.
struct slot_simulation
{
  struct team_state
  {
    double share = 1;
    double meanTokens = 1;
    double estimateFactor = 1; ///< Systematic error of the estimates.
    std::size_t depth = 20;    ///< Waiting items, refilled before each step.
    double served = 0;
    std::size_t waiting = 0;
  };

  random_engine random;
  std::unique_ptr<queue_policy> queue;
  std::vector<team_state> teams;
  std::map<work_id, std::pair<std::size_t, double>> tokens;
  std::set<std::pair<double, work_id>> running; ///< By end time.
  double now = 0;
  work_id lastId = 0;

  slot_simulation(std::uint64_t aSeed, std::unique_ptr<queue_policy> aQueue)
    : random(aSeed)
    , queue(std::move(aQueue))
  {
  }

  void Run(double aSeconds, std::size_t aSlots)
  {
    const double end = now + aSeconds;
    while (now < end) {
      for (std::size_t i = 0; i < teams.size(); ++i) {
        auto& team = teams[i];
        for (; team.waiting < team.depth; ++team.waiting) {
          const double length = Uniform(random, 0.5, 1.5) * team.meanTokens;
          auto item =
            MakeItem(std::string(1, static_cast<char>('a' + i)),
                     length * team.estimateFactor * Uniform(random, 0.5, 2));
          tokens[++lastId] = { i, length };
          if (!queue->Push(lastId, item)) {
            FAIL("refused");
          }
        }
      }
      while (running.size() < aSlots) {
        const auto next = queue->Pop("c", Anywhere, {});
        if (!next) {
          break;
        }
        const auto& [owner, length] = tokens[next->id];
        --teams[owner].waiting;
        running.emplace(now + length, next->id);
      }
      const auto [ended, id] = *running.begin();
      running.erase(running.begin());
      now = ended;
      const auto [owner, length] = tokens[id];
      tokens.erase(id);
      teams[owner].served += length;
      queue->Settle(id, length, true);
    }
  }

  /// @return Service of the worst-served team as a fraction of its fair share.
  double Worst() const
  {
    double served = 0;
    double shares = 0;
    for (const auto& team : teams) {
      served += team.served;
      shares += team.share;
    }
    double worst = 1e9;
    for (const auto& team : teams) {
      worst = std::min(worst, team.served / (served * team.share / shares));
    }
    return worst;
  }
};

} // namespace

// Guards against a team below its share when another one floods the queue,
// lengths differ by a factor of 100 and estimates are wrong by up to a factor
// of 10.
TEST_CASE("The worst-served of eight teams gets its share")
{
  double worstFair = 1e9;
  double worstFifo = 1e9;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    for (const bool fair : { true, false }) {
      slot_simulation simulation(
        seed, fair ? MakeFairQueue(100'000) : MakeFifoQueue(100'000));
      random_engine random(seed);
      std::map<std::string, double> shares;
      for (int i = 0; i < 8; ++i) {
        slot_simulation::team_state team;
        team.share = static_cast<double>(Draw(random, 1, 4));
        team.meanTokens = i % 2 == 0 ? 1 : 100;
        team.estimateFactor = Uniform(random, 0.1, 10);
        team.depth = i == 7 ? 2000 : 20;
        simulation.teams.push_back(team);
        shares[std::string(1, static_cast<char>('a' + i))] = team.share;
      }
      simulation.queue->UpdateShares(shares);
      simulation.Run(5000, 32);
      (fair ? worstFair : worstFifo) =
        std::min(fair ? worstFair : worstFifo, simulation.Worst());
    }
  }
  CHECK(worstFair > 0.95);
  CHECK(worstFifo < 0.5);
}

// Guards against credit from idle time: a team that was idle must not take all
// slots until it has caught up.
TEST_CASE("A team returns from idle at the minimum counter")
{
  for (const bool refund : { false, true }) {
    const auto queue = MakeFairQueue(10'000);
    work_id id = 0;
    // Team a becomes idle while these items run. With `refund` they are settled
    // with 0 tokens after it returns.
    for (int i = 0; i < 5; ++i) {
      REQUIRE(queue->Push(++id, MakeItem("a", 100)));
      REQUIRE(queue->Pop("c", Anywhere, {}));
    }
    for (int i = 0; i < 1000; ++i) {
      REQUIRE(queue->Push(++id, MakeItem("b", 10)));
    }
    for (int i = 0; i < 500; ++i) {
      REQUIRE(queue->Pop("c", Anywhere, {}));
    }
    for (int i = 0; i < 500; ++i) {
      REQUIRE(queue->Push(++id, MakeItem("a", 10)));
    }
    for (work_id each = 1; refund && each <= 5; ++each) {
      queue->Settle(each, 0, true);
    }
    int served = 0;
    for (int i = 0; i < 100; ++i) {
      served += queue->Pop("c", Anywhere, {})->item.team == "a" ? 1 : 0;
    }
    CHECK(served == 50);
  }
}

// Guards against a team that waits for one class or target and keeps the
// minimum counter low, which would give all slots to returning teams.
TEST_CASE("A blocked team gives no credit to others")
{
  const auto queue = MakeFairQueue(10'000);
  work_id id = 0;
  auto pinned = MakeItem("a", 10);
  pinned.minVersion = 9;
  REQUIRE(queue->Push(++id, pinned));
  REQUIRE(queue->Push(++id, MakeItem("a", 10, "other")));
  const auto blocked = [](const placement_needs& aNeeds) {
    return aNeeds.minVersion == 9 ? placement::Never : placement::Now;
  };
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(queue->Push(++id, MakeItem("b", 10)));
  }
  for (int i = 0; i < 500; ++i) {
    REQUIRE(queue->Pop("c", blocked, {})->item.team == "b");
  }
  for (int i = 0; i < 100; ++i) {
    REQUIRE(queue->Push(++id, MakeItem("d", 10)));
    REQUIRE(queue->Push(++id, pinned));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 100; ++i) {
    ++served[queue->Pop("c", blocked, {})->item.team];
  }
  CHECK(served["b"] == 50);
  CHECK(served["d"] == 50);
  // When a target for team a appears, it gets its share and no more.
  served.clear();
  for (int i = 0; i < 90; ++i) {
    ++served[queue->Pop("c", Anywhere, {})->item.team];
  }
  CHECK(served["a"] == Approx(30).margin(2));
}

// Guards against a wrong order and starvation within a team.
TEST_CASE("Deadlines and groups order the work of a team")
{
  const auto queue = MakeFairQueue(100'000);
  const auto withDeadline = [](duration aDeadline) {
    auto item = MakeItem("a", 1);
    item.deadline = time_point{ aDeadline };
    return item;
  };
  REQUIRE(queue->Push(1, withDeadline(9s)));
  REQUIRE(queue->Push(2, withDeadline(5s)));
  REQUIRE(queue->Push(3, MakeItem("a", 1)));
  CHECK(queue->Pop("c", Anywhere, {})->id == 2);
  CHECK(queue->Pop("c", Anywhere, {})->id == 1);
  CHECK(queue->Pop("c", Anywhere, {})->id == 3);
  // An item that would miss its deadline anyway comes after those that can meet
  // theirs.
  REQUIRE(queue->Push(4, withDeadline(5s)));
  REQUIRE(queue->Push(5, withDeadline(9s)));
  REQUIRE(queue->Push(6, MakeSample("g0", 1)));
  CHECK(queue->Pop("c", Anywhere, time_point{ 6s })->id == 5);
  CHECK(queue->Pop("c", Anywhere, time_point{ 6s })->id == 6);
  CHECK(queue->Pop("c", Anywhere, time_point{ 6s })->id == 4);

  REQUIRE(queue->Push(11, MakeSample("g1", 8)));
  REQUIRE(queue->Push(12, MakeSample("g1", 8)));
  REQUIRE(queue->Push(13, MakeSample("g1", 8)));
  REQUIRE(queue->Push(21, MakeSample("g2", 8)));
  REQUIRE(queue->Push(31, MakeSample("g3", 2)));
  CHECK(queue->Pop("c", Anywhere, {})->id == 31);
  CHECK(queue->Pop("c", Anywhere, {})->id == 11);
  queue->Settle(11, 1, true); // g1 has seven left, fewer than g2.
  REQUIRE(queue->Push(22, MakeSample("g2", 8)));
  CHECK(queue->Pop("c", Anywhere, {})->id == 12);
  REQUIRE(queue->Push(23, MakeSample("g2", 5)));
  CHECK(queue->Pop("c", Anywhere, {})->id == 21);

  // The oldest sample starts although interactive items and samples of groups
  // nearer to completion keep arriving.
  work_id id = 100;
  int passed = 0;
  for (bool found = false; !found && passed < 1000; ++passed) {
    REQUIRE(queue->Push(++id, withDeadline(1s)));
    ++id;
    REQUIRE(queue->Push(id, MakeSample("n" + std::to_string(id), 1)));
    found = queue->Pop("c", Anywhere, {})->id == 13;
  }
  CHECK(passed <= 64);
}

// Guards against errors in the indexes, by comparison with a plain list.
TEST_CASE("Queues hold the same waiting items as a plain list")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    for (const bool fair : { true, false }) {
      random_engine random(seed);
      const auto queue = fair ? MakeFairQueue(20) : MakeFifoQueue(20);
      std::map<work_id, work_item> waiting;
      std::vector<work_id> running;
      time_point now{ 0s };
      for (work_id id = 1; id <= 600; ++id) {
        const auto action = Draw(random, 0, 9);
        if (action < 5) {
          auto item =
            Draw(random, 0, 1) == 0
              ? MakeItem("a", 1)
              : MakeSample(
                  std::string(1, static_cast<char>('g' + Draw(random, 0, 3))),
                  Draw(random, 1, 4));
          item.team =
            std::string(1, static_cast<char>('a' + Draw(random, 0, 2)));
          item.deadline = now + Draw(random, 1, 60) * 1s;
          if (Draw(random, 0, 5) == 0) {
            item.avoid = { "t2", "t1" };
          }
          const auto queuedByTeam = std::count_if(
            waiting.begin(), waiting.end(), [&](const auto& aEach) {
              return aEach.second.team == item.team;
            });
          const bool pushed = queue->Push(id, item);
          REQUIRE(pushed == (queuedByTeam < 20));
          if (pushed) {
            waiting[id] = item;
          }
        } else if (action < 7) {
          const bool avoided = Draw(random, 0, 1) == 0;
          const auto next = queue->Pop(
            "c",
            [&](const auto& aNeeds) {
              return avoided == aNeeds.avoid.empty() ? placement::Now
                                                     : placement::Later;
            },
            now);
          const auto possible = std::find_if(
            waiting.begin(), waiting.end(), [&](const auto& aEach) {
              return avoided == aEach.second.avoid.empty();
            });
          REQUIRE(next.has_value() == (possible != waiting.end()));
          if (next) {
            REQUIRE((fair || next->id == possible->first));
            REQUIRE(waiting.erase(next->id) == 1);
            running.push_back(next->id);
          }
        } else if (action == 7 && !running.empty()) {
          queue->Settle(running.back(), 2, Draw(random, 0, 1) == 0);
          running.pop_back();
        } else if (action == 8) {
          const auto erased = static_cast<work_id>(Draw(random, 1, 600));
          REQUIRE(queue->Erase(erased) == (waiting.erase(erased) == 1));
        } else {
          now += Draw(random, 0, 5) * 1s;
          for (const auto& expired : queue->Expire(now)) {
            REQUIRE(waiting.at(expired.id).deadline <= now);
            waiting.erase(expired.id);
          }
        }
        REQUIRE(queue->WaitingInClass("c") == waiting.size());
      }
    }
  }
}
