#pragma once

#include "arbutusferry/membership.hpp"
#include "arbutusferry/zone_sync.hpp"

#include <set>
#include <tuple>

namespace arbutusferry {

/// Lists that one control process keeps about its zone: VMs, targets with
/// their load, entries, usage counters, and the members' statements of the
/// newest configuration change that they accepted (`isolation_view`). A relay
/// fills them from the platform and its members, a member from the answers of
/// its relay. Not thread-safe.
class zone_view
{
public:
  /// @param aInstance Source of the list versions; versions of different
  /// instances cannot be compared.
  zone_view(std::string aSelf, std::string aZone, std::string aInstance);

  [[nodiscard]] zone_membership& Membership() noexcept { return mMembership; }
  [[nodiscard]] const zone_membership& Membership() const noexcept
  {
    return mMembership;
  }
  [[nodiscard]] isolation_view& Isolation() noexcept { return mIsolation; }

  void SetVms(std::vector<vm_info> aVms);
  /// @param aTargets Targets of all zones, without load.
  void SetTargets(std::vector<target_info> aTargets);
  /// @param aTargets Targets of the own zone, without load; those of other
  /// zones are kept.
  void SetZoneTargets(std::vector<target_info> aTargets);
  /// Replaces the targets that are to get no new work although the platform
  /// lists them as live.
  void SetDraining(std::set<std::string> aDraining);
  [[nodiscard]] const std::set<std::string>& Draining() const noexcept
  {
    return mDraining;
  }
  /// @param aPolledHere True for a load that this process polled. It takes
  /// precedence over loads from peers.
  void SetLoad(const target_load& aLoad, bool aPolledHere);
  /// Drops the loads polled here of targets that are not in the list; other
  /// members poll those now.
  void RetainOwnLoads(const std::vector<target_info>& aPolled);

  /// Stores the contents of an entry's sync request.
  void OnEntrySync(const node_sync_request& aRequest, time_point aNow);
  /// Stores the contents of a member's sync request.
  void OnMemberSync(const zone_sync_request& aRequest, time_point aNow);
  /// Stores the contents of the relay's answer.
  void OnRelayAnswer(const zone_sync_response& aAnswer, time_point aNow);
  /// Stores the contents of an answer of another zone's relay.
  void OnSummary(const zone_summary_response& aAnswer, time_point aNow);
  /// Lists entries from the own syncs and summaries instead of the relay's
  /// answers.
  void StopFollowingRelay();
  /// Removes entries, members and zones that were not heard from in time.
  void Expire(time_point aNow);

  /// @return Request to a relay with the fields that come from the lists.
  [[nodiscard]] zone_sync_request MakeRequest() const;
  /// Marks the usage and loads of an answered request, so that they are not
  /// sent to this relay again.
  void OnRequestAnswered(const zone_sync_request& aRequest);
  /// Marks all usage and loads as unsent: a new relay has none of them.
  void OnRelayChanged();

  /// Adds the lists that changed since `aSeen` to an answer.
  void FillAnswer(zone_sync_response& aAnswer,
                  const list_versions& aSeen) const;
  /// Adds the targets of all zones and all entries to an answer, or only the
  /// changed loads if the entry has the current lists.
  /// @param aSeen Versions that the entry has, if known.
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
  /// @return Targets of the own zone, with the state that the platform lists.
  [[nodiscard]] std::vector<target_info> ListedTargets() const;
  /// @return Live entries of all zones, sorted by instance.
  [[nodiscard]] const std::vector<entry_info>& Entries() const noexcept
  {
    return mEntries;
  }
  /// @return Reports of the zone's entries that sync with this process or with
  /// its members.
  [[nodiscard]] std::vector<member_entry> ZoneEntries() const;
  /// @return Demand of the zone, summed by team and class.
  [[nodiscard]] std::vector<team_demand> ZoneDemand() const;
  /// @return Demand of the other zones that were heard from recently, by zone.
  [[nodiscard]] std::map<std::string, std::vector<team_demand>>
  OtherZonesDemand(time_point aNow) const;
  /// @return Whether the entry syncs directly with this process.
  [[nodiscard]] bool IsOwnEntry(const std::string& aInstance) const;
  /// @return Counters that this process has not appended to the log.
  [[nodiscard]] std::vector<usage_counter> UnloggedUsage() const;
  void OnUsageLogged(const std::vector<usage_counter>& aCounters);
  /// @return Number of dropped counters that were neither appended to the log
  /// nor acknowledged by the relay.
  std::size_t DropUsageBefore(unix_seconds aWindow);

  [[nodiscard]] const list_versions& Versions() const noexcept
  {
    return mVersions;
  }
  /// @return Number that grows when the target list, the entry list or the
  /// weight version of a target changes; other load changes do not count.
  [[nodiscard]] std::int64_t EntryAnswerVersion() const noexcept
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
    std::vector<team_demand> demand;
    time_point lastHeard{};
  };
  using usage_key = std::tuple<unix_seconds, std::string, std::string>;
  struct usage_item
  {
    usage_counter counter;
    bool acknowledged = false; ///< By the relay.
    bool logged = false;       ///< Appended in a batch.
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
  std::map<std::string, own_load> mOwnLoads;    ///< Polled here, by target.
  std::map<std::string, own_entry> mOwnEntries; ///< By instance.
  std::map<std::string, member_report> mMembers;
  std::map<std::string, remote_zone> mRemoteZones;
  bool mFollowsRelay = false;
  std::vector<entry_info> mRelayEntries;
  std::vector<entry_info> mEntries;
  std::map<usage_key, usage_item> mUsage;
};

} // namespace arbutusferry
