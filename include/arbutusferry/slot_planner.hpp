#pragma once

#include "arbutusferry/node_sync.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Divides a capacity by weighted max-min fairness.
/// @param aWeights Weights above 0.
/// @param aDemands Upper bounds, one for each weight.
/// @return Parts, in the order of the weights. Their sum is the smaller of
/// capacity and total demand.
[[nodiscard]] std::vector<double>
WeightedMaxMin(double aCapacity,
               const std::vector<double>& aWeights,
               const std::vector<double>& aDemands);

/// @return Slots of a target that an entry may use without a grant. Over all
/// indices they add up to `aSlots`; which entries get the remainder differs
/// between targets.
/// @param aIndex Index of the entry in the sorted list of live entries.
/// @param aEntries Number of live entries of the zone.
[[nodiscard]] std::int64_t
FallbackSlots(const std::string& aTarget,
              std::int64_t aSlots,
              std::size_t aIndex,
              std::size_t aEntries) noexcept;

/// What an entry reports to the planner of its zone.
struct entry_report
{
  std::string instance;
  std::vector<team_demand> demand;
  std::map<std::string, std::int64_t> inFlight; ///< By target id.
  /// Newest round whose grants the entry uses. Without it a round counts as
  /// received when it is older than
  /// `slot_planner_options::assumedDeliveryDelay`.
  std::optional<std::int64_t> acknowledged;
};

/// What the planner of one zone reports to those of the other zones.
struct zone_report
{
  std::string zone;
  std::map<std::string, std::int64_t> slots; ///< Of live targets, by class.
  std::vector<team_demand> demand;           ///< Of all its entries.
  /// Exchanges of its entries at targets of the receiver's zone, by target id.
  std::map<std::string, std::int64_t> inFlight;
};

/// Grants of one round for one entry.
struct entry_plan
{
  std::int64_t round = 0;
  time_point expiry{};
  std::vector<slot_grant> grants;
  std::vector<team_grant> teams;
};

/// Settings of a slot planner.
struct slot_planner_options
{
  /// Availability zone of the planner. If empty, all targets count as its own.
  std::string zone;
  duration grantLifetime = std::chrono::seconds(5); ///< Validity of grants.
  /// Age at which a round without acknowledgement counts as received.
  duration assumedDeliveryDelay = std::chrono::seconds(1);
  std::int64_t firstRound = 1; ///< Must differ between planner processes.
};

/// @return Key of the slots lent to a zone in the result of
/// `slot_planner::Plan`.
[[nodiscard]] std::string
LoanPlanKey(const std::string& aZone);

/// Divides the slots of one availability zone among its entries. All requests
/// of a step wait at one entry, so the demand differs between zones. Slots that
/// a zone does not need for its part of the max-min share over all zones are
/// lent to zones that need more. Loans expire like grants; a wrong loan only
/// costs efficiency.
///
/// Any number of planners may run at once. A planner lends the fallback slots
/// of an entry (`FallbackSlots`) only while that entry acknowledges this
/// planner's grants, so the grants of different planners do not overlap. An
/// exchange that outlasts its grant may still occupy a lent slot; only the load
/// reports show it then, and until they do, a target can exceed its slots.
class slot_planner
{
public:
  explicit slot_planner(const slot_planner_options& aOptions = {});
  slot_planner(slot_planner&&) noexcept;
  slot_planner& operator=(slot_planner&&) noexcept;
  ~slot_planner();

  /// Stores the newest report of an entry.
  void Report(const entry_report& aReport, time_point aNow);

  /// Stores the newest report of another zone. A zone without a report for
  /// `slot_planner_options::grantLifetime` neither lends nor borrows.
  void ReportZone(const zone_report& aReport, time_point aNow);

  /// @return The report for another zone.
  /// @param aTargets Targets of all zones.
  [[nodiscard]] zone_report ZoneReport(const std::string& aReceiver,
                                       const std::vector<target_info>& aTargets,
                                       time_point aNow) const;

  /// Plans a round.
  /// @param aShares Shares of the teams; a missing share is 1.
  /// @param aTargets Targets of this zone with their load reports, and targets
  /// of other zones with the slots that those zones lend.
  /// @param aEntries Sorted instances of all live entries of the zone.
  /// @return Grants by instance, and loans by `LoanPlanKey`. An entry without
  /// a plan keeps its grants until they expire.
  [[nodiscard]] std::map<std::string, entry_plan> Plan(
    const std::map<std::string, double>& aShares,
    const std::vector<target_info>& aTargets,
    const std::vector<std::string>& aEntries,
    time_point aNow);

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry
