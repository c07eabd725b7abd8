#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Samples of a step that are not delivered yet.
struct step_demand
{
  std::int64_t remaining = 0;
  time_point deadline{};
};

/// Work of one target class at one time.
struct class_observation
{
  std::string targetClass;
  std::int64_t waiting = 0;   ///< Queued requests, without samples of `steps`.
  std::int64_t running = 0;   ///< Requests at targets.
  std::int64_t arrivals = -1; ///< Cumulative count; -1 if unknown.
  /// Fraction of the requests that must not be lost and repeated.
  double protectedShare = 1.0;
  std::vector<step_demand> steps;
};

/// Slots that a class needs.
struct class_forecast
{
  double slots = 0;
  double protectedSlots = 0; ///< Part that must be on protected targets.
};

struct forecast_rules
{
  /// Time constants of two averages of the arrival rate. The larger average is
  /// used, so that the forecast rises fast and falls slowly.
  duration fastTimeConstant = std::chrono::seconds(15);
  duration slowTimeConstant = std::chrono::seconds(180);
  /// Time in which a backlog should be drained.
  duration backlogDrainTime = std::chrono::seconds(30);
  /// Window whose highest need is used, since stopping and restarting a target
  /// costs its start time.
  duration holdTime = std::chrono::seconds(90);
  /// Spare slots, in standard deviations of the number of busy slots.
  double spareDeviations = 1.5;
  /// Service time of a request until enough completions allow an estimate.
  duration defaultServiceTime = std::chrono::seconds(10);
};

/// Forecasts the slots that each target class needs from queue length, arrival
/// rate and step deadlines.
class demand_forecast
{
public:
  explicit demand_forecast(const forecast_rules& aRules = {});

  /// Adds an observation; expected about once a second per class.
  void Observe(const class_observation& aObservation, time_point aNow);

  /// @return The need of a class; zero if it was never observed.
  [[nodiscard]] class_forecast Forecast(std::string_view aTargetClass,
                                        time_point aNow) const;

private:
  struct class_state
  {
    class_observation last;
    time_point lastTime{};
    bool observed = false;
    double fastRate = 0; ///< Arrivals per second.
    double slowRate = 0;
    double completionRate = 0;
    double busySlots = 0;   ///< Average of running requests.
    double completions = 0; ///< Requests observed to complete.
    /// Needs that no later need exceeds, in order of time.
    std::deque<std::pair<time_point, class_forecast>> needs;
  };

  void UpdateAverages(class_state& aState,
                      const class_observation& aObservation,
                      double aSeconds) const;
  [[nodiscard]] double ServiceSeconds(const class_state& aState) const;
  [[nodiscard]] class_forecast Need(const class_state& aState,
                                    time_point aNow) const;

  forecast_rules mRules;
  std::map<std::string, class_state, std::less<>> mClasses;
};

} // namespace arbutusferry
