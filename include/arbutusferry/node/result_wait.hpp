#pragma once

#include "arbutusferry/time.hpp"

#include <cstddef>

namespace arbutusferry::node {

/// A long poll for results.
struct result_wait
{
  time_point since;
  time_point until; ///< End of the wait that the reader allows.
};

/// Progress of the step whose results are read.
struct step_state
{
  std::size_t items = 0;
  /// Items without a listed result, in the groups that the trainer waits for.
  std::size_t missing = 0;
  time_point due; ///< When the trainer wants all of them.
};

/// Decides when to answer a read that has results to return. A trainer
/// continues when its step is complete and reads about twice a second, so near
/// the end of a step an answer that lacks a few items would cost it another
/// half second. Reads that arrive after the results were due are not held.
/// @param aResultsSince When the first of the results was listed.
/// @return When to answer; a time that has passed means at once.
[[nodiscard]] time_point
AnswerTime(const result_wait& aWait,
           const step_state& aStep,
           time_point aResultsSince);

} // namespace arbutusferry::node
