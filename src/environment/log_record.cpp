#include "arbutusferry/log_record.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/message_json.hpp"
#include "environment/json_support.hpp"

#include <array>
#include <limits>

namespace arbutusferry {

namespace {

constexpr const char* kSource = "log";
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kHashLength = 64;

/// Names of the record types in the order of the alternatives of `log_record`.
constexpr std::array<std::string_view, std::variant_size_v<log_record>>
  kTypeNames = { "environment_applied", "environment_promoted", "key_granted",
                 "key_withdrawn",       "weights_published",    "lease_claimed",
                 "lease_renewed",       "lease_released",       "order_intent",
                 "usage_batch",         "usage_closed",         "checkpoint" };

std::string
ReadHash(object_reader& aReader, const char* aField)
{
  std::string hash = aReader.String(aField);
  if (hash.size() != kHashLength ||
      hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
    aReader.Fail(aField, "expected 64 lower-case hexadecimal digits");
  }
  return hash;
}

Json::Value
Write(const environment_applied& aRecord)
{
  Json::Value value(Json::objectValue);
  value["environment"] = aRecord.document.environment;
  value["stage"] = std::string(EnumName(aRecord.recordStage));
  value["base"] = JsonInteger(aRecord.base);
  value["document"] = WriteEnvironment(aRecord.document);
  return value;
}

result<log_record>
Read(object_reader& aReader, environment_applied aRecord)
{
  const std::string environment = aReader.String("environment");
  aRecord.recordStage = aReader.Enumerator<stage>("stage");
  aRecord.base = aReader.Integer("base", kNoOffset, kMaxInt64);
  BOOST_LEAF_ASSIGN(aRecord.document,
                    ReadEnvironment(aReader.Object("document"), kSource));
  if (aRecord.document.environment != environment) {
    aReader.Fail("environment", "expected the environment of the document");
  }
  return log_record(std::move(aRecord));
}

Json::Value
Write(const environment_promoted& aRecord)
{
  Json::Value value(Json::objectValue);
  value["environment"] = aRecord.environment;
  value["base"] = JsonInteger(aRecord.base);
  value["sha256"] = aRecord.sha256;
  return value;
}

result<log_record>
Read(object_reader& aReader, environment_promoted aRecord)
{
  aRecord.environment = aReader.String("environment");
  aRecord.base = aReader.Integer("base", kNoOffset, kMaxInt64);
  aRecord.sha256 = ReadHash(aReader, "sha256");
  return log_record(std::move(aRecord));
}

Json::Value
Write(const key_granted& aRecord)
{
  Json::Value value(Json::objectValue);
  value["environment"] = aRecord.environment;
  value["stage"] = std::string(EnumName(aRecord.recordStage));
  value["tenant"] = aRecord.team;
  value["key_id"] = aRecord.keyId;
  value["salt"] = aRecord.salt;
  value["hash"] = aRecord.hash;
  return value;
}

result<log_record>
Read(object_reader& aReader, key_granted aRecord)
{
  aRecord.environment = aReader.String("environment");
  aRecord.recordStage = aReader.Enumerator<stage>("stage");
  aRecord.team = aReader.String("tenant");
  aRecord.keyId = aReader.String("key_id");
  if (aRecord.keyId.find('_') != std::string::npos) {
    aReader.Fail("key_id", "expected a key id without '_'");
  }
  aRecord.salt = aReader.String("salt");
  aRecord.hash = ReadHash(aReader, "hash");
  return log_record(std::move(aRecord));
}

Json::Value
Write(const key_withdrawn& aRecord)
{
  Json::Value value(Json::objectValue);
  value["environment"] = aRecord.environment;
  value["stage"] = std::string(EnumName(aRecord.recordStage));
  value["key_id"] = aRecord.keyId;
  return value;
}

result<log_record>
Read(object_reader& aReader, key_withdrawn aRecord)
{
  aRecord.environment = aReader.String("environment");
  aRecord.recordStage = aReader.Enumerator<stage>("stage");
  aRecord.keyId = aReader.String("key_id");
  return log_record(std::move(aRecord));
}

Json::Value
Write(const weights_published& aRecord)
{
  Json::Value value(Json::objectValue);
  value["environment"] = aRecord.environment;
  value["stage"] = std::string(EnumName(aRecord.recordStage));
  value["model"] = aRecord.model;
  value["version"] = JsonInteger(aRecord.version);
  return value;
}

result<log_record>
Read(object_reader& aReader, weights_published aRecord)
{
  aRecord.environment = aReader.String("environment");
  aRecord.recordStage = aReader.Enumerator<stage>("stage");
  aRecord.model = aReader.String("model");
  aRecord.version = aReader.Integer("version", 0, kMaxInt64);
  return log_record(std::move(aRecord));
}

template<typename Lease>
Json::Value
WriteLease(const Lease& aRecord)
{
  Json::Value value(Json::objectValue);
  value["role"] = aRecord.role;
  value["holder"] = aRecord.holder;
  value["previous"] = JsonInteger(aRecord.previous);
  return value;
}

template<typename Lease>
result<log_record>
ReadLease(object_reader& aReader, Lease aRecord)
{
  aRecord.role = aReader.String("role");
  aRecord.holder = aReader.String("holder");
  aRecord.previous = aReader.Integer("previous", kNoOffset, kMaxInt64);
  return log_record(std::move(aRecord));
}

Json::Value
Write(const lease_claimed& aRecord)
{
  return WriteLease(aRecord);
}

result<log_record>
Read(object_reader& aReader, lease_claimed aRecord)
{
  return ReadLease(aReader, std::move(aRecord));
}

Json::Value
Write(const lease_renewed& aRecord)
{
  return WriteLease(aRecord);
}

result<log_record>
Read(object_reader& aReader, lease_renewed aRecord)
{
  return ReadLease(aReader, std::move(aRecord));
}

Json::Value
Write(const lease_released& aRecord)
{
  return WriteLease(aRecord);
}

result<log_record>
Read(object_reader& aReader, lease_released aRecord)
{
  return ReadLease(aReader, std::move(aRecord));
}

Json::Value
Write(const order_intent& aRecord)
{
  Json::Value value = WriteTargetOrder(aRecord.order);
  value["zone"] = aRecord.order.zone;
  return value;
}

Json::Value
Write(const usage_batch& aRecord)
{
  Json::Value value(Json::objectValue);
  value["zone"] = aRecord.zone;
  value["counters"] = Json::Value(Json::arrayValue);
  for (const usage_counter& counter : aRecord.counters) {
    value["counters"].append(WriteUsageCounter(counter));
  }
  return value;
}

result<log_record>
Read(object_reader& aReader, usage_batch aRecord)
{
  aRecord.zone = aReader.String("zone");
  BOOST_LEAF_ASSIGN(
    aRecord.counters,
    ReadList(aReader,
             "counters",
             [](const Json::Value& aItem, const std::string& aPath) {
               return ReadUsageCounter(aItem, kSource, aPath);
             }));
  return log_record(std::move(aRecord));
}

Json::Value
Write(const usage_closed& aRecord)
{
  return WriteUsageReport(aRecord.report);
}

Json::Value
Write(const checkpoint& aRecord)
{
  Json::Value value(Json::objectValue);
  value["through"] = JsonInteger(aRecord.through);
  value["state"] = aRecord.state;
  return value;
}

result<log_record>
Read(object_reader& aReader, checkpoint aRecord)
{
  aRecord.through = aReader.Integer("through", kNoOffset, kMaxInt64);
  aRecord.state = aReader.Object("state");
  return log_record(std::move(aRecord));
}

using read_result = result<std::optional<log_record>>;

template<std::size_t Index = 0>
read_result
ReadType(const Json::Value& aValue, std::string_view aType)
{
  if constexpr (Index < std::variant_size_v<log_record>) {
    using record_type = std::variant_alternative_t<Index, log_record>;
    if (aType != kTypeNames[Index]) {
      return ReadType<Index + 1>(aValue, aType);
    }
    if constexpr (std::is_same_v<record_type, order_intent>) {
      BOOST_LEAF_AUTO(order, ReadTargetOrder(aValue, kSource));
      if (order.zone.empty()) {
        return MakeError(error_code::InvalidArgument,
                         "read document",
                         kSource,
                         "field \"zone\": expected a zone");
      }
      return std::optional<log_record>(order_intent{ std::move(order) });
    } else if constexpr (std::is_same_v<record_type, usage_closed>) {
      BOOST_LEAF_AUTO(report, ReadUsageReport(aValue, kSource));
      return std::optional<log_record>(usage_closed{ std::move(report) });
    } else {
      object_reader reader(aValue, kSource);
      (void)reader.Any("type");
      BOOST_LEAF_AUTO(record, Read(reader, record_type{}));
      ARBUTUSFERRY_CHECK(reader.Finish());
      return std::optional<log_record>(std::move(record));
    }
  } else {
    return std::optional<log_record>();
  }
}

} // namespace

Json::Value
WriteLogRecord(const log_record& aRecord)
{
  Json::Value value =
    std::visit([](const auto& aContent) { return Write(aContent); }, aRecord);
  value["type"] = std::string(kTypeNames[aRecord.index()]);
  return value;
}

result<std::optional<log_record>>
ReadLogRecord(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["type"].isString()) {
    return MakeError(error_code::InvalidArgument,
                     "read document",
                     kSource,
                     "field \"type\": expected a string");
  }
  return ReadType(aValue, aValue["type"].asString());
}

bool
IsConfigurationRecord(const log_record& aRecord) noexcept
{
  return std::holds_alternative<environment_applied>(aRecord) ||
         std::holds_alternative<environment_promoted>(aRecord) ||
         std::holds_alternative<key_granted>(aRecord) ||
         std::holds_alternative<key_withdrawn>(aRecord) ||
         std::holds_alternative<weights_published>(aRecord) ||
         std::holds_alternative<checkpoint>(aRecord);
}

} // namespace arbutusferry
