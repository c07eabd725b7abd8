#include "support/harness.hpp"

#include "arbutusferry/json.hpp"
#include "common/token_sequence.hpp"
#include "common/trainer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace arbutusferry;
using harness::Call;
using harness::cluster;
using harness::cluster_options;
using harness::ExampleDocument;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;

namespace {

cluster_options
MakeOptions(std::size_t aZones, std::size_t aVms = 1)
{
  cluster_options options;
  options.zones = aZones;
  options.vmsPerZone = aVms;
  return options;
}

/// Adds one engine and one service per zone and applies the example document.
/// @return Key of team `acme`.
std::string
Prepare(cluster& aCluster, std::size_t aZones)
{
  for (std::size_t zone = 0; zone < aZones; ++zone) {
    const std::string name = aCluster.ZoneName(zone);
    aCluster.AddTarget(name, "sampler", target_kind::Engine, 8);
    aCluster.AddTarget(name, "desk", target_kind::Service, 8);
  }
  aCluster.PublishLists();
  aCluster.Apply(ExampleDocument("shop", aZones));
  std::string key = aCluster.Grant("acme");
  aCluster.WaitUntilReady();
  return key;
}

/// Waits until each entry serves a call with the key: keys and targets reach
/// the entries at different times.
void
WaitUntilServing(cluster& aCluster, const std::string& aKey)
{
  for (std::size_t vm = 0; vm < aCluster.Vms().size(); ++vm) {
    harness::http_reply last;
    WaitUntil(aCluster.Vms()[vm].id + " serves a call with the key", [&] {
      last = Call(aCluster.EntryAddress(vm), "/quotes", "probe", aKey);
      return last.status == 200;
    });
  }
}

} // namespace

// Zones with different documents in force would apply different policies.
TEST_CASE("a document applied with the client is in force in three zones")
{
  cluster cluster(MakeOptions(3));
  const std::string key = Prepare(cluster, 3);
  WaitUntilServing(cluster, key);
  Json::Value document = ExampleDocument("shop", 3);
  for (Json::Value& route : document["routes"]) {
    if (route["name"] == "hours") {
      route["path"] = "/opening";
    }
  }
  CHECK(Call(cluster.EntryAddress(0), "/opening", "x", "").status == 404);
  cluster.Apply(document);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    WaitUntil("the new route is open at " + cluster.Vms()[vm].id, [&] {
      return Call(cluster.EntryAddress(vm), "/opening", "x", "").status == 200;
    });
    CHECK(Call(cluster.EntryAddress(vm), "/hours", "x", "").status == 404);
  }
}

// A target that receives a caller's key could impersonate the caller.
TEST_CASE("keyed calls are answered completely, and targets never see the key")
{
  cluster cluster(MakeOptions(1));
  const std::string key = Prepare(cluster, 1);
  WaitUntilServing(cluster, key);
  const std::string entry = cluster.EntryAddress(0);
  const auto permits = harness::TakePermits(entry, "bookings", key, 1);
  const auto booked =
    harness::CallWithPermit(entry, "/bookings", "slot-1", key, permits[0]);
  CHECK(booked.status == 200);
  CHECK(booked.Outcome() == "answered");
  CHECK(booked.Parsed()["body"].asString() == "slot-1");

  const auto completed = Call(
    entry,
    "/v1/completions?api_key=" + key + "&key=" + key,
    R"({"model":"slip-reader","prompt":"p","seed":3,"max_tokens":20,"stream":true})",
    key,
    { { "Cookie", "session=" + key }, { "Proxy-Authorization", key } });
  CHECK(completed.status == 200);
  CHECK(completed.body.find(standin::TokenText(standin::TokenAt("p", 3, 19))) !=
        std::string::npos);
  CHECK(completed.body.find("[DONE]") != std::string::npos);

  const std::string secret = key.substr(key.rfind('_') + 1);
  for (const auto& target : cluster.Targets()) {
    const std::string seen =
      harness::Send(target.DirectAddress(), "GET", "/admin/seen").body;
    CHECK(seen.find(secret) == std::string::npos);
    CHECK(
      SendJson(target.DirectAddress(), "GET", "/admin/seen")["total"].asInt() >
      0);
  }
  for (auto& vm : cluster.Vms()) {
    CHECK(vm.entry->StandardError().find(secret) == std::string::npos);
    CHECK(vm.control->StandardError().find(secret) == std::string::npos);
  }

  CHECK(Call(entry, "/quotes", "x", "").status == 401);
  CHECK(Call(entry, "/quotes", "x", "af_unknown_secret").status == 401);
  CHECK(Call(entry, "/bookings", "x", key).status == 428);
  CHECK(Call(entry, "/bookings", "x", key).Outcome() == "not_run");
}

// A sample that is lost, duplicated, unlabelled or too old corrupts a training
// step.
TEST_CASE("a step delivers each sample once with the engine's versions")
{
  cluster cluster(MakeOptions(3));
  const std::string key = Prepare(cluster, 3);
  WaitUntilServing(cluster, key);
  // The engines start with version 1. Each swaps weights when the first of its
  // streams has sent 8 tokens, before any sample (16 tokens or more) ends.
  for (const auto& target : cluster.Targets()) {
    if (target.info.kind == target_kind::Engine) {
      SendJson(target.DirectAddress(),
               "PUT",
               "/admin/behavior",
               Parse(R"({"swap_after_tokens":8})"));
    }
  }
  // Targets ordered by the control processes have up to 24 slots and keep
  // version 1. They cannot hold 96 samples, so the engines above run some.
  standin::step_plan plan =
    standin::MakeStep("step-1", "slip-reader", 24, 4, 64, 7);
  plan.stalenessBound = 1;
  std::atomic<std::int64_t> version{ 2 };
  standin::trainer_options options;
  for (std::size_t vm = 0; vm < 3; ++vm) {
    options.entries.push_back(cluster.EntryAddress(vm));
  }
  options.key = key;
  options.version = &version;
  const standin::step_report report = standin::RunStep(plan, options);
  for (const std::string& failure : report.failures) {
    UNSCOPED_INFO(failure);
  }
  CHECK(report.Correct(plan));
  CHECK(report.posts == 1);
  CHECK(report.tokensByVersion.count(1) == 1);
  CHECK(report.tokensByVersion.count(2) == 1);
  // The sample during which an engine swapped weights names both versions.
  CHECK(std::any_of(
    report.samples.begin(), report.samples.end(), [](const auto& aSample) {
      const Json::Value& segments = aSample.second["segments"];
      return segments.size() == 2 && segments[0]["version"] == 1 &&
             segments[1]["version"] == 2;
    }));
}
