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
/// @return Parts; their sum is the smaller one of capacity and demand.
[[nodiscard]] std::vector<double>
WeightedMaxMin(double aCapacity,
               const std::vector<double>& aWeights,
               const std::vector<double>& aDemands);

/// Slots of a target that an entry may use without a grant. Over all indices
/// they add up to `aSlots`; the remainder goes to different entries at each
/// target.
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
  std::vector<tenant_demand> demand;
  std::map<std::string, std::int64_t> inFlight; ///< By target id.
  /// Newest round whose grants the entry uses. Without it a round counts as
  /// received when it is older than `planner_options::assumedDelivery`.
  std::optional<std::int64_t> acknowledged;
};

/// What the planner of one zone reports to those of the other zones.
struct zone_report
{
  std::string zone;
  std::map<std::string, std::int64_t> slots; ///< Of live targets, by class.
  std::vector<tenant_demand> demand;         ///< Of all its entries.
  /// Exchanges of its entries at targets of the receiver's zone.
  std::map<std::string, std::int64_t> inFlight;
};

/// Grants of one round for one entry.
struct entry_plan
{
  std::int64_t round = 0;
  time_point expiry{};
  std::vector<slot_grant> grants;
  std::vector<tenant_grant> tenants;
};

/// Settings of a slot planner.
struct planner_options
{
  /// Own availability zone. When it is empty, all targets count as its own.
  std::string zone;
  duration grantLifetime = std::chrono::seconds(5); ///< Validity of grants.
  duration assumedDeliveryDelay = std::chrono::seconds(1);
  std::int64_t firstRound = 1; ///< Differs between planner processes.
};

/// @return Name under which the slots lent to a zone appear among the plans.
[[nodiscard]] std::string
ZoneInstance(const std::string& aZone);

/// Divides the slots of one availability zone among its entries. A step waits
/// at one entry, so the demand of the zones differs; what a zone does not need
/// for its part of the max-min share over all zones is lent to zones that need
/// more. Loans hold for one term and only cost efficiency when they are wrong.
///
/// Any number
/// of planners may run at once: a planner lends the slots that belong to an
/// entry without grant (`FallbackSlots`) only while that entry acknowledges
/// this planner's grants, so the planners' grants do not overlap. Exchanges
/// that outlast a term may still run on lent slots when the grants have ended;
/// they are then known only from the load reports, and a target can exceed its
/// slots by what these do not show yet.
class slot_planner
{
public:
  explicit slot_planner(const planner_options& aOptions = {});
  slot_planner(slot_planner&&) noexcept;
  slot_planner& operator=(slot_planner&&) noexcept;
  ~slot_planner();

  /// Takes in a report.
  void Report(const entry_report& aReport, time_point aNow);

  /// Takes in a report of another zone. Zones that were not heard of for a
  /// term neither lend nor borrow.
  void ReportZone(const zone_report& aReport, time_point aNow);

  /// @return The report for another zone.
  /// @param aTargets Targets of all zones.
  [[nodiscard]] zone_report ZoneReport(const std::string& aReceiver,
                                       const std::vector<target_info>& aTargets,
                                       time_point aNow) const;

  /// Plans a round.
  /// @param aShares Shares of the tenants; 1 where missing.
  /// @param aTargets Targets of the own zone with their load reports, and
  /// targets of other zones with the slots that those zones lend.
  /// @param aEntries Sorted instances of all live entries of the zone.
  /// @return Grants by instance, and loans by `ZoneInstance`. An entry that is
  /// missing here keeps what it has.
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
