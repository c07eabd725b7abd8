#pragma once

#include "arbutusferry/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Requirements of an item on its target. Items with equal requirements share
/// a bucket, so that one check covers all of them.
struct placement_needs
{
  std::string targetClass;
  std::int64_t minVersion = 0;
  bool reclaimable = false;       ///< May run on reclaimable targets.
  std::vector<std::string> avoid; ///< Sorted.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in generated code.
  auto operator<=>(const placement_needs&) const = default;
};

/// @return The requirements of an item, with `avoid` sorted.
[[nodiscard]] placement_needs
NeedsOf(const work_item& aItem);

/// Whether and when an item can be dispatched.
enum class placement
{
  Now,   ///< A target has a free slot.
  Later, ///< Targets exist, but none has a free slot.
  Never, ///< No live target meets the requirements.
};

/// Checks requirements against the current targets.
using placement_check = std::function<placement(const placement_needs&)>;

/// An item removed from a queue.
struct queued_item
{
  work_id id = 0;
  work_item item;
};

/// Queue that decides the order of dispatch. Target classes are independent of
/// each other, because each has its own targets.
class queue_policy
{
public:
  virtual ~queue_policy() = default;

  /// Replaces the teams' shares. A team without share has share 1.
  virtual void UpdateShares(const std::map<std::string, double>& aShares) = 0;

  /// Replaces the weights by team of a class, which take precedence over the
  /// shares. An empty map restores the shares.
  virtual void UpdateWeights(const std::string& aClass,
                             const std::map<std::string, double>& aWeights) = 0;

  /// @return False if the queue of the team is full.
  [[nodiscard]] virtual bool Push(work_id aId, work_item aItem) = 0;

  /// Removes the next item of a class that can start now and charges its team
  /// the estimated tokens.
  /// @param aEarliestEnd Expected end of work that starts now. Interactive
  /// items with an earlier deadline come last.
  [[nodiscard]] virtual std::optional<queued_item> Pop(
    const std::string& aClass,
    const placement_check& aCheck,
    time_point aEarliestEnd) = 0;

  /// Replaces the charge of a popped item by the tokens served.
  /// @param aFinished Whether the item succeeded; counts a sample as finished.
  virtual void Settle(work_id aId, double aTokens, bool aFinished) = 0;

  /// Removes a waiting item.
  /// @return False if it is not waiting.
  virtual bool Erase(work_id aId) = 0;

  /// Removes and returns the items whose deadline is at or before `aNow`.
  [[nodiscard]] virtual std::vector<queued_item> Expire(time_point aNow) = 0;

  /// @return Number of waiting items of a team in all classes.
  [[nodiscard]] virtual std::size_t Waiting(const std::string& aTeam) const = 0;

  /// @return Number of waiting items of a class.
  [[nodiscard]] virtual std::size_t WaitingInClass(
    const std::string& aClass) const = 0;

  /// @return Waiting and running items and attained service by team and class.
  [[nodiscard]] virtual std::vector<team_demand> Demand() const = 0;
};

/// @return A weighted fair queue that uses virtual token counters.
[[nodiscard]] std::unique_ptr<queue_policy>
MakeFairQueue(std::size_t aMaxPerTeam);

/// @return A first-in, first-out queue, as baseline.
[[nodiscard]] std::unique_ptr<queue_policy>
MakeFifoQueue(std::size_t aMaxPerTeam);

} // namespace arbutusferry
