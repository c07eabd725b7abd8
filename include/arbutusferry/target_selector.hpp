#pragma once

#include "arbutusferry/fair_queue.hpp"
#include "arbutusferry/prefix_hints.hpp"
#include "arbutusferry/target.hpp"

#include <memory>
#include <vector>

namespace arbutusferry {

/// A target with a free slot for the item to place.
struct target_candidate
{
  const target_info* info = nullptr;
  std::int64_t inFlight = 0;         ///< Own exchanges.
  std::int64_t inFlightAtReport = 0; ///< `inFlight` at the last load report.
};

/// @return Whether class, state, pool and weight version of a target meet the
/// requirements. Free slots, circuit breaker and targets to avoid are left to
/// the caller.
[[nodiscard]] bool
MeetsNeeds(const target_info& aTarget, const placement_needs& aNeeds) noexcept;

/// Chooses among the targets that can take an item now.
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

/// @return A policy that samples two candidates and takes the less loaded one,
/// favouring cached prefixes.
[[nodiscard]] std::unique_ptr<selection_policy>
MakeTwoChoiceSelector(std::uint64_t aSeed);

/// @return A policy that takes the candidates in turn, as baseline.
[[nodiscard]] std::unique_ptr<selection_policy>
MakeRoundRobinSelector();

} // namespace arbutusferry
