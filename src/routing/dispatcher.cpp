#include "arbutusferry/dispatcher.hpp"

#include "routing/scheduler.hpp"

#include <mutex>

namespace arbutusferry {

namespace {

/// Guards a scheduler by a mutex. Outcomes are collected under the lock and
/// delivered after its release, so that callbacks may call the dispatcher.
class locked_dispatcher final : public dispatcher
{
public:
  explicit locked_dispatcher(scheduler aScheduler)
    : mScheduler(std::move(aScheduler))
  {
  }

  void UpdateShares(const std::map<std::string, double>& aShares) override
  {
    const std::lock_guard lock(mMutex);
    mScheduler.UpdateShares(aShares);
  }

  void UpdateTargets(std::vector<target_info> aTargets,
                     std::optional<std::vector<slot_grant>> aGrants,
                     time_point aGrantExpiry,
                     std::size_t aEntryIndex,
                     std::size_t aEntryCount,
                     time_point aNow) override
  {
    Run([&] {
      mScheduler.UpdateTargets(std::move(aTargets),
                               std::move(aGrants),
                               aGrantExpiry,
                               aEntryIndex,
                               aEntryCount,
                               aNow);
    });
  }

  void UpdateTeamGrants(const std::vector<team_grant>& aGrants,
                        time_point aExpiry) override
  {
    const std::lock_guard lock(mMutex);
    mScheduler.UpdateTeamGrants(aGrants, aExpiry);
  }

  void AddCacheEvents(const std::string& aTarget,
                      const std::vector<cache_event>& aEvents) override
  {
    const std::lock_guard lock(mMutex);
    mScheduler.AddCacheEvents(aTarget, aEvents);
  }

  work_id Submit(work_item aItem,
                 dispatch_callback aCallback,
                 time_point aNow) override
  {
    work_id id = 0;
    Run([&] {
      id = ++mLastId;
      mCallbacks.emplace(id, std::move(aCallback));
      mScheduler.Submit(id, std::move(aItem), aNow);
    });
    return id;
  }

  bool Cancel(work_id aId) override
  {
    dispatch_callback callback; // Destroyed after the lock is released.
    const std::lock_guard lock(mMutex);
    if (!mScheduler.Cancel(aId)) {
      return false;
    }
    const auto found = mCallbacks.find(aId);
    callback = std::move(found->second);
    mCallbacks.erase(found);
    return true;
  }

  void Complete(work_id aId,
                const completion& aCompletion,
                time_point aNow) override
  {
    Run([&] { mScheduler.Complete(aId, aCompletion, aNow); });
  }

  bool TryRetry(const std::string& aTeam, time_point aNow) override
  {
    const std::lock_guard lock(mMutex);
    return mScheduler.TryRetry(aTeam, aNow);
  }

  void Tick(time_point aNow) override
  {
    Run([&] { mScheduler.Tick(aNow); });
  }

  std::vector<team_demand> Demand() const override
  {
    const std::lock_guard lock(mMutex);
    return mScheduler.Demand();
  }

  std::map<std::string, std::int64_t> InFlight() const override
  {
    const std::lock_guard lock(mMutex);
    return mScheduler.InFlight();
  }

private:
  /// Calls a function under the lock, then delivers the outcomes.
  template<typename Function>
  void Run(Function&& aFunction)
  {
    std::vector<std::pair<dispatch_callback, schedule_outcome>> due;
    {
      const std::lock_guard lock(mMutex);
      aFunction();
      for (auto& outcome : mScheduler.TakeOutcomes()) {
        const auto found = mCallbacks.find(outcome.id);
        due.emplace_back(std::move(found->second), std::move(outcome));
        mCallbacks.erase(found);
      }
    }
    for (auto& [callback, outcome] : due) {
      callback(std::move(outcome.value));
    }
  }

  mutable std::mutex mMutex;
  scheduler mScheduler;
  work_id mLastId = 0;
  std::unordered_map<work_id, dispatch_callback> mCallbacks;
};

} // namespace

std::unique_ptr<dispatcher>
MakeDispatcher(const dispatcher_options& aOptions)
{
  return MakeDispatcher(aOptions,
                        MakeFairQueue(aOptions.maxQueuePerTeam),
                        MakeTwoChoiceSelector(aOptions.seed));
}

std::unique_ptr<dispatcher>
MakeDispatcher(const dispatcher_options& aOptions,
               std::unique_ptr<queue_policy> aQueue,
               std::unique_ptr<selection_policy> aSelection)
{
  return std::make_unique<locked_dispatcher>(
    scheduler(aOptions, std::move(aQueue), std::move(aSelection)));
}

} // namespace arbutusferry
