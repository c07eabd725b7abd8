#include "routing/scheduler.hpp"

#include "arbutusferry/slot_planner.hpp"

#include <algorithm>
#include <set>

namespace arbutusferry {

namespace {

/// Retries of a team are refused for this long after its queue was full.
constexpr duration kRetryShedTime = std::chrono::seconds(1);

/// For this long after its grants expire, an entry uses at most the smaller of
/// its grants and its fallback slots. This is twice the default
/// `slot_planner_options::grantLifetime`: after one lifetime, other entries'
/// grants for these fallback slots have expired; after two, exchanges of up to
/// one lifetime that began under them have ended.
constexpr duration kGrantGrace = std::chrono::seconds(10);

/// Smoothing factor of the mean service times.
constexpr double kServiceGain = 0.05;

} // namespace

scheduler::scheduler(const dispatcher_options& aOptions,
                     std::unique_ptr<queue_policy> aQueue,
                     std::unique_ptr<selection_policy> aSelection)
  : mOptions(aOptions)
  , mQueue(std::move(aQueue))
  , mSelection(std::move(aSelection))
{
}

void
scheduler::UpdateShares(const std::map<std::string, double>& aShares)
{
  mQueue->UpdateShares(aShares);
}

void
scheduler::UpdateTargets(std::vector<target_info> aTargets,
                         std::optional<std::vector<slot_grant>> aGrants,
                         time_point aGrantExpiry,
                         std::size_t aEntryIndex,
                         std::size_t aEntryCount,
                         time_point aNow)
{
  mEntryIndex = aEntryIndex;
  mEntryCount = std::max<std::size_t>(aEntryCount, 1);
  if (aGrants) {
    mGrants.clear();
    for (const auto& grant : *aGrants) {
      mGrants[grant.target] = grant.slots;
    }
    mGrantExpiry = aGrantExpiry;
  }
  for (auto& [id, target] : mTargets) {
    target->listed = false;
  }
  for (auto& info : aTargets) {
    auto& target = mTargets[info.id];
    if (!target) {
      target = std::make_unique<tracked_target>();
    }
    // If `running` and `waiting` are unchanged, the load report is assumed to
    // be the previous one, so `inFlightAtReport` stays.
    if (target->info.running != info.running ||
        target->info.waiting != info.waiting) {
      target->inFlightAtReport = target->inFlight;
    }
    target->local = info.zone == mOptions.zone;
    target->listed = true;
    target->info = std::move(info);
  }
  for (auto& [name, state] : mClasses) {
    state.targets.clear();
  }
  for (auto position = mTargets.begin(); position != mTargets.end();) {
    auto& target = *position->second;
    if (target.listed) {
      mClasses[target.info.targetClass].targets.push_back(&target);
    } else if (target.inFlight == 0) {
      mHints.Erase(position->first);
      position = mTargets.erase(position);
      continue;
    }
    ++position;
  }
  for (auto& [name, state] : mClasses) {
    // Sorted, so that runs with the same seed are reproducible.
    std::sort(state.targets.begin(),
              state.targets.end(),
              [](const auto* aLeft, const auto* aRight) {
                return aLeft->info.id < aRight->info.id;
              });
    std::set<std::string_view> zones;
    for (const auto* target : state.targets) {
      zones.insert(target->info.zone);
    }
    state.zoneCount = zones.size();
  }
  mPhase = Phase(aNow);
  UpdateLimits();
  DispatchAll(aNow);
}

void
scheduler::UpdateTeamGrants(const std::vector<team_grant>& aGrants,
                            time_point aExpiry)
{
  std::map<std::string, std::map<std::string, double>> weights;
  for (const auto& [name, state] : mClasses) {
    weights[name];
  }
  for (const auto& grant : aGrants) {
    weights[grant.targetClass][grant.team] = grant.slots;
  }
  for (const auto& [name, teams] : weights) {
    mQueue->UpdateWeights(name, teams);
  }
  mTeamGrantExpiry = aExpiry;
}

void
scheduler::AddCacheEvents(const std::string& aTarget,
                          const std::vector<cache_event>& aEvents)
{
  if (mTargets.contains(aTarget)) {
    mHints.Apply(aTarget, aEvents);
  }
}

void
scheduler::Submit(work_id aId, work_item aItem, time_point aNow)
{
  if (aItem.deadline != time_point{} && aItem.deadline <= aNow) {
    Fail(aId,
         error_code::Timeout,
         "the deadline passed before the request was queued");
    return;
  }
  const auto team = aItem.team;
  const auto targetClass = aItem.targetClass;
  if (!mQueue->Push(aId, std::move(aItem))) {
    mTeams[team].retriesRefusedUntil = aNow + kRetryShedTime;
    Fail(aId, error_code::Overloaded, "the queue of team " + team + " is full");
    return;
  }
  ExpireGrants(aNow);
  Dispatch(targetClass, aNow);
}

bool
scheduler::Cancel(work_id aId)
{
  return mQueue->Erase(aId);
}

void
scheduler::Complete(work_id aId, const completion& aCompletion, time_point aNow)
{
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return;
  }
  const auto work = found->second;
  mRunning.erase(found);
  --work.target->inFlight;
  mQueue->Settle(aId, aCompletion.tokens, !aCompletion.targetFailed);
  const auto targetClass = work.target->info.targetClass;
  if (aCompletion.targetFailed) {
    work.target->breaker.OnFailure(work.started, aNow);
  } else {
    work.target->breaker.OnSuccess();
    mTeams[work.team].retries.OnSuccess(aNow);
    auto& state = mClasses[targetClass];
    const double seconds =
      std::chrono::duration<double>(aNow - work.started).count();
    const auto updateMean = [&](double& aMean) {
      aMean += (aMean <= 0 ? 1.0 : kServiceGain) * (seconds - aMean);
    };
    updateMean(state.meanServiceSeconds);
    if (work.kind == work_kind::Interactive) {
      updateMean(state.meanInteractiveSeconds);
    }
  }
  if (!work.target->listed && work.target->inFlight == 0) {
    mHints.Erase(work.target->info.id);
    mTargets.erase(std::string(work.target->info.id));
  }
  ExpireGrants(aNow);
  Dispatch(targetClass, aNow);
}

bool
scheduler::TryRetry(const std::string& aTeam, time_point aNow)
{
  auto& team = mTeams[aTeam];
  if (aNow < team.retriesRefusedUntil ||
      mQueue->Waiting(aTeam) >= mOptions.maxQueuePerTeam) {
    return false;
  }
  return team.retries.TryTake(aNow);
}

void
scheduler::Tick(time_point aNow)
{
  for (auto& expired : mQueue->Expire(aNow)) {
    const auto& targetClass = expired.item.targetClass;
    const bool servable = CheckPlacement(mClasses[targetClass],
                                         NeedsOf(expired.item),
                                         aNow,
                                         nullptr) != placement::Never;
    if (servable) {
      Fail(expired.id,
           error_code::Timeout,
           "the deadline passed while the request waited for a slot");
    } else {
      Fail(expired.id,
           error_code::Unavailable,
           "no live target of class " + targetClass + " may serve the request");
    }
  }
  ExpireGrants(aNow);
  DispatchAll(aNow);
}

std::vector<team_demand>
scheduler::Demand() const
{
  return mQueue->Demand();
}

std::map<std::string, std::int64_t>
scheduler::InFlight() const
{
  std::map<std::string, std::int64_t> inFlight;
  for (const auto& [id, target] : mTargets) {
    if (target->inFlight > 0) {
      inFlight[id] = target->inFlight;
    }
  }
  return inFlight;
}

std::vector<schedule_outcome>
scheduler::TakeOutcomes()
{
  return std::exchange(mOutcomes, {});
}

scheduler::grant_phase
scheduler::Phase(time_point aNow) const
{
  if (!mGrantExpiry || aNow >= *mGrantExpiry + kGrantGrace) {
    return grant_phase::None;
  }
  return aNow < *mGrantExpiry ? grant_phase::Valid : grant_phase::Grace;
}

std::int64_t
scheduler::LocalLimit(const tracked_target& aTarget) const
{
  const auto& info = aTarget.info;
  const auto fallback =
    FallbackSlots(info.id, info.slots, mEntryIndex, mEntryCount);
  if (mPhase == grant_phase::None) {
    // Exchanges that other entries started under grants may still run. Slots
    // that they occupy according to the load report are not used.
    const auto others = std::max<std::int64_t>(
      info.running + info.waiting - aTarget.inFlightAtReport, 0);
    return std::clamp<std::int64_t>(info.slots - others, 0, fallback);
  }
  const auto found = mGrants.find(info.id);
  const auto grant = found == mGrants.end() ? 0 : found->second;
  return std::min(grant, mPhase == grant_phase::Valid ? info.slots : fallback);
}

void
scheduler::UpdateLimits()
{
  for (auto& [name, state] : mClasses) {
    state.localLimit = 0;
    for (auto* target : state.targets) {
      const auto& info = target->info;
      if (target->local) {
        target->limit = LocalLimit(*target);
        state.localLimit +=
          info.state == target_state::Live ? target->limit : 0;
      } else {
        const auto lent = mGrants.find(info.id);
        if (mPhase == grant_phase::Valid && lent != mGrants.end()) {
          target->limit = std::min(lent->second, info.slots);
          continue;
        }
        // Without a valid grant for the target, the slots that are free
        // according to its load report are divided among the entries of the
        // other zones.
        const auto others = std::max<std::int64_t>(
          info.running + info.waiting - target->inFlightAtReport, 0);
        target->limit = FallbackSlots(info.id,
                                      info.slots - others,
                                      mEntryIndex,
                                      mEntryCount * (state.zoneCount - 1));
      }
    }
  }
}

void
scheduler::ExpireGrants(time_point aNow)
{
  if (const auto phase = Phase(aNow); phase != mPhase) {
    mPhase = phase;
    UpdateLimits();
  }
  if (mTeamGrantExpiry && aNow >= *mTeamGrantExpiry) {
    mTeamGrantExpiry.reset();
    for (const auto& [name, state] : mClasses) {
      mQueue->UpdateWeights(name, {});
    }
  }
}

placement
scheduler::CheckPlacement(const class_state& aClass,
                          const placement_needs& aNeeds,
                          time_point aNow,
                          std::vector<target_candidate>* aCandidates)
{
  /// Whether a set of targets has a live one, and one with a free slot.
  struct tally
  {
    bool live = false;
    bool free = false;
  };
  tally local;
  tally remote;
  tally avoided;
  const auto isAvoided = [&](const tracked_target& aTarget) {
    return !aNeeds.avoid.empty() && std::binary_search(aNeeds.avoid.begin(),
                                                       aNeeds.avoid.end(),
                                                       aTarget.info.id);
  };
  bool exists = false;
  for (const auto* target : aClass.targets) {
    if (!MeetsNeeds(target->info, aNeeds)) {
      continue;
    }
    exists = true;
    if (!target->breaker.Allows(aNow)) {
      continue;
    }
    auto& group = isAvoided(*target) ? avoided : target->local ? local : remote;
    group.live = true;
    group.free = group.free || target->inFlight < target->limit;
  }
  if (!exists) {
    return placement::Never;
  }
  // Targets that already failed this item are used only when there is no other
  // target. Other zones are used when the own zone has no target or no slots,
  // or when the expected wait for a slot exceeds the round trip between zones.
  bool useRemote = false;
  bool useAvoided = false;
  if (!local.live && !remote.live) {
    useAvoided = avoided.free;
  } else if (!local.free && remote.free) {
    const double expectedWait =
      aClass.meanServiceSeconds /
      static_cast<double>(std::max<std::int64_t>(aClass.localLimit, 1));
    const double roundTrip =
      2 * std::chrono::duration<double>(mOptions.interZoneLatency).count();
    useRemote =
      !local.live || aClass.localLimit == 0 || expectedWait > roundTrip;
  }
  if (!local.free && !useRemote && !useAvoided) {
    return placement::Later;
  }
  if (aCandidates != nullptr) {
    aCandidates->clear();
    for (const auto* target : aClass.targets) {
      if (target->inFlight < target->limit &&
          MeetsNeeds(target->info, aNeeds) && target->breaker.Allows(aNow) &&
          isAvoided(*target) == useAvoided &&
          (useAvoided || target->local != useRemote)) {
        aCandidates->push_back(
          { &target->info, target->inFlight, target->inFlightAtReport });
      }
    }
  }
  return placement::Now;
}

void
scheduler::Dispatch(const std::string& aClass, time_point aNow)
{
  const auto found = mClasses.find(aClass);
  if (found == mClasses.end()) {
    return;
  }
  const auto& state = found->second;
  const auto check = [&](const placement_needs& aNeeds) {
    return CheckPlacement(state, aNeeds, aNow, nullptr);
  };
  const auto earliestEnd =
    aNow + std::chrono::duration_cast<duration>(
             std::chrono::duration<double>(state.meanInteractiveSeconds));
  while (mQueue->WaitingInClass(aClass) > 0 &&
         std::any_of(
           state.targets.begin(), state.targets.end(), [](const auto* aTarget) {
             return aTarget->inFlight < aTarget->limit;
           })) {
    auto next = mQueue->Pop(aClass, check, earliestEnd);
    if (!next) {
      return;
    }
    CheckPlacement(state, NeedsOf(next->item), aNow, &mCandidates);
    const auto chosen = mSelection->Select(mCandidates, next->item, mHints);
    auto& target = *mTargets.at(mCandidates[chosen].info->id);
    ++target.inFlight;
    target.breaker.OnStart(aNow);
    mHints.AddExpected(target.info.id, next->item.prefix);
    mRunning[next->id] = { &target, next->item.team, next->item.kind, aNow };
    mOutcomes.push_back({ next->id, assignment{ next->id, target.info } });
  }
}

void
scheduler::DispatchAll(time_point aNow)
{
  for (const auto& [name, state] : mClasses) {
    Dispatch(name, aNow);
  }
}

void
scheduler::Fail(work_id aId, error_code aCode, std::string aMessage)
{
  mOutcomes.push_back(
    { aId, error_info{ aCode, "queue", "", std::move(aMessage) } });
}

} // namespace arbutusferry
