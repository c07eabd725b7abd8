#include "batch_handler.hpp"
#include "http_protocols.hpp"
#include "platform_settings.hpp"
#include "store_client.hpp"
#include "support/node_fakes.hpp"
#include "wire_format.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::platform;
using namespace arbutusferry::node;

namespace {

template<typename T>
std::optional<T>
Value(const std::variant<T, error_info>& aOutcome)
{
  const auto* value = std::get_if<T>(&aOutcome);
  return value ? std::optional(*value) : std::nullopt;
}

std::optional<environment_view>
Manifest(const std::string& aText)
{
  return Value(Capture([&] { return DecodeManifest(aText); }));
}

std::optional<target_entry>
Target(const std::string& aText)
{
  return Value(Capture([&] { return DecodeTarget("i-1", aText); }));
}

constexpr const char* kManifest = R"({"version":7,"routes":[
  {"name":"a","host":"h.example","path-prefix":"/x/","kind":"idempotent",
   "timeout-ms":2000,"max-attempts":2,"skip-auth":false,
   "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"b","host":"h.example","path-prefix":"/x/y/","kind":"rollout",
   "service":"s3","retention-s":40.0,"single-version":true,"later":[1]},
  {"name":"c","host":"h.example","path-prefix":"/n/","kind":"non_idempotent",
   "service":"s1","skip-auth":true}],
 "services":[{"name":"s3","engine":{"models":[{"name":"m"}]},
   "scaling":{"min":1,"max":8,"boot-timeout-s":4.0}},{"name":"s1"}],
 "limits":{"max-header-bytes":1000,"idle-timeout-ms":9000},
 "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1}]})";

constexpr const char* kSettings = R"({
  "vm": "v", "zone": "z", "zones": ["z", "y"], "cpu_share": 0.5,
  "listen_callers": "127.0.0.1:1", "listen_ready": "127.0.0.1:2",
  "listen_peers": "127.0.0.1:3", "listen_metrics": "127.0.0.1:4",
  "store": "127.0.0.1:5", "duties": "127.0.0.1:6",
  "max_record_bytes": 262144, "max_call_bytes": 2097152,
  "lease_ms": 3000, "cancel_within_ms": 3000, "fences_checked": true, "usage_window_s": 5,
  "usage_due_s": 10, "batch_readable_s": 120, "stop_within_s": 8.5 })";

std::string
SettingsError(std::string aText,
              const std::string& aFrom,
              const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  aText.replace(at, aFrom.size(), aTo);
  const auto outcome =
    Capture([&] { return ReadPlatformSettings(aText, "node.json"); });
  const auto* error = std::get_if<error_info>(&outcome);
  REQUIRE(error);
  CHECK(error->code == error_code::InvalidSettings);
  return FormatError(*error);
}

} // namespace

TEST_CASE("a manifest is decoded into routes, services, teams and limits")
{
  const auto view = Manifest(kManifest);
  REQUIRE(view);
  CHECK(view->Version() == 7);
  const route_entry* route = view->FindRoute("H.example:80", "/x/1?q=2");
  REQUIRE(route);
  CHECK(route->name == "a");
  CHECK(route->kind == route_kind::Idempotent);
  CHECK(route->services.size() == 2);
  route = view->FindRoute("h.example", "/x/y/1");
  REQUIRE(route);
  CHECK(route->kind == route_kind::Batch);
  CHECK(route->itemRetention == std::chrono::milliseconds(40'000));
  CHECK(route->singleVersion);
  CHECK(view->FindRoute("h.example", "/n/")->open);
  CHECK_FALSE(view->FindRoute("h.example", "/x"));
  CHECK_FALSE(view->FindRoute("g.example", "/x/"));
  CHECK(view->TeamOfKey("k2")->name == "t1");
  CHECK_FALSE(view->TeamOfKey("k3"));
  CHECK(view->Service("s3")->scaling->maximum == 8);
  CHECK(view->Limits().maxHeaderBytes == 1'000);
  CHECK_FALSE(Manifest("{}"));
  CHECK_FALSE(Manifest("\x01\x02"));
}

// Guards against foreign or malformed registry records being used as targets.
// Guards against one malformed message that ends the process: accessors of JSON
// values throw for values of other types.
TEST_CASE("messages with fields of other types are rejected")
{
  for (const char* target :
       { R"({"service":"s","zone":"z","slots":1,"state":"ready",)"
         R"("address":"10.0.0.1:80","models":["x"]})",
         R"({"service":"s","zone":"z","slots":1,"state":"ready",)"
         R"("address":"10.0.0.1:80","models":[[]]})",
         R"({"service":"s","zone":"z","slots":99999999999,"state":"ready",)"
         R"("address":"10.0.0.1:80"})" }) {
    INFO(target);
    CHECK_FALSE(Value(Capture([&] { return DecodeTarget("t", target); })));
  }
  for (const char* manifest :
       { R"({"version":1,"routes":[5],"services":[]})",
         R"({"version":1,"routes":[{"backends":["x"]}],"services":[]})",
         R"({"version":1,"routes":[],"services":["x"]})",
         R"({"version":1,"routes":[],"services":[{"engine":{"models":[1]}}]})",
         R"({"version":1,"routes":[],"services":[],"tenants":["x"]})",
         R"({"version":1,"routes":[],"services":[],"limits":[]})" }) {
    INFO(manifest);
    CHECK_FALSE(Value(Capture([&] { return DecodeManifest(manifest); })));
  }
  const http_target_protocol protocol;
  for (const char* report :
       { R"({"models":["x"]})", R"({"models":[[]]})", "[]", "x" }) {
    INFO(report);
    node::http_response response;
    response.status = 200;
    response.body = report;
    CHECK_FALSE(protocol.ReadReport(response));
  }
}

TEST_CASE("target records that are incomplete or invalid are rejected")
{
  const auto target = Target(
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
        "state":"ready","seq":9,"born":1700,"spot":true,
        "models":[{"name":"m","version":3,"adapters":[]}]})");
  REQUIRE(target);
  CHECK(target->reclaimable);
  CHECK(target->bornUnixMs == 1'700);
  CHECK(target->modelVersions.at("m") == 3);
  for (const char* text :
       { R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4})",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
             "state":"asleep"})",
         R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":4,
             "state":"ready"})",
         R"({"service":"s","address":"nowhere","zone":"z","slots":4,
             "state":"ready"})",
         R"([1])",
         "\xff\xfe" }) {
    CHECK_FALSE(Target(text));
  }
}

// Guards against versions of targets' software that are lost or confused with
// those of their weights.
TEST_CASE("a target's software version is decoded")
{
  const auto software = [](const std::string& aVersion) {
    const auto target = Value(Capture([&] {
      return DecodeTarget(
        "t",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,)"
        R"("state":"ready","models":[{"name":"m","version":7}])" +
          aVersion + "}");
    }));
    REQUIRE(target);
    return target->software;
  };
  CHECK(software(R"(,"version":"v2")") == "v2");
  CHECK(software(R"(,"version":3)") == "3");
  CHECK(software(R"(,"version":null)").empty());
  CHECK(software("").empty());
}

TEST_CASE("a submitted batch is decoded, and an invalid one is rejected")
{
  const std::string text =
    R"({"step":7,"model":"m","min-version":6,"target-count":2,"items":[
      {"id":"e1","path":"/p","headers":{"Arbutusferry-Length-Hint":"50"},
       "body":"q83vEjRWeJA=","tokens":940,"group":"g"}]})";
  const auto batch =
    Value(Capture([&] { return DecodeSubmission("b", text); }));
  REQUIRE(batch);
  CHECK(batch->neededGroups == 2);
  CHECK(batch->minimumVersion == 6);
  CHECK(batch->items[0].lengthHint == 50);
  CHECK(batch->items[0].body.size() == 8);
  for (const char* broken :
       { R"({"items":[]})",
         R"({"items":[{"id":"a","path":"/","body":"%%"}]})",
         R"({"items":[{"id":"a","path":"/"},{"id":"a","path":"/"}]})",
         "[]" }) {
    CHECK_FALSE(Value(Capture([&] { return DecodeSubmission("b", broken); })));
  }
  // The journal would not find it again.
  CHECK_FALSE(Value(Capture([&] { return DecodeSubmission("", text); })));
}

TEST_CASE("the request that scores an item is decoded, and a bad one rejected")
{
  const auto decode = [](const std::string& aScorer) {
    return Value(Capture([&] {
      return DecodeSubmission(
        "b", R"({"items":[{"id":"a","path":"/p","scorer":)" + aScorer + "}]}");
    }));
  };
  const auto batch =
    decode(R"({"id":"w1","host":"h.example","path":"/s/1","body":"3q2+7w=="})");
  REQUIRE(batch);
  REQUIRE(batch->items[0].reward);
  const reward_request& reward = *batch->items[0].reward;
  CHECK(reward.id == "w1");
  CHECK(reward.host == "h.example");
  CHECK(reward.path == "/s/1");
  CHECK(reward.body == "\xde\xad\xbe\xef");
  const auto unscored = decode("null");
  REQUIRE(unscored);
  CHECK_FALSE(unscored->items[0].reward);
  for (const char* broken :
       { "7",
         "{}",
         R"({"id":"w1","host":"h.example","path":"s","body":""})",
         R"({"id":"","host":"h.example","path":"/s","body":""})",
         R"({"id":"w1","host":7,"path":"/s","body":""})",
         R"({"id":"w1","host":"h.example","path":"/s","body":"%%"})" }) {
    CHECK_FALSE(decode(broken));
  }
}

// Guards against a score taken from a failure, or from a response that isn't a
// target's.
TEST_CASE("only a target's success gives a score")
{
  const http_target_protocol protocol;
  const auto score = [&](int aStatus, bool aStamped) {
    node::http_response response;
    response.status = aStatus;
    if (aStamped) {
      response.headers.Add("Arbutusferry-Server-Stamp", "s1");
    }
    return protocol.ReadScore(response);
  };
  CHECK(score(200, true) == "s1");
  CHECK(score(204, true) == "s1");
  CHECK_FALSE(score(200, false));
  CHECK_FALSE(score(500, true));
  CHECK_FALSE(score(404, true));
}

TEST_CASE("results name their score if they have one")
{
  batch_request request;
  request.id = "b";
  request.items.resize(2);
  batch entry(request, false);
  batch_result scored;
  scored.score = "s1";
  entry.CommitResult(std::move(scored));
  batch_result errored;
  errored.item = 1;
  errored.state = result_state::Errored;
  entry.CommitResult(std::move(errored));
  CHECK(EncodeResults(entry, 0).find(R"("score":"s1")") != std::string::npos);
  CHECK(EncodeResults(entry, 1).find("score") == std::string::npos);
}

TEST_CASE("results are encoded from a position on, up to the page size")
{
  batch_request request;
  request.id = "b";
  for (int index = 0; index < 3; ++index) {
    request.items.emplace_back();
    request.items.back().id = "i" + std::to_string(index);
  }
  batch entry(request, false);
  for (std::size_t item : { 2, 0, 1 }) {
    batch_result result;
    result.item = item;
    result.text = std::string(item == 2 ? 10 : 600'000, 'x');
    result.versions = { 4 };
    entry.CommitResult(std::move(result));
  }
  const std::string first = EncodeResults(entry, 0);
  CHECK(first.find("\"id\":\"i2\"") != std::string::npos);
  CHECK(first.find("\"next\":1") != std::string::npos);
  CHECK(first.find("\"total\":3") != std::string::npos);
  // A result larger than a page is still returned.
  CHECK(EncodeResults(entry, 1).find("\"next\":2") != std::string::npos);
  CHECK(EncodeResults(entry, 3).find("\"results\":[]") != std::string::npos);
}

TEST_CASE("target responses are classified by status and headers")
{
  const http_target_protocol wire;
  const header_list stamped{ { "arbutusferry-server-stamp", "s" } };
  const header_list notRun{ { "arbutusferry-not-run", "1" } };
  CHECK(wire.ClassifyResponse(200, stamped) == response_class::Genuine);
  CHECK(wire.ClassifyResponse(404, stamped) == response_class::Genuine);
  CHECK(wire.ClassifyResponse(200, {}) == response_class::Failed);
  CHECK(wire.ClassifyResponse(500, stamped) == response_class::Failed);
  CHECK(wire.ClassifyResponse(503, notRun) == response_class::NotRun);
  CHECK(wire.ClassifyResponse(503, {}) == response_class::Failed);
  CHECK(wire.ClassifyResponse(421, {}) == response_class::WrongTarget);
  CHECK(wire.ClassifyResponse(422, stamped) == response_class::Impossible);
  CHECK(wire.WeightVersionOfLine("arbutusferry-weight-versions: 12") == 12);
  CHECK_FALSE(wire.WeightVersionOfLine("event: x"));
}

TEST_CASE("a refusal has a Retry-After header")
{
  const http_caller_protocol wire;
  const auto response = wire.Refusal("r", std::chrono::milliseconds(1'250));
  CHECK(response.status == 503);
  CHECK(response.headers.Get("Retry-After") == "1.250");
  CHECK(wire.Failure("r", true).status == 504);
}

TEST_CASE("store responses are decoded into append and read results")
{
  manual_loop loop;
  scripted_client client;
  store_client store(client, { "10.0.0.9", 80 }, 1'000, 2'000);
  std::vector<append_status> seen;
  const auto append = [&](int aStatus, const char* aBody) {
    append_request request;
    request.where = { "t", 2, true };
    request.records.push_back({ "key", "value" });
    request.expectedEnd = 4;
    request.producer = log_producer{ "w", 7, 12 };
    store.Append(std::move(request), [&](const append_result& aResult) {
      seen.push_back(aResult.status);
    });
    client.requests.back()->Answer(aStatus, {}, aBody);
  };
  append(200, R"({"offset":4,"end":5})");
  CHECK(client.requests[0]->request.target ==
        "/log-append?topic=keyed.t&part=2&at=4&producer=w&epoch=7&seq=12");
  CHECK(client.requests[0]->request.body ==
        std::string("\0\0\0\x09\x03keyvalue", 13));
  append(412, R"({"end":9})");
  append(409, R"({"why":"fenced"})");
  append(409, R"({"why":"seq","expected":3})");
  append(429, "");
  append(507, "");
  append(500, "");
  CHECK(seen == std::vector<append_status>{ append_status::Done,
                                            append_status::WrongEnd,
                                            append_status::Fenced,
                                            append_status::WrongSequence,
                                            append_status::Refused,
                                            append_status::Refused,
                                            append_status::Unknown });
  read_result read;
  store.Read({ "t", 0, true }, 5, 100, [&](const read_result& aResult) {
    read = aResult;
  });
  std::string body(16, '\0');
  body[7] = 7;
  body +=
    std::string("\0\0\0\x04\x01kvv", 8) + std::string("\0\0\0\x02\x01k", 6);
  client.requests.back()->Answer(200, {}, body);
  CHECK(read.status == read_status::Done);
  CHECK(read.end == 7);
  REQUIRE(read.entries.size() == 2);
  CHECK(read.entries[0].offset == 5);
  CHECK(read.entries[0].record.value == "vv");
  CHECK(read.entries[1].record.value.empty());
  store.Read({ "t", 0, true }, 5, 100, [&](const read_result& aResult) {
    read = aResult;
  });
  client.requests.back()->Answer(200, {}, body.substr(0, 20));
  CHECK(read.status == read_status::Failed);
}

TEST_CASE("settings are read, and errors name the file and the field")
{
  const auto settings =
    Value(Capture([] { return ReadPlatformSettings(kSettings, "node.json"); }));
  REQUIRE(settings);
  CHECK(settings->stopWithin == std::chrono::milliseconds(8'500));
  CHECK(settings->node.zones.size() == 2);
  // Settings of before zone readers stay valid and don't enable them.
  CHECK(settings->storeReadMegabytes == 0.0);
  std::string withRate = kSettings;
  withRate.insert(withRate.find("\"max_record_bytes\""),
                  "\"store_read_mb_s\": 80, ");
  const auto rated =
    Value(Capture([&] { return ReadPlatformSettings(withRate, "node.json"); }));
  REQUIRE(rated);
  CHECK(rated->storeReadMegabytes == 80.0);
  const std::string address =
    SettingsError(kSettings, "127.0.0.1:5", "store.example:5");
  CHECK(address.find("node.json") != std::string::npos);
  CHECK(address.find("store") != std::string::npos);
  CHECK(address.find("IP:port") != std::string::npos);
  CHECK(SettingsError(kSettings, "\"lease_ms\": 3000", "\"lease_ms\": 0")
          .find("lease_ms") != std::string::npos);
  CHECK(
    SettingsError(kSettings, "\"zone\": \"z\"", "\"zones_\": 1").find("zone") !=
    std::string::npos);
  CHECK(SettingsError(kSettings, "{", "").find("node.json") !=
        std::string::npos);
}

// Guards against bounds on clients that old settings files would have to name,
// and against values that are not applied.
TEST_CASE("settings that bound clients are optional")
{
  const auto defaults =
    Value(Capture([] { return ReadPlatformSettings(kSettings, "node.json"); }));
  REQUIRE(defaults);
  CHECK(defaults->memoryMb == 120);
  CHECK(defaults->maxDescriptors == 3'075);
  CHECK(defaults->maxConnectionsPerAddress == 0);
  std::string text = kSettings;
  text.insert(1,
              R"("memory_mb": 512, "max_descriptors": 10250,
    "max_trailer_bytes": 2048, "max_header_fields": 64, "max_chunk_overhead": 8,
    "min_body_bytes_per_s": 100, "max_connections_per_address": 50,
    "receive_buffer_bytes": 65536,)");
  const auto settings =
    Value(Capture([&] { return ReadPlatformSettings(text, "node.json"); }));
  REQUIRE(settings);
  CHECK(settings->memoryMb == 512);
  CHECK(settings->maxDescriptors == 10'250);
  CHECK(settings->framing.maxTrailerBytes == 2'048);
  CHECK(settings->framing.maxHeaderFields == 64);
  CHECK(settings->framing.maxChunkOverhead == 8);
  CHECK(settings->framing.minBodyBytesPerSecond == 100);
  CHECK(settings->maxConnectionsPerAddress == 50);
  CHECK(settings->receiveBufferBytes == 65'536);
  CHECK(SettingsError(kSettings, "\"vm\"", "\"memory_mb\": 8, \"vm\"")
          .find("memory_mb") != std::string::npos);
}

TEST_CASE("paths of batch results and items are recognized")
{
  CHECK(batch_handler::IsBatchPath("/lots/1?after=2"));
  CHECK(batch_handler::IsBatchPath("/items/1?id=2"));
  CHECK_FALSE(batch_handler::IsBatchPath("/lotsa"));
}
