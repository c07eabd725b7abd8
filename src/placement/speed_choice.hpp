#pragma once

#include "arbutusferry/node/item_scheduler.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace arbutusferry::node {

/// Chooses a sampler for an item that competes for slots: a fast one for a long
/// or urgent item, a slow one for a short item that is in time there, and one
/// that has the group's prompt unless another is much better. Samplers without
/// a known speed count as median.
/// @param aTypicalEvents Items that need more events count as long.
/// @return Its index, or nothing if none may take the item now.
[[nodiscard]] std::optional<std::size_t>
ChooseByLength(const waiting_item& aItem,
               const std::vector<sampler_state>& aSamplers,
               double aMedianIntervalMs,
               double aTypicalEvents);

/// A run at its sampler and at another one that could continue it.
struct move_outlook
{
  double remainingEvents = 0.0;
  double hereMs = 0.0;  ///< Event interval of its sampler.
  double thereMs = 0.0; ///< Event interval of the other sampler.
  /// Time until the first event at another sampler, which reads the prompt and
  /// the events so far again.
  double firstEventMs = 0.0;
  double untilDueMs = 0.0;
};

/// @return Whether a run can't end in time where it is, can at the other
/// sampler, and gains clearly more than the move costs.
[[nodiscard]] bool
ShouldMoveEarly(const move_outlook& aRun);

} // namespace arbutusferry::node
