#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace arbutusferry;
using harness::cluster;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;

namespace {

const std::string kRole = "orders/z1";

Json::Value
Document(int aSamplers)
{
  Json::Value document = harness::ExampleDocument("shop", 1);
  for (Json::Value& entry : document["targets"]) {
    if (entry["class"] == "sampler") {
      entry["zones"][0]["min_protected"] = aSamplers;
      entry["zones"][0]["max"] = 8;
    }
  }
  return document;
}

/// @return Newest valid claim of the role, null if none.
Json::Value
NewestClaim(cluster& aCluster)
{
  Json::Value newest;
  for (const Json::Value& event : aCluster.History("append")) {
    const Json::Value& record = event["content"]["record"];
    if (record["type"] == "lease_claimed" && record["role"] == kRole) {
      newest = event["content"];
    }
  }
  return newest;
}

/// @return Number of samplers that the platform lists.
int
Samplers(cluster& aCluster)
{
  const Json::Value list = SendJson(aCluster.Platform(), "GET", "/targets");
  int count = 0;
  for (const Json::Value& target : list["targets"]) {
    count += target["class"] == "sampler" ? 1 : 0;
  }
  return count;
}

} // namespace

// A holder that slept past its lease believes it still has the role: an order
// of it after the next holder's would undo newer decisions.
TEST_CASE("a holder that was stopped past its lease sends no order")
{
  harness::cluster_options options;
  options.vmsPerZone = 2;
  cluster cluster(options);
  // The platform does not check: the senders must.
  SendJson(cluster.Platform(),
           "PUT",
           "/admin/faults",
           Parse(R"({"check_fencing":false})"));
  cluster.Apply(Document(1));
  WaitUntil("a target was ordered", [&] { return Samplers(cluster) == 1; });
  const Json::Value first = NewestClaim(cluster);
  const std::string holder = first["record"]["holder"].asString();
  std::size_t stopped = 0;
  while (stopped < 2 &&
         cluster.Vms()[stopped].control->Ready()["instance"] != holder) {
    ++stopped;
  }
  REQUIRE(stopped < 2);
  cluster.Vms()[stopped].control->Signal(SIGSTOP);
  const auto apply = [&](int aSamplers) {
    const auto result =
      cluster.Client({ "apply",
                       cluster.WriteDocument(Document(aSamplers)),
                       "--stage=production",
                       "--base=current" },
                     1 - stopped);
    INFO(result.output << result.errors);
    CHECK(result.exitCode == 0);
  };
  apply(2);
  WaitUntil("the other process claimed the role",
            [&] { return NewestClaim(cluster)["record"]["holder"] != holder; });
  WaitUntil("the new holder ordered", [&] { return Samplers(cluster) == 2; });
  const std::int64_t newest = NewestClaim(cluster)["offset"].asInt64();
  cluster.Vms()[stopped].control->Signal(SIGCONT);
  apply(3);
  WaitUntil("the next order was carried out",
            [&] { return Samplers(cluster) == 3; });
  WaitUntil("the process that was stopped follows the log again", [&] {
    return cluster.Client({ "status" }, stopped).exitCode == 0;
  });
  bool sawNew = false;
  for (const Json::Value& event : cluster.History("order")) {
    const std::int64_t fencing = event["content"]["fencing"].asInt64();
    INFO(WriteJson(event));
    sawNew = sawNew || fencing >= newest;
    if (sawNew) {
      CHECK(fencing >= newest);
    }
  }
  CHECK(sawNew);
}
