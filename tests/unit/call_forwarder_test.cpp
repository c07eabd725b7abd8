#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/request_fingerprint.hpp"
#include "arbutusferry/node/software_watch.hpp"

#include "http_protocols.hpp"
#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

struct run_counts final : run_counter
{
  void CountRun(const std::string& aTeam, std::int64_t) override
  {
    ++counts[aTeam];
  }
  std::map<std::string, int> counts;
};

const header_list kStamped{ { "Arbutusferry-Server-Stamp", "s" } };
const header_list kNotRun{ { "Arbutusferry-Not-Run", "1" } };

struct forwarder_fixture
{
  explicit forwarder_fixture(int aTargets = 3)
  {
    for (int index = 0; index < aTargets; ++index) {
      target_entry entry;
      entry.id = "t" + std::to_string(index);
      entry.service = "desk";
      entry.address = { "10.0.0." + std::to_string(index + 1), 80 };
      entry.zone = index == 1 ? "home" : "far";
      entry.slots = 2;
      targets.Update(entry, loop.Now());
    }
  }

  std::shared_ptr<recording_responder> Call(route_kind aKind, int aAttempts = 2)
  {
    admitted_call call;
    call.id = "r" + std::to_string(++calls);
    call.team = "acme";
    call.service = "desk";
    call.route.kind = aKind;
    call.route.maxAttempts = aAttempts;
    call.request.method = "POST";
    call.request.target = "/x";
    call.deadline = loop.Now() + milliseconds(2'000);
    call.timeout = loop.Now() + milliseconds(1'500);
    auto answer = std::make_shared<recording_responder>();
    forwarder.Forward(std::move(call), answer);
    return answer;
  }

  manual_loop loop;
  scripted_client client;
  target_view targets;
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  run_counts runs;
  metrics_registry metrics;
  int calls = 0;
  node_directory nodes{ "vm/1" };
  memory_store store;
  memory_log log{ loop, store };
  software_watch software{ { loop, log, targets } };
  shared_stream_origins origins{ { loop, client, nodes, software, "vm" } };
  ignored_crashes crashes;
  limit_coordinator limits{
    { loop, client, targets, [] { return true; }, [] { return std::nullopt; } }
  };
  call_forwarder forwarder{ { loop,
                              client,
                              targets,
                              protocol,
                              callers,
                              limits,
                              origins,
                              crashes,
                              runs,
                              metrics,
                              "home" } };
};

} // namespace

TEST_CASE("a request goes to the node's own zone and its response is unchanged")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Idempotent);
  REQUIRE(test.client.requests.size() == 1);
  const auto& sent = *test.client.requests[0];
  CHECK(sent.peer.ip == "10.0.0.2");
  CHECK(sent.request.headers.Get("Arbutusferry-Expect-Instance") == "t1");
  CHECK(sent.request.headers.Get("Arbutusferry-Deadline-Ms") == "2000");
  test.client.requests[0]->Answer(200, kStamped, "body");
  CHECK(answer->response.status == 200);
  CHECK(answer->response.body == "body");
  CHECK(test.runs.counts["acme"] == 1);
  CHECK(test.forwarder.Active() == 0);
}

// Load pattern: one target is full while others have room.
TEST_CASE("a request that a target did not run goes to another at once")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::NonIdempotent, 1);
  test.client.requests[0]->Answer(503, kNotRun);
  REQUIRE(test.client.requests.size() == 2);
  CHECK(test.client.requests[1]->peer != test.client.requests[0]->peer);
  test.client.requests[1]->Answer(200, kStamped);
  CHECK(answer->response.status == 200);
}

// Load pattern: all targets are full for some time.
TEST_CASE("a request waits for a free target and is refused at its timeout")
{
  forwarder_fixture test;
  test.client.onSend = [&](const auto& aSent) {
    test.loop.Post(milliseconds(1), [aSent] { aSent->Answer(503, kNotRun); });
  };
  const auto answer = test.Call(route_kind::NonIdempotent, 1);
  test.loop.Advance(milliseconds(1'600));
  CHECK(answer->response.status == 503);
  CHECK(answer->response.headers.Find("Retry-After"));
  CHECK(answer->answers == 1);
  CHECK(test.client.requests.size() > 10);
}

// Guards against a non-idempotent request that runs twice, and against a
// response that wrongly says that it has not run.
TEST_CASE("a request that may have run is neither repeated nor refused")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::NonIdempotent, 3);
  test.client.requests[0]->Fail(exchange_failure::Broken);
  test.loop.Advance(milliseconds(2'500));
  CHECK(test.client.requests.size() == 1);
  CHECK(answer->response.status == 502);
}

// Guards against a response that its target broke off and that reaches the
// caller as a complete one, with a length of its own.
TEST_CASE("a response that its target broke off isn't passed on")
{
  const route_kind kind =
    GENERATE(route_kind::NonIdempotent, route_kind::Stream);
  const int status = GENERATE(200, 302, 404, 500);
  const exchange_failure failure = GENERATE(exchange_failure::Broken,
                                            exchange_failure::Timeout,
                                            exchange_failure::Protocol);
  if (kind == route_kind::Stream && status == 200) {
    return; // The stream has begun; it is aborted.
  }
  CAPTURE(EnumName(kind), status, FailureName(failure));
  forwarder_fixture test;
  const auto answer = test.Call(kind);
  const auto sent = test.client.requests[0];
  sent->sink->OnHead(status, kStamped);
  sent->sink->OnBody("half of the bo");
  sent->Fail(failure);
  test.loop.Advance(milliseconds(2'500));
  CHECK(answer->answers == 1);
  CHECK(answer->response.status == 502);
  CHECK(answer->response.body.empty());
  CHECK_FALSE(answer->response.headers.Find("Arbutusferry-Server-Stamp"));
  CHECK(test.client.requests.size() == 1);
  CHECK(test.runs.counts["acme"] == 1);
}

// Guards against a success, redirect or rejection that a faulty target sent
// without its signature and that the caller takes for the service's own.
TEST_CASE("a response without its target's signature isn't passed on")
{
  const int status = GENERATE(200, 204, 302, 404);
  CAPTURE(status);
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::NonIdempotent);
  test.client.requests[0]->Answer(status, {}, "text");
  CHECK(answer->response.status == 502);
  CHECK(answer->response.body.empty());
  CHECK(test.client.requests.size() == 1);
}

// Guards against a caller that repeats a request which has run, since a faulty
// target sent a status that promises the opposite.
TEST_CASE("only a target's word promises that a request has not run")
{
  const int status = GENERATE(408, 429, 503);
  const route_kind kind =
    GENERATE(route_kind::NonIdempotent, route_kind::Stream);
  const bool isSigned = GENERATE(true, false);
  CAPTURE(status, EnumName(kind), isSigned);
  forwarder_fixture test;
  const auto answer = test.Call(kind);
  test.client.requests[0]->Answer(
    status, isSigned ? kStamped : header_list(), "text");
  test.loop.Advance(milliseconds(2'500));
  CHECK(answer->answers == 1);
  CHECK(answer->response.status == 502);
  CHECK_FALSE(answer->response.headers.Find("Arbutusferry-Server-Stamp"));
  CHECK(test.client.requests.size() == 1);
}

// Guards against hiding a target's own error from the caller.
TEST_CASE("a target's whole error response is passed on unchanged")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::NonIdempotent);
  test.client.requests[0]->Answer(500, kStamped, "reason");
  CHECK(answer->response.status == 500);
  CHECK(answer->response.body == "reason");
  CHECK(answer->response.headers.Find("Arbutusferry-Server-Stamp"));
}

// Guards against an item that is given up for a reward call whose response
// broke off, which counted as an error of the service.
TEST_CASE("only whole error responses count as a target's errors")
{
  forwarder_fixture test;
  int errors = 0;
  admitted_call call;
  call.id = "r";
  call.service = "desk";
  call.route.kind = route_kind::Idempotent;
  call.route.maxAttempts = 2;
  call.deadline = call.timeout = test.loop.Now() + milliseconds(1'000);
  call.onTargetError = [&errors] { ++errors; };
  test.forwarder.Forward(std::move(call),
                         std::make_shared<recording_responder>());
  const auto first = test.client.requests[0];
  first->sink->OnHead(200, kStamped);
  first->Fail(exchange_failure::Broken);
  CHECK(errors == 0);
  REQUIRE(test.client.requests.size() == 2);
  test.client.requests[1]->Answer(500, kStamped);
  CHECK(errors == 1);
}

TEST_CASE("a request that was not sent goes to another target")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::NonIdempotent, 1);
  test.client.requests[0]->Fail(exchange_failure::NotSent);
  REQUIRE(test.client.requests.size() == 2);
  test.client.requests[1]->Answer(200, kStamped);
  CHECK(answer->response.status == 200);
}

TEST_CASE("idempotent requests are repeated within the route's attempts")
{
  forwarder_fixture test(4);
  const auto answer = test.Call(route_kind::Idempotent, 2);
  test.client.requests[0]->Fail(exchange_failure::Broken);
  REQUIRE(test.client.requests.size() == 2);
  test.client.requests[1]->Answer(500, kStamped);
  test.loop.Advance(milliseconds(100));
  CHECK(test.client.requests.size() == 2);
  CHECK(answer->response.status == 502);
}

// Load pattern: a target stops responding with requests in progress.
TEST_CASE("a silent target's idempotent request is hedged at a second one")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Idempotent, 2);
  test.loop.Advance(milliseconds(130));
  REQUIRE(test.client.requests.size() == 2);
  test.client.requests[1]->Answer(200, kStamped, "second");
  CHECK(answer->response.body == "second");
  CHECK(test.client.requests[0]->cancelled);
  // Later requests avoid the silent target for a while.
  (void)test.Call(route_kind::Idempotent, 2);
  CHECK(test.client.requests[2]->peer != test.client.requests[0]->peer);
}

TEST_CASE("a caller that disconnects cancels its request")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Idempotent);
  answer->Leave();
  CHECK(test.client.requests[0]->cancelled);
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.client.requests.size() == 1);
  CHECK(answer->answers == 0);
}

TEST_CASE("a request is answered at the route's timeout")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::NonIdempotent);
  test.loop.Advance(milliseconds(1'499));
  CHECK(answer->answers == 0);
  test.loop.Advance(milliseconds(2));
  CHECK(answer->response.status == 504);
  CHECK(test.client.requests[0]->cancelled);
}

TEST_CASE("without any target a request is refused at once")
{
  forwarder_fixture test(0);
  const auto answer = test.Call(route_kind::Idempotent);
  CHECK(answer->response.status == 503);
}

// Guards against requests to targets that have already stopped.
TEST_CASE("draining targets get nothing, dropped ones only as a last resort")
{
  forwarder_fixture test;
  auto entry = test.targets.Find("t1")->entry;
  entry.draining = true;
  test.targets.Update(entry, test.loop.Now());
  test.targets.Remove("t0", test.loop.Now());
  (void)test.Call(route_kind::Idempotent);
  CHECK(test.client.requests[0]->peer.ip == "10.0.0.3");
  test.targets.Remove("t2", test.loop.Now());
  (void)test.Call(route_kind::Idempotent);
  CHECK(test.client.requests[1]->peer.ip != "10.0.0.2");
  test.loop.Advance(milliseconds(1'300));
  const auto refused = test.Call(route_kind::Idempotent);
  CHECK(refused->response.status == 503);
}

TEST_CASE(
  "a stream is forwarded as it arrives and aborted when its target breaks")
{
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Stream);
  const auto sink = test.client.requests[0]->sink;
  sink->OnHead(200, kStamped);
  sink->OnBody("id: 1\n\n");
  CHECK(answer->response.body == "id: 1\n\n");
  test.loop.Advance(milliseconds(1'600));
  CHECK_FALSE(answer->aborted);
  test.client.requests[0]->Fail(exchange_failure::Broken);
  CHECK(answer->aborted);
  CHECK(answer->answers == 0);
}

// Guards against repeats of one request that logs can't connect, and against
// two requests that are taken for the same.
TEST_CASE("a fingerprint is the same for repeats and differs between requests")
{
  http_request request;
  request.method = "POST";
  request.target = "/x";
  request.headers = { { "Host", "a.example" },
                      { "Arbutusferry-Request-Id", "1" } };
  request.body = "body";
  const std::string fingerprint = FingerprintOf("acme", request);
  CHECK(fingerprint.size() == 16);
  http_request repeat = request;
  repeat.headers = { { "Host", "a.example" },
                     { "Arbutusferry-Request-Id", "2" } };
  CHECK(FingerprintOf("acme", repeat) == fingerprint);
  CHECK(FingerprintOf("other", request) != fingerprint);
  http_request other = request;
  other.body = "bod";
  CHECK(FingerprintOf("acme", other) != fingerprint);
  other = request;
  other.target = "/xbody";
  other.body = {};
  CHECK(FingerprintOf("acme", other) != fingerprint);
}

// Guards against a node that opens thousands of connections a second to targets
// that have ended, while the caller waits for its time limit.
TEST_CASE("a request is refused at once when all targets refuse connections")
{
  forwarder_fixture test;
  test.client.onSend = [&](const auto& aSent) {
    test.loop.Post(milliseconds(1),
                   [aSent] { aSent->Fail(exchange_failure::Refused); });
  };
  const auto answer = test.Call(route_kind::NonIdempotent, 1);
  test.loop.Advance(milliseconds(100));
  CHECK(test.client.requests.size() == 3);
  CHECK(answer->response.status == 503);
  CHECK(answer->response.headers.Find("Retry-After"));
}

// Guards against requests to a target that has ended while another is only
// full for a moment.
TEST_CASE("a target that refuses connections isn't tried again for a request")
{
  forwarder_fixture test(2);
  int toFull = 0;
  int toEnded = 0;
  test.client.onSend = [&](const auto& aSent) {
    const bool ended = aSent->peer.ip == "10.0.0.1";
    ++(ended ? toEnded : toFull);
    test.loop.Post(milliseconds(1), [&, aSent, ended] {
      if (ended) {
        aSent->Fail(exchange_failure::Refused);
      } else if (toFull < 4) {
        aSent->Answer(503, kNotRun);
      } else {
        aSent->Answer(200, kStamped);
      }
    });
  };
  const auto answer = test.Call(route_kind::NonIdempotent, 1);
  test.loop.Advance(milliseconds(300));
  CHECK(answer->response.status == 200);
  CHECK(toEnded == 1);
}

// Guards against a request that runs at the only target again and again while
// its connections break.
TEST_CASE("a broken request runs no more often than its route allows")
{
  forwarder_fixture test(1);
  test.client.onSend = [&](const auto& aSent) {
    test.loop.Post(milliseconds(1),
                   [aSent] { aSent->Fail(exchange_failure::Broken); });
  };
  const auto answer = test.Call(route_kind::Idempotent, 2);
  test.loop.Advance(milliseconds(300));
  CHECK(test.client.requests.size() == 2);
  CHECK(answer->response.status == 502);
}

// Guards against a stream that breaks off in the middle of an event, as one
// without a length may, and reaches the caller as complete.
TEST_CASE("a stream that ends in the middle of an event is aborted")
{
  forwarder_fixture test;
  const auto whole = test.Call(route_kind::Stream);
  test.client.requests[0]->Answer(200, kStamped, "id: 1\ndata: x\n\n");
  CHECK(whole->answers == 1);
  CHECK_FALSE(whole->aborted);
  const auto broken = test.Call(route_kind::Stream);
  test.client.requests[1]->Answer(200, kStamped, "id: 1\ndata: x\n\nid: 2\nda");
  CHECK(broken->aborted);
  CHECK(broken->answers == 0);
}

// Guards against an error response that is cut behind its head, and its
// connection with it, since its text doesn't end as a stream of events does.
TEST_CASE("a response on a stream route that is no stream is passed on whole")
{
  const int status =
    GENERATE(200, 201, 301, 400, 401, 404, 409, 413, 422, 431, 500);
  const bool hasLength = GENERATE(true, false);
  CAPTURE(status, hasLength);
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Stream);
  header_list headers = kStamped;
  headers.Add("Content-Type", "application/json; charset=utf-8");
  const std::string body = R"({"error":"too long"})";
  if (hasLength) {
    headers.Add("Content-Length", std::to_string(body.size()));
  }
  test.client.requests[0]->Answer(status, headers, body);
  CHECK(answer->answers == 1);
  CHECK_FALSE(answer->aborted);
  CHECK(answer->response.status == status);
  CHECK(answer->response.body == body);
  CHECK(answer->response.headers.Find("Arbutusferry-Server-Stamp"));
  CHECK(test.client.requests.size() == 1);
  CHECK(test.runs.counts["acme"] == 1);
  CHECK(test.forwarder.Active() == 0);
}

// Guards against a stream whose length proves that it is whole and that is
// aborted for its text, and against one that loses its last event unnoticed.
TEST_CASE("the length of a stream decides whether it is whole, else its text")
{
  const std::string type = GENERATE("",
                                    "text/event-stream",
                                    "Text/Event-Stream ; charset=utf-8",
                                    "application/x-ndjson");
  const bool hasLength = GENERATE(true, false);
  CAPTURE(type, hasLength);
  const bool isWhole = hasLength || type == "application/x-ndjson";
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Stream);
  header_list headers = kStamped;
  if (!type.empty()) {
    headers.Add("Content-Type", type);
  }
  if (hasLength) {
    headers.Add("Content-Length", "13");
  }
  const auto sink = test.client.requests[0]->sink;
  sink->OnHead(200, headers);
  sink->OnBody("id: 1\ndata: x");
  CHECK(answer->response.body == "id: 1\ndata: x");
  sink->OnEnd();
  CHECK(answer->answers == (isWhole ? 1 : 0));
  CHECK(answer->aborted != isWhole);
}

// Guards against memory that grows by the request of each broken stream.
TEST_CASE("a stream that was broken off is forgotten")
{
  const bool endsInEvent = GENERATE(true, false);
  CAPTURE(endsInEvent);
  forwarder_fixture test;
  const auto answer = test.Call(route_kind::Stream);
  const auto sent = test.client.requests[0];
  if (endsInEvent) {
    sent->Answer(200, kStamped, "id: 1\nda");
  } else {
    sent->sink->OnHead(200, kStamped);
    sent->Fail(exchange_failure::Broken);
  }
  CHECK(answer->aborted);
  CHECK(test.forwarder.Active() == 0);
}

// Guards against requests that end without a response when their node stops,
// and against a refusal of one that a target works on.
TEST_CASE("calls are answered before their node exits")
{
  forwarder_fixture test;
  const auto sent = test.Call(route_kind::NonIdempotent);
  test.client.onSend = [](const auto& aSent) {
    aSent->Answer(503, { { "Arbutusferry-Not-Run", "1" } });
  };
  const auto waiting = test.Call(route_kind::NonIdempotent);
  test.client.onSend = nullptr;
  const auto stream = test.Call(route_kind::Stream);
  const auto begun = test.client.requests.back();
  begun->sink->OnHead(200, kStamped);
  begun->sink->OnBody("id: 1\ndata: a\n\n");
  test.forwarder.EndCalls();
  CHECK(sent->response.status == 504);
  CHECK(test.client.requests.front()->cancelled);
  CHECK(waiting->response.status == 503);
  CHECK(waiting->response.headers.Find("Retry-After"));
  // A stream that has begun goes on for as long as the process runs.
  CHECK_FALSE(begun->cancelled);
  CHECK(test.forwarder.Active() == 1);
  test.forwarder.EndCalls();
  CHECK(sent->answers == 1);
}

// Guards against requests that a stopping node passes on and cuts off, and
// against refusals of those that surely end in time.
TEST_CASE("a stopping node refuses calls that may outlive it")
{
  forwarder_fixture test;
  const auto served = test.Call(route_kind::NonIdempotent);
  test.loop.Advance(milliseconds(100));
  test.client.requests[0]->Answer(200, kStamped);
  CHECK(served->response.status == 200);
  const shutdown_schedule schedule(test.loop.Now(), milliseconds(4'000));
  test.forwarder.Stop(schedule);
  (void)test.Call(route_kind::Stream);
  CHECK(test.client.requests.size() == 2);
  // Less time is left than the calls' deadline, but enough for what the route
  // took of late. Nothing is known of a stream.
  test.loop.Advance(milliseconds(2'600));
  test.client.requests.clear();
  const auto stream = test.Call(route_kind::Stream);
  CHECK(stream->response.status == 503);
  CHECK(test.client.requests.empty());
  const auto plain = test.Call(route_kind::NonIdempotent);
  CHECK(plain->answers == 0);
  CHECK(test.client.requests.size() == 1);
  test.loop.Advance(milliseconds(300));
  const auto late = test.Call(route_kind::NonIdempotent);
  CHECK(late->response.status == 503);
  CHECK(test.client.requests.size() == 1);
}
