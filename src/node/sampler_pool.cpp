#include "arbutusferry/node/sampler_pool.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Share of the newest interval in a sampler's mean time between events.
constexpr double kPaceShare = 0.2;
/// A pace that was not measured for so long is forgotten, so that a sampler
/// that was slow is tried again.
constexpr milliseconds kPaceKept{ 3'000 };
/// First pause after a broken run; doubles with each further one.
constexpr milliseconds kFirstPause{ 200 };
constexpr milliseconds kLongestPause{ 3'000 };
/// Pause after a sampler refused a run for want of room.
constexpr milliseconds kFullPause{ 40 };
/// Longest wait for the answer to an order or report.
constexpr milliseconds kOrderTimeout{ 800 };
/// Time after an accepted order until its sampler is first asked how far it
/// is: a load takes 0.9 s on the sheets.
constexpr milliseconds kLoadTime{ 900 };
/// Interval of further questions.
constexpr milliseconds kReportInterval{ 250 };
/// Reports are as of so long ago (the platform's page: some hundred ms).
constexpr milliseconds kReportLag{ 200 };
/// An item is sent to a sampler that loads at the end of `kLoadTime`, and again
/// after this pause for each trial so far. A refusal costs a few milliseconds.
constexpr milliseconds kTrialPause{ 100 };
/// An order that does not hold after so long is sent again.
constexpr milliseconds kOrderLost{ 5'000 };
/// Pause before another order after one that was refused or unanswered.
constexpr milliseconds kOrderPause{ 500 };

} // namespace

void
sampler_pool::Refresh(const std::set<std::string>& aServices)
{
  for (const auto& [id, known] : mParts.targets.All()) {
    if (!aServices.contains(known.entry.service)) {
      continue;
    }
    auto [at, added] = mSamplers.try_emplace(id);
    sampler& entry = at->second;
    if (!added && entry.entry.bornUnixMs != known.entry.bornUnixMs) {
      // Another process under the same id holds nothing of before.
      const int running = entry.running;
      auto groups = std::move(entry.groups);
      entry = {};
      entry.running = running;
      entry.groups = std::move(groups);
      added = true;
    }
    entry.entry = known.entry;
    for (const auto& [model, version] : known.entry.modelVersions) {
      std::int64_t& believed = entry.versions[model];
      believed = std::max(believed, version);
    }
  }
  std::erase_if(mSamplers, [&](const auto& aEntry) {
    return !mParts.targets.Find(aEntry.first) && aEntry.second.running == 0;
  });
}

bool
sampler_pool::Usable(const sampler& aSampler, time_point aNow) const
{
  const auto* known = mParts.targets.Find(aSampler.entry.id);
  return known && !known->removedSince && !known->entry.draining &&
         aSampler.avoidUntil <= aNow;
}

sampler_state
sampler_pool::StateOf(const std::string& aId, const sampler& aSampler) const
{
  const time_point now = mParts.loop.Now();
  sampler_state state;
  state.id = aId;
  state.slots = aSampler.entry.slots;
  state.running = aSampler.running;
  state.usable = Usable(aSampler, now);
  state.versions = aSampler.versions;
  if (TrialDue(aSampler)) {
    const version_plan::order& order = aSampler.order->order;
    state.versions[order.model] = order.version;
    state.slots = std::min(state.slots, state.running + 1);
    state.mayHaveLoaded = true;
  }
  if (aSampler.order) {
    state.loading = aSampler.order->order.model;
  }
  state.home = mPlan.AssignedModel(aId);
  if (now - aSampler.paceSince < kPaceKept) {
    state.eventMilliseconds = aSampler.eventMilliseconds;
  }
  state.groups = aSampler.groups;
  return state;
}

std::vector<sampler_state>
sampler_pool::States(const std::string& aService) const
{
  std::vector<sampler_state> states;
  for (const auto& [id, entry] : mSamplers) {
    if (entry.entry.service == aService) {
      states.push_back(StateOf(id, entry));
    }
  }
  return states;
}

sampler_state
sampler_pool::State(const std::string& aId) const
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end()) {
    sampler_state gone;
    gone.id = aId;
    gone.usable = false;
    return gone;
  }
  return StateOf(aId, found->second);
}

std::int64_t
sampler_pool::VersionOf(const std::string& aId, const std::string& aModel) const
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end()) {
    return 0;
  }
  const sampler& entry = found->second;
  if (TrialDue(entry) && entry.order->order.model == aModel) {
    return entry.order->order.version;
  }
  const auto version = entry.versions.find(aModel);
  return version == entry.versions.end() ? 0 : version->second;
}

bool
sampler_pool::TrialDue(const sampler& aSampler) const
{
  return aSampler.order && aSampler.order->accepted &&
         mParts.loop.Now() >= aSampler.order->nextTrial;
}

void
sampler_pool::EndLoad(const std::string& aId,
                      sampler& aSampler,
                      const char* aSeenBy)
{
  const version_plan::order& order = aSampler.order->order;
  Log(log_level::Info,
      "weights_loaded",
      { { "target", aId },
        { "model", order.model },
        { "version", std::to_string(order.version) },
        { "seen_by", aSeenBy },
        { "ms",
          std::to_string(
            ToMilliseconds(mParts.loop.Now() - aSampler.order->sentAt)) } });
  std::int64_t& version = aSampler.versions[order.model];
  version = std::max(version, order.version);
  aSampler.loadSeen = mParts.loop.Now();
  aSampler.order.reset();
  mParts.changed();
}

void
sampler_pool::AddRun(std::shared_ptr<item_run> aRun)
{
  sampler& entry = mSamplers[aRun->Sampler()];
  if (TrialDue(entry) && aRun->Call().model == entry.order->order.model) {
    ++entry.order->trials;
    entry.order->nextTrial =
      mParts.loop.Now() + entry.order->trials * kTrialPause;
  }
  ++entry.running;
  ++entry.groups[aRun->Call().group];
  mRuns.insert(std::move(aRun));
}

void
sampler_pool::Leave(const item_run& aRun)
{
  const auto found = mSamplers.find(aRun.Sampler());
  if (found == mSamplers.end()) {
    return;
  }
  --found->second.running;
  const auto group = found->second.groups.find(aRun.Call().group);
  if (group != found->second.groups.end() && --group->second == 0) {
    found->second.groups.erase(group);
  }
}

void
sampler_pool::CancelRun(const std::shared_ptr<item_run>& aRun)
{
  if (mRuns.erase(aRun) > 0) {
    Leave(*aRun);
  }
  aRun->Cancel();
}

void
sampler_pool::DetachAll()
{
  for (const auto& run : std::exchange(mRuns, {})) {
    run->Leave();
  }
  mSamplers.clear();
}

void
sampler_pool::EndRun(const item_run& aRun, run_outcome aEnd)
{
  const auto run =
    std::find_if(mRuns.begin(), mRuns.end(), [&](const auto& aEntry) {
      return aEntry.get() == &aRun;
    });
  if (run == mRuns.end()) {
    return;
  }
  mRuns.erase(run);
  const auto found = mSamplers.find(aRun.Sampler());
  if (found == mSamplers.end()) {
    return;
  }
  Leave(aRun);
  sampler& entry = found->second;
  const time_point now = mParts.loop.Now();
  switch (aEnd) {
    case run_outcome::Complete:
    case run_outcome::Impossible:
      entry.failures = 0;
      break;
    case run_outcome::RelayLost:
      break;
    case run_outcome::Full:
      entry.avoidUntil = std::max(entry.avoidUntil, now + kFullPause);
      break;
    case run_outcome::Misplaced: {
      // Another process may have its address until the view of targets says so.
      const duration pause = kFullPause * (1 << std::min(entry.failures, 6));
      entry.avoidUntil = std::max(entry.avoidUntil, now + pause);
      ++entry.failures;
      AskReport(aRun.Sampler());
      break;
    }
    case run_outcome::Broken:
    case run_outcome::Failed: {
      if (aRun.NewEvents() > 0) {
        entry.failures = 0; // It works; this one run broke.
        break;
      }
      const duration pause = kFirstPause * (1 << std::min(entry.failures, 4));
      entry.avoidUntil = now + std::min<duration>(pause, kLongestPause);
      ++entry.failures;
      break;
    }
  }
}

void
sampler_pool::NoteEvent(const item_run& aRun)
{
  const auto found = mSamplers.find(aRun.Sampler());
  if (found == mSamplers.end()) {
    return;
  }
  sampler& entry = found->second;
  if (entry.order && entry.order->order.model == aRun.Call().model &&
      aRun.Call().expectedVersion >= entry.order->order.version) {
    // The sampler runs only what names the version that it has.
    EndLoad(aRun.Sampler(), entry, "run");
  }
  if (!aRun.Timing().begun) {
    return;
  }
  const time_point now = mParts.loop.Now();
  const double interval =
    std::chrono::duration<double, std::milli>(now - aRun.Timing().lastEvent)
      .count();
  if (entry.order) {
    return; // A load stops all runs for its time.
  }
  if (!entry.eventMilliseconds || now - entry.paceSince >= kPaceKept) {
    entry.eventMilliseconds = interval;
  } else {
    *entry.eventMilliseconds +=
      kPaceShare * (interval - *entry.eventMilliseconds);
  }
  entry.paceSince = now;
}

void
sampler_pool::SendWeightOrders(
  const std::set<std::string>& aModels,
  const std::set<std::string>& aSingleVersion,
  const std::map<std::string, std::size_t>& aWaiting)
{
  const time_point now = mParts.loop.Now();
  std::vector<version_plan::sampler> samplers;
  std::map<std::string, version_plan::demand> demands;
  for (const auto& [model, count] : aWaiting) {
    demands[model].waiting = count;
  }
  for (auto& [id, entry] : mSamplers) {
    if (entry.order && now - entry.order->sentAt >= kOrderLost) {
      Log(log_level::Warning,
          "weight_order_lost",
          { { "target", id },
            { "model", entry.order->order.model },
            { "version", std::to_string(entry.order->order.version) } });
      entry.order.reset();
      AskReport(id);
    }
    if (entry.order && entry.order->accepted &&
        now >= entry.order->nextReport) {
      entry.order->nextReport = now + kReportInterval;
      AskReport(id);
    }
    const auto* known = mParts.targets.Find(id);
    samplers.push_back(
      { id,
        entry.versions,
        known && !known->removedSince && !known->entry.draining,
        entry.order.has_value(),
        entry.running,
        entry.orderNotBefore,
        entry.entry.slots });
    if (entry.order) {
      demands[entry.order->order.model].slots +=
        std::max(0, entry.entry.slots - entry.running);
    }
  }
  mPlan.Assign(samplers, aModels);
  for (const version_plan::order& order :
       mPlan.Orders(samplers, demands, now)) {
    SendOrder(order, !aSingleVersion.contains(order.model));
  }
}

void
sampler_pool::SendOrder(const version_plan::order& aOrder, bool aKeepRuns)
{
  sampler& entry = mSamplers[aOrder.sampler];
  if (!entry.ordersAccepted) {
    AskReport(aOrder.sampler);
    return;
  }
  entry.order.emplace();
  entry.order->order = aOrder;
  entry.order->sentAt = mParts.loop.Now();
  weight_order order;
  order.model = aOrder.model;
  order.version = aOrder.version;
  order.keepRuns = aKeepRuns;
  order.holder = mParts.holder;
  order.fence = mParts.fence;
  order.expectedOrders = *entry.ordersAccepted;
  Log(log_level::Info,
      "weight_order",
      { { "target", aOrder.sampler },
        { "model", aOrder.model },
        { "version", std::to_string(aOrder.version) },
        { "had", std::to_string(VersionOf(aOrder.sampler, aOrder.model)) },
        { "fence", std::to_string(mParts.fence) },
        { "expected_orders", std::to_string(*entry.ordersAccepted) } });
  exchange_options options;
  options.connect = kOrderTimeout;
  options.silence = kOrderTimeout;
  mParts.client.Send(
    entry.entry.address,
    mParts.protocol.MakeOrder(order, entry.entry),
    options,
    std::make_shared<whole_response>(
      [this, id = aOrder.sampler, alive = std::weak_ptr<bool>(mAlive)](
        const http_response* aResponse, exchange_failure) {
        if (!alive.expired()) {
          OnOrderAnswer(id, aResponse);
        }
      }));
}

void
sampler_pool::OnOrderAnswer(const std::string& aId,
                            const http_response* aResponse)
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end() || !found->second.order) {
    return;
  }
  sampler& entry = found->second;
  const time_point now = mParts.loop.Now();
  if (!aResponse) {
    // It may be carried out now or later: the report tells, and a repeat
    // names the same count of orders.
    AskReport(aId);
    return;
  }
  const order_result verdict =
    mParts.protocol.ClassifyOrderResponse(aResponse->status);
  const version_plan::order order = entry.order->order;
  if (verdict != order_result::Accepted) {
    Log(log_level::Info,
        "weight_order_answer",
        { { "target", aId },
          { "model", order.model },
          { "version", std::to_string(order.version) },
          { "status", std::to_string(aResponse->status) } });
  }
  switch (verdict) {
    case order_result::Accepted:
      ++*entry.ordersAccepted;
      entry.order->accepted = true;
      entry.order->sentAt = now;
      entry.order->nextReport = now + kLoadTime + kReportLag;
      entry.order->nextTrial = now + kLoadTime;
      break;
    case order_result::Holds:
      entry.versions[order.model] =
        std::max(entry.versions[order.model], order.version);
      entry.order.reset();
      mParts.changed();
      break;
    case order_result::Fenced:
      entry.order.reset();
      mParts.superseded();
      break;
    case order_result::Busy:
    case order_result::Wrong:
    case order_result::Refused:
      entry.order.reset();
      entry.orderNotBefore = now + kOrderPause;
      AskReport(aId);
      break;
  }
}

void
sampler_pool::AskReport(const std::string& aId)
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end() || found->second.reporting) {
    return;
  }
  found->second.reporting = true;
  exchange_options options;
  options.connect = kOrderTimeout;
  options.silence = kOrderTimeout;
  mParts.client.Send(found->second.entry.address,
                     mParts.protocol.MakeReportRequest(),
                     options,
                     std::make_shared<whole_response>(
                       [this, aId, alive = std::weak_ptr<bool>(mAlive)](
                         const http_response* aResponse, exchange_failure) {
                         if (!alive.expired()) {
                           OnReport(aId, aResponse);
                         }
                       }));
}

void
sampler_pool::OnReport(const std::string& aId, const http_response* aResponse)
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end()) {
    return;
  }
  sampler& entry = found->second;
  entry.reporting = false;
  const auto report =
    aResponse ? mParts.protocol.ReadReport(*aResponse) : std::nullopt;
  if (!report) {
    entry.orderNotBefore = mParts.loop.Now() + kOrderPause;
    if (entry.order && !entry.order->accepted) {
      entry.order.reset();
    }
    return;
  }
  // A report may be older than a load whose end a run has shown.
  const bool outdated =
    mParts.loop.Now() - entry.loadSeen < kReportLag + kOrderTimeout;
  for (const auto& [model, version] : report->modelVersions) {
    std::int64_t& believed = entry.versions[model];
    believed = outdated ? std::max(believed, version) : version;
  }
  entry.ordersAccepted =
    std::max(entry.ordersAccepted.value_or(0), report->ordersAccepted);
  if (entry.order) {
    const version_plan::order& order = entry.order->order;
    if (entry.versions[order.model] >= order.version) {
      EndLoad(aId, entry, "report");
    } else if (!report->busy && !entry.order->accepted) {
      entry.order.reset();
      entry.orderNotBefore = mParts.loop.Now() + kOrderPause;
    } else if (report->busy && !entry.order->accepted) {
      entry.order->accepted = true;
      entry.order->nextTrial = mParts.loop.Now() + kLoadTime;
    }
  }
  mParts.changed();
}

} // namespace arbutusferry::node
