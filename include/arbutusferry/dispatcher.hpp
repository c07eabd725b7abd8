#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/node_sync.hpp"
#include "arbutusferry/prefix_hints.hpp"
#include "arbutusferry/target.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

class queue_policy;
class selection_policy;

/// Kind of work; decides the order within a team.
enum class work_kind
{
  Interactive, ///< Earliest deadline first.
  Sample,      ///< Group with the fewest unfinished samples first.
};

template<>
inline constexpr enum_name_table<work_kind, 2> kEnumNames<work_kind>{ {
  { work_kind::Interactive, "interactive" },
  { work_kind::Sample, "sample" },
} };

/// A request that waits for a slot at a target.
struct work_item
{
  std::string team;
  std::string targetClass;
  work_kind kind = work_kind::Interactive;
  bool idempotent = false;         ///< May run on reclaimable targets.
  std::string group;               ///< Identifies step and group of a sample.
  std::int64_t groupRemaining = 0; ///< Unfinished samples of the group.
  time_point deadline{};           ///< Removed from the queue at this time.
  double estimatedTokens = 1.0; ///< Charged at dispatch, corrected at the end.
  std::int64_t minVersion = 0;  ///< Oldest weight version that may serve it.
  std::vector<std::uint64_t> prefix; ///< Hashes of the prompt's prefix blocks.
  std::vector<std::string> avoid;    ///< Targets that already failed this work.
};

/// Id of a submitted work item.
using work_id = std::uint64_t;

/// A dispatched work item and its target.
struct assignment
{
  work_id id = 0;
  target_info target;
};

/// How an assigned exchange ended, for the queue, the circuit breaker and the
/// retry budget.
struct completion
{
  double tokens = 0;         ///< Tokens served.
  bool targetFailed = false; ///< Connect failure, reset, timeout or 5xx.
};

/// Receives the assignment of a submitted item, or an error with code
/// `Overloaded`, `Timeout` or `Unavailable` if nothing was sent. Called exactly
/// once for each item unless it is cancelled, without locks held and on an
/// arbitrary thread; must not block.
using dispatch_callback =
  std::function<void(std::variant<assignment, error_info>)>;

/// Queues requests and assigns them to free slots of targets. Thread-safe.
/// Reads no clock; callers pass the time.
class dispatcher
{
public:
  virtual ~dispatcher() = default;

  /// Replaces the teams' shares.
  virtual void UpdateShares(const std::map<std::string, double>& aShares) = 0;

  /// Replaces the targets and, if given, the slot grants.
  /// @param aEntryIndex Index of this entry in the sorted list of live entries.
  /// @param aEntryCount Number of live entries of the zone.
  virtual void UpdateTargets(std::vector<target_info> aTargets,
                             std::optional<std::vector<slot_grant>> aGrants,
                             time_point aGrantExpiry,
                             std::size_t aEntryIndex,
                             std::size_t aEntryCount,
                             time_point aNow) = 0;

  /// Replaces the number of slots planned for each team. Until they expire they
  /// override the shares, because a team's fair part of one entry depends on
  /// its work at the other entries.
  virtual void UpdateTeamGrants(const std::vector<team_grant>& aGrants,
                                time_point aExpiry) = 0;

  /// Applies prefix cache events of a target; they influence target selection.
  virtual void AddCacheEvents(const std::string& aTarget,
                              const std::vector<cache_event>& aEvents) = 0;

  /// Queues an item; the callback may run before this returns.
  virtual work_id Submit(work_item aItem,
                         dispatch_callback aCallback,
                         time_point aNow) = 0;

  /// Removes a waiting item without calling its callback.
  /// @return False if it was already assigned or has ended.
  virtual bool Cancel(work_id aId) = 0;

  /// Ends an assignment and frees its slot. Must be called exactly once for
  /// each assignment.
  virtual void Complete(work_id aId,
                        const completion& aCompletion,
                        time_point aNow) = 0;

  /// Takes one attempt from the retry budget of a team.
  /// @return False if the budget is exhausted, or if the queue of the team is
  /// full or rejected an item within the last second.
  [[nodiscard]] virtual bool TryRetry(const std::string& aTeam,
                                      time_point aNow) = 0;

  /// Fails items whose deadline has passed, expires grants and dispatches
  /// waiting items. Call regularly, such as every 50 ms.
  virtual void Tick(time_point aNow) = 0;

  /// @return Waiting and running work by team and class.
  [[nodiscard]] virtual std::vector<team_demand> Demand() const = 0;
  /// @return Assignments that are not completed, by target id.
  [[nodiscard]] virtual std::map<std::string, std::int64_t> InFlight()
    const = 0;
};

/// Settings of a dispatcher.
struct dispatcher_options
{
  std::string zone;                   ///< Own availability zone.
  std::size_t maxQueuePerTeam = 4096; ///< Items; more are rejected.
  std::uint64_t seed = 1;             ///< Of target selection.
  /// One-way latency between availability zones.
  duration interZoneLatency = std::chrono::milliseconds(1);
};

/// @return A dispatcher with a fair queue and two-choice target selection.
[[nodiscard]] std::unique_ptr<dispatcher>
MakeDispatcher(const dispatcher_options& aOptions);

/// @return A dispatcher with the given policies, for comparisons.
[[nodiscard]] std::unique_ptr<dispatcher>
MakeDispatcher(const dispatcher_options& aOptions,
               std::unique_ptr<queue_policy> aQueue,
               std::unique_ptr<selection_policy> aSelection);

} // namespace arbutusferry
