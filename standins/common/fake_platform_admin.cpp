#include "arbutusferry/json.hpp"
#include "common/fake_platform_impl.hpp"

#include <thread>

namespace arbutusferry::standin {

namespace {

target_info
ReadTarget(object_reader& aReader)
{
  target_info target;
  target.id = aReader.String("id");
  target.zone = aReader.String("zone");
  target.pool = aReader.Enumerator<target_pool>("pool");
  target.targetClass = aReader.String("class");
  target.kind = aReader.Enumerator<target_kind>("kind");
  target.address = aReader.String("address");
  target.slots = aReader.Integer("slots", 1, kMaxInteger);
  target.state = aReader.Enumerator<target_state>("state");
  target.checksFencing = aReader.Boolean("checks_fencing", false);
  return target;
}

} // namespace

std::pair<int, Json::Value>
fake_platform::impl::SetFaults(const Json::Value& aBody)
{
  const auto checked = Capture([&]() -> result<void> {
    object_reader reader(aBody, "faults");
    const auto down = [&](const char* aName, bool aCurrent) {
      const std::string text = reader.String(aName, aCurrent ? "down" : "up");
      if (text != "up" && text != "down") {
        reader.Fail(aName, "expected up or down");
      }
      return text == "down";
    };
    const std::string logState = reader.String("log", "");
    if (!logState.empty() && logState != "up" && logState != "down") {
      reader.Fail("log", "expected up or down");
    }
    const bool noOrders = down("orders", ordersDown);
    const bool noUsage = down("usage", usageDown);
    const bool noLists = down("lists", listsDown);
    const auto appends =
      reader.Integer("append_answers_lost", 0, kMaxInteger, appendAnswersLost);
    const auto orderAnswers =
      reader.Integer("order_answers_lost", 0, kMaxInteger, orderAnswersLost);
    const auto usageAnswers =
      reader.Integer("usage_answers_lost", 0, kMaxInteger, usageAnswersLost);
    const auto delay = reader.Integer("delay_ms", 0, 600'000, delayMs);
    const auto lag = reader.Integer("list_lag_ms", 0, 600'000, listLagMs);
    const auto retain = reader.Integer("retain", 0, kMaxInteger, -1);
    const double rate = reader.Number("appends_per_s", 1, 1e9, 0);
    const bool fenced = reader.Boolean("check_fencing", checkFencing);
    BOOST_LEAF_CHECK(reader.Finish());
    ordersDown = noOrders;
    usageDown = noUsage;
    listsDown = noLists;
    appendAnswersLost = appends;
    orderAnswersLost = orderAnswers;
    usageAnswersLost = usageAnswers;
    delayMs = delay;
    listLagMs = lag;
    checkFencing = fenced;
    if (!logState.empty()) {
      log.SetDown(logState == "down");
    }
    if (retain >= 0) {
      log.SetRetention(static_cast<std::size_t>(retain));
    }
    if (rate > 0) {
      log.SetRate(rate);
    }
    return {};
  });
  if (const auto* error = std::get_if<error_info>(&checked)) {
    return { 400, ErrorBody(FormatError(*error)) };
  }
  return { 200, Json::Value(Json::objectValue) };
}

std::pair<int, Json::Value>
fake_platform::impl::SetClasses(const Json::Value& aBody)
{
  const auto checked = Capture([&]() -> result<void> {
    object_reader reader(aBody, "classes");
    for (const Json::Value& item : reader.Array("classes")) {
      object_reader line(item, "classes", "classes");
      target_class_options options;
      const std::string name = line.String("class");
      options.kind = line.Enumerator<target_kind>("kind");
      options.engine.slots = line.Integer("slots", 1, kMaxInteger, 8);
      options.engine.tokensPerSecond =
        line.Number("tokens_per_s", 0.01, 1e9, 400);
      options.engine.version = line.Integer("version", 0, kMaxInteger, 1);
      options.engine.checksFencing = line.Boolean("checks_fencing", true);
      options.startMs = line.Integer("start_ms", 0, 600'000, 0);
      BOOST_LEAF_CHECK(line.Finish());
      targets.SetClass(name, options);
    }
    return reader.Finish();
  });
  if (const auto* error = std::get_if<error_info>(&checked)) {
    return { 400, ErrorBody(FormatError(*error)) };
  }
  return { 200, Json::Value(Json::objectValue) };
}

std::pair<int, Json::Value>
fake_platform::impl::SetTargets(const Json::Value& aBody)
{
  const auto checked = Capture([&]() -> result<void> {
    object_reader reader(aBody, "targets");
    std::vector<target_info> fixed;
    for (const Json::Value& item : reader.Array("targets")) {
      object_reader line(item, "targets", "targets");
      fixed.push_back(ReadTarget(line));
      BOOST_LEAF_CHECK(line.Finish());
    }
    BOOST_LEAF_CHECK(reader.Finish());
    targets.SetFixed(std::move(fixed));
    return {};
  });
  if (const auto* error = std::get_if<error_info>(&checked)) {
    return { 400, ErrorBody(FormatError(*error)) };
  }
  return { 200, Json::Value(Json::objectValue) };
}

std::pair<int, Json::Value>
fake_platform::impl::Reclaim(const Json::Value& aBody)
{
  const std::string zone = aBody.get("zone", "").asString();
  const auto notice =
    std::chrono::milliseconds(aBody.get("notice_ms", 3000).asInt64());
  targets.SetAvailable(zone, target_pool::Reclaimable, 0);
  const std::vector<std::string> ids = targets.NoticeReclaim(zone);
  std::thread([this, ids, notice] {
    std::this_thread::sleep_for(notice);
    for (const std::string& id : ids) {
      targets.Stop(id, "reclaim");
    }
  }).detach();
  Json::Value answer(Json::objectValue);
  answer["targets"] = Json::Value(Json::arrayValue);
  for (const std::string& id : ids) {
    answer["targets"].append(id);
  }
  return { 200, answer };
}

void
fake_platform::impl::RegisterAdmin(standin_server& aServer)
{
  httplib::Server& http = aServer.Http();
  http.Get(
    "/history",
    [this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      const std::string text = aRequest.get_param_value("from");
      const std::lock_guard lock(historyMutex);
      Json::Value answer(Json::objectValue);
      Json::Value& list = answer["history"] = Json::Value(Json::arrayValue);
      const std::size_t from =
        text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
      for (std::size_t i = from; i < history.size(); ++i) {
        list.append(history[i]);
      }
      Reply(aAnswer, 200, WriteJson(answer));
    });
  const auto admin = [](json_handler aHandler) {
    return [aHandler = std::move(aHandler)](const httplib::Request& aRequest,
                                            httplib::Response& aResponse) {
      const auto parsed =
        Capture([&] { return ParseJson(aRequest.body, "request"); });
      const auto* body = std::get_if<Json::Value>(&parsed);
      if (body == nullptr || !body->isObject()) {
        Reply(aResponse, 400, WriteJson(ErrorBody("expected a JSON object")));
        return;
      }
      const auto [status, answer] = aHandler(*body);
      Reply(aResponse, status, WriteJson(answer));
    };
  };
  const Json::Value empty(Json::objectValue);
  http.Put("/admin/vms", admin([this, empty](const Json::Value& aBody) {
             if (!aBody["vms"].isArray()) {
               return std::pair(400, ErrorBody("vms: expected a list"));
             }
             const std::lock_guard lock(mutex);
             vms = aBody["vms"];
             return std::pair(200, empty);
           }));
  http.Put(
    "/admin/rewrites", admin([this, empty](const Json::Value& aBody) {
      const std::lock_guard lock(mutex);
      const auto view = aBody.get("view", -1).asInt64();
      if (view < 0 || view >= static_cast<std::int64_t>(rewrites.size())) {
        return std::pair(400, ErrorBody("view: no such view"));
      }
      auto& table = rewrites[static_cast<std::size_t>(view)];
      table.clear();
      for (const std::string& name : aBody["rewrites"].getMemberNames()) {
        table[name] = aBody["rewrites"][name].asString();
      }
      return std::pair(200, empty);
    }));
  http.Put("/admin/targets", admin([this](const Json::Value& aBody) {
             return SetTargets(aBody);
           }));
  http.Put("/admin/classes", admin([this](const Json::Value& aBody) {
             return SetClasses(aBody);
           }));
  http.Put("/admin/faults", admin([this](const Json::Value& aBody) {
             return SetFaults(aBody);
           }));
  http.Put(
    "/admin/target_state", admin([this, empty](const Json::Value& aBody) {
      const auto state =
        ParseEnum<target_state>(aBody.get("state", "").asString());
      if (!state || !targets.SetState(aBody.get("id", "").asString(), *state)) {
        return std::pair(400, ErrorBody("no such target or state"));
      }
      return std::pair(200, empty);
    }));
  http.Put(
    "/admin/available", admin([this, empty](const Json::Value& aBody) {
      const auto pool =
        ParseEnum<target_pool>(aBody.get("pool", "").asString());
      if (!pool || !aBody["count"].isIntegral()) {
        return std::pair(400, ErrorBody("expected zone, pool and count"));
      }
      targets.SetAvailable(
        aBody.get("zone", "").asString(), *pool, aBody["count"].asInt64());
      return std::pair(200, empty);
    }));
  http.Post("/admin/reclaim",
            admin([this](const Json::Value& aBody) { return Reclaim(aBody); }));
}

} // namespace arbutusferry::standin
