#include "placement/placement_pass.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

[[nodiscard]] bool
IsOpen(item_phase aPhase)
{
  return aPhase == item_phase::Waiting || aPhase == item_phase::Running;
}

/// A team's priority goes before its route's.
[[nodiscard]] int
PriorityOf(const environment_view& aEnvironment,
           const batch_request& aRequest,
           const route_entry* aRoute)
{
  const team_entry* team = aEnvironment.Team(aRequest.team);
  if (team && team->priority) {
    return *team->priority;
  }
  return aRoute ? aRoute->priority : 0;
}

} // namespace

double
RemainingOf(const batch& aBatch,
            std::size_t aIndex,
            const length_estimate& aLengths,
            double aTypicalHint)
{
  return RemainingEvents(
    aLengths.Events(aBatch.Request().items[aIndex].lengthHint, aTypicalHint),
    aBatch.Items()[aIndex].progress.events.size());
}

service_samplers
SummarizeSamplers(std::vector<sampler_state> aStates)
{
  service_samplers summary;
  if (const auto median = MedianEventIntervalMs(aStates)) {
    summary.intervals = { *median, *median };
  }
  for (const sampler_state& sampler : aStates) {
    summary.intervals.fastestMs =
      std::min(summary.intervals.fastestMs,
               sampler.eventIntervalMs.value_or(summary.intervals.medianMs));
  }
  summary.states = std::move(aStates);
  return summary;
}

double
TypicalHint(const batch& aBatch)
{
  double sum = 0.0;
  double count = 0.0;
  for (const batch_item& item : aBatch.Request().items) {
    if (item.lengthHint > 0) {
      sum += static_cast<double>(item.lengthHint);
      count += 1.0;
    }
  }
  return count > 0.0 ? sum / count : 0.0;
}

batch_rating
RateBatch(const batch& aBatch,
          const route_entry* aRoute,
          const length_estimate& aLengths,
          const event_intervals& aIntervals,
          std::int64_t aNowUnixMs)
{
  const batch_request& request = aBatch.Request();
  const double typicalHint = TypicalHint(aBatch);
  std::vector<group_state> all(aBatch.GroupCount());
  for (std::size_t index = 0; index < aBatch.Items().size(); ++index) {
    const item_state& item = aBatch.Items()[index];
    group_state& group = all[aBatch.GroupOf(index)];
    group.carried = group.carried || item.carried;
    if (item.phase == item_phase::Committed) {
      continue;
    }
    ++group.uncommitted;
    if (IsOpen(item.phase)) {
      const double events = RemainingOf(aBatch, index, aLengths, typicalHint);
      group.restEvents = std::max(group.restEvents, events);
      group.totalEvents += events;
    }
  }
  std::vector<group_state> incomplete;
  std::vector<std::size_t> numbers;
  for (std::size_t number = 0; number < all.size(); ++number) {
    if (all[number].uncommitted > 0) {
      incomplete.push_back(all[number]);
      numbers.push_back(number);
    }
  }
  step_outlook step;
  // A trainer that names no number waits for all groups.
  const std::size_t needed =
    request.neededGroups > 0 ? request.neededGroups : all.size();
  step.neededGroups = needed - std::min(needed, aBatch.CompleteGroups());
  step.lengthsKnown = aLengths.Known();
  if (aRoute && aRoute->resultDue.count() > 0) {
    step.untilDueMs = static_cast<double>(
      request.submittedUnixMs + aRoute->resultDue.count() - aNowUnixMs);
  }
  const auto rated = RateGroups(step, incomplete, aIntervals);
  batch_rating rating;
  rating.groups.resize(all.size());
  rating.untilDueMs = step.untilDueMs.value_or(kNeverDueMs);
  for (std::size_t at = 0; at < rated.size(); ++at) {
    rating.groups[numbers[at]] = rated[at];
    if (rated[at].need != slack_class::Surplus) {
      rating.neededEvents += incomplete[at].totalEvents * aLengths.MeanFactor();
    }
  }
  return rating;
}

class placement_pass::demand_finder
{
public:
  demand_finder(const environment_view& aEnvironment,
                const batch_request& aRequest,
                std::vector<placement_demand>& aDemands)
    : mEnvironment(aEnvironment)
    , mRequest(aRequest)
    , mDemands(aDemands)
  {
  }

  std::optional<std::size_t> Find(const std::string& aPath)
  {
    if (mPath && *mPath == aPath) {
      return mFound;
    }
    mPath = &aPath;
    mFound.reset();
    const route_entry* route = mEnvironment.FindRoute(mRequest.host, aPath);
    if (!route || route->services.empty()) {
      return mFound;
    }
    const std::string& service = route->services.front().service;
    const auto same = std::find_if(
      mDemands.begin(), mDemands.end(), [&](const placement_demand& aDemand) {
        return aDemand.minimumVersion == mRequest.minimumVersion &&
               aDemand.model == mRequest.model && aDemand.service == service;
      });
    mFound = static_cast<std::size_t>(same - mDemands.begin());
    if (same == mDemands.end()) {
      mDemands.push_back(
        { service, mRequest.model, mRequest.minimumVersion, 0 });
    }
    return mFound;
  }

private:
  const environment_view& mEnvironment;
  const batch_request& mRequest;
  std::vector<placement_demand>& mDemands;
  const std::string* mPath = nullptr;
  std::optional<std::size_t> mFound;
};

placement_pass::placement_pass(const batch_map& aBatches,
                               const environment_view& aEnvironment,
                               const run_history& aHistory,
                               time_point aNow,
                               std::int64_t aNowUnixMs)
  : mEnvironment(aEnvironment)
  , mHistory(aHistory)
  , mNowUnixMs(aNowUnixMs)
{
  for (const auto& [id, entry] : aBatches) {
    if (entry->Closed()) {
      continue;
    }
    const batch_request& request = entry->Request();
    demand_finder finder(aEnvironment, request, mDemands);
    open_batch open;
    open.entry = entry.get();
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      const item_state& item = entry->Items()[index];
      if (item.phase != item_phase::Waiting || item.notBefore > aNow) {
        continue;
      }
      const auto demand = finder.Find(request.items[index].path);
      if (!demand) {
        mWithoutRoute.emplace_back(id, index);
        continue;
      }
      ++mDemands[*demand].waiting;
      open.items.emplace_back(index, *demand);
    }
    if (!open.items.empty()) {
      mOpen.push_back(std::move(open));
    }
  }
  mStates.assign(mDemands.size(), demand_state::Full);
}

void
placement_pass::Arrange(
  const std::map<std::string, service_samplers>& aSamplers)
{
  for (const auto& [service, samplers] : aSamplers) {
    FindContention(service, mDemands, samplers.states, mStates);
  }
  for (const open_batch& open : mOpen) {
    Collect(open, aSamplers);
  }
  SortWaiting(mAmple);
  RateSteps(aSamplers);
  mTypicalEvents = TypicalRemainingEvents(mContended);
}

void
placement_pass::Collect(
  const open_batch& aOpen,
  const std::map<std::string, service_samplers>& aSamplers)
{
  const auto placeable = [this](const auto& aEntry) {
    return mStates[aEntry.second] != demand_state::Full;
  };
  const auto first =
    std::find_if(aOpen.items.begin(), aOpen.items.end(), placeable);
  if (first == aOpen.items.end()) {
    return;
  }
  const batch& owner = *aOpen.entry;
  const batch_request& request = owner.Request();
  std::vector<std::int64_t> hints(owner.GroupCount());
  std::vector<std::size_t> uncommitted(owner.GroupCount());
  for (std::size_t index = 0; index < request.items.size(); ++index) {
    const std::size_t group = owner.GroupOf(index);
    hints[group] = std::max(hints[group], request.items[index].lengthHint);
    if (owner.Items()[index].phase != item_phase::Committed) {
      ++uncommitted[group];
    }
  }
  std::vector<group_slack> slacks;
  const length_estimate& lengths = mHistory.Lengths(request.route);
  double typicalHint = 0.0;
  std::size_t share = 0;
  const route_entry* route =
    mEnvironment.FindRoute(request.host, request.items[first->first].path);
  const int priority = PriorityOf(mEnvironment, request, route);
  for (auto at = first; at != aOpen.items.end(); ++at) {
    const auto [index, demand] = *at;
    if (!placeable(*at)) {
      continue;
    }
    const std::size_t group = owner.GroupOf(index);
    waiting_item item;
    item.batch = request.id;
    item.index = index;
    item.model = request.model;
    item.minimumVersion = request.minimumVersion;
    item.group = request.items[index].group;
    item.submittedUnixMs = request.submittedUnixMs;
    item.carried = owner.Items()[index].carried;
    item.groupUncommitted = uncommitted[group];
    item.groupTokenEstimate = hints[group];
    item.demand = demand;
    item.priority = priority;
    if (mStates[demand] == demand_state::Ample) {
      mAmple.push_back(std::move(item));
      continue;
    }
    if (slacks.empty()) {
      batch_rating rating =
        RateBatch(owner,
                  route,
                  lengths,
                  aSamplers.at(mDemands[demand].service).intervals,
                  mNowUnixMs);
      typicalHint = TypicalHint(owner);
      share = AddShare(request.team, request.model);
      slacks = std::move(rating.groups);
      rated_step step;
      step.work.model = demand; // Replaced in `RateSteps`.
      step.work.priority = priority;
      step.work.share = share;
      step.work.untilDueMs = rating.untilDueMs;
      // The work of unknown lengths can't be compared with the due time.
      step.work.events = lengths.Known() ? rating.neededEvents : 0.0;
      step.firstItem = mContended.size();
      mSteps.push_back(step);
    }
    item.contended = true;
    item.share = share;
    item.need = slacks[group].need;
    item.slackMs = slacks[group].slackMs;
    item.remainingEvents = RemainingOf(owner, index, lengths, typicalHint);
    mContended.push_back(std::move(item));
  }
}

void
placement_pass::RateSteps(
  const std::map<std::string, service_samplers>& aSamplers)
{
  std::vector<double> rates(mDemands.size());
  std::vector<step_work> work;
  for (rated_step& step : mSteps) {
    // Demands that differ in the version only share samplers.
    const placement_demand& demand = mDemands[step.work.model];
    const auto same = std::find_if(
      mDemands.begin(), mDemands.end(), [&](const placement_demand& aOther) {
        return aOther.model == demand.model && aOther.service == demand.service;
      });
    step.work.model = static_cast<std::size_t>(same - mDemands.begin());
    work.push_back(step.work);
    double& rate = rates[step.work.model];
    const service_samplers& service = aSamplers.at(demand.service);
    double holding = 0.0;
    for (const sampler_state& sampler : service.states) {
      // Samplers that have an older version load the newer one meanwhile.
      if (sampler.usable && (sampler.versions.contains(demand.model) ||
                             sampler.loading == demand.model)) {
        holding += sampler.slots /
                   sampler.eventIntervalMs.value_or(service.intervals.medianMs);
      }
    }
    rate = std::max(rate, holding);
  }
  MarkLateSteps(work, rates);
  for (std::size_t index = 0; index < mSteps.size(); ++index) {
    const std::size_t end = index + 1 < mSteps.size()
                              ? mSteps[index + 1].firstItem
                              : mContended.size();
    for (std::size_t at = mSteps[index].firstItem; at < end; ++at) {
      waiting_item& item = mContended[at];
      if (item.need == slack_class::Timely && work[index].late) {
        item.need = slack_class::Late;
      } else if (item.need == slack_class::Surplus && mSteps.size() == 1) {
        // Only the groups of other steps go before groups that a step can do
        // without: which of its own groups it needs is an estimate.
        item.need = work[index].late ? slack_class::Late : slack_class::Timely;
      }
    }
  }
}

std::size_t
placement_pass::AddShare(const std::string& aTeam, const std::string& aModel)
{
  const auto [at, added] =
    mShares.try_emplace(std::make_pair(aTeam, aModel), mShares.size());
  mSlots.resize(mShares.size());
  return at->second;
}

std::optional<std::size_t>
placement_pass::FindShare(const std::string& aTeam,
                          const std::string& aModel) const
{
  for (const auto& [names, share] : mShares) {
    if (names.first == aTeam && names.second == aModel) {
      return share;
    }
  }
  return std::nullopt;
}

waiting_item*
placement_pass::Next()
{
  if (!mQueue) {
    mQueue.emplace(mContended, mSlots);
  }
  if (waiting_item* next = mQueue->Next()) {
    return next;
  }
  return mNextAmple < mAmple.size() ? &mAmple[mNextAmple++] : nullptr;
}

void
placement_pass::NotePlaced(const waiting_item& aItem)
{
  if (aItem.contended) {
    mQueue->NotePlaced(aItem);
  }
}

} // namespace arbutusferry::node
