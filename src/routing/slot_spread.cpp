#include "routing/slot_plan.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace arbutusferry {

void
class_plan::Spread(const std::vector<entry_state*>& aEntries,
                   const std::vector<std::int64_t>& aCounts)
{
  const auto size = targets.size();
  desired.assign(aEntries.size(), std::vector<std::int64_t>(size));
  std::vector<std::int64_t> unassigned = capacity;
  std::vector<bool> isServed(aEntries.size());
  for (const auto e : served) {
    isServed[e] = true;
    for (std::size_t t = 0; t < size; ++t) {
      const auto found = aEntries[e]->desired.find(targets[t]->id);
      desired[e][t] = found == aEntries[e]->desired.end() ? 0 : found->second;
      unassigned[t] -= desired[e][t];
    }
  }
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    for (std::size_t t = 0; !isServed[e] && t < size; ++t) {
      unassigned[t] -= reserved[e][t];
    }
  }
  const auto idleSlots = [&](std::size_t aEntry, std::size_t aTarget) {
    const auto& inFlight = aEntries[aEntry]->inFlight;
    const auto found = inFlight.find(targets[aTarget]->id);
    return desired[aEntry][aTarget] -
           (found == inFlight.end() ? 0 : found->second);
  };
  // At targets above their capacity, the entry that holds the most gives up
  // slots.
  for (std::size_t t = 0; t < size; ++t) {
    while (unassigned[t] < 0) {
      const auto most =
        std::max_element(served.begin(),
                         served.end(),
                         [&](std::size_t aLeft, std::size_t aRight) {
                           return desired[aLeft][t] < desired[aRight][t];
                         });
      if (most == served.end() || desired[*most][t] == 0) {
        break;
      }
      --desired[*most][t];
      ++unassigned[t];
    }
  }
  std::vector<std::int64_t> missing(aEntries.size());
  for (const auto e : served) {
    auto& entrySlots = desired[e];
    missing[e] =
      aCounts[e] -
      std::accumulate(entrySlots.begin(), entrySlots.end(), std::int64_t{ 0 });
    // An entry above its count gives up slots where it has the most idle ones.
    for (; missing[e] < 0; ++missing[e]) {
      std::size_t victim = size;
      for (std::size_t t = 0; t < size; ++t) {
        if (entrySlots[t] > 0 &&
            (victim == size || idleSlots(e, t) > idleSlots(e, victim))) {
          victim = t;
        }
      }
      --entrySlots[victim];
      ++unassigned[victim];
    }
  }
  // Unassigned slots that another entry may still use are taken last.
  std::vector<std::int64_t> available = capacity;
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    for (std::size_t t = 0; t < size; ++t) {
      available[t] -= std::max(desired[e][t], reserved[e][t]);
    }
  }
  bool added = true;
  while (added) {
    added = false;
    for (const auto e : served) {
      if (missing[e] <= 0) {
        continue;
      }
      auto& entrySlots = desired[e];
      // Borrowed slots are not lent again.
      const bool borrows =
        std::find(borrowers.begin(), borrowers.end(), e) != borrowers.end();
      std::size_t best = size;
      const auto rank = [&](std::size_t aTarget) {
        const bool held = reserved[e][aTarget] > entrySlots[aTarget];
        return std::tuple(held || available[aTarget] > 0,
                          -entrySlots[aTarget],
                          available[aTarget],
                          unassigned[aTarget]);
      };
      for (std::size_t t = 0; t < size; ++t) {
        if (unassigned[t] > 0 && (own[t] || !borrows) &&
            (best == size || rank(t) > rank(best))) {
          best = t;
        }
      }
      if (best == size) {
        continue;
      }
      if (reserved[e][best] <= entrySlots[best]) {
        --available[best];
      }
      ++entrySlots[best];
      --unassigned[best];
      --missing[e];
      added = true;
    }
  }
}

std::vector<std::vector<std::int64_t>>
class_plan::Issue(std::size_t aOffset) const
{
  auto issued = desired;
  for (std::size_t t = 0; t < targets.size(); ++t) {
    auto available = capacity[t];
    for (const auto& entry : reserved) {
      available -= entry[t];
    }
    for (std::size_t i = 0; i < served.size(); ++i) {
      const auto e = served[(i + aOffset) % served.size()];
      const auto growth = desired[e][t] - reserved[e][t];
      if (growth > 0) {
        const auto granted = std::clamp<std::int64_t>(available, 0, growth);
        issued[e][t] = reserved[e][t] + granted;
        available -= granted;
      }
    }
  }
  return issued;
}

} // namespace arbutusferry
