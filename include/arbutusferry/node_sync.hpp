#pragma once

#include "arbutusferry/log_record.hpp"
#include "arbutusferry/target.hpp"

#include <map>
#include <string>
#include <vector>

namespace arbutusferry {

/// Waiting and running work of one team in one target class at an entry.
struct team_demand
{
  std::string team;
  std::string targetClass;
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  double attainedTokens = 0; ///< Weighted tokens served since the start.
};

/// Slots that an entry may use at one target.
struct slot_grant
{
  std::string target;
  std::int64_t slots = 0;
};

/// Slots planned for one team at an entry, over all targets of a class.
struct team_grant
{
  std::string team;
  std::string targetClass;
  double slots = 0;
};

/// An entry process that is live in some availability zone.
struct entry_info
{
  std::string instance;
  std::string zone;
  std::string address; ///< "IP:port" for callers and for permit forwards.
  bool draining = false;
  std::vector<std::string> adopted; ///< Instances whose permits it took over.
};

/// Sent by an entry process to its control process, which delays the answer
/// until there are changes or `holdMs` has passed.
struct node_sync_request
{
  entry_info entry;
  log_offset offset = kNoOffset; ///< Highest configuration offset applied.
  std::int64_t holdMs = 500;
  std::vector<team_demand> demand;
  std::vector<usage_counter> usage; ///< Cumulative, changed since last answer.
  std::map<std::string, std::int64_t> inFlight; ///< By target id.
  std::int64_t grantRound = -1; ///< Round of the grants in use; -1 if none.
  /// Version of the lists that it holds; empty if none.
  std::string listsVersion;
};

/// Load of one target as its engine reported it.
struct target_load
{
  std::string target;
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t weightVersion = -1;

  bool operator==(const target_load&) const = default;
};

/// Answer to `node_sync_request`.
struct node_sync_response
{
  Json::Value state; ///< Whole state, when records are not enough.
  std::vector<raw_log_record>
    records;                        ///< Configuration records after `offset`.
  log_offset offset = kNoOffset;    ///< Offset up to which this is complete.
  std::int64_t viewAgeMs = -1;      ///< Age of the view; -1 if never complete.
  std::int64_t staleAfterMs = 4000; ///< Keys are refused above this age.
  std::int64_t grantTtlMs = 5000;
  bool hasGrants = false;
  std::vector<slot_grant> grants;
  std::int64_t grantRound = -1; ///< Returned to the planner in the next sync.
  std::vector<team_grant> teamGrants;
  std::vector<entry_info> entries;
  std::vector<target_info> targets;
  std::string listsVersion; ///< Version of the lists after this answer.
  /// False if `entries` and `targets` are left out because, since the
  /// version in the request, only the loads in `loads` changed.
  bool hasLists = true;
  std::vector<target_load> loads;
};

/// Lists that an entry keeps from one answer to the next.
class node_sync_lists
{
public:
  /// @return Version of the lists, for the next request.
  [[nodiscard]] const std::string& Version() const noexcept { return mVersion; }

  /// Fills in the lists of an answer that carries only changed loads, and keeps
  /// the lists of the answer.
  void Complete(node_sync_response& aResponse);

private:
  std::string mVersion;
  std::vector<entry_info> mEntries;
  std::vector<target_info> mTargets;
};

[[nodiscard]] Json::Value
WriteNodeSyncRequest(const node_sync_request& aRequest);
[[nodiscard]] result<node_sync_request>
ReadNodeSyncRequest(const Json::Value& aValue, const std::string& aPeer);
[[nodiscard]] Json::Value
WriteNodeSyncResponse(const node_sync_response& aResponse);
[[nodiscard]] result<node_sync_response>
ReadNodeSyncResponse(const Json::Value& aValue, const std::string& aPeer);

} // namespace arbutusferry
