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

/// How targets of one class are started.
struct target_class_options
{
  target_kind kind = target_kind::Engine;
  engine_options engine;
  std::int64_t startMs = 0; ///< Time from the order until the target is live.
};

/// Targets that the platform lists: fixed ones, and those it started on order
/// inside this process.
class target_pool_store
{
public:
  /// Receives an event for the history.
  using event_sink = std::function<void(Json::Value)>;

  explicit target_pool_store(event_sink aEvents);

  void SetClass(const std::string& aClass,
                const target_class_options& aOptions);
  void SetFixed(std::vector<target_info> aTargets);
  /// @return False if there is no such target.
  bool SetState(const std::string& aId, target_state aState);
  /// Limits how many targets of a zone and pool can run.
  void SetAvailable(const std::string& aZone,
                    target_pool aPool,
                    std::int64_t aCount);
  [[nodiscard]] std::int64_t Available(const std::string& aZone,
                                       target_pool aPool) const;

  /// Starts targets up to a count. Surplus targets keep running: only `Stop`
  /// ends one.
  void Ensure(const std::string& aZone,
              const std::string& aClass,
              target_pool aPool,
              std::int64_t aCount);
  /// Stops a target at once, with whatever runs there.
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

  event_sink mEvents;
  mutable std::mutex mMutex;
  std::map<std::string, target_class_options> mClasses;
  std::map<std::pair<std::string, target_pool>, std::int64_t> mAvailable;
  std::vector<target_info> mFixed;
  std::vector<started_target> mStarted;
  /// Stopped targets, kept until the end: their threads may still run.
  std::deque<started_target> mStopped;
  std::int64_t mNextId = 1;
};

/// @return A target in the form of `GET /targets`.
[[nodiscard]] Json::Value
WriteTarget(const target_info& aTarget);

} // namespace arbutusferry::standin
