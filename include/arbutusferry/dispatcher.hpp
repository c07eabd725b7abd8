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

/// Kind of work, which decides the order within a team.
enum class work_kind
{
  Interactive, ///< Earliest deadline first.
  Sample,      ///< Group nearest to completion first.
};

template<>
inline constexpr enum_name_table<work_kind, 2> kEnumNames<work_kind>{ {
  { work_kind::Interactive, "interactive" },
  { work_kind::Sample, "sample" },
} };

/// One request that waits for a slot at a target.
struct work_item
{
  std::string team;
  std::string targetClass;
  work_kind kind = work_kind::Interactive;
  bool idempotent = false;         ///< May run on reclaimable targets.
  std::string group;               ///< Step and group of a sample.
  std::int64_t groupRemaining = 0; ///< Samples of the group still to finish.
  time_point deadline{};           ///< Removed from the queue at this time.
  double estimatedTokens = 1.0; ///< Charged at dispatch, corrected at the end.
  std::int64_t minVersion = 0;  ///< Oldest weight version that may serve.
  std::vector<std::uint64_t> prefix; ///< Hashes of the prompt's prefix blocks.
  std::vector<std::string> avoid;    ///< Targets that already failed this work.
};

/// Id of a submitted work item.
using work_id = std::uint64_t;

/// A work item together with the target it may be sent to now.
struct assignment
{
  work_id id = 0;
  target_info target;
};

/// How an assigned exchange ended, for the queue, the circuit breaker and the
/// retry budget.
struct completion
{
  double tokens = 0;         ///< Tokens that were really served.
  bool targetFailed = false; ///< Connect failure, reset, timeout or 5xx.
};

/// Called once for each submitted item: an assignment, or an error with code
/// `Overloaded`, `Timeout` or `Unavailable` (nothing was sent). Called without
/// locks held, on an arbitrary thread; it must not block.
using dispatch_callback =
  std::function<void(std::variant<assignment, error_info>)>;

/// Thread-safe front of the scheduler: keeps the queue in front of the targets
/// and hands out slots. All times are passed in.
class dispatcher
{
public:
  virtual ~dispatcher() = default;

  /// Replaces the teams' shares.
  virtual void UpdateShares(const std::map<std::string, double>& aShares) = 0;

  /// Replaces the targets and, if given, the slot grants.
  /// @param aIndex Index of this entry in the sorted list of live entries.
  /// @param aEntries Number of live entries of the zone.
  virtual void UpdateTargets(std::vector<target_info> aTargets,
                             std::optional<std::vector<slot_grant>> aGrants,
                             time_point aGrantExpiry,
                             std::size_t aIndex,
                             std::size_t aEntries,
                             time_point aNow) = 0;

  /// Replaces the slots by team that the grants were planned for. Until they
  /// expire they take the place of the shares, because a team's share of one
  /// entry depends on its work at the other entries.
  virtual void UpdateTeamGrants(const std::vector<team_grant>& aGrants,
                                time_point aExpiry) = 0;

  /// Applies cache events of a target, as hints for the choice of target.
  virtual void AddCacheEvents(const std::string& aTarget,
                              const std::vector<cache_event>& aEvents) = 0;

  /// Queues an item; the callback may run before this returns.
  virtual work_id Submit(work_item aItem,
                         dispatch_callback aCallback,
                         time_point aNow) = 0;

  /// Removes a waiting item without calling its callback.
  /// @return False if it was already assigned or ended.
  virtual bool Cancel(work_id aId) = 0;

  /// Ends an assignment and frees its slot. Must be called exactly once for
  /// each assignment.
  virtual void Complete(work_id aId,
                        const completion& aCompletion,
                        time_point aNow) = 0;

  /// Asks the retry budget of a team for one more attempt.
  [[nodiscard]] virtual bool TryRetry(const std::string& aTeam,
                                      time_point aNow) = 0;

  /// Expires deadlines and dispatches what became possible. Call regularly,
  /// such as every 50 ms.
  virtual void Tick(time_point aNow) = 0;

  /// @return Waiting and running work by team and class.
  [[nodiscard]] virtual std::vector<team_demand> Demand() const = 0;
  /// @return Assignments in flight by target id.
  [[nodiscard]] virtual std::map<std::string, std::int64_t> InFlight()
    const = 0;
};

/// Settings of a dispatcher.
struct dispatcher_options
{
  std::string zone;                                ///< Own availability zone.
  std::size_t maxQueuePerTeam = 4096;              ///< Items; more are refused.
  std::uint64_t seed = 1;                          ///< For sampling candidates.
  duration zoneHop = std::chrono::milliseconds(1); ///< One way, between zones.
};

/// @return The dispatcher with fair queue and slot grants.
[[nodiscard]] std::unique_ptr<dispatcher>
MakeDispatcher(const dispatcher_options& aOptions);

/// @return A dispatcher with other policies, for comparisons.
[[nodiscard]] std::unique_ptr<dispatcher>
MakeDispatcher(const dispatcher_options& aOptions,
               std::unique_ptr<queue_policy> aQueue,
               std::unique_ptr<selection_policy> aSelection);

} // namespace arbutusferry
