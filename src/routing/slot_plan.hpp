#pragma once

#include "arbutusferry/slot_planner.hpp"

#include <deque>

namespace arbutusferry {

struct issued_round
{
  std::int64_t round = 0;
  time_point issuedAt{};
  std::map<std::string, std::int64_t> slots;
};

struct entry_state
{
  time_point firstReport{};
  time_point lastReport{};
  std::vector<tenant_demand> demand;
  std::map<std::string, std::int64_t> inFlight;
  std::optional<time_point>
    acknowledgedIssueTime; ///< When that round was issued.
  std::optional<std::int64_t> otherPlannerRound; ///< Newest of another planner.
  std::deque<issued_round> rounds;     ///< From the acknowledged round on.
  std::map<std::string, double> carry; ///< By class.
  std::map<std::string, std::int64_t> desired;
};

/// Another zone. Its slots and demand are the newest report's; the rest is the
/// state of a borrower, kept as for an entry.
struct zone_state
{
  std::map<std::string, std::int64_t> slots;
  entry_state borrower;
};

/// Remembers how far tenants of a class are behind their shares. When a step
/// arrives, its tenant waits until exchanges of others end, and without memory
/// it never makes up for that time.
class service_balance
{
public:
  /// @return Factor for the share of a tenant, 1 if it got what it should.
  [[nodiscard]] double Factor(const std::string& aTenant) const;

  /// Adds the time since the last update.
  /// @param aEntitled Slots by tenant that it should hold now.
  /// @param aHeld Slots by tenant that it holds.
  void Update(const std::map<std::string, double>& aEntitled,
              const std::map<std::string, double>& aHeld,
              time_point aNow);

private:
  struct tenant_state
  {
    double deficit = 0; ///< Slot seconds.
    double entitled = 0;
  };

  std::map<std::string, tenant_state> mTenants;
  time_point mLastUpdate{};
};

/// Working state of one class in one round; vectors are by entry, then target.
struct class_plan
{
  std::string name;
  std::vector<const target_info*> targets;
  std::vector<bool> own; ///< Whether the target is in the own zone.
  std::vector<std::int64_t> capacity;              ///< By target.
  std::vector<std::vector<std::int64_t>> reserved; ///< Still usable by entry.
  std::vector<std::vector<std::int64_t>> desired;
  std::vector<std::size_t> grantable; ///< Entries that get grants.
  std::vector<std::size_t> borrowers; ///< Other zones.
  std::vector<std::size_t> served;    ///< Both.

  /// Spreads the slots of each entry over the targets, moving as few as
  /// possible.
  void Spread(const std::vector<entry_state*>& aEntries,
              const std::vector<std::int64_t>& aCounts);

  /// Limits growth to slots that no other entry may still use.
  /// @param aTurn Rotates who comes first.
  [[nodiscard]] std::vector<std::vector<std::int64_t>> Issue(
    std::size_t aOffset) const;
};

} // namespace arbutusferry
