#pragma once

#include "arbutusferry/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// What an item needs of a target. Items with equal needs wait together, so
/// that one check covers all of them.
struct placement_needs
{
  std::string targetClass;
  std::int64_t minVersion = 0;
  bool reclaimable = false;       ///< May run on reclaimable targets.
  std::vector<std::string> avoid; ///< Sorted.

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on the generated code.
  auto operator<=>(const placement_needs&) const = default;
};

/// @return The needs of an item.
[[nodiscard]] placement_needs
NeedsOf(const work_item& aItem);

/// Whether an item could start.
enum class placement
{
  Now,   ///< A target has a free slot.
  Later, ///< Targets exist, but none has a free slot.
  Never, ///< No live target meets the needs.
};

/// Checks needs against the present targets.
using placement_check = std::function<placement(const placement_needs&)>;

/// A waiting item that was taken from a queue.
struct queued_item
{
  work_id id = 0;
  work_item item;
};

/// Order in which waiting items are dispatched. Target classes are
/// independent of each other, because each has its own targets.
class queue_policy
{
public:
  virtual ~queue_policy() = default;

  /// Replaces the teams' shares. A team without share has share 1.
  virtual void UpdateShares(const std::map<std::string, double>& aShares) = 0;

  /// Replaces weights that take precedence over shares, by team of a class.
  /// An empty map restores the shares.
  virtual void UpdateWeights(const std::string& aClass,
                             const std::map<std::string, double>& aWeights) = 0;

  /// Adds an item.
  /// @return False if the queue of the team is full.
  [[nodiscard]] virtual bool Push(work_id aId, work_item aItem) = 0;

  /// Takes the next item of a class that can start now and charges its team
  /// with the estimate.
  /// @param aEarliestEnd When work that starts now will probably end. Calls
  /// with an earlier deadline come last.
  [[nodiscard]] virtual std::optional<queued_item> Pop(
    const std::string& aClass,
    const placement_check& aCheck,
    time_point aEarliestEnd) = 0;

  /// Replaces the estimate of a popped item by the tokens really served.
  /// @param aFinished Whether the sample of a group is complete.
  virtual void Settle(work_id aId, double aTokens, bool aFinished) = 0;

  /// Removes a waiting item.
  /// @return False if it does not wait.
  virtual bool Erase(work_id aId) = 0;

  /// Removes the items whose deadline is at or before `aNow`.
  [[nodiscard]] virtual std::vector<queued_item> Expire(time_point aNow) = 0;

  /// @return Waiting items of a team, of all classes.
  [[nodiscard]] virtual std::size_t Waiting(const std::string& aTeam) const = 0;

  /// @return Waiting items of a class.
  [[nodiscard]] virtual std::size_t WaitingInClass(
    const std::string& aClass) const = 0;

  /// @return Waiting and running items and attained service by team and
  /// class.
  [[nodiscard]] virtual std::vector<team_demand> Demand() const = 0;
};

/// @return Weighted fair queue over virtual token counters.
[[nodiscard]] std::unique_ptr<queue_policy>
MakeFairQueue(std::size_t aMaxPerTeam);

/// @return First in, first out; the baseline for comparison.
[[nodiscard]] std::unique_ptr<queue_policy>
MakeFifoQueue(std::size_t aMaxPerTeam);

} // namespace arbutusferry
