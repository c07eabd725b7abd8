#include "arbutusferry/weight_rollout.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <tuple>

namespace arbutusferry {

weight_rollout::weight_rollout(std::string aModel, const rollout_rules& aRules)
  : mModel(std::move(aModel))
  , mRules(aRules)
{
}

void
weight_rollout::RecordFailure(engine_state& aState, time_point aNow)
{
  constexpr int kMaxDoublings = 16;
  aState.loading = -1;
  const int doublings = std::min(aState.failures, kMaxDoublings);
  aState.retryAt = aNow + std::min(mRules.maxRetryDelay,
                                   mRules.minRetryDelay * (1 << doublings));
  ++aState.failures;
  ++mFailures;
}

/// Load reports lag, so a confirmed load takes precedence for
/// `rollout_rules::reportLag`. An engine that reports a lower version after
/// that was restarted.
std::int64_t
weight_rollout::KnownVersion(const target_info& aEngine,
                             const engine_state& aState,
                             time_point aNow) const
{
  if (aState.loaded >= 0 && aNow < aState.loadedAt + mRules.reportLag) {
    return std::max(aState.loaded, aEngine.weightVersion);
  }
  return aEngine.weightVersion;
}

std::vector<weight_order>
weight_rollout::Plan(const std::vector<target_info>& aEngines,
                     std::int64_t aVersion,
                     time_point aNow)
{
  mVersion = std::max(mVersion, aVersion);
  while (!mStarts.empty() &&
         mStarts.front() + std::chrono::seconds(1) <= aNow) {
    mStarts.pop_front();
  }
  std::set<std::string> liveIds;
  std::vector<std::pair<std::int64_t, const target_info*>> behind;
  std::int64_t live = 0;
  std::int64_t loading = 0;
  for (const target_info& engine : aEngines) {
    if (engine.state != target_state::Live) {
      continue;
    }
    ++live;
    liveIds.insert(engine.id);
    engine_state& state = mEngines[engine.id];
    if (state.loading >= 0 && aNow >= state.started + mRules.loadTimeout) {
      RecordFailure(state, aNow);
    }
    if (state.loading >= 0) {
      ++loading;
      continue;
    }
    const std::int64_t version = KnownVersion(engine, state, aNow);
    if (version < mVersion) {
      behind.emplace_back(version, &engine);
    }
  }
  for (auto item = mEngines.begin(); item != mEngines.end();) {
    item = liveIds.count(item->first) == 0 ? mEngines.erase(item) : ++item;
  }
  mComplete = behind.empty() && loading == 0;

  // Engines with the oldest weights come first: the fewest trainers can still
  // use them.
  std::sort(
    behind.begin(), behind.end(), [](const auto& aLeft, const auto& aRight) {
      return std::make_tuple(aLeft.first, std::cref(aLeft.second->id)) <
             std::make_tuple(aRight.first, std::cref(aRight.second->id));
    });
  const auto maxLoading = std::max<std::int64_t>(
    1,
    static_cast<std::int64_t>(std::floor(
      static_cast<double>(live) * (1 - mRules.minServingShare) + 1e-9)));
  const std::int64_t limit = std::min(maxLoading, mRules.maxParallel);
  std::vector<weight_order> orders;
  for (const auto& [version, engine] : behind) {
    if (loading >= limit ||
        static_cast<std::int64_t>(mStarts.size()) >= mRules.startsPerSecond) {
      break;
    }
    engine_state& state = mEngines[engine->id];
    if (aNow < state.retryAt) {
      continue;
    }
    state.loading = mVersion;
    state.started = aNow;
    mStarts.push_back(aNow);
    ++loading;
    orders.push_back({ *engine, mModel, mVersion });
  }
  return orders;
}

void
weight_rollout::RecordLoadResult(const std::string& aTarget,
                                 std::int64_t aVersion,
                                 bool aLoaded,
                                 time_point aNow)
{
  const auto found = mEngines.find(aTarget);
  if (found == mEngines.end()) {
    return;
  }
  engine_state& state = found->second;
  if (aLoaded) {
    // A late success counts too, but does not complete a newer load.
    if (aVersion >= state.loaded) {
      state.loaded = aVersion;
      state.loadedAt = aNow;
    }
    state.failures = 0;
    state.retryAt = {};
  }
  if (state.loading == aVersion) {
    if (aLoaded) {
      state.loading = -1;
    } else {
      RecordFailure(state, aNow);
    }
  }
}

} // namespace arbutusferry
