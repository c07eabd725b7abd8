#include "entry/sync_loop.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace arbutusferry {

namespace {

/// Longest time for which the control process holds a call. Short, so that
/// demand and usage figures stay current and a withdrawn key is known well
/// within the limit of 5 s.
constexpr std::int64_t kHoldMs = 500;

constexpr duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr duration kMaxBackoff = std::chrono::seconds(1);

void
WaitStoppable(const std::stop_token& aStop, duration aWait)
{
  std::mutex mutex;
  std::condition_variable_any wake;
  std::unique_lock lock(mutex);
  wake.wait_for(lock, aStop, aWait, [] { return false; });
}

} // namespace

sync_loop::sync_loop(sync_parts aParts)
  : mParts(std::move(aParts))
{
}

void
sync_loop::Run(const std::stop_token& aStop)
{
  duration backoff = kInitialBackoff;
  while (!aStop.stop_requested()) {
    if (SyncOnce(kHoldMs)) {
      backoff = kInitialBackoff;
      continue;
    }
    WaitStoppable(aStop, backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

bool
sync_loop::SyncOnce(std::int64_t aHoldMs)
{
  if (mParts.controls.empty()) {
    return false;
  }
  const std::string& address = mParts.controls[mControlIndex];
  node_sync_request request;
  request.entry = mParts.describe();
  request.offset = mParts.view->Offset();
  request.holdMs = aHoldMs;
  request.demand = mParts.work->Demand();
  request.inFlight = mParts.work->InFlight();
  request.usage = mParts.takeUsage();
  request.listsVersion = mLists.Version();
  request.grantRound = mGrantRound;
  const time_point sent = mParts.clock->Now();
  std::string problem;
  try {
    if (!mClient) {
      mClient = mParts.makeClient(address);
    }
    const Json::Value answer =
      mClient->Call("node.sync", WriteNodeSyncRequest(request));
    auto response =
      Capture([&] { return ReadNodeSyncResponse(answer, address); });
    if (const auto* error = std::get_if<1>(&response)) {
      problem = FormatError(*error);
    } else {
      mParts.confirmUsage(request.usage);
      mLists.Complete(std::get<0>(response));
      Apply(std::get<0>(response), sent);
      return true;
    }
  } catch (const rpc_failure& failure) {
    problem = failure.what();
  }
  Log(log_level::Warning,
      "sync_failed",
      { { "step", "node.sync" }, { "peer", address }, { "message", problem } });
  mClient.reset();
  mControlIndex = (mControlIndex + 1) % mParts.controls.size();
  return false;
}

std::vector<target_info>
sync_loop::UsableTargets(std::vector<target_info> aTargets) const
{
  std::map<std::string, std::set<target_kind>> kindsByClass;
  const auto state = mParts.view->State();
  for (const stage each : { stage::Trial, stage::Production }) {
    const stage_config* config = state->Find(mParts.environment, each);
    if (config != nullptr && config->document) {
      for (const route_config& route : config->document->routes) {
        kindsByClass[route.targetClass].insert(route.kind == route_kind::Service
                                                 ? target_kind::Service
                                                 : target_kind::Engine);
      }
    }
  }
  std::erase_if(aTargets, [&](const target_info& aTarget) {
    const auto wanted = kindsByClass.find(aTarget.targetClass);
    return wanted != kindsByClass.end() &&
           wanted->second.count(aTarget.kind) == 0;
  });
  return aTargets;
}

void
sync_loop::Apply(const node_sync_response& aResponse, time_point aSent)
{
  const auto applied =
    Capture([&] { return mParts.view->Apply(aResponse, aSent); });
  if (const auto* error = std::get_if<1>(&applied)) {
    LogError(log_level::Error, "configuration_refused", *error);
    return;
  }
  if (std::get<0>(applied)) {
    std::map<std::string, double> shares;
    const auto state = mParts.view->State();
    for (const stage each : { stage::Trial, stage::Production }) {
      const stage_config* config = state->Find(mParts.environment, each);
      if (config != nullptr && config->document) {
        for (const team_config& team : config->document->teams) {
          shares[team.name] = team.share;
        }
      }
    }
    mParts.work->UpdateShares(shares);
  }
  const entry_info self = mParts.describe();
  std::vector<std::string> live{ self.instance };
  for (const entry_info& entry : aResponse.entries) {
    if (entry.zone == self.zone && !entry.draining &&
        entry.instance != self.instance) {
      live.push_back(entry.instance);
    }
  }
  std::sort(live.begin(), live.end());
  const auto index =
    std::find(live.begin(), live.end(), self.instance) - live.begin();
  const time_point now = mParts.clock->Now();
  // The time of the grant is not known exactly; counting from the send time
  // can only make it expire earlier.
  const time_point expiry =
    aSent + std::chrono::milliseconds(aResponse.grantTtlMs);
  if (aResponse.hasGrants) {
    mGrantRound = aResponse.grantRound;
    mParts.work->UpdateTeamGrants(aResponse.teamGrants, expiry);
  }
  mParts.work->UpdateTargets(
    UsableTargets(aResponse.targets),
    aResponse.hasGrants ? std::optional(aResponse.grants) : std::nullopt,
    expiry,
    static_cast<std::size_t>(index),
    live.size(),
    now);
}

} // namespace arbutusferry
