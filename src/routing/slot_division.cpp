#include "arbutusferry/hash.hpp"
#include "routing/slot_plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutusferry {

namespace {

/// Seconds in which missing service is made up for.
constexpr double kCatchUp = 10;
/// Seconds after which missing service is forgotten.
constexpr double kMemory = 60;
constexpr double kLeastFactor = 0.5;
constexpr double kMostFactor = 2;
/// Longest time between two updates that counts.
constexpr double kLongestStep = 2;

} // namespace

double
service_balance::Factor(const std::string& aTeam) const
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return 1;
  }
  const double slots = std::max(found->second.entitled, 1.0);
  return std::clamp(
    1 + found->second.missing / (slots * kCatchUp), kLeastFactor, kMostFactor);
}

void
service_balance::Update(const std::map<std::string, double>& aEntitled,
                        const std::map<std::string, double>& aHeld,
                        time_point aNow)
{
  const double step =
    std::clamp(std::chrono::duration<double>(aNow - mLast).count(),
               0.0,
               mLast == time_point{} ? 0.0 : kLongestStep);
  mLast = aNow;
  std::erase_if(mTeams, [&](const auto& aTeam) {
    return !aEntitled.contains(aTeam.first);
  });
  for (const auto& [team, entitled] : aEntitled) {
    auto& state = mTeams[team];
    const auto held = aHeld.find(team);
    state.entitled = entitled;
    state.missing *= std::exp(-step / kMemory);
    state.missing +=
      step * (entitled - (held == aHeld.end() ? 0 : held->second));
  }
}

std::vector<double>
WeightedMaxMin(double aCapacity,
               const std::vector<double>& aWeights,
               const std::vector<double>& aDemands)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  // In order of the water level at which each demand is met.
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aDemands[aLeft] * aWeights[aRight] <
             aDemands[aRight] * aWeights[aLeft];
    });
  double weight = std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  double left = std::max(aCapacity, 0.0);
  std::vector<double> parts(aDemands.size());
  for (const auto index : order) {
    const double part = weight > 0 ? left * aWeights[index] / weight : 0;
    parts[index] = std::min(std::max(aDemands[index], 0.0), part);
    left -= parts[index];
    weight -= aWeights[index];
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
  const auto turn =
    static_cast<std::int64_t>((aIndex + Hash64(aTarget) % entries) % entries);
  return slots / parts + (turn < slots % parts ? 1 : 0);
}

} // namespace arbutusferry
