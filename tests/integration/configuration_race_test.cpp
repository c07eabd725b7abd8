#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <catch2/catch.hpp>
#include <memory>

using namespace arbutusferry;
using harness::cluster;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;

namespace {

constexpr std::size_t kZones = 3;

harness::cluster_options
MakeOptions()
{
  harness::cluster_options options;
  options.zones = kZones;
  return options;
}

/// @return Example document, identified by the share of its first team.
Json::Value
DocumentWithShare(double aShare)
{
  Json::Value document = harness::ExampleDocument("shop", kZones);
  document["tenants"][0]["share"] = aShare;
  return document;
}

Json::Value
DocumentInForce(cluster& aCluster, std::size_t aVm)
{
  Json::Value request(Json::objectValue);
  request["jsonrpc"] = "2.0";
  request["id"] = 1;
  request["method"] = "operator.document";
  request["params"]["environment"] = "shop";
  request["params"]["stage"] = "production";
  return SendJson(
    aCluster.Vms()[aVm].control->Address(), "POST", "/rpc", request)["result"];
}

} // namespace

// Concurrent changes based on one revision: only one operator may be told that
// the document is in force.
TEST_CASE(
  "exactly one of two changes with the same base is in force in all zones")
{
  cluster cluster(MakeOptions());
  cluster.Apply(DocumentWithShare(1));
  for (int round = 0; round < 5; ++round) {
    const std::string base = DocumentInForce(cluster, 0)["revision"].asString();
    for (std::size_t vm = 0; vm < kZones; ++vm) {
      WaitUntil("all control processes know the revision", [&] {
        return DocumentInForce(cluster, vm)["revision"].asString() == base;
      });
    }
    std::vector<std::unique_ptr<harness::child_process>> clients;
    for (const int which : { 0, 1 }) {
      const std::string file =
        cluster.WriteDocument(DocumentWithShare(10 * (round + 1) + which));
      clients.push_back(std::make_unique<harness::child_process>(
        "client",
        "arbutusferry",
        std::vector<std::string>{
          "apply",
          file,
          "--stage=production",
          "--base=" + base,
          "--control=" + cluster.Vms()[std::size_t(which)].control->Address(),
          "--json" }));
    }
    const int first = clients[0]->WaitForExit();
    const int second = clients[1]->WaitForExit();
    INFO("round " << round << " exit codes " << first << " " << second);
    CHECK((first == 0) != (second == 0));
    const double winner = 10 * (round + 1) + (first == 0 ? 0 : 1);
    for (std::size_t vm = 0; vm < kZones; ++vm) {
      WaitUntil("the winner is in force at control " + std::to_string(vm), [&] {
        return DocumentInForce(cluster, vm)["document"]["tenants"][0]["share"]
                 .asDouble() == winner;
      });
    }
  }
}

// A lost response must neither append the change twice nor report it as not
// applied.
TEST_CASE("an append whose answer was lost is found again and appended once")
{
  cluster cluster(MakeOptions());
  cluster.Apply(DocumentWithShare(1));
  const std::string file = cluster.WriteDocument(DocumentWithShare(7));
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"append_answers_lost":1000000})"));
  const auto applied = cluster.RunClient({ "apply",
                                           file,
                                           "--stage=production",
                                           "--base=current",
                                           "--record_id=lost-answer" });
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"append_answers_lost":0})"));
  INFO(applied.output << applied.errors);
  CHECK(applied.exitCode == 0);
  CHECK(Parse(applied.output)["outcome"].asString() == "in_force");
  int appends = 0;
  for (const Json::Value& event : cluster.History("append")) {
    appends += event["content"]["id"].asString() == "lost-answer" ? 1 : 0;
  }
  CHECK(appends == 1);
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("the document is in force at control " + std::to_string(vm), [&] {
      return DocumentInForce(cluster, vm)["document"]["tenants"][0]["share"]
               .asDouble() == 7;
    });
  }
}

// A change during a log outage must not be reported as in force, and the
// processes must resume following the log afterwards without a restart.
TEST_CASE("a log outage rejects changes and does not interrupt serving")
{
  cluster cluster(MakeOptions());
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    cluster.AddTarget(cluster.ZoneName(zone), "desk", target_kind::Service, 8);
  }
  cluster.PublishLists();
  cluster.Apply(DocumentWithShare(1));
  const std::string key = cluster.Grant("acme");
  cluster.WaitUntilReady();
  const auto serves = [&](std::size_t aVm) {
    return harness::Call(cluster.EntryAddress(aVm), "/quotes", "x", key)
             .status == 200;
  };
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("entry " + std::to_string(vm) + " serves",
              [&] { return serves(vm); });
  }
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"log":"down"})"));
  const auto applied =
    cluster.RunClient({ "apply",
                        cluster.WriteDocument(DocumentWithShare(5)),
                        "--stage=production",
                        "--base=current" });
  INFO(applied.output << applied.errors);
  CHECK(applied.exitCode != 0);
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    // The zone's members still reach each other, so keys stay valid during the
    // outage.
    CHECK(serves(vm));
    CHECK(harness::Call(cluster.EntryAddress(vm), "/hours", "x", "").status ==
          200);
  }
  const auto withdrawn = cluster.Withdraw(key);
  CHECK(withdrawn.exitCode != 0);
  CHECK(serves(0));
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"log":"up"})"));
  cluster.Apply(DocumentWithShare(6));
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("the document is in force at control " + std::to_string(vm), [&] {
      return DocumentInForce(cluster, vm)["document"]["tenants"][0]["share"]
               .asDouble() == 6;
    });
  }
}
