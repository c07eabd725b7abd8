#include "arbutusferry/message_json.hpp"

#include "arbutusferry/json.hpp"
#include "environment/json_support.hpp"

#include <limits>

namespace arbutusferry {

namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

} // namespace

Json::Value
WriteUsageCounter(const usage_counter& aCounter)
{
  Json::Value value(Json::objectValue);
  value["tenant"] = aCounter.team;
  value["window"] = JsonInteger(aCounter.window);
  value["instance"] = aCounter.instance;
  value["requests"] = JsonInteger(aCounter.requests);
  value["prompt_tokens"] = JsonInteger(aCounter.promptTokens);
  value["generated_tokens"] = JsonInteger(aCounter.generatedTokens);
  return value;
}

result<usage_counter>
ReadUsageCounter(const Json::Value& aValue,
                 const std::string& aSource,
                 const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  usage_counter counter;
  counter.team = reader.String("tenant");
  counter.window = reader.Integer("window", 0, kMaxInt64);
  counter.instance = reader.String("instance");
  counter.requests = reader.Integer("requests", 0, kMaxInt64);
  counter.promptTokens = reader.Integer("prompt_tokens", 0, kMaxInt64);
  counter.generatedTokens = reader.Integer("generated_tokens", 0, kMaxInt64);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return counter;
}

Json::Value
WriteTargetOrder(const target_order& aOrder)
{
  Json::Value value(Json::objectValue);
  value["order_id"] = aOrder.orderId;
  value["fencing"] = JsonInteger(aOrder.fencing);
  value["counts"] = Json::Value(Json::arrayValue);
  for (const target_count& count : aOrder.counts) {
    Json::Value item(Json::objectValue);
    item["class"] = count.targetClass;
    item["pool"] = std::string(EnumName(count.pool));
    item["count"] = JsonInteger(count.count);
    value["counts"].append(item);
  }
  value["stop"] = Json::Value(Json::arrayValue);
  for (const std::string& id : aOrder.stop) {
    value["stop"].append(id);
  }
  return value;
}

result<target_order>
ReadTargetOrder(const Json::Value& aValue, const std::string& aSource)
{
  object_reader reader(aValue, aSource);
  target_order order;
  (void)reader.Any("type");
  order.zone = reader.String("zone", "");
  order.orderId = reader.String("order_id");
  order.fencing = reader.Integer("fencing", kNoOffset, kMaxInt64);
  BOOST_LEAF_ASSIGN(
    order.counts,
    ReadList(reader,
             "counts",
             [&](const Json::Value& aItem,
                 const std::string& aPath) -> result<target_count> {
               object_reader item(aItem, aSource, aPath);
               target_count count;
               count.targetClass = item.String("class");
               count.pool = item.Enumerator<target_pool>("pool");
               count.count = item.Integer("count", 0, 1'000'000);
               ARBUTUSFERRY_CHECK(item.Finish());
               return count;
             }));
  order.stop = reader.Strings("stop");
  ARBUTUSFERRY_CHECK(reader.Finish());
  return order;
}

Json::Value
WriteUsageReport(const usage_report& aReport)
{
  Json::Value value(Json::objectValue);
  value["window"] = JsonInteger(aReport.window);
  value["fencing"] = JsonInteger(aReport.fencing);
  value["lines"] = Json::Value(Json::arrayValue);
  for (const usage_line& line : aReport.lines) {
    Json::Value item(Json::objectValue);
    item["tenant"] = line.team;
    item["requests"] = JsonInteger(line.requests);
    item["prompt_tokens"] = JsonInteger(line.promptTokens);
    item["generated_tokens"] = JsonInteger(line.generatedTokens);
    if (line.carriedFrom >= 0) {
      item["carried_from"] = JsonInteger(line.carriedFrom);
    }
    value["lines"].append(item);
  }
  return value;
}

result<usage_report>
ReadUsageReport(const Json::Value& aValue, const std::string& aSource)
{
  object_reader reader(aValue, aSource);
  usage_report report;
  (void)reader.Any("type");
  report.window = reader.Integer("window", 0, kMaxInt64);
  report.fencing = reader.Integer("fencing", kNoOffset, kMaxInt64);
  BOOST_LEAF_ASSIGN(
    report.lines,
    ReadList(reader,
             "lines",
             [&](const Json::Value& aItem,
                 const std::string& aPath) -> result<usage_line> {
               object_reader item(aItem, aSource, aPath);
               usage_line line;
               line.team = item.String("tenant");
               line.requests = item.Integer("requests", 0, kMaxInt64);
               line.promptTokens = item.Integer("prompt_tokens", 0, kMaxInt64);
               line.generatedTokens =
                 item.Integer("generated_tokens", 0, kMaxInt64);
               line.carriedFrom =
                 item.Integer("carried_from", 0, kMaxInt64, -1);
               ARBUTUSFERRY_CHECK(item.Finish());
               return line;
             }));
  ARBUTUSFERRY_CHECK(reader.Finish());
  return report;
}

Json::Value
WriteRawRecord(const raw_log_record& aRecord)
{
  Json::Value value(Json::objectValue);
  value["offset"] = JsonInteger(aRecord.offset);
  value["id"] = aRecord.id;
  value["record"] = aRecord.record;
  return value;
}

result<raw_log_record>
ReadRawRecord(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  AllowUnknownFields(reader, aValue);
  raw_log_record record;
  record.offset = reader.Integer("offset", 0, kMaxInt64);
  record.id = reader.String("id", "");
  record.record = reader.Any("record");
  ARBUTUSFERRY_CHECK(reader.Finish());
  return record;
}

Json::Value
WriteTeamDemand(const team_demand& aDemand)
{
  Json::Value value(Json::objectValue);
  value["tenant"] = aDemand.team;
  value["class"] = aDemand.targetClass;
  value["waiting"] = JsonInteger(aDemand.waiting);
  value["running"] = JsonInteger(aDemand.running);
  value["attained_tokens"] = aDemand.attainedTokens;
  return value;
}

result<team_demand>
ReadTeamDemand(const Json::Value& aValue,
               const std::string& aSource,
               const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  AllowUnknownFields(reader, aValue);
  team_demand demand;
  // The team of open routes has an empty name.
  demand.team = reader.String("tenant", "");
  demand.targetClass = reader.String("class", "");
  demand.waiting = reader.Integer("waiting", 0, kMaxInt64, 0);
  demand.running = reader.Integer("running", 0, kMaxInt64, 0);
  demand.attainedTokens = reader.Number("attained_tokens", 0, 1e300, 0);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return demand;
}

Json::Value
WriteSlotGrant(const slot_grant& aGrant)
{
  Json::Value value(Json::objectValue);
  value["target"] = aGrant.target;
  value["slots"] = JsonInteger(aGrant.slots);
  return value;
}

result<slot_grant>
ReadSlotGrant(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  AllowUnknownFields(reader, aValue);
  slot_grant grant;
  grant.target = reader.String("target");
  grant.slots = reader.Integer("slots", 0, kMaxInt64);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return grant;
}

Json::Value
WriteTeamGrant(const team_grant& aGrant)
{
  Json::Value value(Json::objectValue);
  value["tenant"] = aGrant.team;
  value["class"] = aGrant.targetClass;
  value["slots"] = aGrant.slots;
  return value;
}

result<team_grant>
ReadTeamGrant(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  AllowUnknownFields(reader, aValue);
  team_grant grant;
  grant.team = reader.String("tenant", "");
  grant.targetClass = reader.String("class", "");
  grant.slots = reader.Number("slots", 0, 1e300, 0);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return grant;
}

Json::Value
WriteEntryInfo(const entry_info& aEntry)
{
  Json::Value value(Json::objectValue);
  value["instance"] = aEntry.instance;
  value["zone"] = aEntry.zone;
  value["address"] = aEntry.address;
  value["draining"] = aEntry.draining;
  value["adopted"] = Json::Value(Json::arrayValue);
  for (const std::string& instance : aEntry.adopted) {
    value["adopted"].append(instance);
  }
  return value;
}

result<entry_info>
ReadEntryInfo(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  AllowUnknownFields(reader, aValue);
  entry_info entry;
  entry.instance = reader.String("instance");
  entry.zone = reader.String("zone");
  entry.address = reader.String("address", "");
  entry.draining = reader.Boolean("draining", false);
  entry.adopted = reader.Strings("adopted");
  ARBUTUSFERRY_CHECK(reader.Finish());
  return entry;
}

Json::Value
WriteTargetInfo(const target_info& aTarget)
{
  Json::Value value(Json::objectValue);
  value["id"] = aTarget.id;
  value["zone"] = aTarget.zone;
  value["class"] = aTarget.targetClass;
  value["address"] = aTarget.address;
  value["pool"] = std::string(EnumName(aTarget.pool));
  value["kind"] = std::string(EnumName(aTarget.kind));
  value["state"] = std::string(EnumName(aTarget.state));
  value["slots"] = JsonInteger(aTarget.slots);
  value["checks_fencing"] = aTarget.checksFencing;
  value["running"] = JsonInteger(aTarget.running);
  value["waiting"] = JsonInteger(aTarget.waiting);
  value["weight_version"] = JsonInteger(aTarget.weightVersion);
  return value;
}

result<target_info>
ReadTargetInfo(const Json::Value& aValue,
               const std::string& aSource,
               const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  AllowUnknownFields(reader, aValue);
  target_info target;
  target.id = reader.String("id");
  target.zone = reader.String("zone");
  target.targetClass = reader.String("class");
  target.address = reader.String("address", "");
  target.pool = reader.Enumerator<target_pool>("pool");
  target.kind = reader.Enumerator<target_kind>("kind");
  target.state = reader.Enumerator<target_state>("state");
  target.slots = reader.Integer("slots", 0, kMaxInt64, 1);
  target.checksFencing = reader.Boolean("checks_fencing", false);
  target.running = reader.Integer("running", 0, kMaxInt64, 0);
  target.waiting = reader.Integer("waiting", 0, kMaxInt64, 0);
  target.weightVersion = reader.Integer("weight_version", -1, kMaxInt64, -1);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return target;
}

} // namespace arbutusferry
