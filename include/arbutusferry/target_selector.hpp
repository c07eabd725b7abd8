#pragma once

#include "arbutusferry/fair_queue.hpp"
#include "arbutusferry/prefix_hints.hpp"
#include "arbutusferry/target.hpp"

#include <memory>
#include <vector>

namespace arbutusferry {

/// A target that has a free slot for the item at hand.
struct target_candidate
{
  const target_info* info = nullptr;
  std::int64_t outstanding = 0; ///< Own exchanges in flight now.
  std::int64_t reported = 0;    ///< Own exchanges in flight at the load report.
};

/// @return Whether a target may ever serve these needs: class, state, pool and
/// weight version. Slots, the circuit breaker and targets to avoid are left to
/// the caller.
[[nodiscard]] bool
MeetsNeeds(const target_info& aTarget, const placement_needs& aNeeds) noexcept;

/// Choice among the targets that can take an item now.
class selection_policy
{
public:
  virtual ~selection_policy() = default;

  /// @param aCandidates Not empty.
  /// @return Index of the chosen candidate.
  [[nodiscard]] virtual std::size_t Select(
    const std::vector<target_candidate>& aCandidates,
    const work_item& aItem,
    const prefix_hints& aHints) = 0;
};

/// @return Policy that samples two candidates and takes the less loaded one.
[[nodiscard]] std::unique_ptr<selection_policy>
MakeTwoChoiceSelector(std::uint64_t aSeed);

/// @return Policy that takes the candidates in turn; the baseline.
[[nodiscard]] std::unique_ptr<selection_policy>
MakeRoundRobinSelector();

} // namespace arbutusferry
