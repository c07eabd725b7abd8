#include "arbutusferry/node/batch_leader.hpp"

#include "arbutusferry/logging.hpp"

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

} // namespace arbutusferry::node
