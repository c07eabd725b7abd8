#pragma once

#include <cstddef>
#include <vector>

namespace arbutusferry::node {

/// Work that a step still needs in order to be complete.
struct step_work
{
  std::size_t model = 0; ///< Steps of one model share samplers.
  int priority = 0;
  std::size_t share = 0;   ///< Its team at the model.
  double untilDueMs = 0.0; ///< Time until it is due.
  double events = 0.0;     ///< Of all items of the groups that it needs.
  bool late = false;       ///< Can't be complete when due.
};

/// Marks the steps that can't be complete when due, given the rate that the
/// samplers of each model generate. Higher priorities use the rate first; teams
/// of one priority divide it by max-min fairness over the rates they need.
/// Within a team's part, the step due first is kept while it fits; the work of
/// a late step isn't counted against others.
/// @param aEventsPerMs Rate by model.
void
MarkLateSteps(std::vector<step_work>& aSteps,
              const std::vector<double>& aEventsPerMs);

/// Divides a rate among demands, so that none gets more than it needs and what
/// it leaves goes to the others in equal parts.
[[nodiscard]] std::vector<double>
DivideByMaxMin(double aRate, const std::vector<double>& aNeeded);

} // namespace arbutusferry::node
