#pragma once

#include "arbutusferry/membership.hpp"
#include "arbutusferry/zone_sync.hpp"

#include <set>
#include <tuple>

namespace arbutusferry {

/// Lists that one control process keeps about its zone: VMs, targets with
/// their load, entries, usage counters, and the statements of members without
/// a log. A relay fills them from the platform and its members, a member from
/// the answers of its relay. Not thread-safe; times are passed in.
class zone_board
{
public:
  /// @param aInstance Numbers the versions of the lists.
  zone_board(std::string aSelf, std::string aZone, std::string aInstance);

  [[nodiscard]] zone_membership& Membership() noexcept { return mMembership; }
  [[nodiscard]] const zone_membership& Membership() const noexcept
  {
    return mMembership;
  }
  [[nodiscard]] isolation_view& Isolation() noexcept { return mIsolation; }

  void SetVms(std::vector<vm_info> aVms);
  /// @param aTargets Targets of all zones, without load.
  void SetTargets(std::vector<target_info> aTargets);
  /// @param aTargets Targets of the own zone; those of other zones are kept.
  void SetZoneTargets(std::vector<target_info> aTargets);
  /// Replaces the targets that are to get no new work although the platform
  /// lists them as live.
  void SetDraining(std::set<std::string> aDraining);
  [[nodiscard]] const std::set<std::string>& Draining() const noexcept
  {
    return mDraining;
  }
  /// @param aPolledHere True for a load that this process asked for itself.
  void SetLoad(const target_load& aLoad, bool aPolledHere);
  /// Other members poll the targets that are not in the list.
  void RetainOwnLoads(const std::vector<target_info>& aPolled);

  /// An entry synced with this process.
  void OnEntrySync(const node_sync_request& aRequest, time_point aNow);
  /// A member synced with this process.
  void OnMemberSync(const zone_sync_request& aRequest, time_point aNow);
  /// The relay answered this process.
  void OnRelayAnswer(const zone_sync_response& aAnswer, time_point aNow);
  /// The relay of another zone answered.
  void OnSummary(const zone_summary_response& aAnswer, time_point aNow);
  /// This process no longer follows a relay; it lists what it hears itself.
  void StopFollowingRelay();
  /// Removes what was not heard of for too long.
  void Expire(time_point aNow);

  /// @return The part of a request to a relay that comes from the lists.
  [[nodiscard]] zone_sync_request MakeRequest() const;
  /// The request was answered; its usage and loads need not be sent to this
  /// relay again.
  void OnRequestAnswered(const zone_sync_request& aRequest);
  /// Forgets what the last relay was told.
  void OnRelayChanged();

  /// Puts the lists that the reader does not have into an answer.
  void FillAnswer(zone_sync_response& aAnswer,
                  const list_versions& aSeen) const;
  /// Puts the targets of all zones and all entries into an answer, or only
  /// the loads that changed if the entry holds the lists `aSeen`.
  void FillEntryAnswer(node_sync_response& aAnswer,
                       const std::optional<list_versions>& aSeen) const;
  void FillSummary(zone_summary_response& aAnswer,
                   const list_versions& aSeen) const;

  [[nodiscard]] const std::vector<vm_info>& Vms() const noexcept
  {
    return mVms;
  }
  /// @return Targets of all zones with load, sorted by id. Draining ones are
  /// shown as leaving.
  [[nodiscard]] const std::vector<target_info>& Targets() const noexcept
  {
    return mTargets;
  }
  /// @return Targets of the own zone in the state that the platform lists.
  [[nodiscard]] std::vector<target_info> ListedTargets() const;
  /// @return Live entries of all zones, sorted by instance.
  [[nodiscard]] const std::vector<entry_info>& Entries() const noexcept
  {
    return mEntries;
  }
  /// @return What the zone's entries reported, own and of members.
  [[nodiscard]] std::vector<member_entry> ZoneEntries() const;
  /// @return Sums of the zone by tenant and class.
  [[nodiscard]] std::vector<tenant_demand> ZoneDemand() const;
  /// @return Sums of other zones heard from lately, by zone.
  [[nodiscard]] std::map<std::string, std::vector<tenant_demand>>
  OtherZonesDemand(time_point aNow) const;
  /// @return Whether an entry syncs with this process itself.
  [[nodiscard]] bool IsOwnEntry(const std::string& aInstance) const;
  /// @return Counters that are not in the log yet, as far as is known here.
  [[nodiscard]] std::vector<usage_counter> UnloggedUsage() const;
  void OnUsageLogged(const std::vector<usage_counter>& aCounters);
  /// @return Number of dropped counters that never reached the log.
  std::size_t DropUsageBefore(unix_seconds aWindow);

  [[nodiscard]] const list_versions& Versions() const noexcept
  {
    return mVersions;
  }
  /// @return Number that changes with every list that entries receive.
  [[nodiscard]] std::int64_t EntryVersion() const noexcept
  {
    return mVersions.targets + mVersions.entries + mWeightChanges;
  }

private:
  struct own_entry
  {
    member_entry entry;
    time_point lastHeard{};
  };
  struct member_report
  {
    std::vector<member_entry> entries;
    time_point lastHeard{};
  };
  struct remote_zone
  {
    std::vector<entry_info> entries;
    std::vector<tenant_demand> demand;
    time_point lastHeard{};
  };
  using usage_key = std::tuple<unix_seconds, std::string, std::string>;
  struct usage_item
  {
    usage_counter counter;
    bool acknowledged = false; ///< The relay has this value.
    bool logged = false;       ///< A batch with this value was appended.
  };

  struct own_load
  {
    target_load load;
    bool acknowledged = false;
  };

  usage_item* FindUsage(const usage_counter& aCounter);
  void MergeUsage(const std::vector<usage_counter>& aCounters);
  void RebuildEntries();
  [[nodiscard]] target_info* FindTarget(const std::string& aId);

  std::string mSelf;
  std::string mZone;
  zone_membership mMembership;
  isolation_view mIsolation;
  list_versions mVersions;
  std::int64_t mWeightChanges = 0;
  std::vector<vm_info> mVms;
  std::vector<target_info> mTargets;
  std::set<std::string> mDraining;
  std::map<std::string, std::int64_t> mLoadVersions; ///< By target id.
  std::map<std::string, own_load> mOwnLoads;    ///< Of targets polled here.
  std::map<std::string, own_entry> mOwnEntries; ///< By instance.
  std::map<std::string, member_report> mMembers;
  std::map<std::string, remote_zone> mRemoteZones;
  bool mFollowsRelay = false;
  std::vector<entry_info> mRelayEntries;
  std::vector<entry_info> mEntries;
  std::map<usage_key, usage_item> mUsage;
};

} // namespace arbutusferry
