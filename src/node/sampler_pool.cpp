#include "arbutusferry/node/sampler_pool.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// First backoff after a broken run; doubles with each further one.
constexpr milliseconds kInitialBackoff{ 200 };
constexpr milliseconds kMaxBackoff{ 3'000 };
/// Backoff after a sampler refused a run because it was full.
constexpr milliseconds kFullBackoff{ 40 };
/// Timeout of weight orders and of requests for a report.
constexpr milliseconds kRequestTimeout{ 800 };
/// Expected duration of a load: 0.9 s in both deployments. The first report is
/// requested after it.
constexpr milliseconds kLoadTime{ 900 };
/// Interval of further requests for a report.
constexpr milliseconds kReportInterval{ 250 };
/// Age of the state in a report; the platform documents some hundred ms.
constexpr milliseconds kReportLag{ 200 };
/// A loading sampler gets an item as a probe after `kLoadTime`, and further
/// ones after this interval times the probes so far. A refused probe costs a
/// few milliseconds.
constexpr milliseconds kProbeInterval{ 100 };
/// An order whose load has not ended after this time is sent again.
constexpr milliseconds kLoadTimeout{ 5'000 };
/// Typical duration of a run, by which a rate of requests is turned into items
/// that run at once: most runs of the reference deployments take 0.2 to 2 s.
constexpr double kTypicalRunSeconds = 1.0;
/// Delay of the next order after one that was refused or unanswered.
constexpr milliseconds kOrderRetryDelay{ 500 };

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
    if (!added && entry.target.bornUnixMs != known.entry.bornUnixMs) {
      // A new process under the same id: only the runs that still hold its
      // slots are kept.
      const int running = entry.running;
      auto groups = std::move(entry.groups);
      entry = {};
      entry.running = running;
      entry.groups = std::move(groups);
      added = true;
    }
    entry.target = known.entry;
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
  const auto* known = mParts.targets.Find(aSampler.target.id);
  return known && !known->removedSince && !known->entry.draining &&
         mParts.targets.Allows(*known) && aSampler.avoidUntil <= aNow;
}

sampler_state
sampler_pool::StateOf(const std::string& aId, const sampler& aSampler) const
{
  const time_point now = mParts.loop.Now();
  sampler_state state;
  state.id = aId;
  state.software = aSampler.target.software;
  state.slots = aSampler.target.slots;
  state.running = aSampler.running;
  state.usable = Usable(aSampler, now);
  state.region = mParts.targets.Regions().RegionOf(aSampler.target.zone);
  if (const auto* known = mParts.targets.Find(aId)) {
    state.startsAvailable = known->limit.StartsAvailable(now);
    state.cold = known->limit.ColdRate().has_value();
  }
  state.versions = aSampler.versions;
  if (ProbeDue(aSampler)) {
    const version_plan::order& order = aSampler.order->load;
    state.versions[order.model] = order.version;
    state.slots = std::min(state.slots, state.running + 1);
    state.mayHaveLoaded = true;
  }
  if (aSampler.order) {
    state.loading = aSampler.order->load.model;
  }
  state.assignedModel = mPlan.AssignedModel(aId);
  state.loadEndedAt = aSampler.loadEndedAt;
  state.eventIntervalMs = aSampler.eventInterval.Milliseconds(now);
  state.groups = aSampler.groups;
  return state;
}

std::vector<sampler_state>
sampler_pool::States(const std::string& aService) const
{
  std::vector<sampler_state> states;
  for (const auto& [id, entry] : mSamplers) {
    if (entry.target.service == aService) {
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

std::optional<double>
sampler_pool::EventIntervalMs(const std::string& aId) const
{
  const auto found = mSamplers.find(aId);
  return found == mSamplers.end()
           ? std::nullopt
           : found->second.eventInterval.Milliseconds(mParts.loop.Now());
}

std::optional<double>
sampler_pool::SlowestIntervalMs() const
{
  std::optional<double> slowest;
  const time_point now = mParts.loop.Now();
  for (const auto& [id, entry] : mSamplers) {
    // An empty optional compares less than any value.
    slowest = std::max(slowest, entry.eventInterval.Milliseconds(now));
  }
  return slowest;
}

std::int64_t
sampler_pool::VersionOf(const std::string& aId, const std::string& aModel) const
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end()) {
    return 0;
  }
  const sampler& entry = found->second;
  if (ProbeDue(entry) && entry.order->load.model == aModel) {
    return entry.order->load.version;
  }
  const auto version = entry.versions.find(aModel);
  return version == entry.versions.end() ? 0 : version->second;
}

bool
sampler_pool::ProbeDue(const sampler& aSampler) const
{
  return aSampler.order && aSampler.order->accepted &&
         mParts.loop.Now() >= aSampler.order->nextProbe;
}

void
sampler_pool::EndLoad(const std::string& aId,
                      sampler& aSampler,
                      const char* aSeenBy)
{
  const version_plan::order& order = aSampler.order->load;
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
  aSampler.loadEndedAt = mParts.loop.Now();
  aSampler.order.reset();
  mParts.samplersChanged();
}

void
sampler_pool::AddRun(std::shared_ptr<item_run> aRun)
{
  sampler& entry = mSamplers[aRun->Sampler()];
  if (ProbeDue(entry) && aRun->Call().model == entry.order->load.model) {
    ++entry.order->probes;
    entry.order->nextProbe =
      mParts.loop.Now() + entry.order->probes * kProbeInterval;
  }
  ++entry.running;
  ++entry.groups[aRun->Call().group];
  mRuns.insert(std::move(aRun));
}

void
sampler_pool::ReleaseSlot(const item_run& aRun)
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
    ReleaseSlot(*aRun);
  }
  aRun->Cancel();
}

void
sampler_pool::CancelRun(const item_run& aRun)
{
  const auto run =
    std::find_if(mRuns.begin(), mRuns.end(), [&](const auto& aEntry) {
      return aEntry.get() == &aRun;
    });
  if (run != mRuns.end()) {
    CancelRun(std::shared_ptr(*run));
  }
}

void
sampler_pool::DetachAll()
{
  for (const auto& run : std::exchange(mRuns, {})) {
    run->Detach();
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
  ReleaseSlot(aRun);
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
      entry.avoidUntil = std::max(entry.avoidUntil, now + kFullBackoff);
      break;
    case run_outcome::Misplaced: {
      // Another process may have taken its address; the view of targets learns
      // it later.
      const duration pause = kFullBackoff * (1 << std::min(entry.failures, 6));
      entry.avoidUntil = std::max(entry.avoidUntil, now + pause);
      ++entry.failures;
      RequestReport(aRun.Sampler());
      break;
    }
    case run_outcome::Broken:
    case run_outcome::Failed: {
      if (aRun.NewEvents() > 0) {
        entry.failures = 0; // The sampler works; only this run broke.
        break;
      }
      BackOff(entry);
      break;
    }
  }
}

void
sampler_pool::BackOff(sampler& aSampler)
{
  const duration pause =
    kInitialBackoff * (1 << std::min(aSampler.failures, 4));
  aSampler.avoidUntil =
    mParts.loop.Now() + std::min<duration>(pause, kMaxBackoff);
  ++aSampler.failures;
}

void
sampler_pool::NoteSilence(const std::string& aId)
{
  const auto found = mSamplers.find(aId);
  // All runs of a sampler fall silent together and count once.
  if (found != mSamplers.end() &&
      found->second.avoidUntil <= mParts.loop.Now()) {
    BackOff(found->second);
  }
}

void
sampler_pool::NoteEvent(const item_run& aRun, std::int64_t aVersion)
{
  const auto found = mSamplers.find(aRun.Sampler());
  if (found == mSamplers.end()) {
    return;
  }
  sampler& entry = found->second;
  const std::string& model = aRun.Call().model;
  if (entry.order && entry.order->load.model == model &&
      aVersion >= entry.order->load.version) {
    EndLoad(aRun.Sampler(), entry, "run");
  }
  if (aVersion > 0) {
    // Also a load that nobody waits for, of an order that got no answer.
    std::int64_t& known = entry.versions[model];
    known = std::max(known, aVersion);
  }
  if (!aRun.Timing().begun) {
    return;
  }
  const time_point last = aRun.Timing().lastEvent;
  if (entry.order || last < entry.loadEndedAt) {
    return; // All runs pause during a load.
  }
  const time_point now = mParts.loop.Now();
  entry.eventInterval.Note(now - last, now);
}

int
sampler_pool::Capacity(const sampler& aSampler) const
{
  const auto* known = mParts.targets.Find(aSampler.target.id);
  if (!known || !known->limit.Named()) {
    return aSampler.target.slots;
  }
  const double running = known->limit.Named()->perSecond * kTypicalRunSeconds;
  return static_cast<int>(std::clamp(
    running, 1.0, static_cast<double>(std::max(1, aSampler.target.slots))));
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
    if (entry.order && now - entry.order->sentAt >= kLoadTimeout) {
      Log(log_level::Warning,
          "weight_order_lost",
          { { "target", id },
            { "model", entry.order->load.model },
            { "version", std::to_string(entry.order->load.version) } });
      entry.order.reset();
      RequestReport(id);
    }
    if (entry.order && entry.order->accepted &&
        now >= entry.order->nextReport) {
      entry.order->nextReport = now + kReportInterval;
      RequestReport(id);
    }
    const auto* known = mParts.targets.Find(id);
    samplers.push_back({ id,
                         entry.versions,
                         known && !known->removedSince &&
                           !known->entry.draining &&
                           mParts.targets.Allows(*known),
                         entry.order.has_value(),
                         entry.running,
                         entry.orderNotBefore,
                         entry.target.slots,
                         Capacity(entry) });
    if (entry.order) {
      demands[entry.order->load.model].slots +=
        std::max(0, entry.target.slots - entry.running);
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
    RequestReport(aOrder.sampler);
    return;
  }
  entry.order.emplace();
  entry.order->load = aOrder;
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
        { "runs", aKeepRuns ? "go_on" : "finish_first" },
        { "fence", std::to_string(mParts.fence) },
        { "expected_orders", std::to_string(*entry.ordersAccepted) } });
  exchange_options options;
  options.connectTimeout = kRequestTimeout;
  options.readTimeout = kRequestTimeout;
  options.madeAtOnce = true;
  // Orders from two VMs count as orders of two holders.
  options.directOnly = true;
  options.targetZone = entry.target.zone;
  mParts.client.Send(
    entry.target.address,
    mParts.protocol.MakeOrder(order, entry.target),
    options,
    std::make_shared<response_collector>(
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
    // The order may still be executed. The report tells, and a repeated order
    // names the same count of orders, so that only one of them is accepted.
    RequestReport(aId);
    return;
  }
  const order_result verdict =
    mParts.protocol.ClassifyOrderResponse(aResponse->status);
  const version_plan::order order = entry.order->load;
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
      entry.order->nextProbe = now + kLoadTime;
      break;
    case order_result::Holds:
      entry.versions[order.model] =
        std::max(entry.versions[order.model], order.version);
      entry.order.reset();
      mParts.samplersChanged();
      break;
    case order_result::Fenced:
      entry.order.reset();
      mParts.superseded();
      break;
    case order_result::Busy:
    case order_result::Wrong:
    case order_result::Refused:
      entry.order.reset();
      entry.orderNotBefore = now + kOrderRetryDelay;
      RequestReport(aId);
      break;
  }
}

void
sampler_pool::RequestReport(const std::string& aId)
{
  const auto found = mSamplers.find(aId);
  if (found == mSamplers.end() || found->second.reportPending ||
      !mParts.targets.Evacuations().Allows(found->second.target.zone)) {
    return;
  }
  found->second.reportPending = true;
  exchange_options options;
  options.connectTimeout = kRequestTimeout;
  options.readTimeout = kRequestTimeout;
  options.madeAtOnce = true;
  options.targetZone = found->second.target.zone;
  mParts.client.Send(found->second.target.address,
                     mParts.protocol.MakeReportRequest(),
                     options,
                     std::make_shared<response_collector>(
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
  entry.reportPending = false;
  const auto report =
    aResponse ? mParts.protocol.ReadReport(*aResponse) : std::nullopt;
  if (!report) {
    entry.orderNotBefore = mParts.loop.Now() + kOrderRetryDelay;
    if (entry.order && !entry.order->accepted) {
      entry.order.reset();
    }
    return;
  }
  // The report may predate the end of a load that a run has shown.
  const bool outdated =
    mParts.loop.Now() - entry.loadEndedAt < kReportLag + kRequestTimeout;
  for (const auto& [model, version] : report->modelVersions) {
    std::int64_t& believed = entry.versions[model];
    believed = outdated ? std::max(believed, version) : version;
  }
  entry.ordersAccepted =
    std::max(entry.ordersAccepted.value_or(0), report->ordersAccepted);
  if (entry.order) {
    const version_plan::order& order = entry.order->load;
    if (entry.versions[order.model] >= order.version) {
      EndLoad(aId, entry, "report");
    } else if (!report->busy && !entry.order->accepted) {
      entry.order.reset();
      entry.orderNotBefore = mParts.loop.Now() + kOrderRetryDelay;
    } else if (report->busy && !entry.order->accepted) {
      entry.order->accepted = true;
      entry.order->nextProbe = mParts.loop.Now() + kLoadTime;
    }
  }
  mParts.samplersChanged();
}

} // namespace arbutusferry::node
