#include "arbutusferry/zone_sync.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/message_json.hpp"
#include "environment/json_support.hpp"

#include <limits>

namespace arbutusferry {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

/// Omits empty lists, since most lists usually are empty.
template<typename Item, typename Write>
void
WriteNonEmptyList(Json::Value& aValue,
                  const char* aName,
                  const std::vector<Item>& aItems,
                  Write aWrite)
{
  if (!aItems.empty()) {
    aValue[aName] = WriteList(aItems, aWrite);
  }
}

void
WriteUpdate(Json::Value& aValue, const config_update& aUpdate)
{
  aValue["offset"] = JsonInteger(aUpdate.offset);
  if (!aUpdate.state.isNull()) {
    aValue["state"] = aUpdate.state;
  }
  WriteNonEmptyList(aValue, "records", aUpdate.records, WriteRawRecord);
}

result<config_update>
ReadUpdate(object_reader& aReader, const std::string& aPeer)
{
  config_update update;
  update.offset = aReader.Integer("offset", kNoOffset, kMaxInteger);
  update.state = aReader.Any("state");
  BOOST_LEAF_ASSIGN(
    update.records,
    ReadList(aReader, "records", [&](const auto& aItem, const auto& aPath) {
      return ReadRawRecord(aItem, aPeer, aPath);
    }));
  return update;
}

Json::Value
WriteVersions(const list_versions& aVersions)
{
  Json::Value value(Json::objectValue);
  value["source"] = aVersions.source;
  value["vms"] = JsonInteger(aVersions.vms);
  value["targets"] = JsonInteger(aVersions.targets);
  value["entries"] = JsonInteger(aVersions.entries);
  value["loads"] = JsonInteger(aVersions.loads);
  return value;
}

list_versions
ReadVersions(object_reader& aReader, const char* aName, std::string& aProblem)
{
  const Json::Value& value = aReader.Object(aName);
  object_reader reader(value, {}, aName);
  list_versions versions;
  versions.source = reader.String("source", std::string());
  versions.vms = reader.Integer("vms", 0, kMaxInteger, 0);
  versions.targets = reader.Integer("targets", 0, kMaxInteger, 0);
  versions.entries = reader.Integer("entries", 0, kMaxInteger, 0);
  versions.loads = reader.Integer("loads", 0, kMaxInteger, 0);
  if (reader.Failed()) {
    aProblem = aName;
  }
  return versions;
}

Json::Value
WriteIsolation(const isolation_report& aReport)
{
  Json::Value value(Json::objectValue);
  value["members"] = WriteList(
    aReport.members, [](const auto& aMember) { return Json::Value(aMember); });
  value["offset"] = JsonInteger(aReport.offset);
  // Rounded up: a statement must never look newer than it is.
  value["age_ms"] = JsonInteger(ToMilliseconds(aReport.age) + 1);
  return value;
}

result<std::optional<isolation_report>>
ReadIsolation(object_reader& aReader, const std::string& aPeer)
{
  if (!aReader.Has("isolation")) {
    return std::optional<isolation_report>();
  }
  object_reader reader(aReader.Object("isolation"), aPeer, "isolation");
  isolation_report report;
  report.members = reader.Strings("members");
  report.offset = reader.Integer("offset", kNoOffset, kMaxInteger);
  report.age = std::chrono::milliseconds(
    reader.Integer("age_ms", 0, std::int64_t{ 1 } << 40));
  ARBUTUSFERRY_CHECK(reader.Finish());
  return std::optional(std::move(report));
}

Json::Value
WriteVm(const vm_info& aVm)
{
  Json::Value value(Json::objectValue);
  value["id"] = aVm.id;
  value["zone"] = aVm.zone;
  value["control"] = aVm.controlAddress;
  if (aVm.leaving) {
    value["leaving"] = true;
  }
  return value;
}

result<vm_info>
ReadVm(const Json::Value& aValue,
       const std::string& aPeer,
       const std::string& aPath)
{
  object_reader reader(aValue, aPeer, aPath);
  AllowUnknownFields(reader, aValue);
  vm_info vm;
  vm.id = reader.String("id");
  vm.zone = reader.String("zone");
  vm.controlAddress = reader.String("control", std::string());
  vm.leaving = reader.Boolean("leaving", false);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return vm;
}

Json::Value
WriteMemberEntry(const member_entry& aEntry)
{
  Json::Value value(Json::objectValue);
  value["entry"] = WriteEntryInfo(aEntry.entry);
  WriteNonEmptyList(value, "demand", aEntry.demand, WriteTeamDemand);
  for (const auto& [target, count] : aEntry.inFlight) {
    value["in_flight"][target] = JsonInteger(count);
  }
  value["round"] = JsonInteger(aEntry.grantRound);
  return value;
}

result<member_entry>
ReadMemberEntry(const Json::Value& aValue,
                const std::string& aPeer,
                const std::string& aPath)
{
  object_reader reader(aValue, aPeer, aPath);
  AllowUnknownFields(reader, aValue);
  member_entry entry;
  BOOST_LEAF_ASSIGN(
    entry.entry,
    ReadEntryInfo(reader.Object("entry"), aPeer, reader.Path("entry")));
  BOOST_LEAF_ASSIGN(
    entry.demand,
    ReadList(reader, "demand", [&](const auto& aItem, const auto& aItemPath) {
      return ReadTeamDemand(aItem, aPeer, aItemPath);
    }));
  const Json::Value& inFlight = reader.Object("in_flight");
  object_reader counts(inFlight, aPeer, reader.Path("in_flight"));
  for (const std::string& target : inFlight.getMemberNames()) {
    entry.inFlight[target] = counts.Integer(target.c_str(), 0, kMaxInteger);
  }
  entry.grantRound = reader.Integer("round", -1, kMaxInteger, -1);
  ARBUTUSFERRY_CHECK(counts.Finish());
  ARBUTUSFERRY_CHECK(reader.Finish());
  return entry;
}

Json::Value
WriteGrant(const entry_grant& aGrant)
{
  Json::Value value(Json::objectValue);
  value["instance"] = aGrant.instance;
  value["age_ms"] = JsonInteger(aGrant.ageMs);
  for (const slot_grant& grant : aGrant.grants) {
    value["slots"][grant.target] = JsonInteger(grant.slots);
  }
  value["round"] = JsonInteger(aGrant.round);
  WriteNonEmptyList(value, "tenants", aGrant.teams, WriteTeamGrant);
  return value;
}

result<entry_grant>
ReadGrant(const Json::Value& aValue,
          const std::string& aPeer,
          const std::string& aPath)
{
  object_reader reader(aValue, aPeer, aPath);
  AllowUnknownFields(reader, aValue);
  entry_grant grant;
  grant.instance = reader.String("instance");
  grant.ageMs = reader.Integer("age_ms", 0, kMaxInteger);
  const Json::Value& slots = reader.Object("slots");
  object_reader counts(slots, aPeer, reader.Path("slots"));
  for (const std::string& target : slots.getMemberNames()) {
    grant.grants.push_back(
      { target, counts.Integer(target.c_str(), 0, kMaxInteger) });
  }
  grant.round = reader.Integer("round", -1, kMaxInteger, -1);
  BOOST_LEAF_ASSIGN(
    grant.teams,
    ReadList(reader, "tenants", [&](const auto& aItem, const auto& aItemPath) {
      return ReadTeamGrant(aItem, aPeer, aItemPath);
    }));
  ARBUTUSFERRY_CHECK(counts.Finish());
  ARBUTUSFERRY_CHECK(reader.Finish());
  return grant;
}

/// Reads an optional list of objects.
template<typename Read>
auto
ReadOptionalList(object_reader& aReader,
                 const char* aName,
                 const std::string& aPeer,
                 Read aRead)
{
  const auto read = [&](const Json::Value& aItem, const std::string& aPath) {
    return aRead(aItem, aPeer, aPath);
  };
  auto list = ReadList(aReader, aName, read);
  using list_type = std::decay_t<decltype(*list)>;
  using optional_result = result<std::optional<list_type>>;
  if (!list) {
    return optional_result(list.error());
  }
  return optional_result(aReader.Has(aName) ? std::optional(std::move(*list))
                                            : std::nullopt);
}

} // namespace

Json::Value
WriteZoneSyncRequest(const zone_sync_request& aRequest)
{
  Json::Value value(Json::objectValue);
  value["member"] = aRequest.member;
  value["offset"] = JsonInteger(aRequest.offset);
  value["newest"] = JsonInteger(aRequest.newest);
  value["answered"] = JsonInteger(aRequest.lastAnswer);
  value["hold_ms"] = JsonInteger(aRequest.holdMs);
  value["seen"] = WriteVersions(aRequest.seen);
  if (aRequest.complete) {
    value["complete"] = true;
  }
  if (aRequest.draining) {
    value["draining"] = true;
  }
  WriteNonEmptyList(value, "entries", aRequest.entries, WriteMemberEntry);
  WriteNonEmptyList(value, "usage", aRequest.usage, WriteUsageCounter);
  WriteNonEmptyList(value, "loads", aRequest.loads, WriteTargetLoad);
  return value;
}

result<zone_sync_request>
ReadZoneSyncRequest(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  AllowUnknownFields(reader, aValue);
  const auto withPeer = [&aPeer](auto aRead) {
    return [&aPeer, aRead](const Json::Value& aItem, const std::string& aPath) {
      return aRead(aItem, aPeer, aPath);
    };
  };
  std::string problem;
  zone_sync_request request;
  request.member = reader.String("member");
  request.offset = reader.Integer("offset", kNoOffset, kMaxInteger);
  request.newest = reader.Integer("newest", kNoOffset, kMaxInteger, kNoOffset);
  request.lastAnswer = reader.Integer("answered", 0, kMaxInteger, 0);
  request.holdMs = reader.Integer("hold_ms", 0, 600'000, 0);
  request.complete = reader.Boolean("complete", false);
  request.draining = reader.Boolean("draining", false);
  request.seen = ReadVersions(reader, "seen", problem);
  BOOST_LEAF_ASSIGN(request.entries,
                    ReadList(reader, "entries", withPeer(ReadMemberEntry)));
  BOOST_LEAF_ASSIGN(request.usage,
                    ReadList(reader, "usage", withPeer(ReadUsageCounter)));
  BOOST_LEAF_ASSIGN(request.loads,
                    ReadList(reader, "loads", withPeer(ReadTargetLoad)));
  if (!problem.empty()) {
    reader.Fail(problem, "expected versions");
  }
  ARBUTUSFERRY_CHECK(reader.Finish());
  return request;
}

Json::Value
WriteZoneSyncResponse(const zone_sync_response& aResponse)
{
  Json::Value value(Json::objectValue);
  value["number"] = JsonInteger(aResponse.number);
  value["held_ms"] = JsonInteger(aResponse.heldMs);
  value["view_age_ms"] = JsonInteger(aResponse.viewAgeMs);
  value["checkpoint"] = JsonInteger(aResponse.checkpoint);
  value["versions"] = WriteVersions(aResponse.versions);
  WriteUpdate(value, aResponse.update);
  WriteNonEmptyList(value,
                    "members",
                    aResponse.members,
                    [](const auto& aMember) { return Json::Value(aMember); });
  if (aResponse.vms) {
    value["vms"] = WriteList(*aResponse.vms, WriteVm);
  }
  if (aResponse.targets) {
    value["targets"] = WriteList(*aResponse.targets, WriteTargetInfo);
  }
  if (aResponse.entries) {
    value["entries"] = WriteList(*aResponse.entries, WriteEntryInfo);
  }
  WriteNonEmptyList(value, "loads", aResponse.loads, WriteTargetLoad);
  WriteNonEmptyList(value, "grants", aResponse.grants, WriteGrant);
  if (aResponse.isolation) {
    value["isolation"] = WriteIsolation(*aResponse.isolation);
  }
  return value;
}

result<zone_sync_response>
ReadZoneSyncResponse(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  AllowUnknownFields(reader, aValue);
  const auto withPeer = [&aPeer](auto aRead) {
    return [&aPeer, aRead](const Json::Value& aItem, const std::string& aPath) {
      return aRead(aItem, aPeer, aPath);
    };
  };
  std::string problem;
  zone_sync_response response;
  response.number = reader.Integer("number", 0, kMaxInteger);
  response.heldMs = reader.Integer("held_ms", 0, 600'000);
  response.viewAgeMs = reader.Integer("view_age_ms", -1, kMaxInteger);
  response.checkpoint =
    reader.Integer("checkpoint", kNoOffset, kMaxInteger, kNoOffset);
  response.versions = ReadVersions(reader, "versions", problem);
  BOOST_LEAF_ASSIGN(response.update, ReadUpdate(reader, aPeer));
  response.members = reader.Strings("members");
  BOOST_LEAF_ASSIGN(response.vms,
                    ReadOptionalList(reader, "vms", aPeer, ReadVm));
  BOOST_LEAF_ASSIGN(response.targets,
                    ReadOptionalList(reader, "targets", aPeer, ReadTargetInfo));
  BOOST_LEAF_ASSIGN(response.entries,
                    ReadOptionalList(reader, "entries", aPeer, ReadEntryInfo));
  BOOST_LEAF_ASSIGN(response.loads,
                    ReadList(reader, "loads", withPeer(ReadTargetLoad)));
  BOOST_LEAF_ASSIGN(response.grants,
                    ReadList(reader, "grants", withPeer(ReadGrant)));
  BOOST_LEAF_ASSIGN(response.isolation, ReadIsolation(reader, aPeer));
  if (!problem.empty()) {
    reader.Fail(problem, "expected versions");
  }
  ARBUTUSFERRY_CHECK(reader.Finish());
  return response;
}

Json::Value
WriteZoneSummaryRequest(const zone_summary_request& aRequest)
{
  Json::Value value(Json::objectValue);
  value["zone"] = aRequest.zone;
  value["member"] = aRequest.member;
  value["offset"] = JsonInteger(aRequest.offset);
  value["seen"] = WriteVersions(aRequest.seen);
  return value;
}

result<zone_summary_request>
ReadZoneSummaryRequest(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  AllowUnknownFields(reader, aValue);
  std::string problem;
  zone_summary_request request;
  request.zone = reader.String("zone");
  request.member = reader.String("member");
  request.offset = reader.Integer("offset", kNoOffset, kMaxInteger);
  request.seen = ReadVersions(reader, "seen", problem);
  if (!problem.empty()) {
    reader.Fail(problem, "expected versions");
  }
  ARBUTUSFERRY_CHECK(reader.Finish());
  return request;
}

Json::Value
WriteZoneSummaryResponse(const zone_summary_response& aResponse)
{
  Json::Value value(Json::objectValue);
  value["zone"] = aResponse.zone;
  value["view_age_ms"] = JsonInteger(aResponse.viewAgeMs);
  value["versions"] = WriteVersions(aResponse.versions);
  WriteUpdate(value, aResponse.update);
  if (aResponse.entries) {
    value["entries"] = WriteList(*aResponse.entries, WriteEntryInfo);
  }
  WriteNonEmptyList(value, "demand", aResponse.demand, WriteTeamDemand);
  WriteNonEmptyList(value, "loads", aResponse.loads, WriteTargetLoad);
  if (aResponse.isolation) {
    value["isolation"] = WriteIsolation(*aResponse.isolation);
  }
  return value;
}

result<zone_summary_response>
ReadZoneSummaryResponse(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  AllowUnknownFields(reader, aValue);
  std::string problem;
  zone_summary_response response;
  response.zone = reader.String("zone");
  response.viewAgeMs = reader.Integer("view_age_ms", -1, kMaxInteger);
  response.versions = ReadVersions(reader, "versions", problem);
  BOOST_LEAF_ASSIGN(response.update, ReadUpdate(reader, aPeer));
  BOOST_LEAF_ASSIGN(response.entries,
                    ReadOptionalList(reader, "entries", aPeer, ReadEntryInfo));
  BOOST_LEAF_ASSIGN(
    response.demand,
    ReadList(reader, "demand", [&](const auto& aItem, const auto& aPath) {
      return ReadTeamDemand(aItem, aPeer, aPath);
    }));
  BOOST_LEAF_ASSIGN(
    response.loads,
    ReadList(reader, "loads", [&](const auto& aItem, const auto& aPath) {
      return ReadTargetLoad(aItem, aPeer, aPath);
    }));
  BOOST_LEAF_ASSIGN(response.isolation, ReadIsolation(reader, aPeer));
  if (!problem.empty()) {
    reader.Fail(problem, "expected versions");
  }
  ARBUTUSFERRY_CHECK(reader.Finish());
  return response;
}

} // namespace arbutusferry
