#include "arbutusferry/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry {

namespace {

/// Completions required before the service time is estimated.
constexpr double kMinCompletions = 20;

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Adds a value to an exponential moving average.
void
UpdateAverage(double& aAverage,
              double aValue,
              double aSeconds,
              duration aTimeConstant)
{
  aAverage +=
    (aValue - aAverage) * (1.0 - std::exp(-aSeconds / Seconds(aTimeConstant)));
}

} // namespace

demand_forecast::demand_forecast(const forecast_rules& aRules)
  : mRules(aRules)
{
}

void
demand_forecast::UpdateAverages(class_state& aState,
                                const class_observation& aObservation,
                                double aSeconds) const
{
  UpdateAverage(aState.busySlots,
                static_cast<double>(aObservation.running),
                aSeconds,
                mRules.fastTimeConstant);
  if (aObservation.arrivals < 0 || aState.last.arrivals < 0) {
    return;
  }
  // The count is summed over entry processes and falls when one restarts.
  const auto arrived = static_cast<double>(
    std::max<std::int64_t>(0, aObservation.arrivals - aState.last.arrivals));
  const auto present = [](const class_observation& aWork) {
    return static_cast<double>(aWork.waiting + aWork.running);
  };
  const double completed =
    std::max(0.0, arrived + present(aState.last) - present(aObservation));
  UpdateAverage(
    aState.fastRate, arrived / aSeconds, aSeconds, mRules.fastTimeConstant);
  UpdateAverage(
    aState.slowRate, arrived / aSeconds, aSeconds, mRules.slowTimeConstant);
  UpdateAverage(aState.completionRate,
                completed / aSeconds,
                aSeconds,
                mRules.fastTimeConstant);
  aState.completions += completed;
}

void
demand_forecast::Observe(const class_observation& aObservation, time_point aNow)
{
  class_state& state = mClasses[aObservation.targetClass];
  if (state.observed && aNow <= state.lastTime) {
    return;
  }
  if (state.observed) {
    UpdateAverages(state, aObservation, Seconds(aNow - state.lastTime));
  } else {
    state.busySlots = static_cast<double>(aObservation.running);
  }
  state.observed = true;
  state.last = aObservation;
  state.lastTime = aNow;
  const class_forecast need = Need(state, aNow);
  while (!state.needs.empty() &&
         state.needs.back().second.slots <= need.slots &&
         state.needs.back().second.protectedSlots <= need.protectedSlots) {
    state.needs.pop_back();
  }
  state.needs.emplace_back(aNow, need);
  while (state.needs.front().first + mRules.holdTime < aNow) {
    state.needs.pop_front();
  }
}

/// Little's law: mean service time = mean running requests / completion rate.
double
demand_forecast::ServiceSeconds(const class_state& aState) const
{
  if (aState.completions < kMinCompletions || aState.completionRate <= 0 ||
      aState.busySlots <= 0) {
    return Seconds(mRules.defaultServiceTime);
  }
  return aState.busySlots / aState.completionRate;
}

class_forecast
demand_forecast::Need(const class_state& aState, time_point aNow) const
{
  const class_observation& last = aState.last;
  const double serviceSeconds = ServiceSeconds(aState);
  const double rate = std::max(aState.fastRate, aState.slowRate);
  // Without a known rate, the busy slots equal the offered load as long as no
  // queue forms; the backlog below covers the rest.
  const double offered =
    last.arrivals >= 0 && aState.completions >= kMinCompletions
      ? rate * serviceSeconds
      : aState.busySlots;
  const double backlog = static_cast<double>(last.waiting) * serviceSeconds /
                         Seconds(mRules.backlogDrainTime);
  const double callSlots =
    offered + mRules.spareDeviations * std::sqrt(offered) + backlog;
  double sampleSlots = 0;
  for (const step_demand& step : last.steps) {
    // The last sample must start one service time before the deadline.
    const double secondsLeft = Seconds(step.deadline - aNow) - serviceSeconds;
    sampleSlots += static_cast<double>(step.remaining) * serviceSeconds /
                   std::max(secondsLeft, serviceSeconds);
  }
  return { callSlots + sampleSlots,
           callSlots * std::clamp(last.protectedShare, 0.0, 1.0) };
}

class_forecast
demand_forecast::Forecast(std::string_view aTargetClass, time_point aNow) const
{
  class_forecast highest;
  const auto found = mClasses.find(aTargetClass);
  if (found == mClasses.end()) {
    return highest;
  }
  for (const auto& [time, need] : found->second.needs) {
    // The newest need counts even when observations have stopped.
    if (time + mRules.holdTime >= aNow ||
        time == found->second.needs.back().first) {
      highest.slots = std::max(highest.slots, need.slots);
      highest.protectedSlots =
        std::max(highest.protectedSlots, need.protectedSlots);
    }
  }
  return highest;
}

} // namespace arbutusferry
