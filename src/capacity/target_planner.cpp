#include "arbutusferry/target_planner.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace arbutusferry {

namespace {

/// Adds targets one by one to the zone with the fewest, so that the loss of a
/// zone costs as little as possible. On a tie the zone with more existing
/// targets is preferred, so that no target is moved without need.
/// @param aCounts Counts to raise, by index of the zone.
/// @param aCaps Upper limits of the counts.
/// @param aExisting Targets that exist now.
/// @return The number that could not be placed.
std::int64_t
Spread(std::int64_t aNumber,
       std::vector<std::int64_t>& aCounts,
       const std::vector<std::int64_t>& aCaps,
       const std::vector<std::int64_t>& aExisting)
{
  for (; aNumber > 0; --aNumber) {
    std::size_t best = aCounts.size();
    for (std::size_t i = 0; i < aCounts.size(); ++i) {
      if (aCounts[i] >= aCaps[i]) {
        continue;
      }
      if (best == aCounts.size() || aCounts[i] < aCounts[best] ||
          (aCounts[i] == aCounts[best] && aExisting[i] > aExisting[best])) {
        best = i;
      }
    }
    if (best == aCounts.size()) {
      return aNumber;
    }
    ++aCounts[best];
  }
  return 0;
}

std::vector<std::int64_t>
ForZones(const planning_input& aInput,
         const std::function<std::int64_t(const zone_supply&)>& aValue)
{
  std::vector<std::int64_t> values;
  values.reserve(aInput.zones.size());
  for (const zone_supply& zone : aInput.zones) {
    values.push_back(aValue(zone));
  }
  return values;
}

std::int64_t
ToTargets(double aSlots, std::int64_t aSlotsPerTarget)
{
  // A rounding error above a whole number must not add a target.
  constexpr double kTolerance = 1e-6;
  return static_cast<std::int64_t>(std::ceil(
    aSlots / static_cast<double>(std::max<std::int64_t>(1, aSlotsPerTarget)) -
    kTolerance));
}

target_plan
MakePlan(const planning_input& aInput,
         const std::vector<std::int64_t>& aProtected,
         const std::vector<std::int64_t>& aReclaimable)
{
  target_plan plan;
  for (std::size_t i = 0; i < aInput.zones.size(); ++i) {
    plan[aInput.zones[i].limits.zone] = { aProtected[i], aReclaimable[i] };
  }
  return plan;
}

/// Spreads protected targets over the zones; each gets at least its minimum.
target_plan
PlanProtected(const planning_input& aInput, std::int64_t aTargets)
{
  auto counts = ForZones(
    aInput, [](const auto& aZone) { return aZone.limits.minProtected; });
  std::int64_t placed = 0;
  for (const std::int64_t count : counts) {
    placed += count;
  }
  Spread(aTargets - placed,
         counts,
         ForZones(aInput, [](const auto& aZone) { return aZone.limits.max; }),
         ForZones(aInput, [](const auto& aZone) {
           return aZone.existing.protectedCount;
         }));
  return MakePlan(aInput, counts, std::vector<std::int64_t>(counts.size(), 0));
}

class forecast_scaling final : public scaling_policy
{
public:
  target_plan Plan(const planning_input& aInput, time_point) override
  {
    const auto keptProtected = ForZones(
      aInput, [](const auto& aZone) { return aZone.existing.protectedCount; });
    auto protectedCounts = ForZones(
      aInput, [](const auto& aZone) { return aZone.limits.minProtected; });
    // Targets of an unreachable zone cannot serve the demand observed here. The
    // holder of that zone's role orders targets for the demand there.
    const auto protectedCaps = ForZones(aInput, [](const auto& aZone) {
      return aZone.reachable ? aZone.limits.max : aZone.limits.minProtected;
    });
    const std::int64_t needed =
      ToTargets(aInput.demand.slots, aInput.slotsPerTarget);
    const std::int64_t neededProtected =
      ToTargets(aInput.demand.protectedSlots, aInput.slotsPerTarget);
    std::int64_t placed = 0;
    for (std::size_t i = 0; i < aInput.zones.size(); ++i) {
      placed += aInput.zones[i].reachable ? protectedCounts[i] : 0;
    }
    const std::int64_t more =
      std::max<std::int64_t>(0, neededProtected - placed);
    placed +=
      more - Spread(more, protectedCounts, protectedCaps, keptProtected);

    std::vector<std::int64_t> reclaimable(aInput.zones.size(), 0);
    std::vector<std::int64_t> caps;
    for (std::size_t i = 0; i < aInput.zones.size(); ++i) {
      caps.push_back(ReclaimableCap(aInput.zones[i], protectedCounts[i]));
    }
    std::int64_t missing = Spread(needed - placed,
                                  reclaimable,
                                  caps,
                                  ForZones(aInput, [](const auto& aZone) {
                                    return aZone.existing.reclaimableCount;
                                  }));
    if (missing > 0) {
      std::vector<std::int64_t> remainingCaps = protectedCaps;
      for (std::size_t i = 0; i < remainingCaps.size(); ++i) {
        remainingCaps[i] =
          std::max(protectedCounts[i], remainingCaps[i] - reclaimable[i]);
      }
      Spread(missing, protectedCounts, remainingCaps, keptProtected);
    }
    return MakePlan(aInput, protectedCounts, reclaimable);
  }

private:
  static std::int64_t ReclaimableCap(const zone_supply& aZone,
                                     std::int64_t aProtected)
  {
    if (!aZone.reachable) {
      return 0;
    }
    std::int64_t cap =
      std::min(aZone.limits.maxReclaimable, aZone.limits.max - aProtected);
    if (aZone.availableReclaimable >= 0) {
      cap = std::min(cap, aZone.availableReclaimable);
    }
    return std::max<std::int64_t>(0, cap);
  }
};

class fixed_scaling final : public scaling_policy
{
public:
  explicit fixed_scaling(std::map<std::string, std::int64_t> aTargets)
    : mTargets(std::move(aTargets))
  {
  }

  target_plan Plan(const planning_input& aInput, time_point) override
  {
    const auto found = mTargets.find(aInput.targetClass);
    return PlanProtected(aInput, found == mTargets.end() ? 0 : found->second);
  }

private:
  std::map<std::string, std::int64_t> mTargets;
};

class threshold_scaling final : public scaling_policy
{
public:
  explicit threshold_scaling(const threshold_rules& aRules)
    : mRules(aRules)
  {
  }

  target_plan Plan(const planning_input& aInput, time_point aNow) override
  {
    const auto [found, inserted] = mClasses.try_emplace(aInput.targetClass);
    class_state& state = found->second;
    if (inserted) {
      for (const zone_supply& zone : aInput.zones) {
        state.targets +=
          std::max(zone.limits.minProtected, zone.existing.protectedCount);
      }
    } else if (aNow >= state.lastChange + mRules.cooldown) {
      const double slots =
        static_cast<double>(state.targets * aInput.slotsPerTarget);
      const auto busy = static_cast<double>(aInput.running);
      if (aInput.waiting > 0 || busy > mRules.highUtilization * slots) {
        ++state.targets;
        state.lastChange = aNow;
      } else if (busy < mRules.lowUtilization * slots) {
        --state.targets;
        state.lastChange = aNow;
      }
    }
    Clamp(aInput, state);
    return PlanProtected(aInput, state.targets);
  }

private:
  struct class_state
  {
    std::int64_t targets = 0;
    time_point lastChange{};
  };

  static void Clamp(const planning_input& aInput, class_state& aState)
  {
    std::int64_t least = 0;
    std::int64_t most = 0;
    for (const zone_supply& zone : aInput.zones) {
      least += zone.limits.minProtected;
      most += zone.limits.max;
    }
    aState.targets = std::clamp(aState.targets, least, std::max(least, most));
  }

  threshold_rules mRules;
  std::map<std::string, class_state> mClasses;
};

} // namespace

std::unique_ptr<scaling_policy>
MakeForecastScaling()
{
  return std::make_unique<forecast_scaling>();
}

std::unique_ptr<scaling_policy>
MakeFixedScaling(std::map<std::string, std::int64_t> aTargets)
{
  return std::make_unique<fixed_scaling>(std::move(aTargets));
}

std::unique_ptr<scaling_policy>
MakeThresholdScaling(const threshold_rules& aRules)
{
  return std::make_unique<threshold_scaling>(aRules);
}

} // namespace arbutusferry
