#include "arbutusferry/node/batch_leader.hpp"

#include "arbutusferry/logging.hpp"
#include "placement/speed_choice.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Maximum number of runs moved to another sampler per tick.
constexpr std::size_t kMovesPerTick = 8;
/// The sampler of a moved run that was silent for longer is avoided.
constexpr milliseconds kBrokenSilence{ 300 };

} // namespace

bool
batch_leader::TakeFasterSlot(
  const item_run& aRun,
  std::map<std::string, std::vector<sampler_state>>& aRoom)
{
  const batch* owner = mBatches.Find(aRun.Batch());
  if (!owner) {
    return true;
  }
  const batch_request& request = owner->Request();
  const item_progress& progress = owner->Items()[aRun.Index()].progress;
  const route_entry* route = mParts.environment.Environment().FindRoute(
    request.host, request.items[aRun.Index()].path);
  if (!route || route->services.empty()) {
    return false;
  }
  const auto [at, added] = aRoom.try_emplace(route->services.front().service);
  if (added) {
    at->second = mPool.States(at->first);
  }
  std::vector<sampler_state>& samplers = at->second;
  waiting_item item;
  item.model = request.model;
  item.minimumVersion = request.minimumVersion;
  item.onlySoftware = progress.software;
  item.homes = HomesOf(*owner, aRun.Index());
  if (route->singleVersion && !progress.versions.empty()) {
    item.onlyVersion = progress.versions.back();
  }
  const auto chosen = ChooseSampler(item, samplers);
  if (!chosen || samplers[*chosen].id == aRun.Sampler()) {
    return false;
  }
  ++samplers[*chosen].running;
  --samplers[*chosen].startsAvailable;
  return true;
}

void
batch_leader::MoveSlowRuns()
{
  const time_point now = mParts.loop.Now();
  std::map<std::string, sampler_state> states;
  std::vector<sampler_state> all;
  for (const auto& run : mPool.Runs()) {
    auto [at, added] = states.try_emplace(run->Sampler());
    if (added) {
      at->second = mPool.State(run->Sampler());
      all.push_back(at->second);
    }
  }
  const double typicalMilliseconds = MedianEventIntervalMs(all).value_or(1.0);
  std::map<std::string, std::vector<sampler_state>> room; // By service.
  std::vector<std::shared_ptr<item_run>> moved;
  for (const auto& run : mPool.Runs()) {
    const sampler_state& sampler = states[run->Sampler()];
    if (moved.size() < kMovesPerTick &&
        ShouldMove(run->Timing(), sampler, typicalMilliseconds, now) &&
        (FellSilent(run->Timing(), sampler, typicalMilliseconds, now) ||
         TakeFasterSlot(*run, room))) {
      moved.push_back(run);
    }
  }
  for (const auto& run : moved) {
    Log(log_level::Info,
        "item_moved",
        { { "item", run->Call().id },
          { "target", run->Sampler() },
          { "events", std::to_string(run->NewEvents()) },
          { "silent_ms",
            std::to_string(ToMilliseconds(now - run->Timing().lastEvent)) } });
    const bool silent = run->Timing().lastEvent + kBrokenSilence < now;
    if (batch* owner = mBatches.Find(run->Batch())) {
      item_state& item = owner->Items()[run->Index()];
      item.phase = item_phase::Waiting;
      item.progress.location.reset();
    }
    const bool nodeSilent =
      silent && run->Location() &&
      mParts.nodes.NoteSilence(run->Location()->relay, now);
    mPool.CancelRun(run);
    if (silent && !nodeSilent) {
      mPool.NoteSilence(run->Sampler());
      mParts.targets.PresumeCold(run->Sampler(), cold_reason::Broken, now);
    }
  }
}

std::vector<std::shared_ptr<item_run>>
batch_leader::RunsThatEndLate()
{
  std::vector<std::shared_ptr<item_run>> found;
  const auto slowestMs = mPool.SlowestIntervalMs();
  if (!slowestMs) {
    return found;
  }
  std::set<std::pair<std::string, std::size_t>> late;
  for (const auto& [id, entry] : mBatches.All()) {
    const batch_request& request = entry->Request();
    const length_estimate& lengths = mHistory.Lengths(request.route);
    if (entry->Closed() || !lengths.Known()) {
      continue;
    }
    const route_entry* route = mParts.environment.Environment().FindRoute(
      request.host, request.items.front().path);
    if (!route || route->resultDue.count() <= 0) {
      continue;
    }
    const auto untilDueMs =
      static_cast<double>((route->resultDue - Age(*entry)).count());
    for (std::size_t index = 0;
         untilDueMs > 0.0 && index < entry->Items().size();
         ++index) {
      const item_state& item = entry->Items()[index];
      if (item.phase != item_phase::Running) {
        continue;
      }
      const double events = RemainingOf(*entry, index, lengths, 0.0);
      // Most items would be in time at any sampler.
      if (events * *slowestMs > untilDueMs &&
          events * mPool.EventIntervalMs(item.sampler).value_or(0.0) >
            untilDueMs) {
        late.emplace(id, index);
      }
    }
  }
  if (!late.empty()) {
    for (const auto& run : mPool.Runs()) {
      if (late.contains({ run->Batch(), run->Index() })) {
        found.push_back(run);
      }
    }
  }
  return found;
}

void
batch_leader::MoveEarly()
{
  if (mHandedOver || mSuperseded || !mParts.mayStartRuns()) {
    return;
  }
  std::map<std::string, service_samplers> room; // By service.
  std::size_t moved = 0;
  for (const auto& run : RunsThatEndLate()) {
    if (moved < kMovesPerTick && TryMoveEarly(run, room)) {
      ++moved;
    }
  }
}

bool
batch_leader::TryMoveEarly(const std::shared_ptr<item_run>& aRun,
                           std::map<std::string, service_samplers>& aRoom)
{
  const batch* owner = mBatches.Find(aRun->Batch());
  if (!owner || !aRun->Timing().begun) {
    return false;
  }
  const batch_request& request = owner->Request();
  const length_estimate& lengths = mHistory.Lengths(request.route);
  const auto hereMs = mPool.EventIntervalMs(aRun->Sampler());
  if (!lengths.Known() || !hereMs) {
    return false;
  }
  const item_progress& progress = owner->Items()[aRun->Index()].progress;
  const batch_item& item = request.items[aRun->Index()];
  move_outlook outlook;
  outlook.hereMs = *hereMs;
  outlook.firstEventMs = mHistory.FirstEventMs();
  // The typical hint only matters while no lengths are known.
  outlook.remainingEvents = RemainingEvents(
    lengths.Events(item.lengthHint, 0.0), progress.events.size());
  const route_entry* route =
    mParts.environment.Environment().FindRoute(request.host, item.path);
  if (!route || route->services.empty() || route->resultDue.count() <= 0) {
    return false;
  }
  outlook.untilDueMs =
    static_cast<double>((route->resultDue - Age(*owner)).count());
  if (!ShouldMoveEarly(outlook)) {
    return false; // Not even to a sampler that takes no time at all.
  }
  const auto [at, added] = aRoom.try_emplace(route->services.front().service);
  if (added) {
    at->second = SummarizeSamplers(mPool.States(at->first));
  }
  service_samplers& service = at->second;
  outlook.thereMs = service.intervals.fastestMs;
  if (!ShouldMoveEarly(outlook)) {
    return false;
  }
  waiting_item moving;
  moving.batch = request.id;
  moving.index = aRun->Index();
  moving.model = request.model;
  moving.minimumVersion = request.minimumVersion;
  moving.group = item.group;
  moving.onlySoftware = progress.software;
  if (route->singleVersion && !progress.versions.empty()) {
    moving.onlyVersion = progress.versions.back();
  }
  moving.homes = HomesOf(*owner, aRun->Index());
  moving.remainingEvents = outlook.remainingEvents;
  const auto chosen =
    ChooseByLength(moving, service.states, service.intervals.medianMs, 0.0);
  if (!chosen || service.states[*chosen].id == aRun->Sampler()) {
    return false;
  }
  sampler_state& target = service.states[*chosen];
  outlook.thereMs = target.eventIntervalMs.value_or(service.intervals.medianMs);
  if (!target.loading.empty() || !ShouldMoveEarly(outlook) ||
      RateBatch(*owner,
                route,
                lengths,
                service.intervals,
                mParts.loop.UnixMilliseconds())
          .groups[owner->GroupOf(aRun->Index())]
          .need != slack_class::Timely) {
    return false;
  }
  Log(
    log_level::Info,
    "item_moved_early",
    { { "item", aRun->Call().id },
      { "batch", request.id },
      { "target", aRun->Sampler() },
      { "to", target.id },
      { "interval_ms", std::to_string(std::llround(outlook.hereMs)) },
      { "to_interval_ms", std::to_string(std::llround(outlook.thereMs)) },
      { "rest_events", std::to_string(std::llround(outlook.remainingEvents)) },
      { "first_event_ms", std::to_string(std::llround(outlook.firstEventMs)) },
      { "until_due_ms", std::to_string(std::llround(outlook.untilDueMs)) } });
  mParts.metrics.Count("ferry_items_moved_early_total", {});
  item_state& state = mBatches.Find(request.id)->Items()[aRun->Index()];
  state.phase = item_phase::Waiting;
  state.progress.location.reset();
  mPool.CancelRun(aRun);
  // Placed at once, so that no other item takes the slot. If the sampler's
  // limit forbids it after all, the item waits like any other.
  if (StartRun(moving, target.id)) {
    ++target.running;
    --target.startsAvailable;
    ++target.groups[moving.group];
  }
  return true;
}

} // namespace arbutusferry::node
