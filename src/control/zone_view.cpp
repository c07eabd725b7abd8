#include "control/zone_view.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

/// An entry that has not synced for this time is no longer listed; the
/// entries of a member expire after twice this time.
constexpr std::chrono::seconds kEntryTimeout{ 3 };
/// Entries of an unreachable zone stay listed for this time, so that their
/// permits stay known during a short partition.
constexpr std::chrono::seconds kZoneTimeout{ 30 };

/// A zone that was not heard from for this time counts as unreachable and
/// cannot serve the demand of other zones.
constexpr std::chrono::seconds kDemandTimeout{ 10 };

bool
SameTarget(const target_info& aLeft, const target_info& aRight)
{
  return aLeft.id == aRight.id && aLeft.zone == aRight.zone &&
         aLeft.targetClass == aRight.targetClass &&
         aLeft.address == aRight.address && aLeft.pool == aRight.pool &&
         aLeft.kind == aRight.kind && aLeft.state == aRight.state &&
         aLeft.slots == aRight.slots &&
         aLeft.checksFencing == aRight.checksFencing;
}

bool
SameVm(const vm_info& aLeft, const vm_info& aRight)
{
  return aLeft.id == aRight.id && aLeft.zone == aRight.zone &&
         aLeft.controlAddress == aRight.controlAddress &&
         aLeft.leaving == aRight.leaving;
}

bool
SameEntry(const entry_info& aLeft, const entry_info& aRight)
{
  return aLeft.instance == aRight.instance && aLeft.zone == aRight.zone &&
         aLeft.address == aRight.address && aLeft.draining == aRight.draining &&
         aLeft.adopted == aRight.adopted;
}

template<typename Item, typename Same>
bool
SameList(const std::vector<Item>& aLeft,
         const std::vector<Item>& aRight,
         Same aSame)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), aSame);
}

bool
ById(const target_info& aLeft, const target_info& aRight)
{
  return aLeft.id < aRight.id;
}

} // namespace

zone_view::zone_view(std::string aSelf,
                     std::string aZone,
                     std::string aInstance)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mMembership(mSelf, mZone)
{
  mVersions = { std::move(aInstance), 1, 1, 1, 1 };
}

void
zone_view::SetVms(std::vector<vm_info> aVms)
{
  std::sort(
    aVms.begin(), aVms.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.id < aRight.id;
    });
  if (SameList(mVms, aVms, SameVm)) {
    return;
  }
  mVms = std::move(aVms);
  ++mVersions.vms;
  mMembership.UpdateCandidates(mVms);
}

target_info*
zone_view::FindTarget(const std::string& aId)
{
  target_info key;
  key.id = aId;
  const auto found =
    std::lower_bound(mTargets.begin(), mTargets.end(), key, ById);
  return found != mTargets.end() && found->id == aId ? &*found : nullptr;
}

void
zone_view::SetTargets(std::vector<target_info> aTargets)
{
  std::sort(aTargets.begin(), aTargets.end(), ById);
  std::set<std::string> draining;
  for (target_info& target : aTargets) {
    if (target.state == target_state::Live && mDraining.count(target.id) > 0) {
      target.state = target_state::Leaving;
      draining.insert(target.id);
    }
  }
  mDraining = std::move(draining);
  if (SameList(mTargets, aTargets, SameTarget)) {
    return;
  }
  // The platform lists no load: the last known one is kept.
  for (target_info& target : aTargets) {
    const target_info* known = FindTarget(target.id);
    if (known != nullptr && known->address == target.address) {
      target.running = known->running;
      target.waiting = known->waiting;
      target.weightVersion = known->weightVersion;
    }
  }
  mTargets = std::move(aTargets);
  std::erase_if(mLoadVersions, [&](const auto& aLoad) {
    return FindTarget(aLoad.first) == nullptr;
  });
  std::erase_if(mOwnLoads, [&](const auto& aLoad) {
    return FindTarget(aLoad.first) == nullptr;
  });
  ++mVersions.targets;
}

void
zone_view::SetZoneTargets(std::vector<target_info> aTargets)
{
  for (const target_info& target : mTargets) {
    if (target.zone != mZone) {
      aTargets.push_back(target);
      if (mDraining.count(target.id) > 0) {
        aTargets.back().state = target_state::Live;
      }
    }
  }
  SetTargets(std::move(aTargets));
}

void
zone_view::SetLoad(const target_load& aLoad, bool aPolledHere)
{
  target_info* target = FindTarget(aLoad.target);
  if (target == nullptr) {
    return;
  }
  if (aPolledHere) {
    own_load& own = mOwnLoads[aLoad.target];
    own.acknowledged = own.acknowledged && own.load == aLoad;
    own.load = aLoad;
  } else if (mOwnLoads.count(aLoad.target) > 0) {
    return;
  }
  if (target->running == aLoad.running && target->waiting == aLoad.waiting &&
      target->weightVersion == aLoad.weightVersion) {
    return;
  }
  // Entries choose targets by weight version, so a new one wakes waiting syncs;
  // other load changes wait for the next answer.
  mWeightChanges += target->weightVersion != aLoad.weightVersion ? 1 : 0;
  target->running = aLoad.running;
  target->waiting = aLoad.waiting;
  target->weightVersion = aLoad.weightVersion;
  mLoadVersions[aLoad.target] = ++mVersions.loads;
}

void
zone_view::SetDraining(std::set<std::string> aDraining)
{
  if (aDraining == mDraining) {
    return;
  }
  std::vector<target_info> listed = mTargets;
  for (target_info& target : listed) {
    // Only targets listed as live are marked as draining: this restores their
    // state.
    if (mDraining.count(target.id) > 0) {
      target.state = target_state::Live;
    }
  }
  mDraining = std::move(aDraining);
  SetTargets(std::move(listed));
}

std::vector<target_info>
zone_view::ListedTargets() const
{
  std::vector<target_info> listed;
  for (const target_info& target : mTargets) {
    if (target.zone == mZone) {
      listed.push_back(target);
      if (mDraining.count(target.id) > 0) {
        listed.back().state = target_state::Live;
      }
    }
  }
  return listed;
}

void
zone_view::RetainOwnLoads(const std::vector<target_info>& aPolled)
{
  std::erase_if(mOwnLoads, [&](const auto& aLoad) {
    return std::none_of(
      aPolled.begin(), aPolled.end(), [&](const auto& aTarget) {
        return aTarget.id == aLoad.first;
      });
  });
}

void
zone_view::OnEntrySync(const node_sync_request& aRequest, time_point aNow)
{
  own_entry& known = mOwnEntries[aRequest.entry.instance];
  const bool same = SameEntry(known.entry.entry, aRequest.entry);
  known.entry = {
    aRequest.entry, aRequest.demand, aRequest.inFlight, aRequest.grantRound
  };
  known.lastHeard = aNow;
  MergeUsage(aRequest.usage);
  if (!same) {
    RebuildEntries();
  }
}

void
zone_view::OnMemberSync(const zone_sync_request& aRequest, time_point aNow)
{
  mMembership.OnHeard(aRequest.member, aNow);
  MergeUsage(aRequest.usage);
  for (const target_load& load : aRequest.loads) {
    SetLoad(load, false);
  }
  if (aRequest.draining) {
    mMembership.OnFailed(aRequest.member, aNow);
  }
  mMembers[aRequest.member] = { aRequest.entries, aNow };
  RebuildEntries();
}

void
zone_view::OnRelayAnswer(const zone_sync_response& aAnswer, time_point aNow)
{
  mFollowsRelay = true;
  if (aAnswer.vms) {
    SetVms(*aAnswer.vms);
  }
  for (const std::string& member : aAnswer.members) {
    mMembership.OnHeard(member, aNow);
  }
  if (aAnswer.targets) {
    SetTargets(*aAnswer.targets);
  }
  for (const target_load& load : aAnswer.loads) {
    SetLoad(load, false);
  }
  if (aAnswer.entries) {
    mRelayEntries = *aAnswer.entries;
    RebuildEntries();
  }
}

void
zone_view::OnSummary(const zone_summary_response& aAnswer, time_point aNow)
{
  remote_zone& zone = mRemoteZones[aAnswer.zone];
  zone.lastHeard = aNow;
  zone.demand = aAnswer.demand;
  for (const target_load& load : aAnswer.loads) {
    const target_info* target = FindTarget(load.target);
    if (target != nullptr && target->zone == aAnswer.zone) {
      SetLoad(load, false);
    }
  }
  if (aAnswer.entries) {
    zone.entries = *aAnswer.entries;
    RebuildEntries();
  }
}

void
zone_view::StopFollowingRelay()
{
  if (mFollowsRelay) {
    mFollowsRelay = false;
    OnRelayChanged();
    // Entries of other zones stay listed until their zone is heard from or
    // expires.
    mRemoteZones.clear();
    for (const entry_info& entry : mRelayEntries) {
      if (entry.zone != mZone) {
        mRemoteZones[entry.zone].entries.push_back(entry);
      }
    }
  }
}

void
zone_view::Expire(time_point aNow)
{
  std::size_t removed = std::erase_if(mOwnEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastHeard > kEntryTimeout;
  });
  removed += std::erase_if(mMembers, [&](const auto& aMember) {
    return aNow - aMember.second.lastHeard > 2 * kEntryTimeout;
  });
  for (auto& [zone, remote] : mRemoteZones) {
    if (remote.lastHeard == time_point{}) {
      remote.lastHeard = aNow;
    }
  }
  removed += std::erase_if(mRemoteZones, [&](const auto& aRemote) {
    return aNow - aRemote.second.lastHeard > kZoneTimeout;
  });
  if (removed > 0) {
    RebuildEntries();
  }
}

void
zone_view::RebuildEntries()
{
  std::map<std::string, entry_info> entries;
  if (mFollowsRelay) {
    for (const entry_info& entry : mRelayEntries) {
      entries[entry.instance] = entry;
    }
  } else {
    for (const auto& [zone, remote] : mRemoteZones) {
      for (const entry_info& entry : remote.entries) {
        entries[entry.instance] = entry;
      }
    }
    for (const auto& [id, member] : mMembers) {
      for (const member_entry& entry : member.entries) {
        entries[entry.entry.instance] = entry.entry;
      }
    }
  }
  for (const auto& [instance, own] : mOwnEntries) {
    entries[instance] = own.entry.entry;
  }
  std::vector<entry_info> list;
  list.reserve(entries.size());
  for (auto& [instance, entry] : entries) {
    list.push_back(std::move(entry));
  }
  if (!SameList(mEntries, list, SameEntry)) {
    mEntries = std::move(list);
    ++mVersions.entries;
  }
}

zone_sync_request
zone_view::MakeRequest() const
{
  zone_sync_request request;
  request.member = mSelf;
  request.entries = ZoneEntries();
  for (const auto& [key, item] : mUsage) {
    if (!item.acknowledged) {
      request.usage.push_back(item.counter);
    }
  }
  for (const auto& [target, own] : mOwnLoads) {
    if (!own.acknowledged) {
      request.loads.push_back(own.load);
    }
  }
  return request;
}

void
zone_view::OnRequestAnswered(const zone_sync_request& aRequest)
{
  for (const usage_counter& counter : aRequest.usage) {
    if (usage_item* known = FindUsage(counter)) {
      known->acknowledged = true;
    }
  }
  for (const target_load& load : aRequest.loads) {
    const auto own = mOwnLoads.find(load.target);
    if (own != mOwnLoads.end() && own->second.load == load) {
      own->second.acknowledged = true;
    }
  }
}

void
zone_view::OnRelayChanged()
{
  for (auto& [key, item] : mUsage) {
    item.acknowledged = false;
  }
  for (auto& [target, own] : mOwnLoads) {
    own.acknowledged = false;
  }
}

void
zone_view::FillAnswer(zone_sync_response& aAnswer,
                      const list_versions& aSeen) const
{
  const bool known = aSeen.source == mVersions.source;
  aAnswer.versions = mVersions;
  if (!known || aSeen.vms != mVersions.vms) {
    aAnswer.vms = mVms;
  }
  const bool sendTargets = !known || aSeen.targets != mVersions.targets;
  if (sendTargets) {
    aAnswer.targets = mTargets;
  }
  if (!known || aSeen.entries != mVersions.entries) {
    aAnswer.entries = mEntries;
  }
  for (const target_info& target : mTargets) {
    const auto version = mLoadVersions.find(target.id);
    if (version != mLoadVersions.end() &&
        (sendTargets || version->second > aSeen.loads)) {
      aAnswer.loads.push_back(
        { target.id, target.running, target.waiting, target.weightVersion });
    }
  }
}

void
zone_view::FillEntryAnswer(node_sync_response& aAnswer,
                           const std::optional<list_versions>& aSeen) const
{
  aAnswer.listsVersion =
    mVersions.source + "." + std::to_string(mVersions.targets) + "." +
    std::to_string(mVersions.entries) + "." + std::to_string(mVersions.loads);
  aAnswer.hasLists = !aSeen || aSeen->targets != mVersions.targets ||
                     aSeen->entries != mVersions.entries;
  if (aAnswer.hasLists) {
    aAnswer.entries = mEntries;
  }
  // Targets of other zones are included: an entry uses them when its own zone
  // has none or a longer delay.
  for (const target_info& target : mTargets) {
    if (aAnswer.hasLists) {
      aAnswer.targets.push_back(target);
      continue;
    }
    const auto version = mLoadVersions.find(target.id);
    if (version != mLoadVersions.end() && version->second > aSeen->loads) {
      aAnswer.loads.push_back(
        { target.id, target.running, target.waiting, target.weightVersion });
    }
  }
}

void
zone_view::FillSummary(zone_summary_response& aAnswer,
                       const list_versions& aSeen) const
{
  aAnswer.zone = mZone;
  aAnswer.versions = mVersions;
  if (aSeen.source != mVersions.source || aSeen.entries != mVersions.entries) {
    aAnswer.entries.emplace();
    for (const entry_info& entry : mEntries) {
      if (entry.zone == mZone) {
        aAnswer.entries->push_back(entry);
      }
    }
  }
  aAnswer.demand = ZoneDemand();
  // All loads are sent each time: a zone drops the load of a target that it
  // does not list yet. If only changes were sent, it would never learn the
  // target's weight version and never send it versioned work.
  for (const target_info& target : mTargets) {
    if (target.zone == mZone && mLoadVersions.count(target.id) > 0) {
      aAnswer.loads.push_back(
        { target.id, target.running, target.waiting, target.weightVersion });
    }
  }
}

std::vector<team_demand>
zone_view::ZoneDemand() const
{
  std::map<std::pair<std::string, std::string>, team_demand> sums;
  for (const member_entry& entry : ZoneEntries()) {
    for (const team_demand& demand : entry.demand) {
      team_demand& sum = sums[{ demand.team, demand.targetClass }];
      sum.team = demand.team;
      sum.targetClass = demand.targetClass;
      sum.waiting += demand.waiting;
      sum.running += demand.running;
      sum.attainedTokens += demand.attainedTokens;
    }
  }
  std::vector<team_demand> list;
  list.reserve(sums.size());
  for (auto& [key, sum] : sums) {
    list.push_back(std::move(sum));
  }
  return list;
}

std::map<std::string, std::vector<team_demand>>
zone_view::OtherZonesDemand(time_point aNow) const
{
  std::map<std::string, std::vector<team_demand>> demand;
  for (const auto& [zone, remote] : mRemoteZones) {
    if (aNow - remote.lastHeard < kDemandTimeout) {
      demand[zone] = remote.demand;
    }
  }
  return demand;
}

std::vector<member_entry>
zone_view::ZoneEntries() const
{
  std::map<std::string, const member_entry*> entries;
  for (const auto& [id, member] : mMembers) {
    for (const member_entry& entry : member.entries) {
      entries[entry.entry.instance] = &entry;
    }
  }
  for (const auto& [instance, own] : mOwnEntries) {
    entries[instance] = &own.entry;
  }
  std::vector<member_entry> list;
  list.reserve(entries.size());
  for (const auto& [instance, entry] : entries) {
    list.push_back(*entry);
  }
  return list;
}

bool
zone_view::IsOwnEntry(const std::string& aInstance) const
{
  return mOwnEntries.count(aInstance) > 0;
}

} // namespace arbutusferry
