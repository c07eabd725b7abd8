#pragma once

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

namespace arbutusferry::node {

/// Every reader waits for as long, if it waits.
inline constexpr std::chrono::milliseconds kReadersDeadline{ 60'000 };
/// Time without a result after which a reader counts as waiting.
inline constexpr std::chrono::seconds kReadersHangTime{ 10 };

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

/// All readers of targets' responses, with one target behind a real connection.
/// What they send has the id "r1".
struct response_readers : environment_source
{
  response_readers(test::raw_server::handler aTarget,
                   test::request_part aReadByTarget,
                   std::string aBody)
    : body(std::move(aBody))
    , server(std::move(aTarget), aReadByTarget)
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
    const time_point end = loop.Now() + kReadersHangTime;
    while (!aCondition() && loop.Now() < end) {
      loop.Context().restart();
      loop.Context().run_one_for(std::chrono::milliseconds(50));
    }
    return aCondition();
  }
  [[nodiscard]] std::int64_t Clock() const
  {
    return ToMilliseconds(loop.Now().time_since_epoch());
  }
  [[nodiscard]] http_request Request() const
  {
    return { "POST",
             "/x",
             { { "Host", "h" }, { "Arbutusferry-Request-Id", "r1" } },
             body };
  }

  std::shared_ptr<recording_responder> SendCall(route_kind aKind)
  {
    admitted_call call;
    call.id = "r1";
    call.service = "desk";
    call.route = route;
    call.route.kind = aKind;
    call.request = Request();
    call.deadline = call.timeout = loop.Now() + kReadersDeadline;
    auto answer = std::make_shared<recording_responder>();
    forwarder.Forward(std::move(call), answer);
    return answer;
  }
  std::shared_ptr<reward_exchange> SendRewardCall(
    std::function<void(const reward_result&)> aDone)
  {
    return rewards.Call(
      { "r1", "h", "/x", body }, kReadersDeadline, std::move(aDone));
  }
  std::shared_ptr<item_run> StartItem(run_observer& aObserver)
  {
    item_call call;
    call.id = "r1";
    call.path = "/x";
    call.host = "h";
    call.body = body;
    auto run = std::make_shared<item_run>(
      aObserver, loop, protocol, "b", 0, "t", std::move(call));
    run->Start(targetClient, target);
    return run;
  }
  std::shared_ptr<recording_responder> SendThroughRelay()
  {
    auto answer = std::make_shared<recording_responder>();
    relay.Handle(MakeRelayedRun("1-1", 1, Clock(), target.address, Request()),
                 answer);
    return answer;
  }
  std::shared_ptr<recording_responder> SendThroughGateway()
  {
    gateway_call call{ target.address, {}, Clock() };
    call.options.readTimeout = kReadersDeadline;
    call.options.echoHeader = protocol.EchoHeader();
    auto answer = std::make_shared<recording_responder>();
    gateway.Serve(MakeGatewaySend(call, Request()), answer);
    return answer;
  }
  /// Collects a whole response, as `sampler_pool` does with those to weight
  /// orders and requests for reports.
  void Collect(bool aDirectOnly, response_collector::callback aDone)
  {
    exchange_options options;
    options.readTimeout = kReadersDeadline;
    options.madeAtOnce = true;
    options.directOnly = aDirectOnly;
    targetClient.Send(target.address,
                      Request(),
                      options,
                      std::make_shared<response_collector>(std::move(aDone)));
  }

  std::string body;
  test::raw_server server;
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
  forwarded_rewards rewards{ { loop, forwarder, protocol, *this } };
  unused_handler other;
  run_relay relay{
    { loop, targetClient, protocol, [] { return 1; }, [] {}, other }
  };
  target_gateway gateway{ loop, targetClient };
};

} // namespace arbutusferry::node
