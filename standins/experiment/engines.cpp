#include "experiment/simulation.hpp"

#include <algorithm>

namespace arbutusferry::experiment {

namespace {

constexpr seconds kPrefillTime = 0.4;   ///< For an uncached prompt.
constexpr seconds kTimePerToken = 0.02; ///< Per token in an empty batch.
constexpr double kBatchSlowdown = 0.5;  ///< Added fraction at a full batch.
constexpr std::size_t kMaxCachedBlocks = 256;
constexpr seconds kWeightLoadTime = 2;

} // namespace

std::shared_ptr<engine>
simulation::AddEngine(const std::string& aClass,
                      std::size_t aZone,
                      target_pool aPool)
{
  auto added = std::make_shared<engine>();
  added->info.id = "t" + std::to_string(++mLastEngineId);
  added->info.zone = std::to_string(aZone);
  added->info.targetClass = aClass;
  added->info.pool = aPool;
  added->info.slots = aClass == kSamplerClass ? 16 : 8;
  added->version = mVersion;
  added->billedSince = mNow;
  mEngines.push_back(added);
  return added;
}

/// Returns the time from admission to the last token and updates the prefix
/// cache. Assumes that the batch size at admission holds throughout.
seconds
simulation::ServiceTime(engine& aEngine, const request& aWork)
{
  const auto& prefix = aWork.item.prefix;
  std::size_t hits = 0;
  for (const auto block : prefix) {
    const auto found =
      std::find(aEngine.cache.begin(), aEngine.cache.end(), block);
    if (found != aEngine.cache.end()) {
      ++hits;
      aEngine.cache.erase(found);
    }
    aEngine.cache.push_front(block);
  }
  while (aEngine.cache.size() > kMaxCachedBlocks) {
    aEngine.cache.pop_back();
  }
  const double missing =
    prefix.empty()
      ? 1.0
      : 1.0 - static_cast<double>(hits) / static_cast<double>(prefix.size());
  const double batch = static_cast<double>(aEngine.running) /
                       static_cast<double>(aEngine.info.slots);
  return kPrefillTime * missing +
         aWork.tokens * kTimePerToken * (1 + kBatchSlowdown * batch);
}

void
simulation::Admit(const std::shared_ptr<engine>& aEngine)
{
  while (!aEngine->loadingWeights && aEngine->running < aEngine->info.slots &&
         !aEngine->waiting.empty()) {
    const auto admitted = aEngine->waiting.front();
    aEngine->waiting.pop_front();
    ++aEngine->running;
    admitted->version = aEngine->version;
    aEngine->active.push_back(admitted);
    Schedule(ServiceTime(*aEngine, *admitted->work), [this, aEngine, admitted] {
      if (admitted->ended) {
        return;
      }
      admitted->ended = true;
      --aEngine->running;
      std::erase(aEngine->active, admitted);
      const auto& work = admitted->work;
      // The slot is free before the entry learns of the completion.
      Admit(aEngine);
      mEntries[work->entry].entryDispatcher->Complete(
        admitted->id, { work->tokens, false }, Now());
      OnFinished(work, admitted->version, aEngine->info);
    });
  }
}

void
simulation::FailRequests(engine& aEngine)
{
  std::vector<std::shared_ptr<exchange>> lost(aEngine.waiting.begin(),
                                              aEngine.waiting.end());
  lost.insert(lost.end(), aEngine.active.begin(), aEngine.active.end());
  aEngine.waiting.clear();
  aEngine.active.clear();
  aEngine.running = 0;
  for (const auto& each : lost) {
    each->ended = true;
    mEntries[each->work->entry].entryDispatcher->Complete(
      each->id, { 0, true }, Now());
    Retry(each->work, aEngine.info.id);
  }
}

void
simulation::RemoveEngine(const std::shared_ptr<engine>& aEngine)
{
  const double price =
    aEngine->info.pool == target_pool::Reclaimable ? 0.35 : 1.0;
  if (WarmedUp()) {
    mCost += price * (mNow - std::max(aEngine->billedSince, mWarmUp));
  }
  aEngine->up = false;
  std::erase(mEngines, aEngine);
  FailRequests(*aEngine);
}

/// Publishes a new weight version; the engines of a zone load it one at a time.
void
simulation::PublishWeights()
{
  const auto version = ++mVersion;
  std::vector<double> turn(mDeployment.samplers.size());
  for (const auto& each : mEngines) {
    auto& delay = turn[ZoneOf(each->info)];
    Schedule(delay, [each] { each->loadingWeights = true; });
    delay += kWeightLoadTime;
    Schedule(delay, [this, version, each] {
      each->loadingWeights = false;
      if (each->up) {
        each->version = std::max(each->version, version);
        Admit(each);
      }
    });
  }
}

void
simulation::ScheduleFaults()
{
  const seconds part = mLength / 10;
  if (mScenario.reclaim) {
    for (std::size_t turn = 0; turn < 2; ++turn) {
      const auto zone = turn % mAvailableReclaimable.size();
      Schedule(part * (3 + 3 * static_cast<double>(turn)), [this, zone] {
        mAvailableReclaimable[zone] = 0;
        for (const auto& each : mEngines) {
          if (ZoneOf(each->info) == zone &&
              each->info.pool == target_pool::Reclaimable) {
            each->info.state = target_state::Leaving;
          }
        }
        Schedule(5, [this, zone] {
          for (const auto& each : std::vector(mEngines)) {
            if (ZoneOf(each->info) == zone &&
                each->info.state == target_state::Leaving &&
                each->info.pool == target_pool::Reclaimable) {
              RemoveEngine(each);
            }
          }
        });
        Schedule(180, [this, zone] { mAvailableReclaimable[zone] = 99; });
      });
    }
  }
  if (mScenario.unavailable) {
    Schedule(part * 3, [this] {
      std::fill(mAvailableReclaimable.begin(), mAvailableReclaimable.end(), 0);
      for (const auto& each : mEngines) {
        if (each->info.pool == target_pool::Reclaimable) {
          each->info.state = target_state::Leaving;
        }
      }
      Schedule(5, [this] {
        for (const auto& each : std::vector(mEngines)) {
          if (each->info.pool == target_pool::Reclaimable) {
            RemoveEngine(each);
          }
        }
      });
      Schedule(mLength / 2, [this] {
        std::fill(
          mAvailableReclaimable.begin(), mAvailableReclaimable.end(), 99);
      });
    });
  }
  if (mScenario.crash) {
    SchedulePeriodic(60, [this] {
      const auto index = static_cast<std::size_t>(
        Uniform(0, static_cast<double>(mEngines.size())));
      const auto crashed = mEngines[index];
      if (!crashed->up || crashed->info.state != target_state::Live) {
        return;
      }
      crashed->up = false;
      FailRequests(*crashed);
      // Restarts with its initial weights, while its last load report still
      // gives the newer version.
      Schedule(15, [this, crashed] {
        crashed->up = true;
        crashed->version = 0;
        Schedule(5, [this, crashed] { crashed->version = mVersion; });
      });
    });
  }
  if (mScenario.partition) {
    Schedule(part * 3, [this] { mPartitioned = true; });
    Schedule(part * 6, [this] { mPartitioned = false; });
  }
}

} // namespace arbutusferry::experiment
