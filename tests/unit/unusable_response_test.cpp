#include "arbutusferry/node/asio_net.hpp"
#include "arbutusferry/node/forwarded_rewards.hpp"
#include "arbutusferry/node/item_run.hpp"
#include "arbutusferry/node/run_relay.hpp"
#include "arbutusferry/node/software_watch.hpp"
#include "arbutusferry/node/target_client.hpp"
#include "arbutusferry/node/target_gateway.hpp"

#include "http_protocols.hpp"
#include "support/node_fakes.hpp"
#include "support/raw_server.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using namespace arbutusferry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Every reader waits for as long, if it waits.
constexpr milliseconds kDeadline{ 60'000 };
/// Time without a result after which a reader counts as waiting.
constexpr seconds kHangTime{ 10 };

struct run_end final : run_observer
{
  void OnRunEvent(const item_run&, std::string, std::int64_t) override {}
  void OnRunEnded(const item_run&, run_outcome aEnd) override { end = aEnd; }
  void OnRunLimit(const item_run&, const limit_notice&, bool) override {}
  void OnRelayClock(const item_run&, std::int64_t) override {}
  std::optional<run_outcome> end;
};

struct unused_handler final : request_handler
{
  void Handle(http_request, std::shared_ptr<responder>) override {}
};

/// Readers of the responses of one target, which sends each the same bytes and
/// keeps its connections open.
struct reader_test : environment_source
{
  explicit reader_test(const std::string& aResponse)
    : server([aResponse](const std::string&, int aSocket) {
      SendAll(aSocket, aResponse);
      ReadAll(aSocket);
    })
  {
    target.id = "t";
    target.service = "desk";
    target.address = *ParseAddress(server.Address());
    target.zone = "z";
    target.slots = 4;
    targets.Update(target, loop.Now());
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/";
    route.services = { { "desk", 1 } };
    route.kind = route_kind::Idempotent;
    environment = environment_view(
      1, { route }, { service_entry{ "desk", {}, {} } }, {}, {}, false);
  }

  [[nodiscard]] const environment_view& Environment() const override
  {
    return environment;
  }
  template<typename Condition>
  [[nodiscard]] bool Reached(Condition aCondition)
  {
    const time_point end = loop.Now() + kHangTime;
    while (!aCondition() && loop.Now() < end) {
      loop.Context().restart();
      loop.Context().run_one_for(milliseconds(50));
    }
    return aCondition();
  }
  [[nodiscard]] std::int64_t Clock() const
  {
    return ToMilliseconds(loop.Now().time_since_epoch());
  }
  [[nodiscard]] static http_request Request()
  {
    return { "POST",
             "/x",
             { { "Host", "h" }, { "Arbutusferry-Request-Id", "r1" } },
             "body" };
  }

  raw_server server;
  asio_loop loop;
  std::unique_ptr<http_client> client = MakeHttpClient(loop);
  target_view targets;
  target_entry target;
  route_entry route;
  environment_view environment;
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_runs runs;
  ignored_crashes crashes;
  metrics_registry metrics;
  node_directory nodes{ "vm/1" };
  target_client targetClient{ { loop, *client, nodes, targets, "z" } };
  manual_loop storeLoop;
  memory_store store;
  memory_log log{ storeLoop, store };
  software_watch software{ { storeLoop, log, targets } };
  shared_stream_origins origins{
    { loop, targetClient, nodes, software, "vm" }
  };
  limit_coordinator limits{ { loop,
                              targetClient,
                              targets,
                              [] { return true; },
                              [] { return std::nullopt; } } };
  call_forwarder forwarder{ { loop,
                              targetClient,
                              targets,
                              protocol,
                              callers,
                              limits,
                              origins,
                              crashes,
                              runs,
                              metrics,
                              "z" } };
};

std::string
ResponseOf(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         " Ok\r\nArbutusferry-Request-Id: r1\r\n"
         "Arbutusferry-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

// Guards against a reader of targets' responses that takes bytes that are no
// HTTP for a response, or waits behind them until its deadline.
TEST_CASE("no reader of targets' responses takes one whose status isn't HTTP's")
{
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  CAPTURE(status);
  reader_test test(ResponseOf(status));
  SECTION("a caller's request")
  {
    const route_kind kind = GENERATE(
      route_kind::NonIdempotent, route_kind::Idempotent, route_kind::Stream);
    CAPTURE(EnumName(kind));
    admitted_call call;
    call.id = "r1";
    call.service = "desk";
    call.route = test.route;
    call.route.kind = kind;
    call.request = reader_test::Request();
    call.deadline = call.timeout = test.loop.Now() + kDeadline;
    const auto answer = std::make_shared<recording_responder>();
    test.forwarder.Forward(std::move(call), answer);
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(answer->response.status == 502);
    CHECK(answer->response.body.empty());
  }
  SECTION("a reward call")
  {
    forwarded_rewards rewards(
      { test.loop, test.forwarder, test.protocol, test });
    std::optional<reward_result> result;
    const auto call =
      rewards.Call({ "r1", "h", "/x", "body" },
                   kDeadline,
                   [&](const reward_result& aEnd) { result = aEnd; });
    REQUIRE(test.Reached([&] { return result.has_value(); }));
    CHECK(result->outcome == reward_outcome::Unanswered);
    CHECK(result->errors == 0);
  }
  SECTION("an item's run")
  {
    run_end observer;
    item_call call;
    call.id = "r1";
    call.path = "/x";
    call.host = "h";
    const auto run = std::make_shared<item_run>(
      observer, test.loop, test.protocol, "b", 0, "t", std::move(call));
    run->Start(test.targetClient, test.target);
    REQUIRE(test.Reached([&] { return observer.end.has_value(); }));
    CHECK(*observer.end == run_outcome::Broken);
  }
  SECTION("a relayed run")
  {
    unused_handler other;
    run_relay relay({ test.loop,
                      test.targetClient,
                      test.protocol,
                      [] { return 1; },
                      [] {},
                      other });
    const auto answer = std::make_shared<recording_responder>();
    relay.Handle(
      MakeRelayedRun(
        "1-1", 1, test.Clock(), test.target.address, reader_test::Request()),
      answer);
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(ReadRelayError(answer->response.headers) == relay_error::Broken);
  }
  SECTION("a request through a gateway")
  {
    target_gateway gateway(test.loop, test.targetClient);
    gateway_call call{ test.target.address, {}, test.Clock() };
    call.options.readTimeout = kDeadline;
    call.options.echoHeader = test.protocol.EchoHeader();
    const auto answer = std::make_shared<recording_responder>();
    gateway.Serve(MakeGatewaySend(call, reader_test::Request()), answer);
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(ReadGatewayError(answer->response.headers) ==
          gateway_error::Protocol);
  }
  SECTION("a weight order or a request for a report")
  {
    // Both are collected whole, as in `sampler_pool`.
    exchange_options options;
    options.readTimeout = kDeadline;
    options.madeAtOnce = true;
    options.directOnly = GENERATE(true, false);
    std::optional<exchange_failure> failure;
    bool answered = false;
    test.targetClient.Send(
      test.target.address,
      reader_test::Request(),
      options,
      std::make_shared<response_collector>(
        [&](const http_response* aResponse, exchange_failure aFailure) {
          answered = aResponse != nullptr;
          failure = aFailure;
        }));
    REQUIRE(test.Reached([&] { return failure.has_value(); }));
    CHECK_FALSE(answered);
    CHECK(*failure == exchange_failure::Protocol);
  }
}
