#include "arbutusferry/node_sync.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/message_json.hpp"
#include "environment/json_support.hpp"

#include <algorithm>
#include <limits>

namespace arbutusferry {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

} // namespace

Json::Value
WriteTargetLoad(const target_load& aLoad)
{
  Json::Value value(Json::arrayValue);
  value.append(aLoad.target);
  value.append(JsonInteger(aLoad.running));
  value.append(JsonInteger(aLoad.waiting));
  value.append(JsonInteger(aLoad.weightVersion));
  return value;
}

result<target_load>
ReadTargetLoad(const Json::Value& aValue,
               const std::string& aPeer,
               const std::string& aPath)
{
  if (!aValue.isArray() || aValue.size() != 4 || !aValue[0].isString() ||
      !aValue[1].isInt64() || !aValue[2].isInt64() || !aValue[3].isInt64()) {
    return MakeError(error_code::InvalidArgument,
                     "read message",
                     aPeer,
                     "field \"" + aPath +
                       "\": expected [target, running, waiting, version]");
  }
  return target_load{ aValue[0].asString(),
                      aValue[1].asInt64(),
                      aValue[2].asInt64(),
                      aValue[3].asInt64() };
}

Json::Value
WriteNodeSyncRequest(const node_sync_request& aRequest)
{
  Json::Value value(Json::objectValue);
  value["entry"] = WriteEntryInfo(aRequest.entry);
  value["offset"] = JsonInteger(aRequest.offset);
  value["hold_ms"] = JsonInteger(aRequest.holdMs);
  value["demand"] = WriteList(aRequest.demand, WriteTeamDemand);
  value["usage"] = WriteList(aRequest.usage, WriteUsageCounter);
  value["in_flight"] = Json::Value(Json::objectValue);
  for (const auto& [target, count] : aRequest.inFlight) {
    value["in_flight"][target] = JsonInteger(count);
  }
  value["grant_round"] = JsonInteger(aRequest.grantRound);
  value["view"] = aRequest.listsVersion;
  return value;
}

result<node_sync_request>
ReadNodeSyncRequest(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  AllowUnknownFields(reader, aValue);
  const auto withPeer = [&](auto aRead) {
    return [&aPeer, aRead](const Json::Value& aItem, const std::string& aPath) {
      return aRead(aItem, aPeer, aPath);
    };
  };
  node_sync_request request;
  BOOST_LEAF_ASSIGN(request.entry,
                    ReadEntryInfo(reader.Object("entry"), aPeer, "entry"));
  request.offset = reader.Integer("offset", kNoOffset, kMaxInteger);
  request.holdMs = reader.Integer("hold_ms", 0, 600'000, 500);
  BOOST_LEAF_ASSIGN(request.demand,
                    ReadList(reader, "demand", withPeer(ReadTeamDemand)));
  BOOST_LEAF_ASSIGN(request.usage,
                    ReadList(reader, "usage", withPeer(ReadUsageCounter)));
  const Json::Value& inFlight = reader.Object("in_flight");
  object_reader counts(inFlight, aPeer, "in_flight");
  for (const std::string& target : inFlight.getMemberNames()) {
    request.inFlight[target] = counts.Integer(target.c_str(), 0, kMaxInteger);
  }
  ARBUTUSFERRY_CHECK(counts.Finish());
  request.grantRound = reader.Integer("grant_round", -1, kMaxInteger, -1);
  request.listsVersion = reader.String("view", std::string());
  ARBUTUSFERRY_CHECK(reader.Finish());
  return request;
}

Json::Value
WriteNodeSyncResponse(const node_sync_response& aResponse)
{
  Json::Value value(Json::objectValue);
  if (!aResponse.state.isNull()) {
    value["state"] = aResponse.state;
  }
  value["records"] = WriteList(aResponse.records, WriteRawRecord);
  value["offset"] = JsonInteger(aResponse.offset);
  value["view_age_ms"] = JsonInteger(aResponse.viewAgeMs);
  value["stale_after_ms"] = JsonInteger(aResponse.staleAfterMs);
  value["grant_ttl_ms"] = JsonInteger(aResponse.grantTtlMs);
  value["has_grants"] = aResponse.hasGrants;
  value["grants"] = WriteList(aResponse.grants, WriteSlotGrant);
  value["grant_round"] = JsonInteger(aResponse.grantRound);
  value["tenant_grants"] = WriteList(aResponse.teamGrants, WriteTeamGrant);
  value["view"] = aResponse.listsVersion;
  if (aResponse.hasLists) {
    value["entries"] = WriteList(aResponse.entries, WriteEntryInfo);
    value["targets"] = WriteList(aResponse.targets, WriteTargetInfo);
  } else {
    value["has_lists"] = false;
    value["loads"] = WriteList(aResponse.loads, WriteTargetLoad);
  }
  return value;
}

result<node_sync_response>
ReadNodeSyncResponse(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  AllowUnknownFields(reader, aValue);
  const auto withPeer = [&](auto aRead) {
    return [&aPeer, aRead](const Json::Value& aItem, const std::string& aPath) {
      return aRead(aItem, aPeer, aPath);
    };
  };
  node_sync_response response;
  response.state = reader.Any("state");
  BOOST_LEAF_ASSIGN(response.records,
                    ReadList(reader, "records", withPeer(ReadRawRecord)));
  response.offset = reader.Integer("offset", kNoOffset, kMaxInteger);
  response.viewAgeMs = reader.Integer("view_age_ms", -1, kMaxInteger);
  response.staleAfterMs =
    reader.Integer("stale_after_ms", 0, kMaxInteger, 4000);
  response.grantTtlMs = reader.Integer("grant_ttl_ms", 0, kMaxInteger, 5000);
  response.hasGrants = reader.Boolean("has_grants", false);
  BOOST_LEAF_ASSIGN(response.grants,
                    ReadList(reader, "grants", withPeer(ReadSlotGrant)));
  response.grantRound = reader.Integer("grant_round", -1, kMaxInteger, -1);
  if (!reader.Any("tenant_grants").isNull()) {
    BOOST_LEAF_ASSIGN(
      response.teamGrants,
      ReadList(reader, "tenant_grants", withPeer(ReadTeamGrant)));
  }
  BOOST_LEAF_ASSIGN(response.entries,
                    ReadList(reader, "entries", withPeer(ReadEntryInfo)));
  BOOST_LEAF_ASSIGN(response.targets,
                    ReadList(reader, "targets", withPeer(ReadTargetInfo)));
  response.listsVersion = reader.String("view", std::string());
  response.hasLists = reader.Boolean("has_lists", true);
  BOOST_LEAF_ASSIGN(response.loads,
                    ReadList(reader, "loads", withPeer(ReadTargetLoad)));
  ARBUTUSFERRY_CHECK(reader.Finish());
  return response;
}

void
node_sync_lists::Complete(node_sync_response& aResponse)
{
  if (!aResponse.hasLists) {
    for (const target_load& load : aResponse.loads) {
      const auto known = std::find_if(
        mTargets.begin(), mTargets.end(), [&](const auto& aTarget) {
          return aTarget.id == load.target;
        });
      if (known != mTargets.end()) {
        known->running = load.running;
        known->waiting = load.waiting;
        known->weightVersion = load.weightVersion;
      }
    }
    aResponse.entries = mEntries;
    aResponse.targets = mTargets;
    aResponse.hasLists = true;
  } else {
    mEntries = aResponse.entries;
    mTargets = aResponse.targets;
  }
  mVersion = aResponse.listsVersion;
}

} // namespace arbutusferry
