#pragma once

#include "arbutusferry/time.hpp"

#include <cstddef>

namespace arbutusferry::node {

/// A read of results that may wait.
struct result_wait
{
  time_point since;
  time_point until; ///< Longest wait that the reader allows.
};

/// What the reader's batch lacks.
struct step_state
{
  std::size_t items = 0;
  /// Unlisted items of the groups that the trainer waits for.
  std::size_t missing = 0;
  time_point due; ///< When the trainer wants all of them.
};

/// Decides how long a read waits that already has a result to return. A trainer
/// goes on when its step is complete and reads about twice a second, so near
/// the end of a step an answer that lacks a few items would cost it half a
/// second more. Reads that come after the results were due are not held.
/// @param aResultsSince When the first of the results was listed.
/// @return When to answer; in the past if at once.
[[nodiscard]] time_point
AnswerTime(const result_wait& aWait,
           const step_state& aStep,
           time_point aResultsSince);

} // namespace arbutusferry::node
