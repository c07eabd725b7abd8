#include "placement/contention.hpp"

#include <algorithm>
#include <numeric>

namespace arbutusferry::node {

void
FindContention(const std::string& aService,
               const std::vector<placement_demand>& aDemands,
               const std::vector<sampler_state>& aSamplers,
               std::vector<demand_state>& aStates)
{
  const std::size_t count = aDemands.size();
  // Demands that share a sampler have the same representative.
  std::vector<std::size_t> parents(count);
  std::iota(parents.begin(), parents.end(), std::size_t{ 0 });
  const auto find = [&](std::size_t aIndex) {
    while (parents[aIndex] != aIndex) {
      aIndex = parents[aIndex] = parents[parents[aIndex]];
    }
    return aIndex;
  };
  std::vector<std::size_t> freeByDemand(count);
  std::vector<std::size_t> freeBySet(count);
  for (const sampler_state& sampler : aSamplers) {
    const int room =
      std::min(sampler.slots - sampler.running, sampler.startsAvailable);
    if (!sampler.usable || room <= 0) {
      continue;
    }
    const auto slots = static_cast<std::size_t>(room);
    std::size_t first = count;
    for (std::size_t index = 0; index < count; ++index) {
      const placement_demand& demand = aDemands[index];
      if (demand.service != aService ||
          !HoldsWeights(sampler, demand.model, demand.minimumVersion)) {
        continue;
      }
      freeByDemand[index] += slots;
      if (first == count) {
        first = index;
        freeBySet[index] += slots;
      } else {
        parents[find(index)] = find(first);
      }
    }
  }
  std::vector<std::size_t> waiting(count);
  std::vector<std::size_t> room(count);
  std::vector<bool> contendedSets(count);
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t set = find(index);
    room[set] += freeBySet[index];
    if (freeByDemand[index] > 0) {
      waiting[set] += aDemands[index].waiting;
      contendedSets[set] =
        contendedSets[set] || aDemands[index].waiting >= freeByDemand[index];
    }
  }
  for (std::size_t index = 0; index < count; ++index) {
    if (aDemands[index].service != aService) {
      continue;
    }
    const std::size_t set = find(index);
    if (freeByDemand[index] == 0) {
      aStates[index] = demand_state::Full;
    } else {
      aStates[index] = contendedSets[set] || waiting[set] >= room[set]
                         ? demand_state::Contended
                         : demand_state::Ample;
    }
  }
}

} // namespace arbutusferry::node
