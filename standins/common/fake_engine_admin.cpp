#include "arbutusferry/json.hpp"
#include "common/fake_engine_impl.hpp"
#include "common/http_record.hpp"

#include <algorithm>

namespace arbutusferry::standin {

void
fake_engine::impl::SwapWeights(const httplib::Request& aRequest,
                               httplib::Response& aResponse)
{
  const auto parsed =
    Capture([&] { return ParseJson(aRequest.body, "request"); });
  const auto* body = std::get_if<Json::Value>(&parsed);
  seen.Finish(seen.Add(ToSeenRequest(aRequest)));
  if (body == nullptr || !body->isObject() ||
      !(*body)["version"].isIntegral()) {
    Reply(aResponse, 400, R"({"error":"expected fencing, model, version"})");
    return;
  }
  const std::int64_t token = body->get("fencing", -1).asInt64();
  {
    const std::lock_guard lock(mutex);
    if (options.checksFencing && token < fencing) {
      Reply(aResponse, 409, R"({"error":"stale fencing token"})");
      return;
    }
    fencing = std::max(fencing, token);
    if (faults.failSwaps > 0) {
      --faults.failSwaps;
      Reply(aResponse, 500, R"({"error":"swap failed"})");
      return;
    }
  }
  if (options.swapMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(options.swapMs));
  }
  const std::lock_guard lock(mutex);
  version = (*body)["version"].asInt64();
  RecordLoad();
  Reply(aResponse, 200, R"({"loaded":true})");
}

bool
fake_engine::impl::SetBehavior(const Json::Value& aValue, std::string& aError)
{
  const std::lock_guard lock(mutex);
  constexpr std::int64_t kMaxInteger = 1'000'000'000;
  const auto checked = Capture([&]() -> result<void> {
    object_reader reader(aValue, "behavior");
    engine_options newOptions = options;
    engine_faults newFaults = faults;
    newOptions.tokensPerSecond =
      reader.Number("tokens_per_s", 0.01, 1e9, newOptions.tokensPerSecond);
    newOptions.prefillPerSecond =
      reader.Number("prefill_per_s", 0.01, 1e9, newOptions.prefillPerSecond);
    newOptions.slots =
      reader.Integer("slots", 1, kMaxInteger, newOptions.slots);
    newOptions.eventTokens =
      reader.Integer("event_tokens", 1, kMaxInteger, newOptions.eventTokens);
    newOptions.checksFencing =
      reader.Boolean("checks_fencing", newOptions.checksFencing);
    newOptions.loadLagMs =
      reader.Integer("load_lag_ms", 0, kMaxInteger, newOptions.loadLagMs);
    newOptions.cacheLagMs =
      reader.Integer("cache_lag_ms", 0, kMaxInteger, newOptions.cacheLagMs);
    newOptions.cacheGapEvery = reader.Integer(
      "cache_gap_every", 0, kMaxInteger, newOptions.cacheGapEvery);
    newOptions.swapMs =
      reader.Integer("swap_ms", 0, kMaxInteger, newOptions.swapMs);
    const std::int64_t newVersion =
      reader.Integer("version", 0, kMaxInteger, version);
    newFaults.dropVersionLabels =
      reader.Boolean("drop_version_labels", newFaults.dropVersionLabels);
    newFaults.wrongId = reader.Boolean("wrong_id", newFaults.wrongId);
    newFaults.truncateAfter = reader.Integer(
      "truncate_after", -1, kMaxInteger, newFaults.truncateAfter);
    newFaults.hangAfter =
      reader.Integer("hang_after", -1, kMaxInteger, newFaults.hangAfter);
    newFaults.failStatus =
      reader.Integer("fail_status", 0, 599, newFaults.failStatus);
    newFaults.faultCount =
      reader.Integer("fault_count", -1, kMaxInteger, newFaults.faultCount);
    newFaults.crashAfterTokens = reader.Integer(
      "crash_after_tokens", -1, kMaxInteger, newFaults.crashAfterTokens);
    newFaults.swapAfterTokens = reader.Integer(
      "swap_after_tokens", -1, kMaxInteger, newFaults.swapAfterTokens);
    newFaults.failSwaps =
      reader.Integer("fail_swaps", 0, kMaxInteger, newFaults.failSwaps);
    BOOST_LEAF_CHECK(reader.Finish());
    options = newOptions;
    faults = newFaults;
    version = newVersion;
    return {};
  });
  if (const auto* error = std::get_if<error_info>(&checked)) {
    aError = FormatError(*error);
    return false;
  }
  RecordLoad();
  changed.notify_all();
  return true;
}

void
fake_engine::impl::Register()
{
  httplib::Server& http = server.Http();
  http.Post(
    "/v1/completions",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      Complete(aRequest, aResponse);
    });
  http.Get("/load",
           [this](const httplib::Request&, httplib::Response& aAnswer) {
             Reply(aAnswer, 200, WriteJson(Load()));
           });
  http.Get(
    "/cache_events",
    [this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      const std::string from = aRequest.get_param_value("from");
      Reply(
        aAnswer,
        200,
        WriteJson(CacheEvents(from.empty() ? 0 : std::atoll(from.c_str()))));
    });
  http.Post(
    "/admin/weights",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      SwapWeights(aRequest, aResponse);
    });
  http.Put(
    "/admin/behavior",
    [this](const httplib::Request& aRequest, httplib::Response& aAnswer) {
      const auto parsed =
        Capture([&] { return ParseJson(aRequest.body, "behavior"); });
      std::string error = "behavior: expected JSON";
      const auto* value = std::get_if<Json::Value>(&parsed);
      const bool done = value != nullptr && SetBehavior(*value, error);
      Json::Value answer(Json::objectValue);
      answer[done ? "set" : "error"] = done ? "true" : error;
      Reply(aAnswer, done ? 200 : 400, WriteJson(answer));
    });
  http.Get("/admin/seen",
           [this](const httplib::Request&, httplib::Response& aAnswer) {
             Reply(aAnswer, 200, WriteJson(seen.Save()));
           });
}

} // namespace arbutusferry::standin
