#include "arbutusferry/hash.hpp"
#include "routing/slot_plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutusferry {

namespace {

/// Time over which a deficit is made up for.
constexpr double kCatchUpSeconds = 10;
/// Time constant of the exponential decay of a deficit.
constexpr double kDecaySeconds = 60;
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 2;
/// Longest time between two updates that is accounted.
constexpr double kMaxStepSeconds = 2;

} // namespace

double
service_balance::Factor(const std::string& aTeam) const
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return 1;
  }
  const double slots = std::max(found->second.entitled, 1.0);
  return std::clamp(1 + found->second.deficit / (slots * kCatchUpSeconds),
                    kMinFactor,
                    kMaxFactor);
}

void
service_balance::Update(const std::map<std::string, double>& aEntitled,
                        const std::map<std::string, double>& aHeld,
                        time_point aNow)
{
  const double elapsed =
    std::clamp(std::chrono::duration<double>(aNow - mLastUpdate).count(),
               0.0,
               mLastUpdate == time_point{} ? 0.0 : kMaxStepSeconds);
  mLastUpdate = aNow;
  std::erase_if(mTeams, [&](const auto& aTeam) {
    return !aEntitled.contains(aTeam.first);
  });
  for (const auto& [team, entitled] : aEntitled) {
    auto& state = mTeams[team];
    const auto held = aHeld.find(team);
    state.entitled = entitled;
    state.deficit *= std::exp(-elapsed / kDecaySeconds);
    state.deficit +=
      elapsed * (entitled - (held == aHeld.end() ? 0 : held->second));
  }
}

std::vector<double>
WeightedMaxMin(double aCapacity,
               const std::vector<double>& aWeights,
               const std::vector<double>& aDemands)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  // Water filling: demands in order of the level at which each is met.
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aDemands[aLeft] * aWeights[aRight] <
             aDemands[aRight] * aWeights[aLeft];
    });
  double remainingWeight =
    std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  double remaining = std::max(aCapacity, 0.0);
  std::vector<double> parts(aDemands.size());
  for (const auto index : order) {
    const double part =
      remainingWeight > 0 ? remaining * aWeights[index] / remainingWeight : 0;
    parts[index] = std::min(std::max(aDemands[index], 0.0), part);
    remaining -= parts[index];
    remainingWeight -= aWeights[index];
  }
  return parts;
}

std::int64_t
FallbackSlots(const std::string& aTarget,
              std::int64_t aSlots,
              std::size_t aIndex,
              std::size_t aEntries) noexcept
{
  const auto entries = std::max<std::size_t>(aEntries, 1);
  const auto parts = static_cast<std::int64_t>(entries);
  const auto slots = std::max<std::int64_t>(aSlots, 0);
  const auto position =
    static_cast<std::int64_t>((aIndex + Hash64(aTarget) % entries) % entries);
  return slots / parts + (position < slots % parts ? 1 : 0);
}

} // namespace arbutusferry
