#pragma once

#include "arbutusferry/enum_names.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace arbutusferry::node {

/// How much the end of a group matters to its step.
enum class slack_class
{
  Timely,  ///< The step needs the group and can be complete when it is due.
  Late,    ///< The step needs the group but can't be complete when it is due.
  Surplus, ///< The step will probably be complete without the group.
};

} // namespace arbutusferry::node

template<>
inline constexpr arbutusferry::enum_name_table<arbutusferry::node::slack_class,
                                               3>
  arbutusferry::kEnumNames<arbutusferry::node::slack_class>{ {
    { arbutusferry::node::slack_class::Timely, "timely" },
    { arbutusferry::node::slack_class::Late, "late" },
    { arbutusferry::node::slack_class::Surplus, "surplus" },
  } };

namespace arbutusferry::node {

/// An incomplete group of a step.
struct group_state
{
  bool carried = false;        ///< Resubmitted from an earlier batch.
  std::size_t uncommitted = 0; ///< Items without a durable result.
  /// Largest number of events that one of its items still needs.
  double restEvents = 0.0;
  double totalEvents = 0.0; ///< Events that all its items still need.
};

/// What is left of a step.
struct step_outlook
{
  /// Time until the results are due, negative after it; nothing if they are
  /// never due.
  std::optional<double> untilDueMs;
  /// Further groups that the trainer waits for.
  std::size_t neededGroups = 0;
  /// Whether the numbers of events rest on observed lengths.
  bool lengthsKnown = false;
};

/// Speeds of the samplers that may run the items.
struct event_intervals
{
  double medianMs = 1.0;
  double fastestMs = 1.0;
};

struct group_slack
{
  slack_class need = slack_class::Timely;
  /// Time until due less the time that the rest of the group needs at a sampler
  /// of median speed. Carried groups have at most the least of their step.
  double slackMs = 0.0;
};

/// Slack of groups whose results are never due, before their rest is
/// subtracted: they are ordered by age and length.
inline constexpr double kNeverDueMs = 3'600'000.0;

/// Rates the groups of a step. All carried groups are needed, then those that
/// are nearest to completion.
/// @param aGroups Incomplete groups.
/// @return Ratings in the same order.
[[nodiscard]] std::vector<group_slack>
RateGroups(const step_outlook& aStep,
           const std::vector<group_state>& aGroups,
           const event_intervals& aIntervals);

} // namespace arbutusferry::node
