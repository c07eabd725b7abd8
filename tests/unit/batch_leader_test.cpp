#include "arbutusferry/node/batch_leader.hpp"
#include "arbutusferry/node/run_relay.hpp"

#include "support/node_fakes.hpp"
#include "target_wire.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr const char* kRelayIp = "10.0.0.50";

/// Answers a request of the scripted client.
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
  [[nodiscard]] bool Gone() const override { return !mSent->sink; }
  [[nodiscard]] std::size_t Pending() const override { return 0; }
  void OnGone(std::function<void()> aFunction) override
  {
    mSent->onCancel = std::move(aFunction);
  }

private:
  std::shared_ptr<scripted_client::sent> mSent;
};

class nothing_else final : public request_handler
{
public:
  void Handle(http_request, std::shared_ptr<responder>) override {}
};

/// Samplers that make one event each `pace`.
class fake_samplers
{
public:
  struct sampler
  {
    std::int64_t version = 1;
    std::uint64_t orders = 0;
    std::uint64_t fence = 0;
    duration pace = milliseconds(40);
    bool dark = false;
    bool another = false; ///< Another process has the address.
    int running = 0;
    duration loadTime = duration::zero();
    time_point loadedAt; ///< End of the present load.
    std::int64_t before = 1;
  };

  fake_samplers(manual_loop& aLoop, scripted_client& aClient)
    : mLoop(aLoop)
  {
    aClient.onSend = [this](const auto& aSent) { OnSend(aSent); };
  }

  std::map<std::string, sampler> samplers; ///< By address.
  std::size_t events = 6;                  ///< Of each item.
  std::map<std::string, int> starts;       ///< Runs by item.
  std::vector<std::size_t> resumedAfter;
  int reports = 0;
  int refusedWhileLoading = 0;
  int misplaced = 0;
  run_relay* relay = nullptr; ///< At `kRelayIp`.

private:
  using exchange = std::shared_ptr<scripted_client::sent>;

  void OnSend(const exchange& aSent)
  {
    if (relay && aSent->peer.ip == kRelayIp) {
      relay->Handle(aSent->request, std::make_shared<sink_responder>(aSent));
      return;
    }
    mLoop.Post(milliseconds(2), [this, aSent] { Serve(aSent); });
  }

  void Serve(const exchange& aSent)
  {
    sampler& self = samplers[aSent->peer.ip];
    if (self.dark || !aSent->sink) {
      return;
    }
    const auto& request = aSent->request;
    if (request.target == "/order") {
      const auto at = request.body.find("\"version\":");
      if (request.body.find("\"expected-rev\":" +
                            std::to_string(self.orders)) == std::string::npos) {
        aSent->Answer(409);
        return;
      }
      self.before = self.version;
      self.version = std::stoll(request.body.substr(at + 10));
      self.loadedAt = mLoop.Now() + self.loadTime;
      ++self.orders;
      aSent->Answer(202);
      return;
    }
    if (request.target == "/report") {
      // Reports are as of some time ago.
      const bool busy = self.loadTime > duration::zero() &&
                        mLoop.Now() < self.loadedAt + milliseconds(200);
      ++reports;
      aSent->Answer(200,
                    {},
                    R"({"models":[{"name":"m","version":)" +
                      std::to_string(busy ? self.before : self.version) +
                      R"(}],"busy":)" + (busy ? "true" : "false") +
                      R"(,"seq":)" + std::to_string(self.orders) + "}");
      return;
    }
    if (mLoop.Now() < self.loadedAt) {
      ++refusedWhileLoading;
      aSent->Answer(503, { { "Arbutusferry-Not-Run", "1" } });
      return;
    }
    if (self.another || request.headers.Get("Arbutusferry-Expect-Version") !=
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
    aSent->sink->OnHead(
      200,
      { { "Arbutusferry-Server-Stamp", "s" },
        { "Arbutusferry-Weight-Versions", std::to_string(self.version) } });
    Produce(aSent, item, after + 1);
  }

  void Produce(const exchange& aSent, const std::string& aItem, std::size_t aId)
  {
    const sampler& self = samplers[aSent->peer.ip];
    mLoop.Post(self.pace, [this, aSent, aItem, aId] {
      if (!aSent->sink || samplers[aSent->peer.ip].dark) {
        return;
      }
      const auto sink = aSent->sink;
      sink->OnBody("id: " + std::to_string(aId) + "\ndata: " + aItem + "." +
                   std::to_string(aId) + "\n\n");
      if (!aSent->sink) {
        return;
      }
      if (aId == events) {
        aSent->sink.reset();
        sink->OnEnd();
      } else {
        Produce(aSent, aItem, aId + 1);
      }
    });
  }

  manual_loop& mLoop;
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
    route.itemRetention = milliseconds(40'000);
    service.name = "models";
    service.models = { "m" };
    environment = environment_view(1, { route }, { service }, {}, {}, false);
  }

  [[nodiscard]] const environment_view& Environment() const override
  {
    return environment;
  }

  std::unique_ptr<batch_leader> Lead(std::uint64_t aFence)
  {
    auto leader = std::make_unique<batch_leader>(
      batch_leader::parts{ loop,
                           client,
                           log,
                           targets,
                           nodes,
                           protocol,
                           *this,
                           metrics,
                           "vm",
                           milliseconds(120'000),
                           [this] { ++superseded; },
                           [] { return true; },
                           [this] { return mayRun; } },
      aFence);
    leader->Start([](const auto&) {});
    loop.Advance(milliseconds(100));
    REQUIRE(leader->Ready());
    return leader;
  }

  batch_request Request(const std::string& aId,
                        int aItems,
                        std::int64_t aMinimum = 1)
  {
    batch_request request;
    request.id = aId;
    request.tenant = "acme";
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
  memory_store store;
  memory_log log{ loop, store };
  target_view targets;
  node_directory nodes{ "vm" };
  platform::target_wire protocol;
  environment_view environment;
  metrics_registry metrics;
  int superseded = 0;
  bool mayRun = true;
};

std::string
WholeText(const std::string& aItem)
{
  std::string text;
  for (int id = 1; id <= 6; ++id) {
    text += (id > 1 ? "\n" : "") + aItem + "." + std::to_string(id);
  }
  return text;
}

} // namespace

TEST_CASE("a batch is accepted once it is durable, and its items are listed")
{
  leader_test test;
  const auto leader = test.Lead(1);
  int accepted = 0;
  leader->Submit(test.Request("b", 5), [&] { ++accepted; });
  CHECK(accepted == 0);
  test.loop.Advance(milliseconds(20));
  CHECK(accepted == 1);
  // The same batch at another node.
  leader->Submit(test.Request("b", 5), [&] { ++accepted; });
  CHECK(accepted == 2);
  test.loop.Advance(milliseconds(1'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found);
  CHECK_FALSE(leader->Find("b", "birch"));
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text == WholeText(found->Request().items[result.item].id));
    CHECK(result.versions == std::vector<std::int64_t>{ 1 });
  }
  CHECK(test.samplers.starts["i0"] == 1);
}

// Guards against results that are shown before they are durable: a loss of
// power would take back what a trainer has read.
TEST_CASE("a result is listed only when the journal has it")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(20));
  test.log.down = true;
  test.loop.Advance(milliseconds(2'000));
  CHECK(leader->Find("b", "acme")->Results().empty());
  test.log.down = false;
  test.loop.Advance(milliseconds(300));
  CHECK(leader->Find("b", "acme")->Results().size() == 2);
}

// Load pattern: a sampler goes dark with half-done streams.
TEST_CASE("a run on a dark sampler goes on elsewhere after its last event")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(170));
  test.samplers.samplers["10.0.0.1"].dark = true;
  test.loop.Advance(milliseconds(3'000));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text == WholeText(found->Request().items[result.item].id));
  }
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Load pattern: one sampler turns slow.
TEST_CASE("runs leave a slow sampler while others have room")
{
  leader_test test;
  test.samplers.events = 60;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(400));
  test.samplers.samplers["10.0.0.1"].pace = milliseconds(160);
  test.loop.Advance(milliseconds(1'500));
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Guards against a change of leader that begins all items anew, and against
// positions that change.
TEST_CASE("a new leader keeps results and goes on with saved progress")
{
  leader_test test;
  test.samplers.events = 40;
  test.samplers.samplers["10.0.0.2"].pace = milliseconds(25);
  auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 6), [] {});
  test.loop.Advance(milliseconds(1'200));
  std::vector<std::size_t> before;
  for (const auto& result : leader->Find("b", "acme")->Results()) {
    before.push_back(result.item);
  }
  CHECK_FALSE(before.empty());
  CHECK(before.size() < 6);
  leader.reset();
  test.samplers.resumedAfter.clear();
  leader = test.Lead(2);
  batch* found = leader->Find("b", "acme");
  REQUIRE(found);
  REQUIRE(found->Results().size() >= before.size());
  for (std::size_t at = 0; at < before.size(); ++at) {
    CHECK(found->Results()[at].item == before[at]);
    CHECK_FALSE(found->Results()[at].loaded);
  }
  bool loaded = false;
  leader->LoadTexts("b", 0, [&] { loaded = true; });
  test.loop.Advance(milliseconds(50));
  CHECK(loaded);
  CHECK(found->Results()[0].text.starts_with(
    found->Request().items[before[0]].id + ".1\n"));
  test.loop.Advance(milliseconds(3'000));
  CHECK(found->Complete());
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Load pattern: the leader is lost while a step runs. Guards against items that
// stop until the next leader has claimed the role and read the journal.
TEST_CASE("items go on while one leader follows another")
{
  leader_test test;
  nothing_else other;
  run_relay relay({ test.loop,
                    test.client,
                    test.protocol.EchoHeader(),
                    [] { return 1; },
                    [] {},
                    other });
  test.samplers.relay = &relay;
  test.samplers.events = 40;
  test.nodes.Update({ "n2", "n2/1", "z", { kRelayIp, 9000 } });
  auto first = test.Lead(1);
  first->Submit(test.Request("b", 3), [] {});
  test.loop.Advance(milliseconds(900));
  CHECK(relay.Runs() == 3);
  first.reset();
  // Most of the events are made while nobody leads.
  test.loop.Advance(milliseconds(700));
  const auto second = test.Lead(2);
  test.loop.Advance(milliseconds(200));
  batch* found = second->Find("b", "acme");
  REQUIRE(found->Complete());
  CHECK(test.samplers.starts["i0"] == 1);
  CHECK(test.samplers.resumedAfter.empty());
  std::string expected;
  for (int id = 1; id <= 40; ++id) {
    expected += (id > 1 ? "\n" : "") + std::string("i1.") + std::to_string(id);
  }
  for (const batch_result& result : found->Results()) {
    if (found->Request().items[result.item].id == "i1") {
      CHECK(result.text == expected);
    }
  }
}

// Load pattern: a sampler is lost while the store is down, and another service
// gets its address. Guards against hundreds of runs that it refuses.
TEST_CASE("a sampler whose address another process has is asked ever less")
{
  leader_test test;
  test.samplers.samplers["10.0.0.2"].another = true;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 24), [] {});
  test.loop.Advance(milliseconds(3'000));
  CHECK(leader->Find("b", "acme")->Complete());
  CHECK(test.samplers.misplaced <= 20);
}

// Guards against a leader that was replaced and asks nodes again and again.
TEST_CASE("a leader that a node refuses as outdated ends its term")
{
  leader_test test;
  nothing_else other;
  run_relay relay({ test.loop,
                    test.client,
                    test.protocol.EchoHeader(),
                    [] { return 2; },
                    [] {},
                    other });
  test.samplers.relay = &relay;
  test.nodes.Update({ "n2", "n2/1", "z", { kRelayIp, 9000 } });
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(10));
  CHECK(test.superseded == 1);
  CHECK(test.samplers.starts.empty());
}

// Guards against texts joined of two runs: a stream that has gone can't be
// attached to, and its item goes on after its last saved event.
TEST_CASE("an item whose stream was lost with its node goes on elsewhere")
{
  leader_test test;
  nothing_else other;
  auto relay =
    std::make_unique<run_relay>(run_relay::parts{ test.loop,
                                                  test.client,
                                                  test.protocol.EchoHeader(),
                                                  [] { return 1; },
                                                  [] {},
                                                  other });
  test.samplers.relay = relay.get();
  test.samplers.events = 40;
  test.nodes.Update({ "n2", "n2/1", "z", { kRelayIp, 9000 } });
  auto first = test.Lead(1);
  first->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(900));
  first.reset();
  run_relay restarted({ test.loop,
                        test.client,
                        test.protocol.EchoHeader(),
                        [] { return 1; },
                        [] {},
                        other });
  test.samplers.relay = &restarted;
  relay.reset();
  const auto second = test.Lead(2);
  test.loop.Advance(milliseconds(1'700));
  REQUIRE(second->Find("b", "acme")->Complete());
  REQUIRE(test.samplers.resumedAfter.size() == 1);
  CHECK(test.samplers.resumedAfter[0] >= 8);
}

TEST_CASE("a stopping leader hands on all that its runs have generated")
{
  leader_test test;
  test.samplers.events = 40;
  auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(170));
  bool saved = false;
  leader->HandOver([&] { saved = true; });
  test.loop.Advance(milliseconds(50));
  CHECK(saved);
  CHECK(leader->OpenItems() == 0);
  leader.reset();
  leader = test.Lead(2);
  test.loop.Advance(milliseconds(300));
  REQUIRE_FALSE(test.samplers.resumedAfter.empty());
  CHECK(test.samplers.resumedAfter[0] >= 3);
}

// Guards against an append over the store's limits, which is refused for ever
// and holds up all results behind it until memory runs out.
TEST_CASE("progress of many items goes in several appends")
{
  leader_test test;
  for (auto& [id, known] : test.targets.All()) {
    known.entry.slots = 64;
  }
  test.samplers.events = 400;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 100), [] {});
  test.loop.Advance(milliseconds(5'000));
  leader->End(*leader->Find("b", "acme"), [] {});
  test.loop.Advance(milliseconds(100));
  CHECK(test.log.invalid == 0);
  CHECK(leader->Find("b", "acme")->Ended());
}

TEST_CASE("an ended batch runs nothing more, and its items can come again")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(150));
  int ended = 0;
  leader->End(*leader->Find("b", "acme"), [&] { ++ended; });
  test.loop.Advance(milliseconds(20));
  CHECK(ended == 1);
  CHECK(leader->OpenItems() == 0);
  const auto starts = test.samplers.starts;
  test.loop.Advance(milliseconds(1'000));
  CHECK(test.samplers.starts == starts);
  leader->Submit(test.Request("c", 2), [] {});
  test.loop.Advance(milliseconds(1'000));
  CHECK(leader->Find("c", "acme")->Complete());
  CHECK_FALSE(test.samplers.resumedAfter.empty());
}

// Guards against items of an ended batch that a leader begins which the store
// turns away, and which doesn't know yet that another one ended the batch.
TEST_CASE("a leader that can't confirm its term begins no runs")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 10), [] {});
  test.loop.Advance(milliseconds(100));
  test.mayRun = false;
  const auto starts = test.samplers.starts.size();
  CHECK(starts == 8);
  test.loop.Advance(milliseconds(2'000));
  CHECK(test.samplers.starts.size() == starts);
  test.mayRun = true;
  test.loop.Advance(milliseconds(1'000));
  CHECK(leader->Find("b", "acme")->Complete());
}

// Load pattern: new weights are named while a step runs.
TEST_CASE("new weights are ordered once for each sampler, and labels are true")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->NameVersion("m", 2);
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.samplers["10.0.0.1"].version == 2);
  CHECK(test.samplers.samplers["10.0.0.2"].version == 2);
  CHECK(test.samplers.samplers["10.0.0.1"].orders == 1);
  leader->Submit(test.Request("b", 3, 2), [] {});
  test.loop.Advance(milliseconds(1'500));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.versions == std::vector<std::int64_t>{ 2 });
  }
}

// Load pattern: a step comes with the version that all its samplers must load
// first. Guards against items that wait for a report, which lags, after their
// sampler has its weights.
TEST_CASE("items start as soon as a load ends, whatever the reports say")
{
  leader_test test;
  for (auto& [address, sampler] : test.samplers.samplers) {
    sampler.loadTime = milliseconds(900);
  }
  const auto leader = test.Lead(1);
  leader->NameVersion("m", 2);
  test.loop.Advance(milliseconds(50));
  leader->Submit(test.Request("b", 8, 2), [] {});
  // Load, delay of two answers, one trial interval, six events.
  test.loop.Advance(milliseconds(900 + 150 + 100 + 240));
  CHECK(leader->Find("b", "acme")->Complete());
  // One trial a sampler and interval, not one of each item.
  CHECK(test.samplers.refusedWhileLoading <= 6);
}

TEST_CASE("readers wait for results, or for the end of the wait")
{
  leader_test test;
  const auto leader = test.Lead(1);
  leader->Submit(test.Request("b", 1), [] {});
  test.loop.Advance(milliseconds(20));
  int woken = 0;
  leader->AwaitResults("b", 0, milliseconds(100), [&] { ++woken; });
  test.loop.Advance(milliseconds(60));
  CHECK(woken == 0);
  test.loop.Advance(milliseconds(100));
  CHECK(woken == 1);
  leader->AwaitResults("b", 0, milliseconds(1'000), [&] { ++woken; });
  test.loop.Advance(milliseconds(400));
  CHECK(woken == 2);
}

// Guards against a trainer that reads a step one item short and comes back for
// the last one half a second later.
TEST_CASE("a trainer's read near the end of its step gets all of it")
{
  leader_test test;
  auto request = test.Request("b", 4);
  request.targetGroups = 1;
  const auto leader = test.Lead(1);
  test.environment = environment_view(2,
                                      { [&] {
                                        route_entry route = test.route;
                                        route.resultDue = milliseconds(2'000);
                                        return route;
                                      }() },
                                      { test.service },
                                      {},
                                      {},
                                      false);
  leader->Submit(std::move(request), [] {});
  // One item is far slower than the others.
  test.samplers.samplers["10.0.0.2"].pace = milliseconds(70);
  test.loop.Advance(milliseconds(300));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Results().size() == 2);
  std::size_t seen = 0;
  leader->AwaitResults(
    "b", 0, milliseconds(1'000), [&] { seen = found->Results().size(); });
  CHECK(seen == 0);
  test.loop.Advance(milliseconds(400));
  CHECK(seen == 4);
}

TEST_CASE("items of a route that the operator removed are listed as errored")
{
  leader_test test;
  const auto leader = test.Lead(1);
  test.environment = environment_view(2, {}, {}, {}, {}, false);
  leader->Submit(test.Request("b", 2), [] {});
  test.loop.Advance(milliseconds(200));
  batch* found = leader->Find("b", "acme");
  REQUIRE(found->Complete());
  CHECK(found->Results()[0].state == result_state::Errored);
}
