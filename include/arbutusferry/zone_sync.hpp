#pragma once

#include "arbutusferry/freshness.hpp"
#include "arbutusferry/node_sync.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Records, or a whole state, that bring a reader up to an offset.
struct config_update
{
  Json::Value state; ///< Null unless records are not enough.
  std::vector<raw_log_record> records;
  log_offset offset = kNoOffset; ///< Complete up to here.
};

/// What a member knows of an entry process that syncs with it.
struct member_entry
{
  entry_info entry;
  std::vector<team_demand> demand;
  std::map<std::string, std::int64_t> inFlight; ///< By target id.
  std::int64_t grantRound = -1; ///< Round of the grants in use; -1 if none.
};

/// Versions of the lists that a reader holds. A list is sent again only when
/// its version differs. Versions of different sources cannot be compared.
struct list_versions
{
  std::string source; ///< Instance that numbers the versions.
  std::int64_t vms = 0;
  std::int64_t targets = 0;
  std::int64_t entries = 0;
  std::int64_t loads = 0;
};

/// Slots for one entry of a member.
struct entry_grant
{
  std::string instance;
  std::int64_t ageMs = 0; ///< Age of the plan when the answer was written.
  std::int64_t round = -1;
  std::vector<slot_grant> grants;
  std::vector<team_grant> teams;
};

/// Sent by a control process to the relay of its zone, which delays the answer
/// until there are changes or `holdMs` has passed.
struct zone_sync_request
{
  std::string member; ///< VM id of the sender.
  log_offset offset = kNoOffset;
  /// Whether the sender's view was complete at some time since its start. If
  /// so, the request is also its own `isolation_report` with offset `newest`.
  bool complete = false;
  log_offset newest = kNoOffset; ///< Newest change of the configuration.
  bool draining = false; ///< The sender is stopping and no longer a member.
  std::int64_t lastAnswer = 0; ///< Number of the last answer it received.
  std::int64_t holdMs = 0;
  list_versions seen;
  std::vector<member_entry> entries;
  std::vector<usage_counter> usage; ///< Changed since the last answer.
  std::vector<target_load> loads;   ///< Of the targets the member polls.
};

/// Answer to `zone_sync_request`.
struct zone_sync_response
{
  std::int64_t number = 0; ///< Of this answer to this member.
  std::int64_t heldMs = 0;
  std::int64_t viewAgeMs = -1; ///< -1 if the view was never complete.
  config_update update;
  log_offset checkpoint = kNoOffset; ///< Offset of the newest checkpoint.
  list_versions versions;            ///< Versions after this answer.
  std::vector<std::string> members;  ///< Live members of the zone.
  std::optional<std::vector<vm_info>> vms;
  std::optional<std::vector<target_info>> targets;
  std::optional<std::vector<entry_info>> entries;
  std::vector<target_load> loads; ///< Changed since `seen`.
  std::vector<entry_grant> grants;
  std::optional<isolation_report> isolation;
};

/// Sent by the relay of a zone to the relay of another zone.
struct zone_summary_request
{
  std::string zone;
  std::string member;
  log_offset offset = kNoOffset;
  list_versions seen;
};

/// Answer to `zone_summary_request`.
struct zone_summary_response
{
  std::string zone;
  std::int64_t viewAgeMs = -1;
  config_update update;
  list_versions versions;
  std::optional<std::vector<entry_info>> entries; ///< Of the answering zone.
  /// Sums over the answering zone by team and class.
  std::vector<team_demand> demand;
  std::vector<target_load> loads; ///< Of the answering zone's targets.
  std::optional<isolation_report> isolation;
};

[[nodiscard]] Json::Value
WriteZoneSyncRequest(const zone_sync_request& aRequest);
[[nodiscard]] result<zone_sync_request>
ReadZoneSyncRequest(const Json::Value& aValue, const std::string& aPeer);
[[nodiscard]] Json::Value
WriteZoneSyncResponse(const zone_sync_response& aResponse);
[[nodiscard]] result<zone_sync_response>
ReadZoneSyncResponse(const Json::Value& aValue, const std::string& aPeer);
[[nodiscard]] Json::Value
WriteZoneSummaryRequest(const zone_summary_request& aRequest);
[[nodiscard]] result<zone_summary_request>
ReadZoneSummaryRequest(const Json::Value& aValue, const std::string& aPeer);
[[nodiscard]] Json::Value
WriteZoneSummaryResponse(const zone_summary_response& aResponse);
[[nodiscard]] result<zone_summary_response>
ReadZoneSummaryResponse(const Json::Value& aValue, const std::string& aPeer);

} // namespace arbutusferry
