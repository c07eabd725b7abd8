#include <catch2/catch.hpp>

#include "support/entry_fixture.hpp"

#include <thread>

using namespace arbutusferry;
using namespace arbutusferry::test;
using namespace std::chrono_literals;

namespace {

std::string
OutcomeOf(const httplib::Result& aAnswer)
{
  return aAnswer ? aAnswer->get_header_value(kOutcomeHeader) : "none";
}

constexpr const char* kCompletion =
  R"({"model":"slips","prompt":"hello","max_tokens":8})";

std::string
RequestPermit(const zone_fixture& aZone, std::size_t aEntry = 0)
{
  const auto answer = aZone.Send(
    aEntry, "/v1/permits", R"({"route":"orders","count":1})", aZone.north.text);
  REQUIRE(answer->status == 200);
  return ParseJson(answer->body, "test").value()["permits"][0].asString();
}

httplib::Result
PlaceOrder(const zone_fixture& aZone,
           std::size_t aEntry,
           const std::string& aPermit,
           const std::string& aBody = "{\"sheets\":2}")
{
  return aZone.Send(aEntry,
                    "/orders/1",
                    aBody,
                    aZone.north.text,
                    { { "Idempotency-Key", aPermit } });
}

std::size_t
CountOccurrences(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against requests that run for the wrong team or without a key, and
// against wrong refusals.
TEST_CASE("Keys and routes decide who is served")
{
  zone_fixture zone;
  const auto expect = [&](const std::string& aPath,
                          const std::string& aBody,
                          const std::string& aKey,
                          int aStatus,
                          const char* aOutcome) {
    const auto answer = zone.Send(0, aPath, aBody, aKey);
    REQUIRE(answer);
    CAPTURE(aPath, aBody, answer->body);
    CHECK(answer->status == aStatus);
    CHECK(OutcomeOf(answer) == aOutcome);
  };
  const std::string& north = zone.north.text;
  const std::string complete = "/v1/completions";
  const char* step = R"({"step":"s","model":"slips","weight_version":7,)"
                     R"("deadline_ms":1000,"groups":[]})";
  expect(complete, kCompletion, north, 200, "answered");
  expect(complete, kCompletion, "", 401, "not_run");
  expect(complete, kCompletion, "af_x_y", 401, "not_run");
  expect(complete, kCompletion, north + "0", 401, "not_run");
  expect("/v1/steps", step, zone.south.text, 403, "not_run");
  expect("/v1/steps", step, north, 400, "not_run");
  expect(complete, "{\"model\":\"slips\"}", north, 400, "not_run");
  expect(complete, "{\"model\":\"other\"}", north, 404, "not_run");
  expect(complete, "{\"model\":", north, 400, "not_run");
  expect(complete, "[1]", north, 400, "not_run");
  expect("/nowhere", "{}", north, 404, "not_run");
  expect("/orders/1", "{}", north, 428, "not_run");
  expect("/orders/quotes/../1", "{}", "", 400, "not_run");
  expect("/orders/quotes%2F..%2F1", "{}", "", 400, "not_run");
  expect("/orders/quotes/1", "{}", "", 200, "answered");
  expect("/internal/permits", "{}", north, 400, "not_run");
  expect("/v1/permits", R"({"route":"quotes"})", north, 400, "not_run");
  const auto staged = zone.Send(
    0, complete, kCompletion, north, { { "Arbutusferry-Stage", "trial" } });
  CHECK(staged->status == 503); // No document in force in trial.

  // While the configuration is stale no key is accepted, not even a granted
  // one; open routes stay available.
  zone.control.Change(
    [](node_sync_response& aAnswer) { aAnswer.viewAgeMs = 60'000; });
  zone.clock->Advance(10s);
  expect(complete, kCompletion, north, 503, "not_run");
  expect("/orders/quotes/1", "{}", "", 200, "answered");
  // The first response belongs to a sync that was sent before the clock
  // advanced.
  for (int i = 0; i < 2; ++i) {
    zone.control.Change(
      [](node_sync_response& aAnswer) { aAnswer.viewAgeMs = 0; });
  }
  expect(complete, kCompletion, north, 200, "answered");
  zone.control.Append(
    key_withdrawn{ "trust", stage::Production, zone.north.keyId });
  expect(complete, kCompletion, north, 401, "not_run");
}

// Guards against keys that leak to targets.
TEST_CASE("No target sees a key")
{
  zone_fixture zone;
  const std::string& key = zone.north.text;
  const httplib::Headers headers{ { "X-Api-Key", key }, { "Cookie", key } };
  CHECK(zone.Send(0, "/v1/completions", kCompletion, key, headers)->status ==
        200);
  CHECK(zone
          .Send(0,
                "/orders/quotes/1?a=1&api_key=" + key + "&access_token=" + key,
                "{}",
                key,
                headers)
          ->status == 200);
  const std::string seen = zone_fixture::SeenRequests(zone.engine.Address()) +
                           zone_fixture::SeenRequests(zone.service.Address());
  CHECK(seen.find("/orders/quotes/1?a=1") != std::string::npos);
  CHECK(seen.find(key.substr(key.rfind('_'))) == std::string::npos);
}

// Guards against non-idempotent requests that run twice when they are repeated
// at any entry.
TEST_CASE("A permit runs once whichever entry receives it")
{
  zone_fixture zone(2);
  const std::string permit = RequestPermit(zone);
  const auto first = PlaceOrder(zone, 1, permit); // Forwarded to the issuer.
  CHECK(first->status == 200);
  CHECK(OutcomeOf(first) == "answered");
  CHECK(PlaceOrder(zone, 0, permit)->body == first->body);
  CHECK(PlaceOrder(zone, 1, permit)->body == first->body);
  CHECK(PlaceOrder(zone, 1, permit, "{}")->status == 409);
  CHECK(PlaceOrder(zone, 0, permit + "0")->status == 400);
  // A lost response stays unknown and is not retried.
  zone_fixture::SetBehavior(zone.service.Address(), R"({"drop_answers":1})");
  const std::string lost = RequestPermit(zone);
  for (int i = 0; i < 2; ++i) {
    const auto answer = PlaceOrder(zone, 0, lost);
    CHECK(answer->status == 502);
    CHECK(OutcomeOf(answer) == "unknown");
  }
  const std::string seen = zone_fixture::SeenRequests(zone.service.Address());
  CHECK(CountOccurrences(seen, "\"path\":\"/orders/1\"") == 2);
  // If the issuer is gone, no entry can decide about its permits.
  zone.control.Change(
    [](node_sync_response& aAnswer) {
      aAnswer.entries.erase(aAnswer.entries.begin());
    },
    2);
  const auto orphan = PlaceOrder(zone, 1, permit);
  CHECK(orphan->status == 502);
  CHECK(OutcomeOf(orphan) == "unknown");
}

// Guards against repeated requests that run while the first one is still
// running.
TEST_CASE("Concurrent repeats of a permit get one answer")
{
  zone_fixture zone;
  zone_fixture::SetBehavior(zone.service.Address(), R"({"delay_ms":50})");
  const std::string permit = RequestPermit(zone);
  std::vector<std::string> bodies(8);
  std::vector<std::thread> callers;
  callers.reserve(bodies.size());
  for (std::string& body : bodies) {
    callers.emplace_back([&] { body = PlaceOrder(zone, 0, permit)->body; });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(std::set<std::string>(bodies.begin(), bodies.end()).size() == 1);
  CHECK(CountOccurrences(zone_fixture::SeenRequests(zone.service.Address()),
                         "\"path\":\"/orders/1\"") == 1);
}

// Guards against a planned stop that loses answers, permits or usage.
TEST_CASE("A planned stop hands permits over and reports the last usage")
{
  zone_fixture zone(2);
  const std::string used = RequestPermit(zone);
  const std::string unused = RequestPermit(zone);
  const std::string answer = PlaceOrder(zone, 0, used)->body;
  const std::string stopped = zone.entries[0]->Instance();
  zone.entries[0]->Shutdown();
  CHECK(zone.control.Usage("north").requests == 1);
  // The other entry now owns the permits and needs no list of entries.
  CHECK(PlaceOrder(zone, 1, used)->body == answer);
  CHECK(PlaceOrder(zone, 1, unused)->status == 200);
  CHECK(PlaceOrder(zone, 1, unused)->status == 200);
  CHECK(CountOccurrences(zone_fixture::SeenRequests(zone.service.Address()),
                         "\"path\":\"/orders/1\"") == 2);
  zone.entries[1]->Shutdown();
  CHECK(zone.control.Usage("north").requests == 2);
}

// Guards against steps that lose, duplicate or mislabel samples when a trainer
// resumes at another entry, and against wrong usage counts.
TEST_CASE("A step resumes at another entry from its cursor")
{
  zone_fixture zone(2);
  const std::string head =
    R"({"step":"s","model":"slips","weight_version":8,"deadline_ms":60000,)"
    R"("groups":[{"id":"a","count":6,"prompt":"p","seed":1,"max_tokens":12},)"
    R"({"id":"b","count":5,"prompt":"q","seed":9,"max_tokens":4}])";
  std::set<std::string> received;
  std::string cursor;
  bool done = false;
  const auto post = [&](std::size_t aEntry, std::size_t aRecords) {
    httplib::Client client("http://" + zone.entries[aEntry]->Address());
    client.set_read_timeout(60);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/steps";
    request.headers = { { "Authorization", "Bearer " + zone.north.text } };
    request.body =
      head + (cursor.empty() ? "" : ",\"cursor\":\"" + cursor + "\"") + "}";
    std::string rest;
    std::size_t records = 0;
    request.content_receiver =
      [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
        rest.append(aData, aSize);
        while (rest.find('\n') != std::string::npos && records < aRecords) {
          const auto record =
            ParseJson(rest.substr(0, rest.find('\n')), "test").value();
          rest.erase(0, rest.find('\n') + 1);
          cursor = record["cursor"].asString();
          done = record["done"].asBool();
          if (!done) {
            ++records;
            CHECK(
              received
                .insert(record["group"].asString() + record["index"].asString())
                .second);
            CHECK(record["segments"][0]["version"].asInt() == 7);
            CHECK(record["segments"][0]["to"].asUInt() ==
                  record["tokens"].size());
          }
        }
        return records < aRecords;
      };
    httplib::Response response;
    httplib::Error error{};
    (void)client.send(request, response, error);
  };
  post(0, 3);
  CHECK(received.size() == 3);
  post(1, 4);
  CHECK(received.size() == 7);
  post(0, 100);
  CHECK(received.size() == 11);
  CHECK(done);
  CHECK(zone
          .Send(0,
                "/v1/steps",
                head + ",\"cursor\":\"" + cursor.substr(1) + "\"}",
                zone.north.text)
          ->status == 400);
  for (const auto& entry : zone.entries) {
    entry->Shutdown();
  }
  CHECK(zone.control.Usage("north").requests >= 11);
}

// Guards against streams that outlive the key they were opened with, and
// against truncated streams that look complete.
TEST_CASE(
  "Streams end with an error when the key is withdrawn or the engine fails")
{
  zone_fixture zone(1, { .tokensPerSecond = 200, .version = 7 });
  const std::string body =
    R"({"model":"slips","prompt":"p","max_tokens":100000,"stream":true})";
  httplib::Client client("http://" + zone.entries[0]->Address());
  client.set_read_timeout(60);
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers = { { "Authorization", "Bearer " + zone.north.text } };
  request.body = body;
  std::string received;
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      if (received.empty()) {
        zone.control.Append(
          key_withdrawn{ "trust", stage::Production, zone.north.keyId });
      }
      received.append(aData, aSize);
      return true;
    };
  httplib::Response response;
  httplib::Error error{};
  REQUIRE(client.send(request, response, error));
  CHECK(received.find("event: error") != std::string::npos);
  CHECK(received.find("key_withdrawn") != std::string::npos);
  CHECK(received.find("[DONE]") == std::string::npos);

  zone_fixture::SetBehavior(
    zone.engine.Address(),
    R"({"tokens_per_s":4000,"truncate_after":8,"fault_count":1})");
  const std::string cut =
    R"({"model":"slips","prompt":"p","max_tokens":64,"stream":true})";
  const auto broken = zone.Send(0, "/v1/completions", cut, zone.south.text);
  REQUIRE(broken);
  CHECK(broken->body.find("event: error") != std::string::npos);
  CHECK(broken->body.find("[DONE]") == std::string::npos);
  CHECK(zone.Send(0, "/v1/completions", kCompletion, zone.south.text)->status ==
        200);
}
