#pragma once

#include "arbutusferry/slot_planner.hpp"

#include <deque>

namespace arbutusferry {

struct issued_round
{
  std::int64_t round = 0;
  time_point issuedAt{};
  std::map<std::string, std::int64_t> slots; ///< By target id.
};

struct entry_state
{
  time_point firstReport{};
  time_point lastReport{};
  std::vector<team_demand> demand;
  std::map<std::string, std::int64_t> inFlight;
  std::optional<time_point> acknowledgedIssueTime;
  /// Newest acknowledged round that this planner did not issue.
  std::optional<std::int64_t> otherPlannerRound;
  std::deque<issued_round> rounds; ///< From the acknowledged round on.
  /// Parts of slots lost to rounding, by class.
  std::map<std::string, double> carry;
  std::map<std::string, std::int64_t> desired; ///< By target id.
};

/// Another zone, with the slots of its newest report. As a borrower it has the
/// same state as an entry.
struct zone_state
{
  std::map<std::string, std::int64_t> slots; ///< By class.
  entry_state borrower;
};

/// Tracks by how much each team of a class falls short of its share. When a
/// step arrives, its team waits until exchanges of other teams end; without the
/// deficit it would never make up for that time.
class service_balance
{
public:
  /// @return Factor for the share of a team; 1 without a deficit.
  [[nodiscard]] double Factor(const std::string& aTeam) const;

  /// Accounts the time since the last update.
  /// @param aEntitled Slots that each team is entitled to now.
  /// @param aHeld Slots that each team holds.
  void Update(const std::map<std::string, double>& aEntitled,
              const std::map<std::string, double>& aHeld,
              time_point aNow);

private:
  struct team_state
  {
    double deficit = 0; ///< Slot seconds.
    double entitled = 0;
  };

  std::map<std::string, team_state> mTeams;
  time_point mLastUpdate{};
};

/// Working state of one class in one round. Nested vectors are indexed by
/// entry, then by target.
struct class_plan
{
  std::string name;
  std::vector<const target_info*> targets;
  std::vector<bool> own; ///< Whether the target is in the own zone.
  std::vector<std::int64_t> capacity; ///< By target.
  /// Slots that an entry may still use.
  std::vector<std::vector<std::int64_t>> reserved;
  std::vector<std::vector<std::int64_t>> desired;
  std::vector<std::size_t> grantable; ///< Entries that get grants.
  std::vector<std::size_t> borrowers; ///< Other zones.
  std::vector<std::size_t> served;    ///< Both.

  /// Sets `desired`: spreads the slots of each entry over the targets and moves
  /// as few as possible.
  /// @param aCounts Slots by entry.
  void Spread(const std::vector<entry_state*>& aEntries,
              const std::vector<std::int64_t>& aCounts);

  /// @return `desired`, with growth limited to slots that no other entry may
  /// still use.
  /// @param aOffset Index in `served` of the entry that comes first, modulo the
  /// size.
  [[nodiscard]] std::vector<std::vector<std::int64_t>> Issue(
    std::size_t aOffset) const;
};

} // namespace arbutusferry
