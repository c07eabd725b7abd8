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

/// One zone of a target class as seen at planning.
struct zone_supply
{
  target_zone_config limits;
  bool reachable = true; ///< Its targets can serve the demand.
  /// Reclaimable targets that the platform can provide; -1 if not known.
  std::int64_t availableReclaimable = -1;
  pool_counts existing; ///< Starting and live targets.
};

/// Everything a plan for one target class depends on.
struct planning_input
{
  std::string targetClass;
  std::int64_t slotsPerTarget = 1;
  class_forecast demand;
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  std::vector<zone_supply> zones;
};

/// Desired targets of a class by zone. Each holder of `orders/<zone>` plans all
/// zones and orders its own.
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
/// minimum and for work that may not be repeated, reclaimable targets spread
/// over zones for the rest, and protected ones where those are unavailable.
[[nodiscard]] std::unique_ptr<scaling_policy>
MakeForecastScaling();

/// @return Policy for comparison: a fixed number of protected targets.
/// @param aTargets Number for each class, spread over the zones.
[[nodiscard]] std::unique_ptr<scaling_policy>
MakeFixedFleet(std::map<std::string, std::int64_t> aTargets);

struct threshold_rules
{
  double highUtilization =
    0.8; ///< Share of busy slots above which a target is added.
  double lowUtilization =
    0.5; ///< Share of busy slots below which one is removed.
  duration cooldown = std::chrono::seconds(30); ///< Time between two changes.
};

/// @return Policy for comparison: one protected target more or less when the
/// share of busy slots crosses a threshold.
[[nodiscard]] std::unique_ptr<scaling_policy>
MakeThresholdScaling(const threshold_rules& aRules = {});

/// Learns from missing and reclaimed targets which zones cannot provide
/// reclaimable targets now.
class reclaimable_supply
{
public:
  /// @param aPatience Time an ordered target may take to be listed.
  /// @param aRetry Time after which an unavailable zone is tried again.
  explicit reclaimable_supply(duration aListTimeout = std::chrono::seconds(20),
                              duration aRetryDelay = std::chrono::seconds(60));

  /// Compares the last order with the platform's list.
  /// @param aListed Starting and live reclaimable targets.
  void Observe(const std::string& aZone,
               const std::string& aTargetClass,
               std::int64_t aOrdered,
               std::int64_t aListed,
               time_point aNow);

  /// Notes that the platform reclaims targets of a zone.
  void Reclaimed(const std::string& aZone,
                 const std::string& aTargetClass,
                 time_point aNow);

  /// @return Number that can be had, or -1 if there is no known limit.
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

/// Chooses targets to drain and stops them when they are empty, so that a
/// planned stop interrupts no request. The order keeps counting a target until
/// it may be stopped, because a lower count would let the platform choose.
class drain_planner
{
public:
  /// @param aSettle Time after which every entry has stopped sending new work
  /// to a draining target.
  explicit drain_planner(duration aSettleTime = std::chrono::seconds(5));

  /// @param aZone Zone of the order.
  /// @param aWanted Desired targets by class; other classes are kept.
  /// @param aTargets Targets of the platform's list with their load.
  /// @param aInFlight Requests in flight by target id, over all entries.
  /// @return Counts and targets to stop; order id and fencing are not set.
  [[nodiscard]] target_order Plan(
    const std::string& aZone,
    const std::map<std::string, pool_counts>& aWanted,
    const std::vector<target_info>& aTargets,
    const std::map<std::string, std::int64_t>& aInFlight,
    time_point aNow);

  /// @return Targets that may get no new work.
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
  std::map<std::string, time_point> mDraining; ///< Start by target id.
};

} // namespace arbutusferry
