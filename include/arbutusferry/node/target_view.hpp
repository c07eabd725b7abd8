#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/node/request_limit.hpp"
#include "arbutusferry/node/software_history.hpp"
#include "arbutusferry/time.hpp"
#include "zones/cold_state.hpp"
#include "zones/evacuations.hpp"
#include "zones/home_regions.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// State of a target as it reports it.
struct target_entry
{
  std::string id; ///< Changes at almost every start.
  std::string service;
  socket_address address;
  std::string zone;
  /// Version of the target's software, not of its weights; empty if it names
  /// none.
  std::string software;
  int slots = 1;
  bool draining = false;
  bool reclaimable = false; ///< May be taken away at short notice.
  /// Start time; distinguishes two starts of one id.
  std::int64_t bornUnixMs = 0;
  std::map<std::string, std::int64_t> modelVersions;
  /// Time until it is warm, as of the writing; empty if the record lacks it.
  std::optional<std::chrono::milliseconds> coldLeft;
};

/// Orders targets by the time that a request is expected to take there.
class target_ranking
{
public:
  virtual ~target_ranking() = default;
  /// @param aSalt Varies the order among requests.
  /// @return A number; targets with smaller ones are chosen first.
  [[nodiscard]] virtual double Rank(const target_entry& aTarget,
                                    int aOutstanding,
                                    std::uint64_t aSalt) const = 0;
};

/// Which targets may serve a plain request.
struct target_query
{
  std::string service;
  /// The only software version that may serve it, if any.
  std::optional<std::string> software;
  std::string zone;               ///< Zone of this node.
  std::vector<std::string> tried; ///< Already sent there; chosen last.
  std::set<std::string> excluded; ///< Never chosen.
  std::uint64_t salt = 0;         ///< Breaks ties differently by request.
  /// Whether targets count as full before callers' requests find no slot.
  bool leavesSlots = false;
  home_regions homes; ///< Regions of the targets that may serve it.
  /// Replaces the choice by zone and outstanding requests, if not null.
  const target_ranking* ranking = nullptr;
};

/// Slots of each target that reward calls leave to callers' own requests.
/// @param aSlots Slots of the target.
[[nodiscard]] int
SlotsKeptForCallers(int aSlots);

/// All known targets, with this process's observations of them.
class target_view
{
public:
  struct known_target
  {
    target_entry entry;
    /// Set when the registry removed it; it is a last resort from then on.
    std::optional<time_point> removedSince;
    time_point drainingSince;
    /// Not offered work before this time, after failures.
    time_point avoidUntil;
    int failures = 0; ///< In a row.
    int outstanding = 0;
    target_limit limit;
    cold_state cold;
    /// Starts that the leader grants to nodes that take the target for cold
    /// while it is known to be warm.
    target_limit doubtedStarts;
    /// Earliest start that the leader offers while the target has a limit.
    time_point nextStart;
  };

  /// The operator's orders, which `Choose` and `CountReady` follow.
  [[nodiscard]] evacuations& Evacuations() noexcept { return mEvacuations; }
  [[nodiscard]] const evacuations& Evacuations() const noexcept
  {
    return mEvacuations;
  }
  /// @return Whether requests may be sent to a target's zone.
  [[nodiscard]] bool Allows(const known_target& aTarget) const
  {
    return mEvacuations.Allows(aTarget.entry.zone);
  }
  /// @param aZone Zone of the address; if empty, the known target there tells.
  /// @return Whether requests may be sent to an address.
  [[nodiscard]] bool Allows(const socket_address& aAddress,
                            const std::string& aZone) const;

  void SetRegions(region_map aRegions) { mRegions = std::move(aRegions); }
  [[nodiscard]] const region_map& Regions() const noexcept { return mRegions; }
  /// Sets the services whose targets may be cold.
  void SetColdRates(std::map<std::string, cold_rate> aRates, time_point aNow);
  /// Takes a target as cold until a later record tells otherwise.
  void PresumeCold(const std::string& aId,
                   cold_reason aReason,
                   time_point aNow);
  /// As `PresumeCold`, for the target at an address.
  void NoteBroken(const socket_address& aAddress, time_point aNow);
  /// Takes the targets of a zone as cold, whose evacuation has ended.
  void NoteZoneBack(const std::string& aZone, time_point aNow);
  /// @return Whether the target at an address is taken for cold.
  [[nodiscard]] bool ColdAt(const socket_address& aAddress) const;
  /// @return The number of targets that are taken for cold.
  [[nodiscard]] std::size_t CountCold() const;
  /// @return Whether targets of a service may be cold.
  [[nodiscard]] bool HasColdRates() const noexcept
  {
    return !mColdRates.empty();
  }
  /// @return What binds the starts at a target.
  [[nodiscard]] static start_limits LimitsOf(const known_target& aTarget);

  /// Adds or changes a target.
  void Update(const target_entry& aEntry, time_point aNow);
  /// Notes that the registry removed a target.
  void Remove(const std::string& aId, time_point aNow);
  /// Forgets removed targets that are no longer a last resort.
  void Expire(time_point aNow);

  [[nodiscard]] known_target* Find(const std::string& aId);
  [[nodiscard]] std::map<std::string, known_target>& All() noexcept
  {
    return mTargets;
  }
  [[nodiscard]] const std::map<std::string, known_target>& All() const noexcept
  {
    return mTargets;
  }

  /// Chooses a target for a plain request: in the own zone while that has free
  /// slots, with the fewest outstanding requests. One that is cold or has named
  /// a limit recently is chosen only if the others failed recently or were
  /// tried; one that failed recently or was tried only if no other is left.
  /// @return The target's id, or empty.
  [[nodiscard]] std::string Choose(const target_query& aQuery,
                                   time_point aNow) const;
  /// @return The number of targets that neither drain nor are gone nor
  /// excluded, in zones that aren't evacuated.
  [[nodiscard]] std::size_t CountReady(const target_query& aQuery) const;
  /// @return The software versions of all known targets.
  [[nodiscard]] software_history::version_map SoftwareVersions() const;
  /// Takes the bursts of all limits as used, when this process begins to share
  /// out the rates of targets.
  void SpendLimitBursts(time_point aNow);
  /// Notes how an exchange with a target ended.
  void NoteSuccess(const std::string& aId);
  void NoteFailure(const std::string& aId, time_point aNow);
  /// Notes that a target refused a request because it was full.
  void NoteFull(const std::string& aId, time_point aNow);
  /// Applies what a target's response says about its limit, as
  /// `target_limit::Note` does.
  void NoteLimit(const std::string& aId,
                 const limit_notice& aNotice,
                 bool aGenuine,
                 time_point aSentAt,
                 time_point aNow);

private:
  [[nodiscard]] bool Fits(const known_target& aTarget,
                          const target_query& aQuery) const;

  [[nodiscard]] const cold_rate* ColdRateOf(const known_target& aTarget) const;
  /// Applies a record to what is known of a target's coldness.
  void NoteColdRecord(known_target& aTarget, bool aNew, time_point aNow);
  /// Sets a target's rate by whether it is cold now.
  void SyncColdRate(known_target& aTarget, time_point aNow);
  void PresumeCold(known_target& aTarget,
                   cold_reason aReason,
                   time_point aFrom,
                   time_point aNow);

  std::map<std::string, known_target> mTargets;
  region_map mRegions;
  evacuations mEvacuations;
  std::map<std::string, cold_rate> mColdRates; ///< By service.
  /// When the evacuations of zones ended.
  std::map<std::string, time_point> mZonesBack;
};

} // namespace arbutusferry::node
