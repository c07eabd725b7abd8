#include "placement/step_slack.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace arbutusferry::node {

namespace {

/// A step counts as late before it is due only when even this fraction of the
/// estimated rest doesn't fit. Hints are often far off, and a step that is
/// wrongly counted as late becomes late by waiting.
constexpr double kCertainFraction = 0.5;

} // namespace

std::vector<group_slack>
RateGroups(const step_outlook& aStep,
           const std::vector<group_state>& aGroups,
           const event_intervals& aIntervals)
{
  std::vector<std::size_t> nearest(aGroups.size());
  std::iota(nearest.begin(), nearest.end(), std::size_t{ 0 });
  const auto distance = [&](std::size_t aIndex) {
    const group_state& group = aGroups[aIndex];
    return std::make_tuple(
      !group.carried, group.restEvents, group.uncommitted, aIndex);
  };
  std::sort(
    nearest.begin(), nearest.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return distance(aLeft) < distance(aRight);
    });
  std::vector<group_slack> rated(aGroups.size());
  const double untilDue = aStep.untilDueMs.value_or(kNeverDueMs);
  double longestNeeded = 0.0;
  double longest = 0.0;
  for (std::size_t rank = 0; rank < nearest.size(); ++rank) {
    const group_state& group = aGroups[nearest[rank]];
    group_slack& entry = rated[nearest[rank]];
    entry.slackMs = untilDue - group.restEvents * aIntervals.medianMs;
    longest = std::max(longest, group.restEvents);
    if (group.carried || rank < aStep.neededGroups) {
      longestNeeded = std::max(longestNeeded, group.restEvents);
    } else {
      entry.need = slack_class::Surplus;
    }
  }
  const double certainRest =
    aStep.lengthsKnown ? kCertainFraction * longestNeeded * aIntervals.fastestMs
                       : 0.0;
  const bool late = aStep.untilDueMs && untilDue < certainRest;
  const double leastSlack = untilDue - longest * aIntervals.medianMs;
  for (std::size_t index = 0; index < rated.size(); ++index) {
    if (late && rated[index].need == slack_class::Timely) {
      rated[index].need = slack_class::Late;
    }
    if (aGroups[index].carried) {
      rated[index].slackMs = std::min(rated[index].slackMs, leastSlack);
    }
  }
  return rated;
}

} // namespace arbutusferry::node
