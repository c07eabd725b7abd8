#include "arbutusferry/hash.hpp"
#include "arbutusferry/slot_planner.hpp"

#include <algorithm>
#include <numeric>

namespace arbutusferry {

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
