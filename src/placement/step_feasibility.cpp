#include "placement/step_feasibility.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace arbutusferry::node {

namespace {

using step_list = std::vector<step_work*>; ///< By due time.

/// @return The least rate at which all steps are complete when due.
[[nodiscard]] double
RateNeeded(const step_list& aSteps)
{
  double rate = 0.0;
  double events = 0.0;
  for (const step_work* step : aSteps) {
    if (!step->late) {
      events += step->events;
      rate = std::max(rate, events / step->untilDueMs);
    }
  }
  return rate;
}

/// Marks the steps of one team that don't fit.
/// @return The rate that the others need.
double
MarkLate(const step_list& aSteps, double aRate)
{
  double events = 0.0;
  for (step_work* step : aSteps) {
    if (step->late) {
      continue;
    }
    if (events + step->events > aRate * step->untilDueMs) {
      step->late = true;
    } else {
      events += step->events;
    }
  }
  return RateNeeded(aSteps);
}

} // namespace

std::vector<double>
DivideByMaxMin(double aRate, const std::vector<double>& aNeeded)
{
  std::vector<std::size_t> order(aNeeded.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aNeeded[aLeft] < aNeeded[aRight];
    });
  std::vector<double> parts(aNeeded.size());
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    const double equal = aRate / static_cast<double>(order.size() - rank);
    // The last ones keep what nobody needs.
    parts[order[rank]] =
      rank + 1 == order.size() ? equal : std::min(equal, aNeeded[order[rank]]);
    aRate -= parts[order[rank]];
  }
  return parts;
}

void
MarkLateSteps(std::vector<step_work>& aSteps,
              const std::vector<double>& aEventsPerMs)
{
  std::vector<double> left = aEventsPerMs;
  std::map<std::tuple<std::size_t, int, std::size_t>, step_list> teams;
  for (step_work& step : aSteps) {
    step.late = step.late || step.untilDueMs <= 0.0;
    teams[{ step.model, step.priority, step.share }].push_back(&step);
  }
  for (auto at = teams.begin(); at != teams.end();) {
    const auto [model, priority, share] = at->first;
    std::vector<step_list*> peers;
    std::vector<double> needed;
    for (; at != teams.end() && std::get<0>(at->first) == model &&
           std::get<1>(at->first) == priority;
         ++at) {
      std::sort(at->second.begin(),
                at->second.end(),
                [](const step_work* aLeft, const step_work* aRight) {
                  return aLeft->untilDueMs < aRight->untilDueMs;
                });
      peers.push_back(&at->second);
      needed.push_back(RateNeeded(at->second));
    }
    const std::vector<double> parts = DivideByMaxMin(left[model], needed);
    double used = 0.0;
    for (std::size_t peer = 0; peer < peers.size(); ++peer) {
      used += MarkLate(*peers[peer], parts[peer]);
    }
    left[model] = std::max(0.0, left[model] - used);
  }
}

} // namespace arbutusferry::node
