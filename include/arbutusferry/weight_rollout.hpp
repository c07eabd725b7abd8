#pragma once

#include "arbutusferry/target.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace arbutusferry {

struct rollout_rules
{
  /// Loads that may start per second: the zone's part of the rate limit of the
  /// weight store. At 10 per second, 100 engines load within 14 s.
  std::int64_t startsPerSecond = 10;
  std::int64_t maxParallel = 40;
  /// Share of the live engines that keeps serving. One engine may always load,
  /// so that a zone with a single engine gets new weights too.
  double minServingShare = 0.6;
  duration loadTimeout = std::chrono::seconds(10);
  duration minRetryDelay = std::chrono::milliseconds(500);
  duration maxRetryDelay = std::chrono::seconds(8);
  /// Time for which the answer to an order takes precedence over load reports,
  /// which may be older.
  duration reportLag = std::chrono::seconds(5);
};

/// An order to an engine to load weights.
struct weight_order
{
  target_info target;
  std::string model;
  std::int64_t version = 0;
};

/// Schedules the loads of a new version on the engines of one model and zone.
/// Orders are idempotent; an order without an answer is repeated after
/// `rollout_rules::loadTimeout`.
class weight_rollout
{
public:
  explicit weight_rollout(std::string aModel, const rollout_rules& aRules = {});

  /// Plans orders and records them as started.
  /// @param aEngines Engines of the model's class in the zone, with their load
  /// reports. Engines that are not live are skipped.
  /// @param aVersion Newest published version. A version below that of an
  /// earlier call is ignored, so that a rollout never goes back.
  [[nodiscard]] std::vector<weight_order> Plan(
    const std::vector<target_info>& aEngines,
    std::int64_t aVersion,
    time_point aNow);

  /// Records the answer to an order.
  /// @param aLoaded Whether the engine reported success.
  void RecordLoadResult(const std::string& aTarget,
                        std::int64_t aVersion,
                        bool aLoaded,
                        time_point aNow);

  /// @return Whether all live engines of the last plan have the version.
  [[nodiscard]] bool Complete() const noexcept { return mComplete; }

  /// @return Failed and timed-out loads.
  [[nodiscard]] std::int64_t FailureCount() const noexcept { return mFailures; }

private:
  struct engine_state
  {
    std::int64_t loading = -1; ///< Version being loaded, or -1.
    time_point started{};
    std::int64_t loaded = -1; ///< Newest version that an answer confirmed.
    time_point loadedAt{};
    int failures = 0; ///< Consecutive.
    time_point retryAt{};
  };

  void RecordFailure(engine_state& aState, time_point aNow);
  [[nodiscard]] std::int64_t KnownVersion(const target_info& aEngine,
                                          const engine_state& aState,
                                          time_point aNow) const;

  std::string mModel;
  rollout_rules mRules;
  std::int64_t mVersion = -1;
  bool mComplete = false;
  std::int64_t mFailures = 0;
  std::map<std::string, engine_state> mEngines;
  std::deque<time_point> mStarts; ///< Within the last second.
};

} // namespace arbutusferry
