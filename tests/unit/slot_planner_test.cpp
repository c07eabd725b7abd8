#include "arbutusferry/slot_planner.hpp"

#include "routing/scheduler.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <catch2/catch.hpp>

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

/// Reference division: gives each small step to the lowest part / weight.
std::vector<double>
NaiveMaxMin(double aCapacity,
            const std::vector<double>& aWeights,
            const std::vector<double>& aDemands,
            double aStep)
{
  std::vector<double> parts(aWeights.size());
  for (; aCapacity >= aStep; aCapacity -= aStep) {
    std::size_t lowest = parts.size();
    for (std::size_t i = 0; i < parts.size(); ++i) {
      if (parts[i] + aStep <= aDemands[i] &&
          (lowest == parts.size() ||
           parts[i] / aWeights[i] < parts[lowest] / aWeights[lowest])) {
        lowest = i;
      }
    }
    if (lowest == parts.size()) {
      break;
    }
    parts[lowest] += aStep;
  }
  return parts;
}

target_info
MakeTarget(std::size_t aIndex, std::int64_t aSlots)
{
  target_info info;
  info.id = "t" + std::to_string(aIndex);
  info.zone = "z";
  info.targetClass = "c";
  info.slots = aSlots;
  return info;
}

/// Real schedulers and planners with lost and delayed messages. Exchanges last
/// up to one grant lifetime.
struct zone_fixture
{
  struct delayed_plan
  {
    time_point due;
    std::size_t entry;
    entry_plan plan;
  };
  struct exchange
  {
    time_point end;
    std::size_t entry;
    work_id id;
    std::string target;
  };

  random_engine random;
  time_point now{ 1000s };
  std::vector<target_info> targets;
  std::vector<std::string> names;
  std::vector<std::unique_ptr<scheduler>> entries;
  std::vector<std::int64_t> rounds;
  std::vector<std::size_t> planner; ///< Planner that each entry reports to.
  std::vector<slot_planner> planners;
  std::vector<delayed_plan> delayed;
  std::vector<exchange> running;
  std::map<std::string, std::int64_t> inUse;
  std::map<std::string, std::int64_t> reported;
  work_id lastId = 0;
  std::int64_t started = 0;

  explicit zone_fixture(std::uint64_t aSeed)
    : random(aSeed)
  {
    const auto targetCount = Draw(random, 1, 6);
    for (std::int64_t t = 0; t < targetCount; ++t) {
      targets.push_back(
        MakeTarget(static_cast<std::size_t>(t), Draw(random, 1, 9)));
    }
    const auto entryCount = static_cast<std::size_t>(Draw(random, 2, 7));
    for (std::size_t e = 0; e < entryCount; ++e) {
      names.push_back("e" + std::to_string(e));
      dispatcher_options options;
      options.zone = "z";
      entries.push_back(std::make_unique<scheduler>(
        options, MakeFairQueue(4096), MakeTwoChoiceSelector(aSeed)));
      rounds.push_back(-1);
      planner.push_back(0);
    }
    for (std::int64_t p = 0; p < 2; ++p) {
      slot_planner_options options;
      options.zone = "z";
      options.firstRound = 1'000'000 * p;
      planners.emplace_back(options);
    }
  }

  void Submit(std::size_t aEntry)
  {
    work_item item;
    item.team = "tenant" + std::to_string(Draw(random, 0, 2));
    item.targetClass = "c";
    entries[aEntry]->Submit(++lastId, item, now);
  }

  void Collect()
  {
    for (std::size_t e = 0; e < entries.size(); ++e) {
      for (const auto& outcome : entries[e]->TakeOutcomes()) {
        if (const auto* found = std::get_if<assignment>(&outcome.value)) {
          ++inUse[found->target.id];
          ++started;
          running.push_back({ now + Draw(random, 50, 5000) * 1ms,
                              e,
                              outcome.id,
                              found->target.id });
        }
      }
    }
  }

  void Step(duration aStep, bool aPlannersLive)
  {
    now += aStep;
    for (std::size_t i = 0; i < running.size();) {
      if (running[i].end <= now) {
        const auto ended = running[i];
        running[i] = running.back();
        running.pop_back();
        --inUse[ended.target];
        entries[ended.entry]->Complete(ended.id, { 1 }, now);
      } else {
        ++i;
      }
    }
    for (std::size_t e = 0; e < entries.size(); ++e) {
      entries[e]->Tick(now);
    }
    Collect();
    // Load reports lag by one step.
    for (auto& target : targets) {
      target.running = reported[target.id];
      reported[target.id] = inUse[target.id];
    }
    if (!aPlannersLive) {
      for (std::size_t e = 0; e < entries.size(); ++e) {
        entries[e]->UpdateTargets(
          targets, std::nullopt, {}, e, entries.size(), now);
      }
      Collect();
      return;
    }
    for (std::size_t e = 0; e < entries.size(); ++e) {
      if (Draw(random, 0, 9) > 0) {
        planners[planner[e]].Report(
          { names[e], entries[e]->Demand(), entries[e]->InFlight(), rounds[e] },
          now);
      }
    }
    for (std::size_t p = 0; p < planners.size(); ++p) {
      for (auto& [name, plan] : planners[p].Plan({}, targets, names, now)) {
        const auto e = static_cast<std::size_t>(
          std::find(names.begin(), names.end(), name) - names.begin());
        if (planner[e] == p && Draw(random, 0, 9) > 0) {
          delayed.push_back({ now + Draw(random, 0, 400) * 1ms, e, plan });
        }
      }
    }
  }

  void Deliver()
  {
    for (std::size_t i = 0; i < delayed.size();) {
      if (delayed[i].due > now) {
        ++i;
        continue;
      }
      const auto& [due, e, plan] = delayed[i];
      // Plans for one entry are not reordered.
      const bool replaces = rounds[e] / 1'000'000 != plan.round / 1'000'000 ||
                            rounds[e] < plan.round;
      if (replaces && plan.expiry > now) {
        rounds[e] = plan.round;
        entries[e]->UpdateTargets(
          targets, plan.grants, plan.expiry, e, entries.size(), now);
        entries[e]->UpdateTeamGrants(plan.teams, plan.expiry);
      }
      delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(i));
    }
    Collect();
  }
};

} // namespace

// Guards against a division that is not max-min fair.
TEST_CASE("Weighted max-min agrees with incremental water filling")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    random_engine random(seed);
    const auto size = static_cast<std::size_t>(Draw(random, 1, 9));
    std::vector<double> weights;
    std::vector<double> demands;
    for (std::size_t i = 0; i < size; ++i) {
      weights.push_back(static_cast<double>(Draw(random, 1, 10)));
      demands.push_back(static_cast<double>(Draw(random, 0, 40)));
    }
    const auto capacity = static_cast<double>(Draw(random, 0, 120));
    const auto fast = WeightedMaxMin(capacity, weights, demands);
    const auto naive = NaiveMaxMin(capacity, weights, demands, 0.01);
    for (std::size_t i = 0; i < size; ++i) {
      // Incremental filling leaves at most one step over for each part.
      CHECK(fast[i] == Approx(naive[i]).margin(0.01 * (size + 1.0)));
    }
  }
}

// Guards against targets above their slots when entries move between two
// planners that are both active in the zone, and against lost slots.
TEST_CASE("Two planners never overcommit a target")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    zone_fixture zone(seed);
    for (std::size_t e = 0; e < zone.entries.size(); ++e) {
      zone.entries[e]->UpdateTargets(
        zone.targets, std::nullopt, {}, e, zone.entries.size(), zone.now);
    }
    for (int step = 0; step < 600; ++step) {
      for (std::size_t e = 0; e < zone.entries.size(); ++e) {
        // The load moves from one half of the entries to the other.
        const bool busy = (e % 2 == 0) == ((step / 150) % 2 == 0);
        for (auto n = Draw(zone.random, 0, busy ? 4 : 0); n > 0; --n) {
          zone.Submit(e);
        }
        if (Draw(zone.random, 0, 199) == 0) {
          zone.planner[e] = 1 - zone.planner[e];
        }
      }
      zone.Collect();
      zone.Step(200ms, true);
      zone.Deliver();
      for (const auto& target : zone.targets) {
        REQUIRE(zone.inUse[target.id] <= target.slots);
      }
    }
    CHECK(zone.started > 0);
  }
}

// Guards against grants that are used after their expiry, and against fallback
// slots that do not add up to the slots of each target.
TEST_CASE("Entries return to their fallback slots when grants expire")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    zone_fixture zone(seed);
    for (std::size_t e = 0; e < zone.entries.size(); ++e) {
      zone.entries[e]->UpdateTargets(
        zone.targets, std::nullopt, {}, e, zone.entries.size(), zone.now);
    }
    for (int step = 0; step < 300; ++step) {
      zone.Submit(0);
      zone.Collect();
      zone.Step(200ms, step < 150);
      zone.Deliver();
      for (const auto& target : zone.targets) {
        REQUIRE(zone.inUse[target.id] <= target.slots);
      }
    }
    // Work started under grants has ended; every entry has more demand than
    // slots.
    for (std::size_t e = 0; e < zone.entries.size(); ++e) {
      for (int i = 0; i < 200; ++i) {
        zone.Submit(e);
      }
    }
    zone.Collect();
    for (const auto& target : zone.targets) {
      CHECK(zone.inUse[target.id] == target.slots);
    }
  }
}

// Guards against a planner that leaves slots unused, or divides them by queue
// length instead of by the shares of the teams.
TEST_CASE("Slots follow the teams' shares over all entries")
{
  slot_planner_options options;
  options.zone = "z";
  slot_planner planner(options);
  time_point now{ 1000s };
  std::vector<target_info> targets;
  for (std::size_t t = 0; t < 10; ++t) {
    targets.push_back(MakeTarget(t, 8));
  }
  const std::vector<std::string> names{ "e0", "e1", "e2", "e3" };
  std::map<std::string, entry_plan> plans;
  for (int round = 0; round < 40; ++round) {
    for (std::size_t e = 0; e < names.size(); ++e) {
      entry_report report{ names[e], {}, {}, std::nullopt };
      // Team a floods every entry; team b uses one entry only.
      report.demand.push_back({ "a", "c", 5000, 0, 0 });
      if (e == 0) {
        report.demand.push_back({ "b", "c", 5000, 0, 0 });
      }
      if (plans.contains(names[e])) {
        report.acknowledged = plans[names[e]].round;
      }
      planner.Report(report, now);
    }
    plans = planner.Plan({ { "a", 1 }, { "b", 1 } }, targets, names, now);
    now += 500ms;
  }
  REQUIRE(plans.size() == 4);
  std::map<std::string, std::int64_t> slots;
  std::int64_t all = 0;
  for (const auto& [name, plan] : plans) {
    for (const auto& grant : plan.grants) {
      slots[name] += grant.slots;
      all += grant.slots;
    }
  }
  CHECK(all == 80);
  CHECK(slots["e0"] == 50); // 40 of b and 10 of a.
  CHECK(slots["e1"] == 10);
  REQUIRE(plans["e0"].teams.size() == 2);
  CHECK(plans["e0"].teams[0].slots == Approx(10));
  CHECK(plans["e0"].teams[1].slots == Approx(40));
}

// Guards against shares that hold only within each zone. A step waits at one
// entry, so all work of a team may be in one zone.
TEST_CASE("Zones lend slots so that shares hold over all zones")
{
  std::vector<target_info> targets;
  for (std::size_t t = 0; t < 10; ++t) {
    targets.push_back(MakeTarget(t, 8));
    targets.back().zone = t < 5 ? "a" : "b";
  }
  const std::vector<std::string> zones{ "a", "b" };
  std::vector<slot_planner> planners;
  for (const auto& zone : zones) {
    slot_planner_options options;
    options.zone = zone;
    planners.emplace_back(options);
  }
  const std::map<std::string, double> shares{ { "x", 3 }, { "y", 1 } };
  time_point now{ 1000s };
  std::vector<std::map<std::string, std::int64_t>> held(2);
  std::vector<std::int64_t> rounds(2, -1);
  const auto total = [&](std::size_t aZone) {
    std::int64_t sum = 0;
    for (const auto& [target, slots] : held[aZone]) {
      sum += slots;
    }
    return sum;
  };
  // All grants are used at once; team x has work in zone a only, team y in zone
  // b only.
  const auto round = [&](bool aConnected) {
    now += 500ms;
    std::vector<std::map<std::string, std::int64_t>> loans(2);
    for (std::size_t z = 0; z < 2; ++z) {
      planners[z].Report({ "e" + zones[z],
                           { { z == 0 ? "x" : "y", "c", 2000, total(z), 0 } },
                           held[z],
                           rounds[z] },
                         now);
    }
    for (std::size_t z = 0; z < 2; ++z) {
      if (aConnected) {
        planners[z].ReportZone(
          planners[1 - z].ZoneReport(zones[z], targets, now), now);
      }
      std::vector<target_info> plannable;
      for (auto info : targets) {
        const auto lent = held[z].find(info.id);
        if (info.zone != zones[z]) {
          info.slots = lent == held[z].end() ? 0 : lent->second;
        }
        plannable.push_back(info);
      }
      const auto plans =
        planners[z].Plan(shares, plannable, { "e" + zones[z] }, now);
      for (const auto& [name, plan] : plans) {
        auto& receiver = name == "e" + zones[z] ? held[z] : loans[1 - z];
        if (name == "e" + zones[z]) {
          rounds[z] = plan.round;
          std::erase_if(receiver, [&](const auto& aHeld) {
            return std::stoul(aHeld.first.substr(1)) / 5 == z;
          });
        }
        for (const auto& grant : plan.grants) {
          if (name != "e" + zones[z] ||
              std::stoul(grant.target.substr(1)) / 5 == z) {
            receiver[grant.target] = grant.slots;
          }
        }
      }
    }
    for (std::size_t z = 0; z < 2; ++z) {
      std::erase_if(held[z], [&](const auto& aHeld) {
        return std::stoul(aHeld.first.substr(1)) / 5 != z;
      });
      held[z].insert(loans[z].begin(), loans[z].end());
    }
  };
  for (int i = 0; i < 100; ++i) {
    round(true);
  }
  CHECK(total(0) == Approx(60).margin(2));
  CHECK(total(1) == Approx(20).margin(2));
  for (int i = 0; i < 20; ++i) {
    round(false);
  }
  CHECK(total(0) == 40);
  CHECK(total(1) == 40);
}
