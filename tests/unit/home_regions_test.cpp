#include "arbutusferry/node/forwarded_rewards.hpp"
#include "zones/home_regions.hpp"

#include "batch_handler.hpp"
#include "platform_settings.hpp"
#include "support/call_fleet.hpp"
#include "support/ignored_duties.hpp"
#include "wire_format.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

const region_map&
Regions()
{
  static const region_map kRegions(
    { { "z", "north" }, { "z2", "north" }, { "y", "south" }, { "x", "west" } });
  return kRegions;
}

/// A fleet with a target in each of the zones z, y and x.
struct regional_fleet : call_fleet
{
  explicit regional_fleet(int aNodes)
    : call_fleet(aNodes, 3)
  {
    targets[1].entry.zone = "y";
    targets[2].entry.zone = "x";
    for (const auto& node : nodes) {
      node->targets.SetRegions(Regions());
    }
    loop.Advance(kHeartbeat);
  }
};

/// A node whose leader is a process in another zone.
struct following_node
{
  explicit following_node(const char* aLeaderZone)
  {
    append_request record;
    record.where = { "af.leader", 0, true };
    record.records.push_back(
      { "leader",
        EncodeLeader({ "vm9/1", "vm9", leader, aLeaderZone, 1, false, {} }) });
    (void)store.Append(record);
    node.Start();
    loop.Advance(milliseconds(50));
    client.requests.clear();
    route_entry route;
    route.name = "r";
    route.kind = route_kind::Batch;
    route.homes = home_regions({ "south" });
    team_entry team;
    team.name = "acme";
    team.homes = home_regions({ "south", "west" });
    node.SetEnvironment(environment_view(1, { route }, {}, { team }, {}, true));
  }
  static node_settings Settings()
  {
    node_settings settings;
    settings.vm = "vm1";
    settings.zone = "z";
    settings.regions = {
      { "z", "north" }, { "z2", "north" }, { "y", "south" }, { "x", "west" }
    };
    return settings;
  }
  std::shared_ptr<recording_responder> Submit()
  {
    platform::batch_call call;
    call.request.method = "POST";
    call.request.target = "/b/x";
    call.request.headers = { { "Arbutusferry-Request-Id", "b" } };
    call.team = "acme";
    call.route = "r";
    call.deadline = loop.Now() + milliseconds(12'000);
    auto answer = std::make_shared<recording_responder>();
    batches.Serve(std::move(call), answer);
    return answer;
  }

  socket_address leader{ "10.0.1.9", 9'000 };
  manual_loop loop;
  scripted_client client;
  memory_store store;
  memory_log log{ loop, store };
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_duties duties;
  ferry_node node{ { loop, client, log, protocol, callers, duties },
                   Settings() };
  platform::batch_handler batches{ node, client };
};

} // namespace

// Guards against a list that widens another, and against a zone without a known
// region that counts as home.
TEST_CASE("the home regions of route and team both bind")
{
  home_regions homes;
  CHECK(homes.Allows("west"));
  CHECK(homes.Allows({}));
  homes.Restrict(home_regions(std::set<std::string>{}));
  CHECK_FALSE(homes.Restricted());
  homes.Restrict(home_regions({ "north", "south" }));
  CHECK(homes.Allows("south"));
  CHECK_FALSE(homes.Allows("west"));
  CHECK_FALSE(homes.Allows({}));
  CHECK(home_regions::FromText(homes.Text()).Allows("north"));
  CHECK_FALSE(home_regions::FromText(homes.Text()).Allows("west"));
  CHECK_FALSE(home_regions::FromText(std::nullopt).Restricted());
  homes.Restrict(home_regions({ "south", "west" }));
  CHECK(homes.Allows("south"));
  CHECK_FALSE(homes.Allows("north"));
  homes.Restrict(home_regions({ "north" }));
  CHECK_FALSE(homes.Allows("south"));
  CHECK_FALSE(home_regions::FromText(homes.Text()).Allows("south"));
}

// Guards against names on the wire that are not read.
TEST_CASE("home regions are read from the environment document")
{
  const auto manifest = Capture([] {
    return platform::DecodeManifest(
      R"({"version":1,"routes":[{"name":"a","allowed-regions":["north"]},)"
      R"({"name":"b"}],"services":[],"tenants":[{"name":"t","api-keys":[],)"
      R"("allowed-regions":["north","west"]}]})");
  });
  const auto& view = std::get<environment_view>(manifest);
  const auto homes = view.HomesOf(*view.RouteByName("a"), "t");
  CHECK(homes.Allows("north"));
  CHECK_FALSE(homes.Allows("west"));
  CHECK(view.HomesOf(*view.RouteByName("b"), "t").Allows("west"));
  CHECK_FALSE(view.HomesOf(*view.RouteByName("b"), {}).Restricted());
}

// Guards against settings files of earlier builds that are refused, and against
// regions that are not read.
TEST_CASE("the settings may name the region of each zone")
{
  const std::string text =
    R"({"vm":"v","zone":"z","zones":["z"],"listen_callers":"10.0.0.1:1",)"
    R"("listen_ready":"10.0.0.1:2","listen_peers":"10.0.0.1:3",)"
    R"("listen_metrics":"10.0.0.1:4","store":"10.0.0.1:5",)"
    R"("duties":"10.0.0.1:6","max_record_bytes":2048,"max_call_bytes":4096,)"
    R"("cancel_within_ms":1,"lease_ms":1,"usage_window_s":1,"usage_due_s":1,)"
    R"("batch_readable_s":1,"stop_within_s":1)";
  const auto read = [&](const std::string& aField) {
    return Capture([&] {
      return platform::ReadPlatformSettings(text + aField + "}", "test");
    });
  };
  const auto plain = read({});
  REQUIRE(std::holds_alternative<platform::platform_settings>(plain));
  CHECK(std::get<platform::platform_settings>(plain).node.regions.empty());
  const auto named = read(R"(,"regions":{"z":"north"})");
  REQUIRE(std::holds_alternative<platform::platform_settings>(named));
  CHECK(std::get<platform::platform_settings>(named).node.regions.at("z") ==
        "north");
  CHECK(std::holds_alternative<error_info>(read(R"(,"regions":{"z":1})")));
}

// Guards against plain requests that leave their home regions, also when these
// have no target left.
TEST_CASE("plain requests reach only targets in their home regions")
{
  regional_fleet fleet(1);
  fleet.homes = home_regions({ "south" });
  for (int call = 0; call < 20; ++call) {
    const auto answer = fleet.Call(0, "x");
    fleet.loop.Advance(milliseconds(10));
    CHECK(answer->response.status == 200);
  }
  for (const auto& sent : fleet.nodes[0]->client.requests) {
    CHECK(sent->peer == fleet.targets[1].entry.address);
  }
  fleet.homes = home_regions({ "east" });
  const auto answer = fleet.Call(0, "x");
  fleet.loop.Advance(milliseconds(10));
  CHECK(answer->response.status == 503);
}

// Guards against bodies that go through nodes of other regions, and against
// requests that fail although a node of an allowed region reaches the target.
TEST_CASE("only nodes in home regions or the caller's carry a body")
{
  regional_fleet fleet(6);
  const std::vector<std::string> zones{ "z", "z2", "y", "x", "x", "u" };
  for (const auto& node : fleet.nodes) {
    for (std::size_t other = 0; other < zones.size(); ++other) {
      node->directory.Update(
        { "vm" + std::to_string(other),
          "vm" + std::to_string(other) + "/1",
          zones[other],
          call_fleet::NodeAddress(static_cast<int>(other)) });
    }
  }
  fleet.nodes[0]->link = call_fleet::link_state::Refused;
  (void)fleet.Call(0, "first");
  fleet.loop.Advance(milliseconds(500));
  REQUIRE(fleet.nodes[0]->targetClient.CutOff());
  fleet.nodes[0]->client.requests.clear();
  fleet.homes = home_regions({ "south" });
  int served = 0;
  for (int call = 0; call < 30; ++call) {
    if (call == 15) {
      // The node that carried the first half; another one takes over.
      const std::uint16_t port =
        fleet.nodes[0]->client.requests.back()->peer.port;
      fleet.nodes[port - 1U]->gateway.Stop();
    }
    const auto answer = fleet.Call(0, "x");
    fleet.loop.Advance(milliseconds(100));
    served += answer->response.status == 200 ? 1 : 0;
  }
  CHECK(served >= 28);
  std::set<std::uint16_t> carriers;
  for (const auto& sent : fleet.nodes[0]->client.requests) {
    if (sent->request.target == "/gateway/send") {
      carriers.insert(sent->peer.port);
    }
  }
  CHECK(carriers == std::set<std::uint16_t>{ 2, 3 });
}

// Guards against items that run outside of the home regions of their batch's
// route or team, and against a relaying node that doesn't know these.
TEST_CASE("items reach only samplers in their home regions")
{
  leader_test test;
  test.targets.SetRegions(Regions());
  target_entry home = test.targets.Find("s2")->entry;
  home.zone = "y";
  test.targets.Update(home, test.loop.Now());
  test.nodes.Update({ "n2", "n2/1", "y", { "10.0.0.77", 9000 } });
  team_entry team;
  team.name = "acme";
  SECTION("of the route")
  {
    test.route.homes = home_regions({ "south" });
  }
  SECTION("of the team")
  {
    team.homes = home_regions({ "south" });
  }
  test.environment =
    environment_view(2, { test.route }, { test.service }, { team }, {}, true);
  const auto leader = test.StartLeader(1);
  leader->Submit(test.Request("b", 6), [] {});
  test.loop.Advance(milliseconds(100));
  int runs = 0;
  for (const auto& sent : test.client.requests) {
    if (sent->request.target == "/report") {
      continue;
    }
    ++runs;
    REQUIRE(sent->peer == socket_address{ "10.0.0.77", 9000 });
    CHECK(sent->request.headers.Get("Ferry-Home-Regions") == "south");
  }
  CHECK(runs == 4);
}

// Guards against texts that are sent out of the home regions of their item to
// be scored, or of the route by which they are scored.
TEST_CASE("reward calls obey the home regions of their item and route")
{
  leader_test test;
  test.targets.SetRegions(Regions());
  test.route.homes = home_regions({ "north", "south" });
  test.environment =
    environment_view(2, { test.route }, { test.service }, {}, {}, false);
  const auto leader = test.StartLeader(1);
  batch_request request = test.Request("b", 1);
  request.items[0].reward = { "w", "h.example", "/score/1", "body" };
  leader->Submit(std::move(request), [] {});
  test.loop.Advance(milliseconds(1'000));
  REQUIRE(test.scorer.calls.size() == 1);
  const reward_request& made = test.scorer.calls[0]->request;
  CHECK(made.homes.Allows("south"));
  CHECK_FALSE(made.homes.Allows("west"));

  struct scoring_environment final : environment_source
  {
    [[nodiscard]] const environment_view& Environment() const override
    {
      return view;
    }
    environment_view view;
  } environment;
  route_entry route;
  route.host = "h.example";
  route.pathPrefix = "/";
  route.kind = route_kind::Idempotent;
  route.services = { { call_fleet::kService, 1 } };
  route.homes = home_regions({ "south", "west" });
  environment.view = environment_view(1, { route }, {}, {}, {}, false);
  regional_fleet fleet(1);
  forwarded_rewards rewards{
    { fleet.loop, fleet.nodes[0]->forwarder, fleet.protocol, environment }
  };
  std::optional<reward_outcome> outcome;
  (void)rewards.Call(
    made, milliseconds(1'000), [&](const reward_result& aResult) {
      outcome = aResult.outcome;
    });
  fleet.loop.Advance(milliseconds(100));
  CHECK(outcome == reward_outcome::Scored);
  REQUIRE(fleet.nodes[0]->client.requests.size() == 1);
  CHECK(fleet.nodes[0]->client.requests[0]->peer ==
        fleet.targets[1].entry.address);
}

// Guards against batches that are sent to a leader in another region.
TEST_CASE("a batch is refused when its leader is in a forbidden region")
{
  following_node foreign("x");
  const auto refused = foreign.Submit();
  CHECK(refused->response.status == 503);
  CHECK(foreign.client.requests.empty());
  for (const char* zone : { "y", "z2" }) {
    following_node test(zone);
    (void)test.Submit();
    CHECK(test.client.requests.size() == 1);
  }
}
