#include "support/harness.hpp"

#include "arbutusferry/json.hpp"
#include "common/token_sequence.hpp"
#include "common/trainer.hpp"

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
Zones(std::size_t aZones, std::size_t aVms = 1)
{
  cluster_options options;
  options.zones = aZones;
  options.vmsPerZone = aVms;
  return options;
}

/// One engine and one service in each zone, the example document and a key.
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
  aCluster.WaitReady();
  return key;
}

/// Waits until an entry serves a call: keys and targets reach it in turn.
void
WaitServes(cluster& aCluster, const std::string& aKey)
{
  for (std::size_t vm = 0; vm < aCluster.Vms().size(); ++vm) {
    harness::http_reply last;
    WaitUntil(aCluster.Vms()[vm].id + " serves a call with the key", [&] {
      last = Call(aCluster.Entry(vm), "/quotes", "probe", aKey);
      return last.status == 200;
    });
  }
}

} // namespace

// A document that is in force in one zone only would split the policy.
TEST_CASE("a document applied with the client is in force in three zones")
{
  cluster cluster(Zones(3));
  const std::string key = Prepare(cluster, 3);
  WaitServes(cluster, key);
  Json::Value document = ExampleDocument("shop", 3);
  for (Json::Value& route : document["routes"]) {
    if (route["name"] == "hours") {
      route["path"] = "/opening";
    }
  }
  CHECK(Call(cluster.Entry(0), "/opening", "x", "").status == 404);
  cluster.Apply(document);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    WaitUntil("the new route is open at " + cluster.Vms()[vm].id, [&] {
      return Call(cluster.Entry(vm), "/opening", "x", "").status == 200;
    });
    CHECK(Call(cluster.Entry(vm), "/hours", "x", "").status == 404);
  }
}

// A target that sees a caller's key could act as that caller.
TEST_CASE("keyed calls reach service and engine without the key, answers whole")
{
  cluster cluster(Zones(1));
  const std::string key = Prepare(cluster, 1);
  WaitServes(cluster, key);
  const std::string entry = cluster.Entry(0);
  const auto permits = harness::TakePermits(entry, "bookings", key, 1);
  const auto booked =
    harness::CallOnce(entry, "/bookings", "slot-1", key, permits[0]);
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
      harness::Send(target.Direct(), "GET", "/admin/seen").body;
    CHECK(seen.find(secret) == std::string::npos);
    CHECK(SendJson(target.Direct(), "GET", "/admin/seen")["total"].asInt() > 0);
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

// A sample that is lost, repeated, unlabelled or too old spoils a step.
TEST_CASE("a step delivers each sample once with the engine's versions")
{
  cluster cluster(Zones(3));
  const std::string key = Prepare(cluster, 3);
  WaitServes(cluster, key);
  standin::step_plan plan =
    standin::MakeStep("step-1", "slip-reader", 12, 4, 64, 7);
  plan.stalenessBound = 1;
  std::atomic<std::int64_t> version{ 2 };
  standin::trainer_options options;
  for (std::size_t vm = 0; vm < 3; ++vm) {
    options.entries.push_back(cluster.Entry(vm));
  }
  options.key = key;
  options.version = &version;
  // The engines start with version 1; they move on during the step.
  options.onSample = [&](std::size_t aCount) {
    if (aCount == 16) {
      for (const auto& target : cluster.Targets()) {
        if (target.info.kind == target_kind::Engine) {
          SendJson(target.Direct(),
                   "PUT",
                   "/admin/behavior",
                   Parse(R"({"version":2})"));
        }
      }
    }
  };
  const standin::step_report report = standin::RunStep(plan, options);
  for (const std::string& failure : report.failures) {
    UNSCOPED_INFO(failure);
  }
  CHECK(report.Correct(plan));
  CHECK(report.posts == 1);
  CHECK(report.tokensByVersion.count(1) == 1);
  CHECK(report.tokensByVersion.count(2) == 1);
}
