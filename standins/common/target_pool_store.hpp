#pragma once

#include "arbutusferry/target.hpp"
#include "common/fake_engine.hpp"
#include "common/fake_service.hpp"

#include <chrono>
#include <deque>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::standin {

/// Options for starting targets of one class.
struct target_class_options
{
  target_kind kind = target_kind::Engine;
  engine_options engine;
  std::int64_t startMs = 0; ///< Time from the request until the target is live.
};

/// Targets of the fake platform: externally started ones, set by `SetFixed`,
/// and those that `Ensure` starts inside this process.
class target_pool_store
{
public:
  /// Receives each event for the event history.
  using event_sink = std::function<void(Json::Value)>;

  explicit target_pool_store(event_sink aEventSink);

  void SetClass(const std::string& aClass,
                const target_class_options& aOptions);
  void SetFixed(std::vector<target_info> aTargets);
  /// @return False if the target is unknown.
  bool SetState(const std::string& aId, target_state aState);
  /// Limits the number of targets that `Ensure` can start in a zone and pool.
  void SetAvailable(const std::string& aZone,
                    target_pool aPool,
                    std::int64_t aCount);
  [[nodiscard]] std::int64_t Available(const std::string& aZone,
                                       target_pool aPool) const;

  /// Starts targets until `aCount` of the class run or the limit is reached.
  /// Surplus targets keep running; only `Stop` ends one.
  void Ensure(const std::string& aZone,
              const std::string& aClass,
              target_pool aPool,
              std::int64_t aCount);
  /// Stops a target immediately, including its requests in flight. A fixed
  /// target is only removed from the list.
  void Stop(const std::string& aId, const std::string& aReason);
  /// Marks all reclaimable targets of a zone as leaving.
  /// @return Their ids.
  std::vector<std::string> NoticeReclaim(const std::string& aZone);

  [[nodiscard]] Json::Value List() const;

private:
  struct started_target
  {
    target_info info;
    std::chrono::steady_clock::time_point liveAt;
    std::unique_ptr<fake_engine> engine;
    std::unique_ptr<fake_service> service;
  };

  event_sink mEventSink;
  mutable std::mutex mMutex;
  std::map<std::string, target_class_options> mClasses;
  std::map<std::pair<std::string, target_pool>, std::int64_t> mAvailable;
  std::vector<target_info> mFixed;
  std::vector<started_target> mStarted;
  /// Stopped targets, kept until destruction because their threads may still
  /// run.
  std::deque<started_target> mStopped;
  std::int64_t mNextId = 1;
};

/// @return The target as `GET /targets` lists it.
[[nodiscard]] Json::Value
WriteTarget(const target_info& aTarget);

} // namespace arbutusferry::standin
