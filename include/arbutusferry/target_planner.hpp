#pragma once

#include "arbutusferry/demand_forecast.hpp"
#include "arbutusferry/environment.hpp"
#include "arbutusferry/platform.hpp"
#include "arbutusferry/target.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry {

/// Numbers of targets of one class in one zone.
struct pool_counts
{
  std::int64_t protectedCount = 0;
  std::int64_t reclaimableCount = 0;

  bool operator==(const pool_counts&) const = default;
};

/// State of one zone of a target class.
struct zone_supply
{
  target_zone_config limits;
  bool reachable = true; ///< Its targets can serve the demand.
  /// Reclaimable targets that the platform can provide; -1 if unknown.
  std::int64_t availableReclaimable = -1;
  pool_counts existing; ///< Starting and live targets.
};

/// Input of a plan for one target class.
struct planning_input
{
  std::string targetClass;
  std::int64_t slotsPerTarget = 1;
  class_forecast demand;
  std::int64_t waiting = 0; ///< Queued requests.
  std::int64_t running = 0; ///< Requests at targets.
  std::vector<zone_supply> zones;
};

/// Desired targets of a class by zone. The holder of the role `orders/<zone>`
/// plans all zones and orders the targets of its own zone.
using target_plan = std::map<std::string, pool_counts>;

/// Decides how many targets of a class run in each zone and pool.
class scaling_policy
{
public:
  virtual ~scaling_policy() = default;

  /// @return The desired targets, within the limits of each zone.
  [[nodiscard]] virtual target_plan Plan(const planning_input& aInput,
                                         time_point aNow) = 0;
};

/// @return Policy that meets the forecast: protected targets for the protected
/// minimum and for work that must not be repeated, reclaimable targets spread
/// over the zones for the rest, and protected targets in place of reclaimable
/// ones that are unavailable.
[[nodiscard]] std::unique_ptr<scaling_policy>
MakeForecastScaling();

/// @return Baseline policy: a fixed number of protected targets.
/// @param aTargets Number per class, spread over the zones.
[[nodiscard]] std::unique_ptr<scaling_policy>
MakeFixedScaling(std::map<std::string, std::int64_t> aTargets);

struct threshold_rules
{
  double highUtilization = 0.8; ///< A larger share of busy slots adds a target.
  double lowUtilization = 0.5;  ///< A smaller share removes one.
  duration cooldown = std::chrono::seconds(30); ///< Time between changes.
};

/// @return Baseline policy: adds or removes one protected target when the share
/// of busy slots crosses a threshold.
[[nodiscard]] std::unique_ptr<scaling_policy>
MakeThresholdScaling(const threshold_rules& aRules = {});

/// Infers from missing and reclaimed targets which zones cannot provide
/// reclaimable targets at the moment.
class reclaimable_supply
{
public:
  /// @param aListTimeout Time within which the platform must list an ordered
  /// target.
  /// @param aRetryDelay Time after which an unavailable zone is tried again.
  explicit reclaimable_supply(duration aListTimeout = std::chrono::seconds(20),
                              duration aRetryDelay = std::chrono::seconds(60));

  /// Compares the last order with the list of the platform.
  /// @param aListed Starting and live reclaimable targets.
  void Observe(const std::string& aZone,
               const std::string& aTargetClass,
               std::int64_t aOrdered,
               std::int64_t aListed,
               time_point aNow);

  /// Records that the platform reclaims targets of a zone.
  void RecordReclaim(const std::string& aZone,
                     const std::string& aTargetClass,
                     time_point aNow);

  /// @return Number of available targets, or -1 if no limit is known.
  [[nodiscard]] std::int64_t Available(const std::string& aZone,
                                       const std::string& aTargetClass,
                                       time_point aNow) const;

private:
  struct zone_state
  {
    std::int64_t listed = 0;
    bool missing = false;
    time_point missingSince{};
    time_point blockedUntil{};
  };

  duration mListTimeout;
  duration mRetryDelay;
  std::map<std::pair<std::string, std::string>, zone_state> mZones;
};

/// Chooses targets to drain and stops them when they are idle, so that a
/// planned stop interrupts no request. An order counts a target until it may be
/// stopped: with a lower count the platform would choose which target to stop.
class drain_planner
{
public:
  /// @param aSettleTime Time after which no entry sends new work to a draining
  /// target any more.
  explicit drain_planner(duration aSettleTime = std::chrono::seconds(5));

  /// @param aZone Zone of the order.
  /// @param aWanted Desired targets by class; other classes are left unchanged.
  /// @param aTargets Targets listed by the platform, with their load.
  /// @param aInFlight Requests in flight by target id, over all entries.
  /// @return Counts and targets to stop; order id and fencing are not set.
  [[nodiscard]] target_order Plan(
    const std::string& aZone,
    const std::map<std::string, pool_counts>& aWanted,
    const std::vector<target_info>& aTargets,
    const std::map<std::string, std::int64_t>& aInFlight,
    time_point aNow);

  /// @return Targets that must not get new work.
  [[nodiscard]] std::set<std::string> Draining() const;

private:
  struct candidate
  {
    const target_info* target = nullptr;
    std::int64_t load = 0;
  };

  void Balance(std::vector<candidate> aCandidates,
               std::int64_t aWanted,
               time_point aNow);

  duration mSettleTime;
  std::map<std::string, time_point> mDraining; ///< Start times by target id.
};

} // namespace arbutusferry
