#pragma once

#include "arbutusferry/circuit_breaker.hpp"
#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/fair_queue.hpp"
#include "arbutusferry/prefix_hints.hpp"
#include "arbutusferry/retry_budget.hpp"
#include "arbutusferry/target_selector.hpp"

#include <unordered_map>

namespace arbutusferry {

/// Result of a submitted item: its assignment, or why it was not dispatched.
struct schedule_outcome
{
  work_id id = 0;
  std::variant<assignment, error_info> value;
};

/// Implements the decisions of the dispatcher without threads, locks or clocks:
/// callers pass the time and collect the outcomes. Not thread-safe.
class scheduler
{
public:
  scheduler(const dispatcher_options& aOptions,
            std::unique_ptr<queue_policy> aQueue,
            std::unique_ptr<selection_policy> aSelection);

  void UpdateShares(const std::map<std::string, double>& aShares);
  void UpdateTargets(std::vector<target_info> aTargets,
                     std::optional<std::vector<slot_grant>> aGrants,
                     time_point aGrantExpiry,
                     std::size_t aEntryIndex,
                     std::size_t aEntryCount,
                     time_point aNow);
  void UpdateTeamGrants(const std::vector<team_grant>& aGrants,
                        time_point aExpiry);
  void AddCacheEvents(const std::string& aTarget,
                      const std::vector<cache_event>& aEvents);
  void Submit(work_id aId, work_item aItem, time_point aNow);
  bool Cancel(work_id aId);
  void Complete(work_id aId, const completion& aCompletion, time_point aNow);
  [[nodiscard]] bool TryRetry(const std::string& aTeam, time_point aNow);
  void Tick(time_point aNow);

  [[nodiscard]] std::vector<team_demand> Demand() const;
  [[nodiscard]] std::map<std::string, std::int64_t> InFlight() const;

  /// @return Outcomes since the last call, in order of decision.
  [[nodiscard]] std::vector<schedule_outcome> TakeOutcomes();

private:
  struct tracked_target
  {
    target_info info;
    bool listed = false;
    bool local = false;     ///< In the entry's own zone.
    std::int64_t limit = 0; ///< Slots this entry may use.
    std::int64_t inFlight = 0;
    std::int64_t inFlightAtReport = 0; ///< `inFlight` at the last load report.
    circuit_breaker breaker;
  };

  struct class_state
  {
    std::vector<tracked_target*> targets;
    std::int64_t localLimit = 0; ///< Sum over live local targets.
    std::size_t zoneCount = 0;
    double meanServiceSeconds = 0;     ///< Of all exchanges.
    double meanInteractiveSeconds = 0; ///< Of interactive exchanges.
  };

  struct running_work
  {
    tracked_target* target = nullptr;
    std::string team;
    work_kind kind = work_kind::Interactive;
    time_point started;
  };

  struct team_state
  {
    retry_budget retries;
    time_point retriesRefusedUntil{}; ///< Set when the queue is full.
  };

  /// Validity of the latest grants.
  enum class grant_phase
  {
    None,  ///< No grants; the fallback slots apply.
    Valid, ///< The grants apply.
    Grace, ///< Recently expired; the smaller of grant and fallback applies.
  };

  [[nodiscard]] grant_phase Phase(time_point aNow) const;
  [[nodiscard]] std::int64_t LocalLimit(const tracked_target& aTarget) const;
  /// Recomputes the limits of all targets.
  void UpdateLimits();
  void ExpireGrants(time_point aNow);
  /// Checks the requirements of an item against the targets of a class.
  /// @param aCandidates Receives the targets to choose from if the result is
  /// `Now`; may be null.
  placement CheckPlacement(const class_state& aClass,
                           const placement_needs& aNeeds,
                           time_point aNow,
                           std::vector<target_candidate>* aCandidates);
  void Dispatch(const std::string& aClass, time_point aNow);
  void DispatchAll(time_point aNow);
  void Fail(work_id aId, error_code aCode, std::string aMessage);

  dispatcher_options mOptions;
  std::unique_ptr<queue_policy> mQueue;
  std::unique_ptr<selection_policy> mSelection;
  prefix_hints mHints;
  std::unordered_map<std::string, std::unique_ptr<tracked_target>> mTargets;
  std::map<std::string, class_state> mClasses;
  std::unordered_map<work_id, running_work> mRunning;
  std::map<std::string, team_state> mTeams;
  std::map<std::string, std::int64_t> mGrants;
  std::optional<time_point> mGrantExpiry;
  grant_phase mPhase = grant_phase::None;
  std::optional<time_point> mTeamGrantExpiry;
  std::size_t mEntryIndex = 0;
  std::size_t mEntryCount = 1;
  std::vector<schedule_outcome> mOutcomes;
  std::vector<target_candidate> mCandidates; ///< Reused to avoid allocations.
};

} // namespace arbutusferry
