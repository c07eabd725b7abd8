#pragma once

#include "arbutusferry/node/batch_leader.hpp"
#include "arbutusferry/node/run_relay.hpp"

#include "common/limit_rule.hpp"
#include "http_protocols.hpp"
#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

inline constexpr const char* kRelayIp = "10.0.0.50";

/// Responds to a request of the scripted client.
class sink_responder final : public responder
{
public:
  explicit sink_responder(std::shared_ptr<scripted_client::sent> aSent)
    : mSent(std::move(aSent))
  {
  }
  void Send(http_response aResponse) override
  {
    mSent->Answer(aResponse.status, aResponse.headers, aResponse.body);
  }
  void Begin(int aStatus, const header_list& aHeaders) override
  {
    if (const auto sink = mSent->sink) {
      sink->OnHead(aStatus, aHeaders);
    }
  }
  void Write(std::string_view aPart) override
  {
    if (const auto sink = mSent->sink) {
      sink->OnBody(aPart);
    }
  }
  void End() override
  {
    if (const auto sink = std::exchange(mSent->sink, nullptr)) {
      sink->OnEnd();
    }
  }
  void Abort() override { mSent->Fail(exchange_failure::Broken); }
  [[nodiscard]] bool Closed() const override { return !mSent->sink; }
  [[nodiscard]] std::size_t UnsentBytes() const override { return 0; }
  [[nodiscard]] std::uint16_t PeerPort() const override { return 0; }
  void OnDisconnect(std::function<void()> aFunction) override
  {
    mSent->onCancel = std::move(aFunction);
  }

private:
  std::shared_ptr<scripted_client::sent> mSent;
};

class ignoring_handler final : public request_handler
{
public:
  void Handle(http_request, std::shared_ptr<responder>) override {}
};

/// Simulated samplers that generate one event per `eventInterval`.
class fake_samplers
{
public:
  struct sampler
  {
    std::int64_t version = 1;
    std::uint64_t orders = 0;
    std::uint64_t fence = 0;
    duration eventInterval = std::chrono::milliseconds(40);
    bool unresponsive = false;
    bool otherProcess = false; ///< Another process has the address.
    int running = 0;
    duration loadTime = duration::zero();
    time_point loadedAt; ///< End of the current load.
    std::int64_t previousVersion = 1;
    std::string software = "v1";
    standin::limit_rule limit;
    std::size_t limitExceededBy = 0; ///< Requests in 4 s, if too many.
  };

  fake_samplers(manual_loop& aLoop, scripted_client& aClient)
    : mLoop(aLoop)
  {
    aClient.onSend = [this](const auto& aSent) { OnSend(aSent); };
  }

  std::map<std::string, sampler> samplers; ///< By address.
  std::size_t events = 6;                  ///< Per item.
  std::set<std::string> emptyItems;        ///< Items with one empty event.
  std::map<std::string, int> starts;       ///< Number of runs by item.
  std::vector<std::size_t> resumedAfter;
  int reports = 0;
  std::vector<std::string> orders; ///< Bodies of weight orders.
  bool ordersUnanswered = false;   ///< Weight orders get no answer.
  int refusedWhileLoading = 0;
  int misplaced = 0;
  /// Items that went on at another software version than that which began
  /// them, which samplers don't check.
  std::set<std::string> mixedItems;
  run_relay* relay = nullptr; ///< At `kRelayIp`.

private:
  using exchange = std::shared_ptr<scripted_client::sent>;

  void OnSend(const exchange& aSent)
  {
    if (relay && aSent->peer.ip == kRelayIp) {
      relay->Handle(aSent->request, std::make_shared<sink_responder>(aSent));
      return;
    }
    mLoop.Post(std::chrono::milliseconds(2), [this, aSent] { Serve(aSent); });
  }

  void Serve(const exchange& aSent)
  {
    sampler& self = samplers[aSent->peer.ip];
    if (self.unresponsive || !aSent->sink) {
      return;
    }
    const auto& request = aSent->request;
    if (request.target == "/order") {
      orders.push_back(request.body.Text());
      if (ordersUnanswered) {
        return;
      }
      const auto at = request.body.Text().find("\"version\":");
      if (request.body.Text().find("\"expected-rev\":" +
                                   std::to_string(self.orders)) ==
          std::string::npos) {
        aSent->Answer(409);
        return;
      }
      self.previousVersion = self.version;
      self.version = std::stoll(request.body.Text().substr(at + 10));
      self.loadedAt = mLoop.Now() + self.loadTime;
      ++self.orders;
      aSent->Answer(202);
      return;
    }
    if (request.target == "/report") {
      // Reports lag behind the load.
      const bool busy =
        self.loadTime > duration::zero() &&
        mLoop.Now() < self.loadedAt + std::chrono::milliseconds(200);
      ++reports;
      aSent->Answer(
        200,
        {},
        R"({"models":[{"name":"m","version":)" +
          std::to_string(busy ? self.previousVersion : self.version) +
          R"(}],"busy":)" + (busy ? "true" : "false") + R"(,"seq":)" +
          std::to_string(self.orders) + "}");
      return;
    }
    // A relaying node sends all items if there is one.
    const std::string sender = relay ? "relay" : "leader";
    self.limitExceededBy =
      std::max(self.limitExceededBy,
               self.limit.NoteRequest(sender, mLoop.Now()).value_or(0));
    if (mLoop.Now() < self.loadedAt) {
      ++refusedWhileLoading;
      aSent->Answer(503, { { "Arbutusferry-Not-Run", "1" } });
      return;
    }
    if (self.otherProcess ||
        request.headers.Get("Arbutusferry-Expect-Version") !=
          std::to_string(self.version)) {
      ++misplaced;
      aSent->Answer(421);
      return;
    }
    const std::string item(request.headers.Get("Arbutusferry-Request-Id"));
    ++starts[item];
    const auto after = static_cast<std::size_t>(
      ParseInteger(request.headers.Get("Last-Event-Id")).value_or(0));
    if (after > 0) {
      resumedAfter.push_back(after);
    }
    if (after == 0) {
      mBegunBy[item] = self.software;
    } else if (mBegunBy[item] != self.software) {
      mixedItems.insert(item);
    }
    header_list headers{ { "Arbutusferry-Server-Stamp", "s" },
                         { "Arbutusferry-Weight-Versions",
                           std::to_string(self.version) } };
    if (self.limit.Limit()) {
      headers.Add("Server-Limit", std::to_string(*self.limit.Limit()));
      self.limit.NoteResponse(sender, mLoop.Now());
    }
    aSent->sink->OnHead(200, headers);
    Produce(aSent, item, after + 1, self.version);
  }

  /// @param aVersion Weight version that the response has named last.
  void Produce(const exchange& aSent,
               const std::string& aItem,
               std::size_t aId,
               std::int64_t aVersion)
  {
    const sampler& self = samplers[aSent->peer.ip];
    const duration interval =
      std::max(self.eventInterval, self.loadedAt - mLoop.Now());
    mLoop.Post(interval, [this, aSent, aItem, aId, aVersion] {
      const duration paused = samplers[aSent->peer.ip].loadedAt - mLoop.Now();
      if (paused > duration::zero()) {
        mLoop.Post(paused, [this, aSent, aItem, aId, aVersion] {
          Produce(aSent, aItem, aId, aVersion);
        });
        return;
      }
      if (!aSent->sink || samplers[aSent->peer.ip].unresponsive) {
        return;
      }
      const auto sink = aSent->sink;
      const bool empty = emptyItems.contains(aItem);
      const std::int64_t version = samplers[aSent->peer.ip].version;
      const std::string change =
        version == aVersion
          ? ""
          : "arbutusferry-weight-versions: " + std::to_string(version) + "\n";
      sink->OnBody(change + "id: " + std::to_string(aId) + "\ndata: " +
                   (empty ? "" : aItem + "." + std::to_string(aId)) + "\n\n");
      if (!aSent->sink) {
        return;
      }
      if (empty || aId == events) {
        aSent->sink.reset();
        sink->OnEnd();
      } else {
        Produce(aSent, aItem, aId + 1, version);
      }
    });
  }

  manual_loop& mLoop;
  std::map<std::string, std::string> mBegunBy; ///< Software version by item.
};

/// Plain service that scores texts, as reward calls find it.
class fake_scorer final : public reward_caller
{
public:
  explicit fake_scorer(manual_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  struct call final : reward_exchange
  {
    void Cancel() override { open = false; }
    reward_request request;
    bool open = true;
    time_point at;
  };

  std::shared_ptr<reward_exchange> Call(
    const reward_request& aRequest,
    std::chrono::milliseconds,
    std::function<void(const reward_result&)> aDone) override
  {
    auto sent = std::make_shared<call>();
    sent->request = aRequest;
    sent->at = mLoop.Now();
    calls.push_back(sent);
    mostOpen = std::max(mostOpen, ++mOpen);
    mLoop.Post(latency, [this, sent, aDone] {
      --mOpen;
      if (!std::exchange(sent->open, false) || silent) {
        return;
      }
      reward_result result;
      result.outcome = outcome;
      if (failing.contains(sent->request.id)) {
        result.outcome = reward_outcome::Failed;
        result.errors = 1;
      } else if (outcome == reward_outcome::Scored) {
        result.score =
          "score-" + sent->request.id + "-" + std::to_string(calls.size());
      }
      aDone(result);
    });
    return sent;
  }

  std::vector<std::shared_ptr<call>> calls;
  std::set<std::string> failing; ///< Ids of calls that get an error.
  reward_outcome outcome = reward_outcome::Scored;
  duration latency = std::chrono::milliseconds(30);
  bool silent = false; ///< Whether calls stay without a response.
  int mostOpen = 0;

private:
  manual_loop& mLoop;
  int mOpen = 0;
};

struct leader_test : environment_source
{
  leader_test()
  {
    for (const char* id : { "s1", "s2" }) {
      target_entry entry;
      entry.id = id;
      entry.service = "models";
      entry.address = { std::string("10.0.0.") + id[1], 80 };
      entry.zone = "z";
      entry.slots = 4;
      entry.modelVersions = { { "m", 1 } };
      targets.Update(entry, loop.Now());
      samplers.samplers[entry.address.ip];
    }
    route.name = "r";
    route.host = "h.example";
    route.pathPrefix = "/p/";
    route.kind = route_kind::Batch;
    route.services = { { "models", 1 } };
    route.maxAttempts = 3;
    route.itemRetention = std::chrono::milliseconds(40'000);
    service.name = "models";
    service.models = { "m" };
    environment = environment_view(1, { route }, { service }, {}, {}, false);
  }

  [[nodiscard]] const environment_view& Environment() const override
  {
    return environment;
  }

  std::unique_ptr<batch_leader> StartLeader(std::uint64_t aFence)
  {
    auto leader = std::make_unique<batch_leader>(
      batch_leader::parts{ loop,
                           client,
                           client,
                           log,
                           targets,
                           nodes,
                           protocol,
                           *this,
                           scorer,
                           metrics,
                           "vm",
                           std::chrono::milliseconds(120'000),
                           [this] { ++superseded; },
                           [] { return true; },
                           [this] { return mayStartRuns; } },
      aFence);
    leader->Start([](const auto&) {});
    loop.Advance(std::chrono::milliseconds(100));
    REQUIRE(leader->Ready());
    return leader;
  }

  batch_request Request(const std::string& aId,
                        int aItems,
                        std::int64_t aMinimum = 1)
  {
    batch_request request;
    request.id = aId;
    request.team = "acme";
    request.host = "h.example";
    request.route = "r";
    request.model = "m";
    request.minimumVersion = aMinimum;
    request.submittedUnixMs = loop.UnixMilliseconds();
    for (int index = 0; index < aItems; ++index) {
      const std::string name = std::string("i") + std::to_string(index);
      request.items.push_back({ name, "/p/x", {}, "body", 10, "g" });
    }
    return request;
  }

  route_entry route;
  service_entry service;
  manual_loop loop;
  scripted_client client;
  fake_samplers samplers{ loop, client };
  fake_scorer scorer{ loop };
  memory_store store;
  memory_log log{ loop, store };
  target_view targets;
  node_directory nodes{ "vm" };
  platform::http_target_protocol protocol;
  environment_view environment;
  metrics_registry metrics;
  int superseded = 0;
  bool mayStartRuns = true;
};

/// A node at `kRelayIp` that relays the streams of the samplers' zone.
struct relay_node
{
  explicit relay_node(leader_test& aTest, std::uint64_t aFence = 1)
    : relay({ aTest.loop,
              aTest.client,
              aTest.protocol,
              [aFence] { return aFence; },
              [] {},
              other })
  {
    aTest.samplers.relay = &relay;
    aTest.nodes.Update({ "n2", "n2/1", "z", { kRelayIp, 9000 } });
  }

  ignoring_handler other;
  run_relay relay;
};

inline std::string
ExpectedText(const std::string& aItem, std::size_t aEvents = 6)
{
  std::string text;
  for (std::size_t id = 1; id <= aEvents; ++id) {
    text += (id > 1 ? "\n" : "") + aItem + "." + std::to_string(id);
  }
  return text;
}

} // namespace arbutusferry::node
