#include "arbutusferry/membership.hpp"

#include "arbutusferry/hash.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

constexpr std::chrono::milliseconds kIntervalPerMember{ 50 };

} // namespace

duration
SyncInterval(std::size_t aMembers, duration aMinimum)
{
  return std::max<duration>(
    aMinimum, kIntervalPerMember * static_cast<std::int64_t>(aMembers));
}

zone_membership::zone_membership(std::string aSelf, std::string aZone)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
{
  UpdateCandidates({});
}

void
zone_membership::UpdateCandidates(const std::vector<vm_info>& aVms)
{
  const std::string key = "relay/" + mZone;
  std::map<std::string, member, std::less<>> members;
  const auto add = [&](const vm_info& aVm) {
    member added;
    if (const auto known = mMembers.find(aVm.id); known != mMembers.end()) {
      added = known->second;
    }
    added.vm = aVm;
    added.weight = RendezvousWeight(key, aVm.id);
    members[aVm.id] = std::move(added);
  };
  for (const vm_info& vm : aVms) {
    if (vm.zone == mZone && (!vm.leaving || vm.id == mSelf)) {
      add(vm);
    }
  }
  // The VM list lags: the own process takes part before it is listed.
  if (members.count(mSelf) == 0) {
    add({ mSelf, mZone, {}, {}, false });
  }
  mMembers = std::move(members);
}

void
zone_membership::OnHeard(const std::string& aMember, time_point aNow)
{
  if (const auto found = mMembers.find(aMember); found != mMembers.end()) {
    found->second.heard = aNow;
    found->second.failed.reset();
  }
}

void
zone_membership::OnFailed(const std::string& aMember, time_point aNow)
{
  if (const auto found = mMembers.find(aMember); found != mMembers.end()) {
    found->second.failed = aNow;
  }
}

std::string
zone_membership::Relay(time_point aNow) const
{
  const member* best = &mMembers.find(mSelf)->second;
  for (const auto& [id, candidate] : mMembers) {
    const bool suspected =
      candidate.failed && aNow - *candidate.failed < kSuspicionTimeout;
    if (suspected || candidate.vm.controlAddress.empty()) {
      continue;
    }
    // A leaving process hands its work over to any other candidate.
    if (best->vm.leaving || candidate.weight > best->weight) {
      best = &candidate;
    }
  }
  return best->vm.id;
}

std::optional<vm_info>
zone_membership::Find(std::string_view aMember) const
{
  const auto found = mMembers.find(aMember);
  return found == mMembers.end() ? std::nullopt
                                 : std::optional<vm_info>(found->second.vm);
}

std::vector<std::string>
zone_membership::Live(time_point aNow, duration aWithin) const
{
  std::vector<std::string> live;
  for (const auto& [id, candidate] : mMembers) {
    if (id == mSelf || (candidate.heard && aNow - *candidate.heard < aWithin)) {
      live.push_back(id);
    }
  }
  return live;
}

std::size_t
zone_membership::Size() const noexcept
{
  return mMembers.size();
}

std::optional<vm_info>
FirstRelay(const std::vector<vm_info>& aVms,
           const std::string& aZone,
           const std::vector<std::string>& aExcluded)
{
  const std::string key = "relay/" + aZone;
  std::optional<vm_info> best;
  std::uint64_t bestWeight = 0;
  for (const vm_info& vm : aVms) {
    if (vm.zone != aZone || vm.leaving || vm.controlAddress.empty() ||
        std::find(aExcluded.begin(), aExcluded.end(), vm.id) !=
          aExcluded.end()) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(key, vm.id);
    if (!best || weight > bestWeight) {
      best = vm;
      bestWeight = weight;
    }
  }
  return best;
}

bool
PollsTarget(const std::string& aSelf,
            const std::vector<std::string>& aLive,
            const std::string& aTarget)
{
  const std::uint64_t own = RendezvousWeight(aTarget, aSelf);
  return std::none_of(aLive.begin(), aLive.end(), [&](const auto& aMember) {
    return aMember != aSelf && RendezvousWeight(aTarget, aMember) > own;
  });
}

} // namespace arbutusferry
