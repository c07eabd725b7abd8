#include "routing/queue_base.hpp"

#include <algorithm>

namespace arbutusferry {

placement_needs
NeedsOf(const work_item& aItem)
{
  placement_needs needs;
  needs.targetClass = aItem.targetClass;
  needs.minVersion = aItem.minVersion;
  needs.reclaimable = aItem.idempotent || aItem.kind == work_kind::Sample;
  needs.avoid = aItem.avoid;
  std::sort(needs.avoid.begin(), needs.avoid.end());
  return needs;
}

bool
queue_base::Push(work_id aId, work_item aItem)
{
  auto& waiting = mWaitingByTeam[aItem.team];
  if (waiting >= mMaxPerTeam) {
    return false;
  }
  ++waiting;
  ++mWaitingByClass[aItem.targetClass];
  ++mDemand[{ aItem.team, aItem.targetClass }].waiting;
  if (aItem.deadline != time_point{}) {
    mDeadlines.emplace(aItem.deadline, aId);
  }
  const auto& item = mWaiting.emplace(aId, std::move(aItem)).first->second;
  Insert(aId, item);
  return true;
}

void
queue_base::Settle(work_id aId, double aTokens, bool aFinished)
{
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return;
  }
  auto& demand = mDemand[{ found->second.team, found->second.targetClass }];
  --demand.running;
  demand.attainedTokens += aTokens;
  CorrectCharge(found->second, aTokens, aFinished);
  mRunning.erase(found);
}

bool
queue_base::Erase(work_id aId)
{
  const auto found = mWaiting.find(aId);
  if (found == mWaiting.end()) {
    return false;
  }
  Remove(aId, found->second);
  Untrack(aId, found->second);
  mWaiting.erase(found);
  return true;
}

std::vector<queued_item>
queue_base::Expire(time_point aNow)
{
  std::vector<queued_item> expired;
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const work_id id = mDeadlines.begin()->second;
    expired.push_back({ id, mWaiting.at(id) });
    Erase(id);
  }
  return expired;
}

std::size_t
queue_base::Waiting(const std::string& aTeam) const
{
  const auto found = mWaitingByTeam.find(aTeam);
  return found == mWaitingByTeam.end() ? 0 : found->second;
}

std::size_t
queue_base::WaitingInClass(const std::string& aClass) const
{
  const auto found = mWaitingByClass.find(aClass);
  return found == mWaitingByClass.end() ? 0 : found->second;
}

std::vector<team_demand>
queue_base::Demand() const
{
  std::vector<team_demand> demand;
  demand.reserve(mDemand.size());
  for (const auto& [key, count] : mDemand) {
    demand.push_back({ key.first,
                       key.second,
                       count.waiting,
                       count.running,
                       count.attainedTokens });
  }
  return demand;
}

queued_item
queue_base::Start(work_id aId, double aCharged, double aLift)
{
  const auto found = mWaiting.find(aId);
  queued_item started{ aId, std::move(found->second) };
  mWaiting.erase(found);
  const auto& item = started.item;
  Untrack(aId, item);
  ++mDemand[{ item.team, item.targetClass }].running;
  mRunning[aId] = { item.team, item.targetClass,     item.group,
                    item.kind, item.estimatedTokens, aCharged,
                    aLift };
  return started;
}

void
queue_base::Untrack(work_id aId, const work_item& aItem)
{
  --mWaitingByTeam[aItem.team];
  --mWaitingByClass[aItem.targetClass];
  --mDemand[{ aItem.team, aItem.targetClass }].waiting;
  if (aItem.deadline != time_point{}) {
    mDeadlines.erase({ aItem.deadline, aId });
  }
}

} // namespace arbutusferry
