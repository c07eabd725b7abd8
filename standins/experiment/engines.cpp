#include "experiment/simulation.hpp"

#include <algorithm>

namespace arbutusferry::experiment {

namespace {

constexpr seconds kPrefill = 0.4;      ///< Of a prompt that is not cached.
constexpr seconds kTokenTime = 0.02;   ///< Per token in an empty batch.
constexpr double kBatchSlowdown = 0.5; ///< At a full batch.
constexpr std::size_t kCacheBlocks = 256;
constexpr seconds kSwapTime = 2;

} // namespace

std::shared_ptr<engine>
simulation::AddEngine(const std::string& aClass,
                      std::size_t aZone,
                      target_pool aPool)
{
  auto added = std::make_shared<engine>();
  added->info.id = "t" + std::to_string(++mLastEngine);
  added->info.zone = std::to_string(aZone);
  added->info.targetClass = aClass;
  added->info.pool = aPool;
  added->info.slots = aClass == kSampler ? 16 : 8;
  added->version = mVersion;
  added->since = mNow;
  mEngines.push_back(added);
  return added;
}

/// Time of a request from admission to its last token. The batch size at
/// admission stands for the whole time.
seconds
simulation::Duration(engine& aEngine, const request& aWork)
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
  while (aEngine.cache.size() > kCacheBlocks) {
    aEngine.cache.pop_back();
  }
  const double missing =
    prefix.empty()
      ? 1.0
      : 1.0 - static_cast<double>(hits) / static_cast<double>(prefix.size());
  const double batch = static_cast<double>(aEngine.running) /
                       static_cast<double>(aEngine.info.slots);
  return kPrefill * missing +
         aWork.tokens * kTokenTime * (1 + kBatchSlowdown * batch);
}

void
simulation::Admit(const std::shared_ptr<engine>& aEngine)
{
  while (!aEngine->swapping && aEngine->running < aEngine->info.slots &&
         !aEngine->waiting.empty()) {
    const auto admitted = aEngine->waiting.front();
    aEngine->waiting.pop_front();
    ++aEngine->running;
    admitted->version = aEngine->version;
    aEngine->active.push_back(admitted);
    After(Duration(*aEngine, *admitted->work), [this, aEngine, admitted] {
      if (admitted->ended) {
        return;
      }
      admitted->ended = true;
      --aEngine->running;
      std::erase(aEngine->active, admitted);
      const auto& work = admitted->work;
      // The slot is free before the entry hears of it.
      Admit(aEngine);
      mEntries[work->entry].front->Complete(
        admitted->id, { work->tokens, false }, Now());
      Finished(work, admitted->version, aEngine->info);
    });
  }
}

void
simulation::FailAll(engine& aEngine)
{
  std::vector<std::shared_ptr<exchange>> lost(aEngine.waiting.begin(),
                                              aEngine.waiting.end());
  lost.insert(lost.end(), aEngine.active.begin(), aEngine.active.end());
  aEngine.waiting.clear();
  aEngine.active.clear();
  aEngine.running = 0;
  for (const auto& each : lost) {
    each->ended = true;
    mEntries[each->work->entry].front->Complete(each->id, { 0, true }, Now());
    Retry(each->work, aEngine.info.id);
  }
}

void
simulation::Remove(const std::shared_ptr<engine>& aEngine)
{
  const double price =
    aEngine->info.pool == target_pool::Reclaimable ? 0.35 : 1.0;
  if (Measured()) {
    mCost += price * (mNow - std::max(aEngine->since, mWarmUp));
  }
  aEngine->up = false;
  std::erase(mEngines, aEngine);
  FailAll(*aEngine);
}

/// Publishes weights; the engines of a zone load them one after the other.
void
simulation::Publish()
{
  const auto version = ++mVersion;
  std::vector<double> turn(mDeployment.samplers.size());
  for (const auto& each : mEngines) {
    auto& delay = turn[ZoneOf(each->info)];
    After(delay, [each] { each->swapping = true; });
    delay += kSwapTime;
    After(delay, [this, version, each] {
      each->swapping = false;
      if (each->up) {
        each->version = std::max(each->version, version);
        Admit(each);
      }
    });
  }
}

void
simulation::StartFaults()
{
  const seconds part = mLength / 10;
  if (mScenario.reclaim) {
    for (std::size_t turn = 0; turn < 2; ++turn) {
      const auto zone = turn % mAvailable.size();
      After(part * (3 + 3 * static_cast<double>(turn)), [this, zone] {
        mAvailable[zone] = 0;
        for (const auto& each : mEngines) {
          if (ZoneOf(each->info) == zone &&
              each->info.pool == target_pool::Reclaimable) {
            each->info.state = target_state::Leaving;
          }
        }
        After(5, [this, zone] {
          for (const auto& each : std::vector(mEngines)) {
            if (ZoneOf(each->info) == zone &&
                each->info.state == target_state::Leaving &&
                each->info.pool == target_pool::Reclaimable) {
              Remove(each);
            }
          }
        });
        After(180, [this, zone] { mAvailable[zone] = 99; });
      });
    }
  }
  if (mScenario.unavailable) {
    After(part * 3, [this] {
      std::fill(mAvailable.begin(), mAvailable.end(), 0);
      for (const auto& each : mEngines) {
        if (each->info.pool == target_pool::Reclaimable) {
          each->info.state = target_state::Leaving;
        }
      }
      After(5, [this] {
        for (const auto& each : std::vector(mEngines)) {
          if (each->info.pool == target_pool::Reclaimable) {
            Remove(each);
          }
        }
      });
      After(mLength / 2,
            [this] { std::fill(mAvailable.begin(), mAvailable.end(), 99); });
    });
  }
  if (mScenario.crash) {
    Every(60, [this] {
      const auto index = static_cast<std::size_t>(
        Uniform(0, static_cast<double>(mEngines.size())));
      const auto crashed = mEngines[index];
      if (!crashed->up || crashed->info.state != target_state::Live) {
        return;
      }
      crashed->up = false;
      FailAll(*crashed);
      // Restarts with the weights it was built with; its last load report
      // still names the newer ones.
      After(15, [this, crashed] {
        crashed->up = true;
        crashed->version = 0;
        After(5, [this, crashed] { crashed->version = mVersion; });
      });
    });
  }
  if (mScenario.partition) {
    After(part * 3, [this] { mPartitioned = true; });
    After(part * 6, [this] { mPartitioned = false; });
  }
}

} // namespace arbutusferry::experiment
