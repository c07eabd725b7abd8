#include "arbutusferry/platform_http.hpp"

#include "arbutusferry/json.hpp"
#include "platform/http_exchange.hpp"

#include <map>
#include <mutex>

namespace arbutusferry {

namespace {

/// Persistent connection to the platform that serializes calls.
class platform_connection
{
public:
  platform_connection(std::string aAddress, duration aTimeout)
    : mAddress(std::move(aAddress))
    , mTimeout(aTimeout)
    , mClient(MakeClient(mAddress, mTimeout, true))
  {
  }

  [[nodiscard]] const std::string& Address() const noexcept { return mAddress; }
  [[nodiscard]] duration Timeout() const noexcept { return mTimeout; }

  httplib::Result Get(const std::string& aPath, duration aWait = {})
  {
    const std::lock_guard lock(mMutex);
    mClient->set_read_timeout(mTimeout + aWait);
    return mClient->Get(aPath);
  }

  httplib::Result Get(const std::string& aPath,
                      const httplib::Params& aParams,
                      const httplib::Headers& aHeaders)
  {
    const std::lock_guard lock(mMutex);
    return mClient->Get(
      aParams.empty() ? aPath : httplib::append_query_params(aPath, aParams),
      aHeaders);
  }

  httplib::Result Post(const std::string& aPath, const std::string& aBody)
  {
    const std::lock_guard lock(mMutex);
    return mClient->Post(aPath, aBody, "application/json");
  }

private:
  std::string mAddress;
  duration mTimeout;
  std::mutex mMutex;
  std::unique_ptr<httplib::Client> mClient;
};

result<Json::Value>
ParseAnswer(const httplib::Result& aAnswer,
            const std::string& aStep,
            const std::string& aPeer)
{
  if (!aAnswer) {
    return TransportError(aAnswer.error(), aStep, aPeer);
  }
  if (aAnswer->status != 200) {
    return StatusError(*aAnswer, aStep, aPeer);
  }
  auto parsed = Capture([&] { return ParseJson(aAnswer->body, aPeer); });
  if (const auto* failure = std::get_if<error_info>(&parsed)) {
    return MakeError(
      error_code::BrokenExchange, aStep, aPeer, failure->message);
  }
  auto& value = std::get<Json::Value>(parsed);
  if (!value.isObject()) {
    return MakeError(
      error_code::BrokenExchange, aStep, aPeer, "expected a JSON object");
  }
  return std::move(value);
}

std::string
TextField(const Json::Value& aValue, const char* aName)
{
  return aValue.isObject() && aValue[aName].isString()
           ? aValue[aName].asString()
           : std::string();
}

std::int64_t
IntegerField(const Json::Value& aValue,
             const char* aName,
             std::int64_t aDefault)
{
  return aValue.isObject() && aValue[aName].isInt64() ? aValue[aName].asInt64()
                                                      : aDefault;
}

const Json::Value&
ArrayField(const Json::Value& aValue, const char* aName)
{
  static const Json::Value kEmpty(Json::arrayValue);
  return aValue.isObject() && aValue[aName].isArray() ? aValue[aName] : kEmpty;
}

class http_log final : public platform_log
{
public:
  http_log(const std::string& aAddress, duration aTimeout)
    : mWriter(aAddress, aTimeout)
    , mReader(aAddress, aTimeout)
  {
  }

  result<log_offset> Append(const std::string& aId,
                            const Json::Value& aRecord) override
  {
    Json::Value body(Json::objectValue);
    body["id"] = aId;
    body["record"] = aRecord;
    BOOST_LEAF_AUTO(answer,
                    ParseAnswer(mWriter.Post("/log/append", WriteJson(body)),
                                "append to the log",
                                mWriter.Address()));
    const log_offset offset = IntegerField(answer, "offset", kNoOffset);
    if (offset < 0) {
      return MakeError(error_code::BrokenExchange,
                       "append to the log",
                       mWriter.Address(),
                       "expected field \"offset\"");
    }
    return offset;
  }

  result<log_batch> Read(log_offset aFrom,
                         std::size_t aLimit,
                         duration aWait) override
  {
    static const std::string kStep = "read the log";
    const auto answer =
      mReader.Get("/log/read?from=" + std::to_string(aFrom) +
                    "&limit=" + std::to_string(aLimit) +
                    "&wait_ms=" + std::to_string(ToMilliseconds(aWait)),
                  aWait);
    log_batch batch;
    if (answer && answer->status == 410) {
      BOOST_LEAF_AUTO(truncation, ParseJson(answer->body, mReader.Address()));
      batch.truncated = true;
      batch.first = IntegerField(truncation, "first", 0);
      batch.next = batch.first;
      return batch;
    }
    BOOST_LEAF_AUTO(body, ParseAnswer(answer, kStep, mReader.Address()));
    batch.first = IntegerField(body, "first", 0);
    batch.next = IntegerField(body, "next", aFrom);
    for (const Json::Value& item : ArrayField(body, "records")) {
      raw_log_record record;
      record.offset = IntegerField(item, "offset", kNoOffset);
      record.id = TextField(item, "id");
      if (item.isObject()) {
        record.record = item["record"];
      }
      const log_offset minOffset =
        batch.records.empty() ? aFrom : batch.records.back().offset + 1;
      if (record.offset < minOffset || record.offset >= batch.next) {
        return MakeError(error_code::BrokenExchange,
                         kStep,
                         mReader.Address(),
                         "record offsets are out of order or out of range");
      }
      batch.records.push_back(std::move(record));
    }
    return batch;
  }

private:
  // Appends must not wait for a long-polling read.
  platform_connection mWriter;
  platform_connection mReader;
};

std::vector<vm_info>
ReadVms(const Json::Value& aBody)
{
  std::vector<vm_info> vms;
  for (const Json::Value& item : ArrayField(aBody, "vms")) {
    vm_info vm;
    vm.id = TextField(item, "id");
    vm.zone = TextField(item, "zone");
    vm.entryAddress = TextField(item, "entry_address");
    vm.controlAddress = TextField(item, "control_address");
    vm.leaving = TextField(item, "state") == "leaving";
    if (!vm.id.empty()) {
      vms.push_back(std::move(vm));
    }
  }
  return vms;
}

std::vector<target_info>
ReadTargets(const Json::Value& aBody)
{
  std::vector<target_info> targets;
  for (const Json::Value& item : ArrayField(aBody, "targets")) {
    const auto pool = ParseEnum<target_pool>(TextField(item, "pool"));
    const auto kind = ParseEnum<target_kind>(TextField(item, "kind"));
    const auto state = ParseEnum<target_state>(TextField(item, "state"));
    target_info target;
    target.id = TextField(item, "id");
    target.zone = TextField(item, "zone");
    target.targetClass = TextField(item, "class");
    target.address = TextField(item, "address");
    target.slots = IntegerField(item, "slots", 1);
    target.checksFencing = item.isObject() && item["checks_fencing"].isBool() &&
                           item["checks_fencing"].asBool();
    // Skips a target with missing or unknown values; the others stay usable.
    if (!pool || !kind || !state || target.id.empty()) {
      continue;
    }
    target.pool = *pool;
    target.kind = *kind;
    target.state = *state;
    targets.push_back(std::move(target));
  }
  return targets;
}

/// Cached list that is fetched again only when its entity tag changes.
template<typename Item>
class conditional_list
{
public:
  using parser = std::vector<Item> (*)(const Json::Value&);

  result<std::vector<Item>> Read(platform_connection& aPeer,
                                 const std::string& aPath,
                                 const httplib::Params& aParams,
                                 const std::string& aStep,
                                 parser aParse)
  {
    const std::lock_guard lock(mMutex);
    httplib::Headers headers;
    if (!mEntityTag.empty()) {
      headers.emplace("If-None-Match", mEntityTag);
    }
    const auto answer = aPeer.Get(aPath, aParams, headers);
    if (answer && answer->status == 304 && !mEntityTag.empty()) {
      return mItems;
    }
    BOOST_LEAF_AUTO(body, ParseAnswer(answer, aStep, aPeer.Address()));
    mItems = aParse(body);
    mEntityTag = answer->get_header_value("ETag");
    return mItems;
  }

private:
  std::mutex mMutex;
  std::string mEntityTag; ///< Empty when the platform sends none.
  std::vector<Item> mItems;
};

class http_directory final : public vm_directory
{
public:
  http_directory(const std::string& aAddress, duration aTimeout)
    : mPeer(aAddress, aTimeout)
  {
  }

  result<std::vector<vm_info>> ListVms() override
  {
    return mVms.Read(mPeer, "/vms", {}, "list VMs", &ReadVms);
  }

  result<std::vector<target_info>> ListTargets(
    const std::string& aZone) override
  {
    httplib::Params params;
    if (!aZone.empty()) {
      params.emplace("zone", aZone);
    }
    BOOST_LEAF_AUTO(targets,
                    TargetsOf(aZone).Read(
                      mPeer, "/targets", params, "list targets", &ReadTargets));
    // A platform may ignore the parameter and list all zones.
    if (!aZone.empty()) {
      std::erase_if(targets, [&](const target_info& aTarget) {
        return aTarget.zone != aZone;
      });
    }
    return targets;
  }

private:
  conditional_list<target_info>& TargetsOf(const std::string& aZone)
  {
    const std::lock_guard lock(mMutex);
    return mTargets[aZone];
  }

  platform_connection mPeer;
  conditional_list<vm_info> mVms;
  std::mutex mMutex; ///< Guards the map; its elements never move.
  std::map<std::string, conditional_list<target_info>> mTargets; ///< By zone.
};

Json::Value
WriteOrder(const target_order& aOrder)
{
  Json::Value body(Json::objectValue);
  body["order_id"] = aOrder.orderId;
  body["fencing"] = Json::Int64(aOrder.fencing);
  body["counts"] = Json::Value(Json::arrayValue);
  for (const target_count& count : aOrder.counts) {
    Json::Value item(Json::objectValue);
    item["class"] = count.targetClass;
    item["pool"] = std::string(EnumName(count.pool));
    item["count"] = Json::Int64(count.count);
    body["counts"].append(std::move(item));
  }
  body["stop"] = Json::Value(Json::arrayValue);
  for (const std::string& id : aOrder.stop) {
    body["stop"].append(id);
  }
  return body;
}

class http_orders final : public target_provisioner
{
public:
  http_orders(const std::string& aAddress, duration aTimeout)
    : mPeer(aAddress, aTimeout)
  {
  }

  result<void> Send(const target_order& aOrder,
                    const send_check& aCheck) override
  {
    return FencedSend("PUT",
                      mPeer.Address(),
                      mPeer.Timeout(),
                      "/orders/" + aOrder.zone,
                      WriteJson(WriteOrder(aOrder)),
                      aCheck,
                      "order targets");
  }

  result<target_order> Last(const std::string& aZone) override
  {
    target_order order;
    order.zone = aZone;
    const auto answer = mPeer.Get("/orders/" + aZone);
    if (answer && answer->status == 404) {
      return order;
    }
    BOOST_LEAF_AUTO(
      body, ParseAnswer(answer, "read the last order", mPeer.Address()));
    order.orderId = TextField(body, "order_id");
    order.fencing = IntegerField(body, "fencing", kNoOffset);
    for (const Json::Value& item : ArrayField(body, "counts")) {
      const auto pool = ParseEnum<target_pool>(TextField(item, "pool"));
      if (pool) {
        order.counts.push_back(
          { TextField(item, "class"), *pool, IntegerField(item, "count", 0) });
      }
    }
    for (const Json::Value& id : ArrayField(body, "stop")) {
      if (id.isString()) {
        order.stop.push_back(id.asString());
      }
    }
    return order;
  }

private:
  platform_connection mPeer;
};

Json::Value
WriteReport(const usage_report& aReport)
{
  Json::Value body(Json::objectValue);
  body["window"] = Json::Int64(aReport.window);
  body["fencing"] = Json::Int64(aReport.fencing);
  body["lines"] = Json::Value(Json::arrayValue);
  for (const usage_line& line : aReport.lines) {
    Json::Value item(Json::objectValue);
    item["tenant"] = line.team;
    item["requests"] = Json::Int64(line.requests);
    item["prompt_tokens"] = Json::Int64(line.promptTokens);
    item["generated_tokens"] = Json::Int64(line.generatedTokens);
    if (line.carriedFrom >= 0) {
      item["carried_from"] = Json::Int64(line.carriedFrom);
    }
    body["lines"].append(std::move(item));
  }
  return body;
}

class http_usage final : public usage_sink
{
public:
  http_usage(std::string aAddress, duration aTimeout)
    : mAddress(std::move(aAddress))
    , mTimeout(aTimeout)
  {
  }

  result<void> Send(const usage_report& aReport,
                    const send_check& aCheck) override
  {
    return FencedSend("PUT",
                      mAddress,
                      mTimeout,
                      "/usage/" + std::to_string(aReport.window),
                      WriteJson(WriteReport(aReport)),
                      aCheck,
                      "report usage");
  }

private:
  std::string mAddress;
  duration mTimeout;
};

} // namespace

platform_clients
MakeHttpPlatform(const std::string& aAddress, duration aTimeout)
{
  return { std::make_shared<http_log>(aAddress, aTimeout),
           std::make_shared<http_directory>(aAddress, aTimeout),
           std::make_shared<http_orders>(aAddress, aTimeout),
           std::make_shared<http_usage>(aAddress, aTimeout) };
}

} // namespace arbutusferry
