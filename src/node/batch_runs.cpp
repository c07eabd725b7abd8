#include "arbutusferry/node/batch_leader.hpp"

#include "arbutusferry/logging.hpp"
#include "placement/speed_choice.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Retry delay of an item after a target responded with a failure.
constexpr milliseconds kFailedRetryDelay{ 100 };
/// Retry delay of an item after its relay node was lost: enough to find
/// another.
constexpr milliseconds kRelayLostRetryDelay{ 20 };
/// An item ends as errored when this many of its runs failed for each attempt
/// that its route allows (`maxAttempts`). The platform's rules allow an item
/// that fails at each run at most three failed runs for each of these attempts
/// and count a later run as work that the limit forbids; 2 keeps a margin of
/// one failure per attempt.
constexpr int kFailuresPerAttempt = 2;
/// Time past its route's item retention when a waiting item ends as errored.
constexpr int kItemExpiryMarginMs = 1'000;

} // namespace

void
batch_leader::PlaceItems()
{
  if (mHandedOver || mSuperseded || !mParts.mayStartRuns()) {
    return;
  }
  const environment_view& environment = mParts.environment.Environment();
  std::set<std::string> services;
  for (const service_entry& service : environment.Services()) {
    if (!service.models.empty()) {
      services.insert(service.name);
    }
  }
  mPool.Refresh(services);
  if (!std::exchange(mAttached, true)) {
    AttachRuns();
  }
  placement_pass pass(mBatches.All(),
                      environment,
                      mHistory,
                      mParts.loop.Now(),
                      mParts.loop.UnixMilliseconds());
  if (environment.Version() > 0) {
    for (const auto& [id, index] : pass.WithoutRoute()) {
      // The operator has removed the route of the batch.
      FinishItem(*mBatches.Find(id), index, result_state::Errored);
    }
  }
  std::map<std::string, service_samplers> samplers;
  for (const placement_demand& demand : pass.Demands()) {
    const auto [at, added] = samplers.try_emplace(demand.service);
    if (added) {
      at->second = SummarizeSamplers(mPool.States(demand.service));
    }
  }
  pass.Arrange(samplers);
  if (pass.ContendedItems() > 0) {
    for (const auto& run : mPool.Runs()) {
      if (const auto share =
            pass.FindShare(run->Call().team, run->Call().model)) {
        pass.AddRunning(*share);
      }
    }
  }
  mUnplaced.clear();
  // Demands for which no sampler has room any more.
  std::vector<bool> full(pass.Demands().size());
  for (std::size_t index = 0; index < full.size(); ++index) {
    const placement_demand& demand = pass.Demands()[index];
    full[index] = pass.StateOf(index) == demand_state::Full;
    if (full[index]) {
      mUnplaced[demand.model] += demand.waiting;
    }
  }
  while (waiting_item* item = pass.Next()) {
    const placement_demand& demand = pass.Demands()[item->demand];
    if (full[item->demand]) {
      ++mUnplaced[item->model];
      continue;
    }
    service_samplers& service = samplers[demand.service];
    const auto chosen = ChooseFor(*item, service, pass.TypicalEvents());
    if (!chosen) {
      // Other items of the demand may reach more regions.
      full[item->demand] = !item->homes.Restricted();
      ++mUnplaced[item->model];
      continue;
    }
    sampler_state& sampler = service.states[*chosen];
    if (StartRun(*item, sampler.id)) {
      NotePlaced(*item, pass.SlotsOf(*item));
      pass.NotePlaced(*item);
      ++sampler.running;
      --sampler.startsAvailable;
      ++sampler.groups[item->group];
    } else {
      sampler.startsAvailable = 0; // Its limit allows no start now.
    }
  }
}

std::optional<std::size_t>
batch_leader::ChooseFor(waiting_item& aItem,
                        const service_samplers& aService,
                        double aTypicalEvents)
{
  batch& owner = *mBatches.Find(aItem.batch);
  item_state& state = owner.Items()[aItem.index];
  aItem.homes = HomesOf(owner, aItem.index);
  if (!state.progress.events.empty() &&
      (!state.progress.software || !TextFits(owner, aItem.index))) {
    // Saved by a process that did not record the software, or under another
    // document or batch, which allowed several versions.
    LogRestart(owner, aItem.index);
    state.progress = {};
  }
  const auto choose = [&] {
    return aItem.contended ? ChooseByLength(aItem,
                                            aService.states,
                                            aService.intervals.medianMs,
                                            aTypicalEvents)
                           : ChooseSampler(aItem,
                                           aService.states,
                                           aService.intervals.medianMs);
  };
  if (state.progress.events.empty()) {
    return choose();
  }
  const route_entry* route = mParts.environment.Environment().FindRoute(
    owner.Request().host, owner.Request().items[aItem.index].path);
  aItem.onlySoftware = state.progress.software;
  if (route && route->singleVersion) {
    aItem.onlyVersion = state.progress.versions.back();
  }
  auto chosen = choose();
  if (!chosen) {
    // No sampler can take the item now under the versions of its events: if
    // one with other versions can, drop the events and restart there.
    aItem.onlyVersion = 0;
    aItem.onlySoftware.reset();
    chosen = choose();
    if (chosen) {
      LogRestart(owner, aItem.index);
      state.progress = {};
    }
  }
  return chosen;
}

void
batch_leader::NotePlaced(const waiting_item& aItem, int aTeamSlots)
{
  const batch& owner = *mBatches.Find(aItem.batch);
  const item_state& item = owner.Items()[aItem.index];
  const std::string need(aItem.contended ? EnumName(aItem.need) : "ample");
  mParts.metrics.Count("ferry_items_placed_total", { { "slack", need } });
  if (item.runCount == 1) {
    mParts.metrics.Observe(
      "ferry_item_wait_seconds",
      { { "priority", std::to_string(aItem.priority) },
        { "tenant", owner.Request().team } },
      std::chrono::duration<double>(item.queueTime).count());
  }
  if (aItem.contended) {
    Log(
      log_level::Info,
      "item_placed_by_slack",
      { { "item", owner.Request().items[aItem.index].id },
        { "batch", aItem.batch },
        { "priority", std::to_string(aItem.priority) },
        { "slack", need },
        { "slack_ms", std::to_string(std::llround(aItem.slackMs)) },
        { "rest_events", std::to_string(std::llround(aItem.remainingEvents)) },
        { "team_slots", std::to_string(aTeamSlots) } });
  }
}

bool
batch_leader::StartRun(const waiting_item& aItem, const std::string& aSampler)
{
  auto* target = mParts.targets.Find(aSampler);
  batch& owner = *mBatches.Find(aItem.batch);
  item_state& item = owner.Items()[aItem.index];
  const time_point now = mParts.loop.Now();
  if (!target) {
    return false;
  }
  const bool cold = target->limit.ColdRate().has_value();
  if (cold && mParts.mayStartCold && !mParts.mayStartCold()) {
    return false;
  }
  const bool reserved = target->limit.Reserve(now, now).has_value();
  if (cold) {
    mParts.metrics.Count("ferry_cold_item_starts_total",
                         { { "outcome", reserved ? "granted" : "refused" } });
  }
  if (!reserved) {
    return false;
  }
  const start_right right = !mParts.targets.HasColdRates() ? start_right::Any
                            : cold ? start_right::Granted
                                   : start_right::Warm;
  const auto run = MakeRun(owner,
                           aItem.index,
                           aSampler,
                           mPool.VersionOf(aSampler, aItem.model),
                           item.progress.events.size());
  item.phase = item_phase::Running;
  item.sampler = aSampler;
  if (item.progress.events.empty()) {
    item.progress.software = target->entry.software;
  }
  if (item.runCount++ == 0) {
    item.queueTime = Age(owner);
  }
  mPool.AddRun(run);
  const auto relay =
    mParts.nodes.ChooseRelay(aSampler, target->entry.zone, now);
  const auto& limit = target->limit.Named();
  Log(log_level::Info,
      "item_run_started",
      { { "item", run->Call().id },
        { "batch", aItem.batch },
        { "target", aSampler },
        { "software", target->entry.software },
        { "limit", limit ? std::to_string(limit->perSecond) : "" },
        { "relay", relay ? FormatAddress(relay->address) : "" },
        { "events", std::to_string(item.progress.events.size()) } });
  if (!relay) {
    item.progress.location.reset();
    run->Start(mParts.targetClient, target->entry, right);
    return true;
  }
  item.progress.location = { std::to_string(mFence) + "-" +
                               std::to_string(++mRunsStarted),
                             relay->address,
                             aSampler,
                             item.progress.events.size() };
  run->StartRelayed(mParts.client,
                    *item.progress.location,
                    mFence,
                    mParts.nodes.ClockOf(relay->vm, now),
                    target->entry,
                    right);
  return true;
}

home_regions
batch_leader::HomesOf(const batch& aBatch, std::size_t aIndex) const
{
  const environment_view& environment = mParts.environment.Environment();
  const batch_request& request = aBatch.Request();
  const route_entry* route =
    environment.FindRoute(request.host, request.items[aIndex].path);
  return route ? environment.HomesOf(*route, request.team) : home_regions();
}

std::shared_ptr<item_run>
batch_leader::MakeRun(batch& aBatch,
                      std::size_t aIndex,
                      const std::string& aSampler,
                      std::int64_t aVersion,
                      std::size_t aResumeAfter)
{
  const batch_item& request = aBatch.Request().items[aIndex];
  item_call call;
  call.id = request.id;
  call.path = request.path;
  call.host = aBatch.Request().host;
  call.team = aBatch.Request().team;
  call.headers = request.headers;
  call.body = request.body;
  call.model = aBatch.Request().model;
  call.group = request.group;
  call.expectedVersion = aVersion;
  call.resumeAfter = aResumeAfter;
  call.homes = HomesOf(aBatch, aIndex);
  run_observer& self = *this;
  return std::make_shared<item_run>(self,
                                    mParts.loop,
                                    mParts.protocol,
                                    aBatch.Request().id,
                                    aIndex,
                                    aSampler,
                                    std::move(call));
}

void
batch_leader::AttachRuns()
{
  std::size_t attached = 0;
  for (const auto& [id, entry] : mBatches.All()) {
    for (std::size_t index = 0;
         !entry->Closed() && index < entry->Items().size();
         ++index) {
      item_state& item = entry->Items()[index];
      const auto location = item.progress.location;
      if (item.phase != item_phase::Waiting || !location ||
          location->resumedAfter > item.progress.events.size()) {
        continue;
      }
      const auto run =
        MakeRun(*entry, index, location->sampler, 0, location->resumedAfter);
      item.phase = item_phase::Running;
      item.sampler = location->sampler;
      mPool.AddRun(run);
      run->Attach(
        mParts.client, *location, mFence, item.progress.events.size());
      ++attached;
    }
  }
  Log(
    log_level::Info, "runs_attached", { { "runs", std::to_string(attached) } });
}

void
batch_leader::OnRunEvent(const item_run& aRun,
                         std::string aData,
                         std::int64_t aVersion)
{
  batch* owner = mBatches.Find(aRun.Batch());
  if (!owner || owner->Ended()) {
    return;
  }
  item_progress& progress = owner->Items()[aRun.Index()].progress;
  if (progress.events.empty()) {
    mHistory.NoteFirstEvent(mParts.loop.Now() - aRun.Timing().started);
  }
  const bool sameVersion =
    progress.versions.empty() || progress.versions.back() == aVersion;
  progress.events.push_back(std::move(aData));
  progress.versions.push_back(aVersion);
  mPool.NoteEvent(aRun, aVersion);
  if (aRun.Location()) {
    mParts.nodes.NoteAlive(aRun.Location()->relay, mParts.loop.Now());
  }
  if (!sameVersion && !TextFits(*owner, aRun.Index())) {
    // The sampler has loaded other weights in the middle of the text.
    mPool.CancelRun(aRun);
    RestartItem(*owner, aRun.Index());
  }
}

void
batch_leader::OnRunLimit(const item_run& aRun,
                         const limit_notice& aNotice,
                         bool aGenuine)
{
  mParts.targets.NoteLimit(aRun.Sampler(),
                           aNotice,
                           aGenuine,
                           aRun.Timing().started,
                           mParts.loop.Now());
}

void
batch_leader::OnRelayClock(const item_run& aRun, std::int64_t aClockMs)
{
  mParts.nodes.NoteClock(aRun.Location()->relay, aClockMs, mParts.loop.Now());
}

void
batch_leader::OnRunEnded(const item_run& aRun, run_outcome aEnd)
{
  mPool.EndRun(aRun, aEnd);
  if (aEnd == run_outcome::Broken) {
    mParts.targets.PresumeCold(
      aRun.Sampler(), cold_reason::Broken, mParts.loop.Now());
  }
  SchedulePlacement();
  if (aRun.Superseded() && !std::exchange(mSuperseded, true)) {
    mParts.superseded();
  }
  if (aRun.RelayUnreachable()) {
    mParts.nodes.NoteFailure(aRun.Location()->relay, mParts.loop.Now());
  }
  mParts.metrics.Count("ferry_item_runs_total",
                       { { "outcome", std::string(RunOutcomeName(aEnd)) } });
  batch* owner = mBatches.Find(aRun.Batch());
  if (!owner || owner->Ended()) {
    return;
  }
  item_state& item = owner->Items()[aRun.Index()];
  item.phase = item_phase::Waiting;
  item.progress.location.reset();
  if (aEnd != run_outcome::Complete) {
    Log(log_level::Info,
        "item_run_ended",
        { { "item", aRun.Call().id },
          { "batch", aRun.Batch() },
          { "target", aRun.Sampler() },
          { "relay",
            aRun.Location() ? FormatAddress(aRun.Location()->relay) : "" },
          { "outcome", std::string(RunOutcomeName(aEnd)) },
          { "events", std::to_string(item.progress.events.size()) } });
  }
  switch (aEnd) {
    case run_outcome::Complete:
      mHistory.NoteCompleted(owner->Request().route,
                             owner->Request().items[aRun.Index()].lengthHint,
                             item.progress.events.size());
      FinishText(*owner, aRun.Index());
      break;
    case run_outcome::Impossible:
      FinishItem(*owner, aRun.Index(), result_state::Errored);
      break;
    case run_outcome::Failed: {
      item.notBefore = mParts.loop.Now() + kFailedRetryDelay;
      const route_entry* route = mParts.environment.Environment().FindRoute(
        owner->Request().host, owner->Request().items[aRun.Index()].path);
      if (++item.failures >=
          kFailuresPerAttempt * (route ? route->maxAttempts : 1)) {
        FinishItem(*owner, aRun.Index(), result_state::Errored);
      }
      break;
    }
    case run_outcome::Full:
    case run_outcome::Misplaced:
    case run_outcome::Broken:
      break;
    case run_outcome::RelayLost:
      item.notBefore = mParts.loop.Now() + kRelayLostRetryDelay;
      break;
  }
}

void
batch_leader::FinishItem(batch& aBatch,
                         std::size_t aIndex,
                         result_state aState,
                         std::string aScore)
{
  item_state& item = aBatch.Items()[aIndex];
  item.phase = item_phase::Saving;
  if (const auto call = std::exchange(item.scoring.call, nullptr)) {
    call->Cancel();
  }
  Log(
    log_level::Info,
    "item_ended",
    { { "item", aBatch.Request().items[aIndex].id },
      { "batch", aBatch.Request().id },
      { "state", aState == result_state::Completed ? "completed" : "errored" },
      { "events", std::to_string(item.progress.events.size()) },
      { "runs", std::to_string(item.runCount) },
      { "target", item.sampler },
      { "waited_ms", std::to_string(item.queueTime.count()) },
      { "ms", std::to_string(Age(aBatch).count()) } });
  batch_result result;
  result.item = aIndex;
  result.state = aState;
  if (aState == result_state::Completed) {
    result.text = item.progress.Text();
    result.versions = item.progress.DistinctVersions();
    result.score = std::move(aScore);
  }
  const std::string id = aBatch.Request().id;
  const std::size_t position = aBatch.assignedPositions++;
  std::vector<log_record> records{ { ResultKey(id, position),
                                     EncodeResult(result) } };
  if (!result.text.empty()) {
    records.push_back({ TextKey(id, position), result.text });
  }
  if (item.savedEvents > 0) {
    records.push_back({ ProgressKey(id, aIndex), {} });
  }
  mJournal.Append(std::move(records),
                  [this, id, saved = std::move(result)]() mutable {
                    if (batch* owner = mBatches.Find(id)) {
                      owner->CommitResult(std::move(saved));
                      WakeWaiters();
                    }
                  });
}

void
batch_leader::OnSoftwareChanged(const std::string& aSampler)
{
  const auto runs = mPool.Runs();
  for (const auto& run : runs) {
    if (run->Sampler() != aSampler) {
      continue;
    }
    if (batch* owner = mBatches.Find(run->Batch())) {
      owner->Items()[run->Index()].phase = item_phase::Waiting;
    }
    mPool.CancelRun(run);
  }
  std::vector<log_record> saved;
  for (const auto& [id, entry] : mBatches.All()) {
    for (std::size_t index = 0;
         !entry->Closed() && index < entry->Items().size();
         ++index) {
      item_state& item = entry->Items()[index];
      if (item.sampler == aSampler && item.phase == item_phase::Waiting) {
        LogRestart(*entry, index);
        item.progress = {};
        if (std::exchange(item.savedEvents, 0) > 0) {
          saved.push_back({ ProgressKey(id, index), {} });
        }
      }
    }
  }
  if (!saved.empty()) {
    mJournal.Append(std::move(saved), {});
  }
  SchedulePlacement();
}

void
batch_leader::LogRestart(const batch& aBatch, std::size_t aIndex)
{
  const item_progress& progress = aBatch.Items()[aIndex].progress;
  Log(log_level::Info,
      "item_restarted",
      { { "item", aBatch.Request().items[aIndex].id },
        { "batch", aBatch.Request().id },
        { "events", std::to_string(progress.events.size()) },
        { "software", progress.software.value_or("") } });
}

void
batch_leader::RestartItem(batch& aBatch, std::size_t aIndex)
{
  LogRestart(aBatch, aIndex);
  item_state& item = aBatch.Items()[aIndex];
  item.phase = item_phase::Waiting;
  item.progress = {};
  item.scoring = {};
  if (std::exchange(item.savedEvents, 0) > 0) {
    mJournal.Append({ { ProgressKey(aBatch.Request().id, aIndex), {} } }, {});
  }
  SchedulePlacement();
}

bool
batch_leader::TextFits(const batch& aBatch, std::size_t aIndex) const
{
  const batch_request& request = aBatch.Request();
  const item_progress& progress = aBatch.Items()[aIndex].progress;
  if (!progress.MeetsMinimumVersion(request.minimumVersion)) {
    return false;
  }
  if (progress.HasOneVersion()) {
    return true;
  }
  const route_entry* route = mParts.environment.Environment().FindRoute(
    request.host, request.items[aIndex].path);
  return !route || !route->singleVersion;
}

void
batch_leader::ExpireItems()
{
  const environment_view& environment = mParts.environment.Environment();
  const std::int64_t now = mParts.loop.UnixMilliseconds();
  for (const auto& [id, entry] : mBatches.All()) {
    if (entry->Closed()) {
      continue;
    }
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      const item_phase phase = entry->Items()[index].phase;
      if (phase != item_phase::Waiting && phase != item_phase::Scoring) {
        continue;
      }
      const route_entry* route = environment.FindRoute(
        entry->Request().host, entry->Request().items[index].path);
      if (route && route->itemRetention.count() > 0 &&
          now - entry->Request().submittedUnixMs >=
            route->itemRetention.count() + kItemExpiryMarginMs) {
        FinishItem(*entry, index, result_state::Errored);
      }
    }
  }
}

} // namespace arbutusferry::node
