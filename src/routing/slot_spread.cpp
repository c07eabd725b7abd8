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
  std::vector<std::int64_t> nominal = capacity;
  std::vector<bool> isServed(aEntries.size());
  for (const auto e : served) {
    isServed[e] = true;
    for (std::size_t t = 0; t < size; ++t) {
      const auto found = aEntries[e]->desired.find(targets[t]->id);
      desired[e][t] = found == aEntries[e]->desired.end() ? 0 : found->second;
      nominal[t] -= desired[e][t];
    }
  }
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    for (std::size_t t = 0; !isServed[e] && t < size; ++t) {
      nominal[t] -= reserved[e][t];
    }
  }
  // Entries above their count give up slots where they hold the most.
  const auto idleSlots = [&](std::size_t aEntry, std::size_t aTarget) {
    const auto& inFlight = aEntries[aEntry]->inFlight;
    const auto found = inFlight.find(targets[aTarget]->id);
    return desired[aEntry][aTarget] -
           (found == inFlight.end() ? 0 : found->second);
  };
  for (std::size_t t = 0; t < size; ++t) {
    while (nominal[t] < 0) {
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
      ++nominal[t];
    }
  }
  std::vector<std::int64_t> missing(aEntries.size());
  for (const auto e : served) {
    auto& mine = desired[e];
    missing[e] =
      aCounts[e] - std::accumulate(mine.begin(), mine.end(), std::int64_t{ 0 });
    for (; missing[e] < 0; ++missing[e]) {
      std::size_t victim = size;
      for (std::size_t t = 0; t < size; ++t) {
        if (mine[t] > 0 &&
            (victim == size || idleSlots(e, t) > idleSlots(e, victim))) {
          victim = t;
        }
      }
      --mine[victim];
      ++nominal[victim];
    }
  }
  // Slots that others still use come last, however free they are on paper.
  std::vector<std::int64_t> open = capacity;
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    for (std::size_t t = 0; t < size; ++t) {
      open[t] -= std::max(desired[e][t], reserved[e][t]);
    }
  }
  bool added = true;
  while (added) {
    added = false;
    for (const auto e : served) {
      if (missing[e] <= 0) {
        continue;
      }
      auto& mine = desired[e];
      // What a zone borrows is not lent on.
      const bool borrows =
        std::find(borrowers.begin(), borrowers.end(), e) != borrowers.end();
      std::size_t best = size;
      const auto rank = [&](std::size_t aTarget) {
        const bool held = reserved[e][aTarget] > mine[aTarget];
        return std::tuple(held || open[aTarget] > 0,
                          -mine[aTarget],
                          open[aTarget],
                          nominal[aTarget]);
      };
      for (std::size_t t = 0; t < size; ++t) {
        if (nominal[t] > 0 && (own[t] || !borrows) &&
            (best == size || rank(t) > rank(best))) {
          best = t;
        }
      }
      if (best == size) {
        continue;
      }
      if (reserved[e][best] <= mine[best]) {
        --open[best];
      }
      ++mine[best];
      --nominal[best];
      --missing[e];
      added = true;
    }
  }
}

std::vector<std::vector<std::int64_t>>
class_plan::Issue(std::size_t aTurn) const
{
  auto issued = desired;
  for (std::size_t t = 0; t < targets.size(); ++t) {
    auto open = capacity[t];
    for (const auto& entry : reserved) {
      open -= entry[t];
    }
    for (std::size_t i = 0; i < served.size(); ++i) {
      const auto e = served[(i + aTurn) % served.size()];
      const auto growth = desired[e][t] - reserved[e][t];
      if (growth > 0) {
        const auto granted = std::clamp<std::int64_t>(open, 0, growth);
        issued[e][t] = reserved[e][t] + granted;
        open -= granted;
      }
    }
  }
  return issued;
}

} // namespace arbutusferry
