#include "support/placement_load.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry::node;

namespace {

/// Samplers whose speeds are spread evenly between two factors of 1 event per
/// 40 ms.
std::vector<simulated_sampler>
Samplers(int aCount, double aSlowest, double aFastest)
{
  std::vector<simulated_sampler> samplers;
  for (int index = 0; index < aCount; ++index) {
    simulated_sampler sampler;
    sampler.intervalMs /=
      aSlowest + (aFastest - aSlowest) * index / std::max(1, aCount - 1);
    samplers.push_back(sampler);
  }
  return samplers;
}

simulated_trainer
Trainer(const std::string& aTeam, int aGroups)
{
  simulated_trainer trainer;
  trainer.team = aTeam;
  trainer.groups = aGroups;
  trainer.itemsPerGroup = 8;
  return trainer;
}

/// Runs a load for a minute under the previous order and the new one.
struct comparison
{
  comparison(const std::vector<simulated_trainer>& aTrainers,
             const std::vector<simulated_sampler>& aSamplers,
             std::uint64_t aSeed)
    : before(aTrainers, aSamplers, placement_policy::Previous, aSeed)
    , now(aTrainers, aSamplers, placement_policy::Slack, aSeed)
  {
    before.Run(60'000);
    now.Run(60'000);
    for (std::size_t index = 0; index < aTrainers.size(); ++index) {
      const simulated_trainer& was = before.trainers[index];
      const simulated_trainer& is = now.trainers[index];
      UNSCOPED_INFO("seed " << aSeed << " team " << is.team
                            << ": steps in time " << was.InTime() << " -> "
                            << is.InTime() << ", groups " << was.GroupsInTime()
                            << " -> " << is.GroupsInTime());
    }
  }

  [[nodiscard]] static double GroupsInTime(const placement_load& aLoad)
  {
    double complete = 0.0;
    double needed = 0.0;
    for (const simulated_trainer& trainer : aLoad.trainers) {
      complete += trainer.groupsInTime;
      needed += trainer.groupsNeeded;
    }
    return complete / needed;
  }

  placement_load before;
  placement_load now;
};

} // namespace

// Load pattern: two priorities that ask for more than there is. A trainer of
// the higher one needs nearly all of its steps in time.
TEST_CASE("a higher priority is in time where the capacity suffices for it")
{
  simulated_trainer low = Trainer("low", 19);
  low.teamPriority = 5;
  simulated_trainer high = Trainer("high", 19);
  high.teamPriority = 0;
  high.routePriority = 9;
  for (const std::uint64_t seed : { 1, 2 }) {
    const comparison runs({ low, high }, Samplers(6, 1.0, 1.0), seed);
    CHECK(runs.now.trainers[1].InTime() >= 0.95);
    CHECK(runs.before.trainers[1].InTime() < 0.95);
    CHECK(comparison::GroupsInTime(runs.now) >
          comparison::GroupsInTime(runs.before));
  }
}

// Load pattern: one greedy team of three. The two that ask for less than a
// third need nearly all of their steps in time.
TEST_CASE("a greedy team delays only itself")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    const comparison runs(
      { Trainer("greedy", 57), Trainer("a", 10), Trainer("b", 10) },
      Samplers(10, 1.0, 1.0),
      seed);
    CHECK(runs.now.trainers[1].InTime() >= 0.95);
    CHECK(runs.now.trainers[2].InTime() >= 0.95);
    CHECK(runs.before.trainers[1].InTime() < 0.95);
    // The unused shares go to the greedy team.
    CHECK(runs.now.trainers[0].GroupsInTime() >=
          runs.before.trainers[0].GroupsInTime());
  }
}

// Load pattern: speeds of 0.7 and 1.7, with and without enough capacity.
TEST_CASE("samplers of unequal speed complete at least as many groups in time")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    const comparison enough({ Trainer("a", 19) }, Samplers(3, 0.7, 1.7), seed);
    CHECK(enough.now.trainers[0].InTime() >= 0.95);
    const comparison scarce({ Trainer("a", 19) }, Samplers(2, 0.7, 1.7), seed);
    CHECK(scarce.now.trainers[0].GroupsInTime() >
          scarce.before.trainers[0].GroupsInTime());
    CHECK(scarce.now.trainers[0].stepsInTime >=
          scarce.before.trainers[0].stepsInTime);
    CHECK(scarce.now.moves > 0);
  }
}

// Load pattern: half of the samplers are lost for good after 20 s. The team
// that asks for less than half of the rest stays in time.
TEST_CASE("the loss of half of the samplers hits what exceeds a fair share")
{
  std::vector<simulated_sampler> samplers = Samplers(6, 0.7, 1.7);
  for (std::size_t index = 0; index < samplers.size(); index += 2) {
    samplers[index].lostAtMs = 20'000;
  }
  for (const std::uint64_t seed : { 1, 2 }) {
    const comparison runs(
      { Trainer("large", 19), Trainer("small", 10) }, samplers, seed);
    CHECK(runs.now.trainers[1].InTime() >= 0.95);
    CHECK(runs.before.trainers[1].InTime() < 0.95);
    CHECK(runs.now.trainers[0].GroupsInTime() >=
          runs.before.trainers[0].GroupsInTime());
  }
}

// Load pattern: a tenth of the groups of each step is four times as long, at
// samplers that are nearly always full.
TEST_CASE("a long last tenth does not make the next step late")
{
  simulated_trainer trainer = Trainer("a", 20);
  trainer.longGroupFactor = 4.0;
  int before = 0;
  int now = 0;
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    const comparison runs({ trainer }, Samplers(4, 1.0, 1.0), seed);
    CHECK(runs.now.trainers[0].InTime() >= 0.85);
    CHECK(runs.now.trainers[0].GroupsInTime() >= 0.95);
    before += runs.before.trainers[0].stepsInTime;
    now += runs.now.trainers[0].stepsInTime;
  }
  CHECK(now >= before);
}
