#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/peer_handler.hpp"
#include "arbutusferry/node/software_watch.hpp"

#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

/// Samplers s1 and s2 with different software.
struct two_versions : leader_test
{
  two_versions()
  {
    SetSoftware("s1", "v1");
    SetSoftware("s2", "v2");
    samplers.events = 20;
  }

  void SetSoftware(const std::string& aId, const std::string& aSoftware)
  {
    target_entry entry = targets.Find(aId)->entry;
    entry.software = aSoftware;
    samplers.samplers[entry.address.ip].software = aSoftware;
    targets.Update(entry, loop.Now());
  }

  void Drain(const std::string& aId)
  {
    target_entry entry = targets.Find(aId)->entry;
    entry.draining = true;
    targets.Update(entry, loop.Now());
  }
};

std::string
TextOf(const std::string& aItem, std::size_t aEvents)
{
  std::string text;
  for (std::size_t id = 1; id <= aEvents; ++id) {
    text += (id > 1 ? "\n" : "") + aItem + "." + std::to_string(id);
  }
  return text;
}

void
CheckComplete(batch_leader& aLeader, std::size_t aEvents)
{
  batch* found = aLeader.Find("b", "acme");
  REQUIRE(found);
  REQUIRE(found->Complete());
  for (const batch_result& result : found->Results()) {
    CHECK(result.text ==
          TextOf(found->Request().items[result.item].id, aEvents));
  }
}

constexpr const char* kNodeIp = "10.0.1.1";

/// Nodes that forward streams to targets t0 and t1 of software v1 and v2.
struct stream_service
{
  explicit stream_service(int aNodes)
  {
    StartNodes(aNodes);
    for (const auto& node : nodes) {
      node->software.NoteFirstStart();
    }
    SetTarget("t0", "v1");
    SetTarget("t1", "v2");
    Run(milliseconds(1'000));
  }

  void StartNodes(int aNodes)
  {
    for (int index = 0; index < aNodes; ++index) {
      nodes.push_back(std::make_unique<stream_node>(*this, index));
    }
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        node->directory.Update(
          { other->vm,
            other->vm + "/1",
            "z",
            { kNodeIp, static_cast<std::uint16_t>(other->index + 1) } });
      }
      for (const auto& [id, entry] : registry) {
        node->targets.Update(entry, loop.Now());
      }
      node->software.Start();
    }
  }

  /// Ends all nodes at once and starts them again.
  void RestartNodes()
  {
    const int count = static_cast<int>(nodes.size());
    nodes.clear();
    StartNodes(count);
    Run(milliseconds(1'000));
  }

  /// Lets time pass in which all nodes read the registry and the first leads.
  void Run(duration aTime)
  {
    const time_point end = loop.Now() + aTime;
    while (loop.Now() < end) {
      for (const auto& node : nodes) {
        if (node->reachesStore) {
          node->software.NoteTargetsRead();
        }
        node->software.Observe();
      }
      nodes.front()->software.Save();
      loop.Advance(milliseconds(500));
    }
  }

  struct stream_node
  {
    stream_node(stream_service& aService, int aIndex)
      : index(aIndex)
      , service(aService)
    {
      client.onSend = [this](const auto& aSent) {
        service.OnSend(*this, aSent);
      };
    }
    int index;
    stream_service& service;
    std::string vm = "vm" + std::to_string(index);
    bool reachable = true; ///< By other nodes.
    scripted_client client;
    target_view targets;
    node_directory directory{ vm + "/1" };
    bool reachesStore = true;
    software_watch software{ { service.loop, service.log, targets } };
    shared_stream_origins origins{
      { service.loop, client, directory, software, vm }
    };
    limit_coordinator limits{ { service.loop,
                                client,
                                targets,
                                [] { return false; },
                                [] { return std::nullopt; } } };
    ignoring_handler other;
    target_client targetClient{ { service.loop, client, directory, targets } };
    target_gateway gateway{ service.loop, targetClient };
    peer_handler peers{ limits, origins, gateway, other };
    call_forwarder forwarder{ { service.loop,
                                client,
                                targets,
                                service.protocol,
                                service.callers,
                                limits,
                                origins,
                                service.crashes,
                                service.runs,
                                service.metrics,
                                "z" } };
  };

  void SetTarget(const std::string& aId,
                 const std::string& aSoftware,
                 bool aDraining = false)
  {
    target_entry entry;
    entry.id = aId;
    entry.service = "models";
    entry.address = { "10.0.0." + aId.substr(1), 80 };
    entry.zone = "z";
    entry.slots = 8;
    entry.software = aSoftware;
    entry.draining = aDraining;
    software[entry.address.ip] = aSoftware;
    registry[aId] = entry;
    for (const auto& node : nodes) {
      node->targets.Update(entry, loop.Now());
    }
  }

  void RemoveTarget(const std::string& aId)
  {
    registry.erase(aId);
    for (const auto& node : nodes) {
      node->targets.Remove(aId, loop.Now());
      loop.Advance(milliseconds(1'200));
      node->targets.Expire(loop.Now());
    }
  }

  void OnSend(stream_node& aNode,
              const std::shared_ptr<scripted_client::sent>& aSent)
  {
    loop.Post(milliseconds(1), [this, &aNode, aSent] {
      if (aSent->peer.ip != kNodeIp) {
        sentTo.push_back(software[aSent->peer.ip]);
        aSent->sink->OnHead(200, { { "Arbutusferry-Server-Stamp", "s" } });
        aSent->sink->OnBody("id: 1\ndata: x\n\n");
        return;
      }
      stream_node& peer = *nodes[aSent->peer.port - 1U];
      if (aNode.reachable && peer.reachable) {
        peer.peers.Handle(aSent->request,
                          std::make_shared<sink_responder>(aSent));
      } else {
        aSent->Fail(exchange_failure::Timeout);
      }
    });
  }

  /// Sends a call to a node, and its caller's later request to another.
  std::shared_ptr<recording_responder> Call(std::size_t aNode,
                                            const std::string& aId,
                                            const std::string& aOrigin = {},
                                            bool aResumes = false)
  {
    admitted_call call;
    call.id = aId;
    call.service = "models";
    call.route.kind = route_kind::Stream;
    call.route.resumable = true;
    call.route.maxAttempts = 2;
    call.request.method = "POST";
    call.request.target = "/x";
    call.deadline = loop.Now() + milliseconds(12'000);
    call.timeout = loop.Now() + milliseconds(10'000);
    call.streamOrigin = aOrigin;
    call.resumesStream = aResumes || !aOrigin.empty();
    auto response = std::make_shared<recording_responder>();
    nodes[aNode]->forwarder.Forward(std::move(call), response);
    loop.Advance(milliseconds(50));
    return response;
  }

  manual_loop loop;
  memory_store store;
  memory_log log{ loop, store }; ///< Outlives nodes that end with reads open.
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_runs runs;
  ignored_crashes crashes;
  metrics_registry metrics;
  std::map<std::string, target_entry> registry;
  std::vector<std::unique_ptr<stream_node>> nodes;
  std::map<std::string, std::string> software; ///< By IP of the target.
  std::vector<std::string> sentTo;             ///< Software by request.
};

} // namespace

// Guards against texts joined of two software versions when a sampler is lost
// or drained in the middle of its streams.
TEST_CASE("an item goes on only at the software version that began it")
{
  two_versions test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(300));
  SECTION("its sampler stops responding")
  {
    test.samplers.samplers["10.0.0.1"].unresponsive = true;
  }
  SECTION("its sampler drains and goes on")
  {
    test.Drain("s1");
  }
  SECTION("its sampler drains and ends")
  {
    test.Drain("s1");
    test.loop.Advance(milliseconds(20));
    test.samplers.samplers["10.0.0.1"].unresponsive = true;
  }
  test.loop.Advance(milliseconds(4'000));
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 20);
}

// Guards against a new leader that continues saved progress at any sampler.
TEST_CASE("saved progress goes on only at the software that wrote it")
{
  two_versions test;
  auto first = test.StartLeader(1);
  first->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(700));
  first->HandOver([] {});
  test.loop.Advance(milliseconds(50));
  first.reset();
  test.Drain("s1");
  const auto second = test.StartLeader(2);
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*second, 20);
}

// Guards against items of an ended batch that come again and go on at any
// sampler.
TEST_CASE("a carried item goes on only at the software that began it")
{
  two_versions test;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("a", 4), [] {});
  test.loop.Advance(milliseconds(500));
  leader->End(*leader->Find("a", "acme"), [] {});
  test.Drain("s1");
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(3'000));
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 20);
}

// Guards against work done again though a sampler of the same software serves.
TEST_CASE("an item continues while a sampler of its software serves")
{
  two_versions test;
  test.SetSoftware("s2", "v1");
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(300));
  test.samplers.samplers["10.0.0.1"].unresponsive = true;
  test.loop.Advance(milliseconds(4'000));
  CHECK_FALSE(test.samplers.resumedAfter.empty());
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 20);
}

// Guards against a stream that its caller takes up at another node and that
// goes on at the other software version, also when the first node is lost.
TEST_CASE("a resumed stream goes on at the software that began it")
{
  stream_service test(6);
  for (int stream = 0; stream < 20; ++stream) {
    const std::string id = "a" + std::to_string(stream);
    const auto first = static_cast<std::size_t>(stream) % 6;
    const auto second = (first + 1) % 6;
    (void)test.Call(first, id);
    REQUIRE(test.sentTo.size() == 1);
    const std::string began = test.sentTo.back();
    test.nodes[first]->reachable = stream % 2 == 0;
    const auto response = test.Call(second, id + "-2", id);
    CHECK(response->response.status == 200);
    REQUIRE(test.sentTo.size() == 2);
    CHECK(test.sentTo.back() == began);
    // A third attempt still names the first.
    (void)test.Call((first + 2) % 6, id + "-3", id);
    REQUIRE(test.sentTo.size() == 3);
    CHECK(test.sentTo.back() == began);
    test.nodes[first]->reachable = true;
    test.sentTo.clear();
  }
}

// Guards against a node that guesses when it is cut off from all that know.
TEST_CASE("a stream of unknown origin is refused and not sent")
{
  stream_service test(6);
  (void)test.Call(0, "a");
  test.sentTo.clear();
  for (const auto& node : test.nodes) {
    node->reachable = false;
  }
  std::size_t refused = 0;
  for (std::size_t node = 1; node < 6; ++node) {
    const auto response = test.Call(node, "b" + std::to_string(node), "a");
    refused += response->response.status == 503 ? 1 : 0;
  }
  // The nodes that keep the stream's origin can still continue it.
  CHECK(refused + test.sentTo.size() == 5);
  CHECK(refused >= 2);
  CHECK(test.Call(1, "c", "unheard-of")->response.status == 503);
}

// Guards against a caller that waits for a software version that is gone.
TEST_CASE("a stream is refused at once if no target has its software")
{
  stream_service test(3);
  (void)test.Call(0, "a");
  const std::string began = test.sentTo.back();
  test.SetTarget(began == "v1" ? "t0" : "t1", began, true);
  test.sentTo.clear();
  const auto response = test.Call(1, "b", "a");
  CHECK(response->response.status == 503);
  CHECK(response->response.headers.Find("Retry-After"));
  CHECK(test.sentTo.empty());
}

// Guards against a guess for callers that don't name the stream's origin: also
// when the other version has left, its streams are still taken up.
TEST_CASE("a stream without an origin goes on only if there was one software")
{
  stream_service test(2);
  CHECK(test.Call(0, "a", {}, true)->response.status == 503);
  test.SetTarget("t1", "v1");
  test.Run(milliseconds(1'000));
  CHECK(test.Call(0, "b", {}, true)->response.status == 503);
  CHECK(test.sentTo.empty());
  test.Run(std::chrono::minutes(3));
  CHECK(test.Call(0, "c", {}, true)->response.status == 200);
}

// Guards against texts joined of two versions after all nodes have ended at
// once, while or shortly after the targets of an older version served.
TEST_CASE("nodes that start again know the versions that served before")
{
  stream_service test(3);
  const bool namesOrigin = GENERATE(false, true);
  const std::string origin = namesOrigin ? "a" : "";
  SECTION("both versions serve")
  {
    test.RestartNodes();
    CHECK(test.Call(0, "b", origin, true)->response.status == 503);
  }
  SECTION("the old version left before")
  {
    test.RemoveTarget("t0");
    test.Run(milliseconds(1'000));
    test.RestartNodes();
    CHECK(test.Call(1, "b", origin, true)->response.status == 503);
  }
  SECTION("the old version leaves while no node runs")
  {
    test.registry.erase("t0");
    test.RestartNodes();
    CHECK(test.Call(2, "b", origin, true)->response.status == 503);
    test.RestartNodes();
    CHECK(test.Call(2, "c", origin, true)->response.status == 503);
  }
  CHECK(test.sentTo.empty());
}

// Guards against refused callers where no other version can have begun their
// stream.
TEST_CASE("streams go on after a restart of all nodes if there was one version")
{
  stream_service test(3);
  test.SetTarget("t1", "v1");
  test.Run(std::chrono::minutes(3));
  test.RestartNodes();
  CHECK(test.Call(0, "b", {}, true)->response.status == 200);
  CHECK(test.Call(1, "c", "a", true)->response.status == 200);
}

// Guards against a node that takes its old view of targets for the present one.
TEST_CASE("a node cut off from the registry guesses no version")
{
  stream_service test(3);
  test.SetTarget("t1", "v1");
  test.Run(std::chrono::minutes(3));
  test.nodes[1]->reachesStore = false;
  test.Run(milliseconds(3'000));
  CHECK(test.Call(1, "b", {}, true)->response.status == 503);
  CHECK(test.Call(0, "c", {}, true)->response.status == 200);
  // A version came and went meanwhile; the leader has stored it.
  test.nodes[0]->targets.Update(
    [&] {
      target_entry entry = test.registry["t1"];
      entry.software = "v2";
      return entry;
    }(),
    test.loop.Now());
  test.Run(milliseconds(1'000));
  test.nodes[0]->targets.Update(test.registry["t1"], test.loop.Now());
  test.Run(milliseconds(1'000));
  test.nodes[1]->reachesStore = true;
  test.Run(milliseconds(1'000));
  CHECK(test.Call(1, "d", {}, true)->response.status == 503);
}

// Guards against a history that starts at an arbitrary time and is taken for
// complete: nodes of an earlier version of this program store none.
TEST_CASE("without a stored history no version is guessed at first")
{
  stream_service test(2);
  test.SetTarget("t1", "v1");
  test.store.At({ "af.software", 0, true }) = {};
  test.RestartNodes();
  CHECK(test.Call(0, "b", {}, true)->response.status == 503);
  test.Run(std::chrono::minutes(3));
  CHECK(test.Call(0, "c", {}, true)->response.status == 200);
}

TEST_CASE("a stored record of software versions is read back")
{
  const software_record record{ 5, { { "v1", 0 }, { "v2", 7 } } };
  const auto read = DecodeSoftware(EncodeSoftware(record));
  REQUIRE(read);
  CHECK(read->completeSince == 5);
  CHECK(read->left == record.left);
  CHECK_FALSE(DecodeSoftware("{}"));
  CHECK_FALSE(DecodeSoftware(R"({"complete_since":1,"left":{"v1":"x"}})"));
  CHECK_FALSE(DecodeSoftware("no JSON"));
}

// Guards against events of a sampler that has started again with other software
// under its id, which the registry tells only later.
TEST_CASE("events of a sampler whose software has changed are dropped")
{
  two_versions test;
  test.samplers.events = 40;
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(300));
  // s2 starts again as v1; items of s1 go on there while it counts as v1.
  test.SetSoftware("s2", "v1");
  test.samplers.samplers["10.0.0.2"].software = "v3";
  test.samplers.samplers["10.0.0.1"].unresponsive = true;
  test.loop.Advance(milliseconds(600));
  REQUIRE_FALSE(test.samplers.mixedItems.empty());
  test.samplers.mixedItems.clear();
  test.SetSoftware("s2", "v3");
  leader->OnSoftwareChanged("s2");
  test.samplers.starts.clear();
  test.samplers.resumedAfter.clear();
  test.loop.Advance(milliseconds(4'000));
  CHECK(test.samplers.starts.size() == 4);
  CHECK(test.samplers.resumedAfter.empty());
  CHECK(test.samplers.mixedItems.empty());
  CheckComplete(*leader, 40);
}

// Load pattern: a thousand targets are added in a few seconds. Guards against
// versions that are collected from all targets again for each of them, which
// grows with the square of the fleet, and against a version that this misses.
TEST_CASE("a version that other targets have needs no new look at all targets")
{
  software_history history;
  history.Begin(1'000);
  CHECK_FALSE(history.Serves("s", "v1"));
  history.Note({ { "s", { "v1" } } }, 1'000);
  CHECK(history.Serves("s", "v1"));
  CHECK_FALSE(history.Serves("s", "v2"));
  CHECK_FALSE(history.Serves("other", "v1"));
  // Its last target has left, and then another one comes with it.
  history.Note({ { "s", { "v2" } } }, 2'000);
  CHECK_FALSE(history.Serves("s", "v1"));
  CHECK(history.Serves("s", "v2"));
}
