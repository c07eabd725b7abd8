#pragma once

#include "arbutusferry/circuit_breaker.hpp"
#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/fair_queue.hpp"
#include "arbutusferry/prefix_hints.hpp"
#include "arbutusferry/retry_budget.hpp"
#include "arbutusferry/target_selector.hpp"

#include <unordered_map>

namespace arbutusferry {

/// How a submitted item left the queue.
struct schedule_outcome
{
  work_id id = 0;
  std::variant<assignment, error_info> value;
};

/// The decisions behind the dispatcher: state and the present time in,
/// outcomes out. Not thread-safe.
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
                     std::size_t aIndex,
                     std::size_t aEntries,
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
  struct target_entry
  {
    target_info info;
    bool listed = false;
    bool local = false;     ///< In the own availability zone.
    std::int64_t limit = 0; ///< Exchanges this entry may have in flight.
    std::int64_t inFlight = 0;
    std::int64_t reported = 0; ///< `inFlight` at the newest load report.
    circuit_breaker breaker;
  };

  struct class_entry
  {
    std::vector<target_entry*> targets;
    std::int64_t localLimit = 0;
    std::size_t zones = 0;
    double meanService = 0; ///< Seconds per exchange.
    double meanCall = 0;    ///< Seconds per interactive exchange.
  };

  struct running_work
  {
    target_entry* target = nullptr;
    std::string team;
    work_kind kind = work_kind::Interactive;
    time_point started;
  };

  struct team_entry
  {
    retry_budget retries;
    time_point refusedUntil{}; ///< End of the time in which retries are shed.
  };

  /// Whether the newest grants hold.
  enum class grant_phase
  {
    None,  ///< No grants: the entry uses its fallback slots.
    Valid, ///< The grants hold.
    Grace, ///< Expired lately: the smaller of grant and fallback holds.
  };

  [[nodiscard]] grant_phase Phase(time_point aNow) const;
  [[nodiscard]] std::int64_t LocalLimit(const target_entry& aTarget) const;
  void UpdateLimits();
  void ExpireGrants(time_point aNow);
  placement Gather(const class_entry& aClass,
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
  std::unordered_map<std::string, std::unique_ptr<target_entry>> mTargets;
  std::map<std::string, class_entry> mClasses;
  std::unordered_map<work_id, running_work> mRunning;
  std::map<std::string, team_entry> mTeams;
  std::map<std::string, std::int64_t> mGrants;
  std::optional<time_point> mGrantExpiry;
  grant_phase mPhase = grant_phase::None;
  std::optional<time_point> mTeamGrantExpiry;
  std::size_t mIndex = 0;
  std::size_t mEntries = 1;
  std::vector<schedule_outcome> mOutcomes;
  std::vector<target_candidate> mCandidates; ///< Kept to avoid allocations.
};

} // namespace arbutusferry
