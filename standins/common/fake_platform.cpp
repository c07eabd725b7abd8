#include "common/fake_platform.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "common/fake_platform_impl.hpp"

#include <algorithm>
#include <thread>

namespace arbutusferry::standin {

namespace {

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Replies with the list, filtered by the `zone` parameter if there is one, or
/// with 304 if the caller already has it.
void
ReplyList(const httplib::Request& aRequest,
          httplib::Response& aResponse,
          const char* aName,
          Json::Value aAnswer)
{
  if (aRequest.has_param("zone")) {
    const std::string zone = aRequest.get_param_value("zone");
    Json::Value kept(Json::arrayValue);
    for (const Json::Value& item : aAnswer[aName]) {
      if (item["zone"].asString() == zone) {
        kept.append(item);
      }
    }
    aAnswer[aName] = std::move(kept);
  }
  const std::string body = WriteJson(aAnswer);
  const std::string tag = '"' + Sha256Hex(body) + '"';
  aResponse.set_header("ETag", tag);
  // If-None-Match may list several tags; the quotes keep the search exact.
  const std::string known = aRequest.get_header_value("If-None-Match");
  if (known == "*" || known.find(tag) != std::string::npos) {
    aResponse.status = 304;
    return;
  }
  Reply(aResponse, 200, body);
}

} // namespace

fake_platform::impl::impl()
  : targets([this](Json::Value aEvent) {
    const std::string kind = aEvent["kind_of_event"].asString();
    aEvent.removeMember("kind_of_event");
    RecordEvent(kind, std::move(aEvent), "platform");
  })
{
}

void
fake_platform::impl::RecordEvent(const std::string& aKind,
                                 Json::Value aEvent,
                                 const std::string& aSender)
{
  const std::lock_guard lock(historyMutex);
  Json::Value item(Json::objectValue);
  item["seq"] = Json::UInt64(history.size());
  item["event"] = aKind;
  item["at_ms"] = Json::Int64(UnixMs());
  item["sender"] = aSender;
  item["content"] = std::move(aEvent);
  history.push_back(std::move(item));
}

bool
fake_platform::impl::ConsumeLostAnswer(std::atomic<std::int64_t>& aCount)
{
  std::int64_t count = aCount;
  while (count > 0) {
    if (aCount.compare_exchange_weak(count, count - 1)) {
      return true;
    }
  }
  return false;
}

void
fake_platform::impl::Delay() const
{
  if (delayMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  }
}

Json::Value
fake_platform::impl::LaggedList(std::vector<list_version>& aVersions,
                                Json::Value aCurrent)
{
  const std::lock_guard lock(mutex);
  const auto now = steady::now();
  if (aVersions.empty() || aVersions.back().list != aCurrent) {
    aVersions.push_back({ now, std::move(aCurrent) });
  }
  const auto cutoff = now - std::chrono::milliseconds(listLagMs);
  std::size_t shown = 0;
  for (std::size_t i = 0; i < aVersions.size(); ++i) {
    if (aVersions[i].since <= cutoff) {
      shown = i;
    }
  }
  return aVersions[shown].list;
}

Json::Value
fake_platform::impl::RewriteAddresses(Json::Value aList, std::size_t aView)
{
  const std::lock_guard lock(mutex);
  for (Json::Value& item : aList) {
    for (const char* field :
         { "address", "entry_address", "control_address" }) {
      const auto found = rewrites[aView].find(item.get(field, "").asString());
      if (found != rewrites[aView].end()) {
        item[field] = found->second;
      }
    }
  }
  return aList;
}

std::pair<int, Json::Value>
fake_platform::impl::HandleOrder(const std::string& aZone,
                                 const Json::Value& aBody,
                                 const std::string& aSender)
{
  struct class_count
  {
    std::string targetClass;
    target_pool pool = target_pool::Protected;
    std::int64_t count = 0;
  };
  std::int64_t fencing = -1;
  std::vector<class_count> counts;
  std::vector<std::string> stop;
  const auto checked = Capture([&]() -> result<void> {
    object_reader reader(aBody, "order");
    (void)reader.String("zone", "");
    (void)reader.String("order_id");
    fencing = reader.Integer("fencing", -1, kMaxInteger);
    for (const Json::Value& item : reader.Array("counts")) {
      object_reader line(item, "order", "counts");
      class_count entry;
      entry.targetClass = line.String("class");
      entry.pool = line.Enumerator<target_pool>("pool");
      entry.count = line.Integer("count", 0, 10'000);
      BOOST_LEAF_CHECK(line.Finish());
      counts.push_back(entry);
    }
    stop = reader.Strings("stop");
    return reader.Finish();
  });
  if (const auto* error = std::get_if<error_info>(&checked)) {
    return { 400, ErrorBody(FormatError(*error)) };
  }
  Json::Value event = aBody;
  event["zone"] = aZone;
  {
    const std::lock_guard lock(mutex);
    const auto [highest, first] = orderFencing.try_emplace(aZone, fencing);
    if (checkFencing && fencing < highest->second) {
      event["accepted"] = false;
      RecordEvent("order", std::move(event), aSender);
      return { 409, ErrorBody("fencing token is lower than one seen") };
    }
    highest->second = std::max(highest->second, fencing);
    orders[aZone] = aBody;
    event["accepted"] = true;
    RecordEvent("order", std::move(event), aSender);
  }
  for (const std::string& id : stop) {
    targets.Stop(id, "order");
  }
  for (const class_count& entry : counts) {
    targets.Ensure(aZone, entry.targetClass, entry.pool, entry.count);
  }
  Json::Value answer(Json::objectValue);
  answer["accepted"] = true;
  return { 200, answer };
}

std::pair<int, Json::Value>
fake_platform::impl::HandleUsage(const std::string& aWindow,
                                 const Json::Value& aBody,
                                 const std::string& aSender)
{
  if (!aBody.isObject() || !aBody["fencing"].isIntegral() ||
      !aBody["lines"].isArray()) {
    return { 400, ErrorBody("expected window, fencing and lines") };
  }
  const std::lock_guard lock(mutex);
  const std::int64_t fencing = aBody["fencing"].asInt64();
  const auto found = reports.find(aWindow);
  const bool stale = fencing < usageFencing;
  const bool differs =
    found != reports.end() && found->second != aBody["lines"];
  Json::Value event = aBody;
  event["window"] = aWindow;
  event["accepted"] = !stale && !differs;
  event["repeat"] = found != reports.end();
  RecordEvent("usage", std::move(event), aSender);
  if (stale || differs) {
    return { 409,
             ErrorBody(stale ? "fencing token is lower than one seen"
                             : "other figures were reported for this window") };
  }
  usageFencing = fencing;
  reports[aWindow] = aBody["lines"];
  Json::Value answer(Json::objectValue);
  answer["accepted"] = true;
  return { 200, answer };
}

void
fake_platform::impl::ReadLog(const httplib::Request& aRequest,
                             httplib::Response& aResponse)
{
  const auto number = [&](const char* aName, std::int64_t aDefault) {
    const std::string text = aRequest.get_param_value(aName);
    return text.empty() ? aDefault : std::atoll(text.c_str());
  };
  const auto wait = std::clamp<std::int64_t>(number("wait_ms", 0), 0, 60'000);
  const auto limit = std::clamp<std::int64_t>(number("limit", 1000), 1, 10'000);
  const log_read read = log.Read(number("from", 0),
                                 static_cast<std::size_t>(limit),
                                 std::chrono::milliseconds(wait));
  if (read.down) {
    Reply(aResponse, 503, WriteJson(ErrorBody("the log is down")));
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["first"] = Json::Int64(read.first);
  if (read.gone) {
    Reply(aResponse, 410, WriteJson(answer));
    return;
  }
  answer["next"] = Json::Int64(read.next);
  Json::Value& records = answer["records"] = Json::Value(Json::arrayValue);
  for (const Json::Value& record : read.records) {
    records.append(record);
  }
  Reply(aResponse, 200, WriteJson(answer));
}

void
fake_platform::impl::AppendLog(standin_server& aServer,
                               const httplib::Request& aRequest,
                               httplib::Response& aResponse)
{
  const auto parsed =
    Capture([&] { return ParseJson(aRequest.body, "append"); });
  const auto* body = std::get_if<Json::Value>(&parsed);
  if (body == nullptr || !body->isObject() || !(*body)["id"].isString() ||
      !body->isMember("record")) {
    Reply(aResponse, 400, WriteJson(ErrorBody("expected id and record")));
    return;
  }
  const std::string sender =
    aRequest.remote_addr + ":" + std::to_string(aRequest.remote_port);
  const auto offset = log.Append((*body)["id"].asString(), (*body)["record"]);
  if (!offset) {
    Reply(aResponse, 503, WriteJson(ErrorBody("the log is down")));
    return;
  }
  Json::Value event = *body;
  event["offset"] = Json::Int64(*offset);
  RecordEvent("append", std::move(event), sender);
  if (ConsumeLostAnswer(appendAnswersLost)) {
    aServer.DropConnection(aRequest);
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["offset"] = Json::Int64(*offset);
  Reply(aResponse, 200, WriteJson(answer));
}

void
fake_platform::impl::Register(standin_server& aServer, std::size_t aView)
{
  httplib::Server& http = aServer.Http();
  const auto sender = [](const httplib::Request& aRequest) {
    return aRequest.remote_addr + ":" + std::to_string(aRequest.remote_port);
  };
  http.Post("/log/append",
            [this, &aServer](const httplib::Request& aRequest,
                             httplib::Response& aResponse) {
              Delay();
              AppendLog(aServer, aRequest, aResponse);
            });
  http.Get(
    "/log/read",
    [this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      Delay();
      ReadLog(aRequest, aAnswer);
    });
  const auto list = [this, aView](const char* aName,
                                  std::vector<list_version>& aVersions,
                                  const std::function<Json::Value()>& aCurrent,
                                  const httplib::Request& aRequest,
                                  httplib::Response& aResponse) {
    Delay();
    if (listsDown) {
      Reply(aResponse, 503, WriteJson(ErrorBody("the lists are down")));
      return;
    }
    Json::Value answer(Json::objectValue);
    answer[aName] = RewriteAddresses(LaggedList(aVersions, aCurrent()), aView);
    ReplyList(aRequest, aResponse, aName, std::move(answer));
  };
  http.Get(
    "/vms",
    [=, this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      list(
        "vms",
        vmVersions,
        [this] {
          const std::lock_guard lock(mutex);
          return vms;
        },
        aRequest,
        aAnswer);
    });
  http.Get(
    "/targets",
    [=, this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      list(
        "targets",
        targetVersions,
        [this] { return targets.List(); },
        aRequest,
        aAnswer);
    });
  const auto handlePut = [this, &aServer](const httplib::Request& aRequest,
                                          httplib::Response& aResponse,
                                          bool aDown,
                                          std::atomic<std::int64_t>& aLost,
                                          const json_handler& aHandler) {
    Delay();
    if (aDown) {
      Reply(aResponse, 503, WriteJson(ErrorBody("down")));
      return;
    }
    const auto parsed =
      Capture([&] { return ParseJson(aRequest.body, "request"); });
    const auto* body = std::get_if<Json::Value>(&parsed);
    if (body == nullptr) {
      Reply(aResponse, 400, WriteJson(ErrorBody("expected JSON")));
      return;
    }
    const auto [status, answer] = aHandler(*body);
    if (status == 200 && ConsumeLostAnswer(aLost)) {
      aServer.DropConnection(aRequest);
      return;
    }
    Reply(aResponse, status, WriteJson(answer));
  };
  http.Put(
    R"(/orders/([^/]+))",
    [=, this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      handlePut(aRequest,
                aResponse,
                ordersDown,
                orderAnswersLost,
                [&](const Json::Value& aBody) {
                  return HandleOrder(
                    aRequest.matches[1], aBody, sender(aRequest));
                });
    });
  http.Put(
    R"(/usage/([^/]+))",
    [=, this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      handlePut(aRequest,
                aResponse,
                usageDown,
                usageAnswersLost,
                [&](const Json::Value& aBody) {
                  return HandleUsage(
                    aRequest.matches[1], aBody, sender(aRequest));
                });
    });
  http.Get(
    R"(/orders/([^/]+))",
    [this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      Delay();
      if (ordersDown) {
        Reply(aAnswer, 503, WriteJson(ErrorBody("orders are down")));
        return;
      }
      const std::string zone = aRequest.matches[1];
      Json::Value answer(Json::objectValue);
      {
        const std::lock_guard lock(mutex);
        const auto found = orders.find(zone);
        if (found != orders.end()) {
          answer = found->second;
        } else {
          answer["order_id"] = "";
          answer["fencing"] = -1;
          answer["counts"] = Json::Value(Json::arrayValue);
          answer["stop"] = Json::Value(Json::arrayValue);
        }
      }
      for (const auto& [pool, name] : kEnumNames<target_pool>) {
        answer["available"][std::string(name)] =
          Json::Int64(targets.Available(zone, pool));
      }
      Reply(aAnswer, 200, WriteJson(answer));
    });
}

fake_platform::fake_platform()
  : mImpl(std::make_unique<impl>())
{
}

fake_platform::~fake_platform() = default;

bool
fake_platform::Start(const std::string& aListen, std::size_t aViews)
{
  mImpl->rewrites.resize(aViews + 1);
  for (std::size_t view = 0; view <= aViews; ++view) {
    mImpl->servers.push_back(std::make_unique<standin_server>());
    standin_server& server = *mImpl->servers.back();
    mImpl->Register(server, view);
    if (view == 0) {
      mImpl->RegisterAdmin(server);
    }
    const std::string host = aListen.substr(0, aListen.rfind(':'));
    if (!server.Start(view == 0 ? aListen : host + ":0")) {
      return false;
    }
  }
  return true;
}

std::string
fake_platform::Address() const
{
  return mImpl->servers.front()->Address();
}

std::vector<std::string>
fake_platform::ViewAddresses() const
{
  std::vector<std::string> addresses;
  for (std::size_t i = 1; i < mImpl->servers.size(); ++i) {
    addresses.push_back(mImpl->servers[i]->Address());
  }
  return addresses;
}

} // namespace arbutusferry::standin
