#include "common/target_pool_store.hpp"

#include <algorithm>

namespace arbutusferry::standin {

namespace {

constexpr std::int64_t kDefaultAvailable = 64;

} // namespace

Json::Value
WriteTarget(const target_info& aTarget)
{
  Json::Value value(Json::objectValue);
  value["id"] = aTarget.id;
  value["zone"] = aTarget.zone;
  value["pool"] = std::string(EnumName(aTarget.pool));
  value["class"] = aTarget.targetClass;
  value["kind"] = std::string(EnumName(aTarget.kind));
  value["address"] = aTarget.address;
  value["slots"] = Json::Int64(aTarget.slots);
  value["state"] = std::string(EnumName(aTarget.state));
  value["checks_fencing"] = aTarget.checksFencing;
  return value;
}

target_pool_store::target_pool_store(event_sink aEventSink)
  : mEventSink(std::move(aEventSink))
{
}

void
target_pool_store::SetClass(const std::string& aClass,
                            const target_class_options& aOptions)
{
  const std::lock_guard lock(mMutex);
  mClasses[aClass] = aOptions;
}

void
target_pool_store::SetFixed(std::vector<target_info> aTargets)
{
  const std::lock_guard lock(mMutex);
  mFixed = std::move(aTargets);
}

bool
target_pool_store::SetState(const std::string& aId, target_state aState)
{
  const std::lock_guard lock(mMutex);
  for (target_info& target : mFixed) {
    if (target.id == aId) {
      target.state = aState;
      return true;
    }
  }
  for (started_target& target : mStarted) {
    if (target.info.id == aId) {
      target.info.state = aState;
      return true;
    }
  }
  return false;
}

void
target_pool_store::SetAvailable(const std::string& aZone,
                                target_pool aPool,
                                std::int64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mAvailable[{ aZone, aPool }] = aCount;
}

std::int64_t
target_pool_store::Available(const std::string& aZone, target_pool aPool) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mAvailable.find({ aZone, aPool });
  return found == mAvailable.end() ? kDefaultAvailable : found->second;
}

void
target_pool_store::Ensure(const std::string& aZone,
                          const std::string& aClass,
                          target_pool aPool,
                          std::int64_t aCount)
{
  const std::int64_t available = Available(aZone, aPool);
  const std::lock_guard lock(mMutex);
  std::int64_t running = 0;
  std::int64_t startedInPool = 0;
  for (const target_info& target : mFixed) {
    running += target.zone == aZone && target.pool == aPool &&
                   target.targetClass == aClass &&
                   target.state != target_state::Leaving
                 ? 1
                 : 0;
  }
  for (const started_target& target : mStarted) {
    if (target.info.zone == aZone && target.info.pool == aPool) {
      ++startedInPool;
      running += target.info.targetClass == aClass &&
                     target.info.state != target_state::Leaving
                   ? 1
                   : 0;
    }
  }
  const target_class_options options = mClasses[aClass];
  while (running < aCount && startedInPool < available) {
    started_target target;
    target.info.id = "t" + std::to_string(mNextId++) + "-" + aZone;
    target.info.zone = aZone;
    target.info.targetClass = aClass;
    target.info.pool = aPool;
    target.info.kind = options.kind;
    target.info.state = target_state::Starting;
    target.info.slots = options.engine.slots;
    target.info.checksFencing = options.engine.checksFencing;
    target.liveAt = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(options.startMs);
    bool started = false;
    if (options.kind == target_kind::Engine) {
      target.engine = std::make_unique<fake_engine>(options.engine);
      started = target.engine->Start("127.0.0.1:0");
      target.info.address = target.engine->Address();
    } else {
      target.service = std::make_unique<fake_service>();
      started = target.service->Start("127.0.0.1:0");
      target.info.address = target.service->Address();
    }
    if (!started) {
      return;
    }
    Json::Value event = WriteTarget(target.info);
    event["kind_of_event"] = "target_started";
    mEventSink(std::move(event));
    mStarted.push_back(std::move(target));
    ++running;
    ++startedInPool;
  }
}

void
target_pool_store::Stop(const std::string& aId, const std::string& aReason)
{
  const std::lock_guard lock(mMutex);
  const auto found = std::find_if(
    mStarted.begin(), mStarted.end(), [&](const started_target& aTarget) {
      return aTarget.info.id == aId;
    });
  if (found == mStarted.end()) {
    const auto fixed = std::find_if(
      mFixed.begin(), mFixed.end(), [&](const target_info& aTarget) {
        return aTarget.id == aId;
      });
    if (fixed != mFixed.end()) {
      // The process of a fixed target is not owned by this store.
      Json::Value event = WriteTarget(*fixed);
      event["kind_of_event"] = "target_stopped";
      event["reason"] = aReason;
      mEventSink(std::move(event));
      mFixed.erase(fixed);
    }
    return;
  }
  Json::Value event = WriteTarget(found->info);
  event["kind_of_event"] = "target_stopped";
  event["reason"] = aReason;
  event["in_flight"] =
    Json::Int64(found->engine != nullptr ? found->engine->InFlight()
                                         : found->service->InFlight());
  mEventSink(std::move(event));
  mStopped.push_back(std::move(*found));
  mStarted.erase(found);
  started_target& stopped = mStopped.back();
  if (stopped.engine != nullptr) {
    stopped.engine->Halt();
  } else {
    stopped.service->Halt();
  }
}

std::vector<std::string>
target_pool_store::NoticeReclaim(const std::string& aZone)
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> ids;
  const auto mark = [&](target_info& aTarget) {
    if (aTarget.zone == aZone && aTarget.pool == target_pool::Reclaimable) {
      aTarget.state = target_state::Leaving;
      ids.push_back(aTarget.id);
    }
  };
  for (target_info& target : mFixed) {
    mark(target);
  }
  for (started_target& target : mStarted) {
    mark(target.info);
  }
  return ids;
}

Json::Value
target_pool_store::List() const
{
  const std::lock_guard lock(mMutex);
  const auto now = std::chrono::steady_clock::now();
  Json::Value list(Json::arrayValue);
  for (const target_info& target : mFixed) {
    list.append(WriteTarget(target));
  }
  for (const started_target& target : mStarted) {
    target_info listed = target.info;
    if (listed.state == target_state::Starting && now >= target.liveAt) {
      listed.state = target_state::Live;
    }
    list.append(WriteTarget(listed));
  }
  return list;
}

} // namespace arbutusferry::standin
