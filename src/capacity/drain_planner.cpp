#include "arbutusferry/target_planner.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry {

reclaimable_supply::reclaimable_supply(duration aListTimeout,
                                       duration aRetryDelay)
  : mListTimeout(aListTimeout)
  , mRetryDelay(aRetryDelay)
{
}

void
reclaimable_supply::Observe(const std::string& aZone,
                            const std::string& aTargetClass,
                            std::int64_t aOrdered,
                            std::int64_t aListed,
                            time_point aNow)
{
  zone_state& zone = mZones[{ aZone, aTargetClass }];
  zone.listed = aListed;
  if (aListed >= aOrdered) {
    zone.missing = false;
    return;
  }
  if (!zone.missing) {
    zone.missing = true;
    zone.missingSince = aNow;
  }
  if (aNow >= zone.missingSince + mListTimeout) {
    zone.blockedUntil = std::max(zone.blockedUntil, aNow + mRetryDelay);
    zone.missing = false;
  }
}

void
reclaimable_supply::RecordReclaim(const std::string& aZone,
                                  const std::string& aTargetClass,
                                  time_point aNow)
{
  zone_state& zone = mZones[{ aZone, aTargetClass }];
  zone.blockedUntil = std::max(zone.blockedUntil, aNow + mRetryDelay);
}

std::int64_t
reclaimable_supply::Available(const std::string& aZone,
                              const std::string& aTargetClass,
                              time_point aNow) const
{
  const auto found = mZones.find({ aZone, aTargetClass });
  if (found == mZones.end() || aNow >= found->second.blockedUntil) {
    return -1;
  }
  return found->second.listed;
}

drain_planner::drain_planner(duration aSettleTime)
  : mSettleTime(aSettleTime)
{
}

/// Starts or cancels drains until `aWanted` targets are in service.
void
drain_planner::Balance(std::vector<candidate> aCandidates,
                       std::int64_t aWanted,
                       time_point aNow)
{
  // Starting targets have no work to lose; the others are drained by load, the
  // lowest first.
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [](const candidate& aLeft, const candidate& aRight) {
              const auto rank = [](const candidate& aItem) {
                return std::make_tuple(aItem.target->state !=
                                         target_state::Starting,
                                       aItem.load,
                                       std::cref(aItem.target->id));
              };
              return rank(aLeft) < rank(aRight);
            });
  std::int64_t serving = 0;
  for (const candidate& item : aCandidates) {
    serving += mDraining.count(item.target->id) == 0 ? 1 : 0;
  }
  for (const candidate& item : aCandidates) {
    if (serving > aWanted &&
        mDraining.try_emplace(item.target->id, aNow).second) {
      --serving;
    }
  }
  // A drain is cancelled before a new target is started. The target with the
  // most work comes first, as it would take the longest to drain.
  for (auto item = aCandidates.rbegin(); item != aCandidates.rend(); ++item) {
    if (serving < aWanted && mDraining.erase(item->target->id) != 0) {
      ++serving;
    }
  }
}

target_order
drain_planner::Plan(const std::string& aZone,
                    const std::map<std::string, pool_counts>& aWanted,
                    const std::vector<target_info>& aTargets,
                    const std::map<std::string, std::int64_t>& aInFlight,
                    time_point aNow)
{
  std::map<std::pair<std::string, target_pool>, std::int64_t> wanted;
  for (const auto& [name, counts] : aWanted) {
    wanted[{ name, target_pool::Protected }] = counts.protectedCount;
    wanted[{ name, target_pool::Reclaimable }] = counts.reclaimableCount;
  }
  std::map<std::pair<std::string, target_pool>, std::vector<candidate>> groups;
  std::map<std::string, std::int64_t> loads;
  for (const target_info& target : aTargets) {
    if (target.zone != aZone || target.state == target_state::Leaving) {
      continue;
    }
    // The report of the target lags behind the counts of the entries, and these
    // miss the work of an unreachable entry.
    const auto inFlight = aInFlight.find(target.id);
    const std::int64_t load =
      std::max(target.running + target.waiting,
               inFlight == aInFlight.end() ? 0 : inFlight->second);
    loads[target.id] = load;
    groups[{ target.targetClass, target.pool }].push_back({ &target, load });
  }
  // A class without a plan keeps its targets; there is none before the first
  // configuration.
  for (const auto& [key, group] : groups) {
    wanted.try_emplace(key, static_cast<std::int64_t>(group.size()));
  }
  for (auto item = mDraining.begin(); item != mDraining.end();) {
    item = loads.count(item->first) == 0 ? mDraining.erase(item) : ++item;
  }

  target_order order;
  order.zone = aZone;
  for (const auto& [key, count] : wanted) {
    Balance(groups[key], count, aNow);
    std::int64_t emptying = 0;
    for (const candidate& item : groups[key]) {
      const auto drain = mDraining.find(item.target->id);
      if (drain == mDraining.end()) {
        continue;
      }
      const bool settled = aNow >= drain->second + mSettleTime;
      if (settled && item.load == 0) {
        order.stop.push_back(item.target->id);
      } else {
        ++emptying;
      }
    }
    order.counts.push_back({ key.first, key.second, count + emptying });
  }
  std::sort(order.stop.begin(), order.stop.end());
  return order;
}

std::set<std::string>
drain_planner::Draining() const
{
  std::set<std::string> ids;
  for (const auto& item : mDraining) {
    ids.insert(item.first);
  }
  return ids;
}

} // namespace arbutusferry
