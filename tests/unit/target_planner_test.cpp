#include "arbutusferry/target_planner.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <random>

using namespace arbutusferry;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kSlots = 4;
constexpr double kServiceSeconds = 8;
constexpr int kStartSeconds = 20;
constexpr int kRunSeconds = 1800;
constexpr double kReclaimablePrice = 0.3;
constexpr double kProtectedShare = 0.2;
const time_point kBegin{ 1h };

/// Cost and waiting time of a run of a policy.
struct run_result
{
  double cost = 0;
  double arrived = 0;
  double waited = 0; ///< Total time in the queue in request seconds.
  bool limitsKept = true;

  [[nodiscard]] double MeanWait() const { return waited / arrived; }
};

/// Serves from `liveAt` on.
struct simulated_target
{
  int zone = 0;
  bool isProtected = true;
  int liveAt = 0;
};

/// Fluid simulation of one class in three zones with bursts, reclaims of whole
/// zones and periods without reclaimable targets. The demand depends only on
/// the seed, so that it is the same for all policies.
class fleet_simulation
{
public:
  explicit fleet_simulation(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < 4; ++i) {
      mBursts.push_back(Uniform(200, kRunSeconds));
      mReclaims.emplace_back(Uniform(100, kRunSeconds), Uniform(0, 3));
    }
    mPhase = Uniform(0, 600);
  }

  run_result Run(scaling_policy& aPolicy)
  {
    run_result result;
    demand_forecast forecast;
    reclaimable_supply supply;
    std::vector<simulated_target> targets;
    double queued[2] = {};
    double arrivals = 0;
    for (int now = 0; now < kRunSeconds; ++now) {
      const time_point time = kBegin + std::chrono::seconds(now);
      const double rate = Rate(now);
      arrivals += rate;
      queued[0] += rate * kProtectedShare;
      queued[1] += rate * (1 - kProtectedShare);
      const double running = Serve(targets, queued, now);
      const double waiting = queued[0] + queued[1] - running;
      result.arrived += rate;
      result.waited += waiting;
      queued[0] -= mRunning[0] / kServiceSeconds;
      queued[1] -= mRunning[1] / kServiceSeconds;

      class_observation seen;
      seen.targetClass = "sampler";
      seen.waiting = std::llround(waiting);
      seen.running = std::llround(running);
      seen.arrivals = std::llround(arrivals);
      seen.protectedShare = kProtectedShare;
      forecast.Observe(seen, time);
      planning_input input;
      input.targetClass = "sampler";
      input.slotsPerTarget = kSlots;
      input.demand = forecast.Forecast("sampler", time);
      input.waiting = seen.waiting;
      input.running = seen.running;
      for (int zone = 0; zone < 3; ++zone) {
        const std::string name(1, static_cast<char>('a' + zone));
        const pool_counts existing = Existing(targets, zone);
        supply.Observe(
          name, "sampler", mOrdered[zone], existing.reclaimableCount, time);
        input.zones.push_back({ { name, 1, 20, 12 },
                                true,
                                supply.Available(name, "sampler", time),
                                existing });
      }
      Reclaim(targets, supply, now);
      Order(targets, aPolicy.Plan(input, time), now, result);
      for (const auto& target : targets) {
        result.cost += target.isProtected ? 1 : kReclaimablePrice;
      }
    }
    return result;
  }

private:
  int Uniform(int aFrom, int aTo)
  {
    return aFrom + static_cast<int>(mRandom() %
                                    static_cast<std::uint64_t>(aTo - aFrom));
  }

  [[nodiscard]] double Rate(int aNow) const
  {
    double rate = 7 + 5 * std::sin((aNow + mPhase) * 2 * M_PI / 900);
    for (const int burst : mBursts) {
      rate += aNow >= burst && aNow < burst + 40 ? 6 : 0;
    }
    return rate;
  }

  double Serve(const std::vector<simulated_target>& aTargets,
               const double* aQueued,
               int aNow)
  {
    double slots[2] = {};
    for (const auto& target : aTargets) {
      slots[target.isProtected ? 0 : 1] += target.liveAt <= aNow ? kSlots : 0;
    }
    mRunning[0] = std::min(aQueued[0], slots[0]);
    mRunning[1] = std::min(aQueued[1], slots[1] + slots[0] - mRunning[0]);
    return mRunning[0] + mRunning[1];
  }

  static pool_counts Existing(const std::vector<simulated_target>& aTargets,
                              int aZone)
  {
    pool_counts counts;
    for (const auto& target : aTargets) {
      if (target.zone == aZone) {
        ++(target.isProtected ? counts.protectedCount
                              : counts.reclaimableCount);
      }
    }
    return counts;
  }

  void Reclaim(std::vector<simulated_target>& aTargets,
               reclaimable_supply& aSupply,
               int aNow)
  {
    for (const auto& [at, zone] : mReclaims) {
      if (at == aNow) {
        std::erase_if(aTargets, [zone = zone](const auto& aTarget) {
          return aTarget.zone == zone && !aTarget.isProtected;
        });
        aSupply.RecordReclaim(std::string(1, static_cast<char>('a' + zone)),
                              "sampler",
                              kBegin + std::chrono::seconds(aNow));
      }
    }
  }

  /// Reclaimable targets are unavailable for two minutes after a reclaim.
  [[nodiscard]] bool Unavailable(int aZone, int aNow) const
  {
    for (const auto& [at, zone] : mReclaims) {
      if (zone == aZone && aNow >= at && aNow < at + 120) {
        return true;
      }
    }
    return false;
  }

  void Order(std::vector<simulated_target>& aTargets,
             const target_plan& aPlan,
             int aNow,
             run_result& aResult)
  {
    for (int zone = 0; zone < 3; ++zone) {
      const auto wanted =
        aPlan.at(std::string(1, static_cast<char>('a' + zone)));
      mOrdered[zone] = wanted.reclaimableCount;
      aResult.limitsKept =
        aResult.limitsKept && wanted.protectedCount >= 1 &&
        wanted.reclaimableCount >= 0 && wanted.reclaimableCount <= 12 &&
        wanted.protectedCount + wanted.reclaimableCount <= 20;
      const pool_counts existing = Existing(aTargets, zone);
      Adjust(aTargets,
             zone,
             true,
             wanted.protectedCount - existing.protectedCount,
             aNow);
      const auto more = wanted.reclaimableCount - existing.reclaimableCount;
      if (more < 0 || !Unavailable(zone, aNow)) {
        Adjust(aTargets, zone, false, more, aNow);
      }
    }
  }

  static void Adjust(std::vector<simulated_target>& aTargets,
                     int aZone,
                     bool aProtected,
                     std::int64_t aMore,
                     int aNow)
  {
    for (; aMore > 0; --aMore) {
      aTargets.push_back({ aZone, aProtected, aNow + kStartSeconds });
    }
    for (auto item = aTargets.size(); item > 0 && aMore < 0; --item) {
      const auto& target = aTargets[item - 1];
      if (target.zone == aZone && target.isProtected == aProtected) {
        aTargets.erase(aTargets.begin() +
                       static_cast<std::ptrdiff_t>(item - 1));
        ++aMore;
      }
    }
  }

  std::mt19937_64 mRandom;
  std::vector<int> mBursts;
  std::vector<std::pair<int, int>> mReclaims;
  int mPhase = 0;
  double mRunning[2] = {};
  std::int64_t mOrdered[3] = {};
};

} // namespace

// Guards against a policy that is no better than a fixed number of targets or a
// threshold rule, and against plans outside the limits.
TEST_CASE("Forecast scaling costs less and waits no longer")
{
  constexpr int kSeeds = 40;
  double cost = 0;
  double wait = 0;
  double fixedWait = 0;
  double thresholdCost = 0;
  double thresholdWait = 0;
  double fixedCost = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const auto forecast = fleet_simulation(seed).Run(*MakeForecastScaling());
    const auto threshold = fleet_simulation(seed).Run(*MakeThresholdScaling());
    // The smallest fixed number of targets whose requests wait no longer.
    run_result fixed;
    for (std::int64_t size = 10; size <= 60; ++size) {
      fixed =
        fleet_simulation(seed).Run(*MakeFixedScaling({ { "sampler", size } }));
      if (fixed.MeanWait() <= forecast.MeanWait()) {
        break;
      }
    }
    CHECK(fixed.MeanWait() <= forecast.MeanWait());
    // Goal: a third cheaper than a fixed number of targets with no longer wait.
    CHECK(forecast.cost <= fixed.cost * 2 / 3);
    CHECK(forecast.limitsKept);
    CHECK(threshold.limitsKept);
    CHECK(forecast.MeanWait() <= threshold.MeanWait());
    cost += forecast.cost;
    wait += forecast.MeanWait();
    fixedWait += fixed.MeanWait();
    fixedCost += fixed.cost;
    thresholdCost += threshold.cost;
    thresholdWait += threshold.MeanWait();
  }
  std::cout << "targets: seeds 1 to " << kSeeds
            << ": cost relative to the forecast: threshold "
            << thresholdCost / cost << ", fixed " << fixedCost / cost
            << "; mean wait in s: forecast " << wait / kSeeds << ", threshold "
            << thresholdWait / kSeeds << ", fixed " << fixedWait / kSeeds
            << '\n';
  CHECK(cost < thresholdCost);
}

// Guards against a plan that drops below the protected minimum, relies on an
// unreachable zone, or waits for unavailable reclaimable targets.
TEST_CASE("Plans keep the protected minimum and replace missing targets")
{
  planning_input input;
  input.targetClass = "sampler";
  input.slotsPerTarget = 4;
  input.demand = { 40, 8 };
  for (const char* zone : { "a", "b", "c" }) {
    input.zones.push_back({ { zone, 1, 10, 6 }, true, -1, {} });
  }
  const auto policy = MakeForecastScaling();
  const auto plan = [&](std::size_t aZone) {
    return policy->Plan(input, kBegin).at(input.zones[aZone].limits.zone);
  };
  // 10 targets: 3 protected at least, 7 reclaimable spread over the zones.
  CHECK(plan(0) == pool_counts{ 1, 3 });
  CHECK(plan(1) == pool_counts{ 1, 2 });
  CHECK(plan(2) == pool_counts{ 1, 2 });
  input.zones[2].existing = { 1, 3 };
  CHECK(plan(2) == pool_counts{ 1, 3 });
  input.zones[0].availableReclaimable = 0;
  CHECK(plan(0) == pool_counts{ 1, 0 });
  CHECK(plan(1) == pool_counts{ 1, 3 });
  input.zones[1].reachable = false;
  CHECK(plan(1) == pool_counts{ 1, 0 });
  CHECK(plan(0) == pool_counts{ 2, 0 });
  CHECK(plan(2) == pool_counts{ 2, 6 });
  input.demand = { 1e6, 1e6 };
  CHECK(plan(2) == pool_counts{ 10, 0 });
  input.demand = { 0, 0 };
  CHECK(plan(2) == pool_counts{ 1, 0 });
}

// Guards against orders that wait for a zone without reclaimable targets.
TEST_CASE("Zones without reclaimable targets are retried later")
{
  reclaimable_supply supply(20s, 60s);
  supply.Observe("a", "x", 5, 2, kBegin);
  supply.Observe("a", "x", 5, 2, kBegin + 19s);
  CHECK(supply.Available("a", "x", kBegin + 19s) == -1);
  supply.Observe("a", "x", 5, 2, kBegin + 20s);
  CHECK(supply.Available("a", "x", kBegin + 79s) == 2);
  CHECK(supply.Available("a", "x", kBegin + 80s) == -1);
  supply.RecordReclaim("b", "x", kBegin);
  CHECK(supply.Available("b", "x", kBegin + 59s) == 0);
}

// Guards against a planned stop that interrupts a request, and against a count
// that lets the platform choose the target to stop.
TEST_CASE("Targets are stopped only when drained")
{
  constexpr int kSeeds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    drain_planner planner(5s);
    std::vector<target_info> targets;
    std::map<std::string, std::int64_t> inFlight;
    std::map<std::string, time_point> drainedSince;
    int next = 0;
    for (int second = 0; second < 300; ++second) {
      const time_point now = kBegin + std::chrono::seconds(second);
      const auto wanted = static_cast<std::int64_t>(3 + (second / 50) % 3 * 2);
      const auto order =
        planner.Plan("a", { { "x", { wanted, 0 } } }, targets, inFlight, now);
      const std::set<std::string> draining = planner.Draining();
      std::erase_if(drainedSince, [&](const auto& aItem) {
        return draining.count(aItem.first) == 0;
      });
      for (const std::string& id : draining) {
        drainedSince.try_emplace(id, now);
      }
      for (const std::string& id : order.stop) {
        CHECK(inFlight[id] == 0);
        CHECK(drainedSince.at(id) + 5s <= now);
        std::erase_if(targets,
                      [&](const auto& aTarget) { return aTarget.id == id; });
      }
      REQUIRE(order.counts.size() <= 2);
      const std::int64_t count = order.counts[0].count;
      // The platform stops an arbitrary target when the count is too low.
      REQUIRE(count >= static_cast<std::int64_t>(targets.size()));
      while (static_cast<std::int64_t>(targets.size()) < count) {
        target_info target;
        target.id = "t" + std::to_string(next++);
        target.zone = "a";
        target.targetClass = "x";
        targets.push_back(target);
      }
      for (const target_info& target : targets) {
        auto& load = inFlight[target.id];
        const bool accepts = draining.count(target.id) == 0;
        load += accepts && random() % 2 == 0 ? 1 : 0;
        load -= load > 0 && random() % 3 == 0 ? 1 : 0;
      }
    }
    CHECK(next < 40);
  }
  std::cout << "drain: seeds 1 to " << kSeeds << '\n';
  drain_planner planner(5s);
  target_info unplanned;
  unplanned.id = "t";
  unplanned.zone = "a";
  unplanned.targetClass = "y";
  const auto order = planner.Plan("a", {}, { unplanned }, {}, kBegin);
  CHECK(order.counts.at(0).count == 1);
  CHECK(planner.Draining().empty());
}

// Guards against a forecast that treats the samples of a step with a distant
// deadline like queued calls.
TEST_CASE("Step deadlines determine the slots for samples")
{
  demand_forecast forecast;
  class_observation seen;
  seen.targetClass = "x";
  seen.steps = { { 1024, kBegin + 2340s } };
  forecast.Observe(seen, kBegin);
  CHECK(forecast.Forecast("x", kBegin).slots == Approx(4.4).margin(0.1));
  seen.steps[0].deadline = kBegin + 100s;
  forecast.Observe(seen, kBegin + 1s);
  CHECK(forecast.Forecast("x", kBegin).slots > 100);
  seen.steps.clear();
  forecast.Observe(seen, kBegin + 2s);
  CHECK(forecast.Forecast("x", kBegin + 2s).slots > 100);
  forecast.Observe(seen, kBegin + 200s);
  CHECK(forecast.Forecast("x", kBegin + 200s).slots == 0);
  CHECK(forecast.Forecast("y", kBegin).slots == 0);
}
