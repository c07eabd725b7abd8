#include "support/harness.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/lease.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <map>

using namespace arbutusferry;
using harness::cluster;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;

namespace {

const std::string kOrderRole = "orders/z1";
const std::string kUsageRole = "usage";

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

/// @return Newest valid claim of the role, null if there is none. If two
/// processes claim at once, the later record is void.
Json::Value
NewestClaim(cluster& aCluster, const std::string& aRole)
{
  role_table roles;
  Json::Value newest;
  for (const Json::Value& event : aCluster.History("append")) {
    const Json::Value& content = event["content"];
    const auto record =
      Capture([&] { return ReadLogRecord(content["record"]); });
    const auto* read = std::get_if<std::optional<log_record>>(&record);
    if (read == nullptr || !*read) {
      continue;
    }
    const log_offset offset = content["offset"].asInt64();
    roles.Apply(offset, content["id"].asString(), **read, time_point{});
    if (roles.Find(aRole).claim == offset) {
      newest = content;
    }
  }
  return newest;
}

/// @return Index of the VM whose control process has this instance id, or the
/// number of VMs if there is none.
std::size_t
FindVmIndex(cluster& aCluster, const std::string& aInstance)
{
  std::size_t index = 0;
  while (index < aCluster.Vms().size() &&
         aCluster.Vms()[index].control->Ready()["instance"] != aInstance) {
    ++index;
  }
  return index;
}

/// @return Number of usage reports with at least this fencing token.
int
CountUsageReports(cluster& aCluster, std::int64_t aFencing)
{
  int count = 0;
  for (const Json::Value& event : aCluster.History("usage")) {
    count += event["content"]["fencing"].asInt64() >= aFencing ? 1 : 0;
  }
  return count;
}

/// @return Number of samplers that the platform lists.
int
CountSamplers(cluster& aCluster)
{
  const Json::Value list =
    SendJson(aCluster.PlatformAddress(), "GET", "/targets");
  int count = 0;
  for (const Json::Value& target : list["targets"]) {
    count += target["class"] == "sampler" ? 1 : 0;
  }
  return count;
}

} // namespace

// A process paused past the end of its lease still believes that it holds the
// role. An order that it sends after those of the next holder would undo newer
// decisions.
TEST_CASE("a role holder paused past its lease sends no order")
{
  harness::cluster_options options;
  options.vmsPerZone = 2;
  cluster cluster(options);
  // The platform does not check fencing tokens, so the senders must.
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"check_fencing":false})"));
  cluster.Apply(Document(1));
  WaitUntil("a target was ordered",
            [&] { return CountSamplers(cluster) == 1; });
  const Json::Value first = NewestClaim(cluster, kOrderRole);
  const std::string holder = first["record"]["holder"].asString();
  const std::size_t stopped = FindVmIndex(cluster, holder);
  REQUIRE(stopped < 2);
  cluster.Vms()[stopped].control->Signal(SIGSTOP);
  const auto apply = [&](int aSamplers) {
    const auto result =
      cluster.RunClient({ "apply",
                          cluster.WriteDocument(Document(aSamplers)),
                          "--stage=production",
                          "--base=current" },
                        1 - stopped);
    INFO(result.output << result.errors);
    CHECK(result.exitCode == 0);
  };
  apply(2);
  WaitUntil("the other process claimed the role", [&] {
    return NewestClaim(cluster, kOrderRole)["record"]["holder"] != holder;
  });
  WaitUntil("the new holder ordered",
            [&] { return CountSamplers(cluster) == 2; });
  const std::int64_t newest =
    NewestClaim(cluster, kOrderRole)["offset"].asInt64();
  cluster.Vms()[stopped].control->Signal(SIGCONT);
  apply(3);
  WaitUntil("the next order was carried out",
            [&] { return CountSamplers(cluster) == 3; });
  WaitUntil("the process that was stopped follows the log again", [&] {
    return cluster.RunClient({ "status" }, stopped).exitCode == 0;
  });
  bool sawNewHolder = false;
  for (const Json::Value& event : cluster.History("order")) {
    const std::int64_t fencing = event["content"]["fencing"].asInt64();
    INFO(WriteJson(event));
    sawNewHolder = sawNewHolder || fencing >= newest;
    if (sawNewHolder) {
      CHECK(fencing >= newest);
    }
  }
  CHECK(sawNewHolder);
}

// A usage report of a process paused past the end of its lease could bill a
// window a second time with different figures.
TEST_CASE("a role holder paused past its lease sends no usage report")
{
  harness::cluster_options options;
  options.vmsPerZone = 2;
  options.timing["usage_batch_ms"] = 500;
  cluster cluster(options);
  cluster.AddTarget("z1", "desk", target_kind::Service, 8);
  cluster.PublishLists();
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"check_fencing":false})"));
  Json::Value document = Document(1);
  document["usage"]["window_s"] = 2;
  document["usage"]["grace_s"] = 1;
  cluster.Apply(document);
  const std::string key = cluster.Grant("acme");
  cluster.WaitUntilReady();
  const auto call = [&](std::size_t aVm) {
    return harness::Call(cluster.EntryAddress(aVm), "/quotes", "x", key)
             .status == 200;
  };
  WaitUntil("a window was reported", [&] {
    call(0);
    return CountUsageReports(cluster, 0) > 0;
  });
  const Json::Value first = NewestClaim(cluster, kUsageRole);
  const std::string holder = first["record"]["holder"].asString();
  const std::size_t stopped = FindVmIndex(cluster, holder);
  REQUIRE(stopped < 2);
  cluster.Vms()[stopped].control->Signal(SIGSTOP);
  Json::Value second;
  WaitUntil("the other process claimed the role and reported", [&] {
    call(1 - stopped);
    second = NewestClaim(cluster, kUsageRole);
    return second["record"]["holder"] != holder &&
           CountUsageReports(cluster, second["offset"].asInt64()) > 0;
  });
  cluster.Vms()[stopped].control->Signal(SIGCONT);
  const std::int64_t fencing = second["offset"].asInt64();
  const int before = CountUsageReports(cluster, fencing);
  WaitUntil("more windows were reported", [&] {
    call(1 - stopped);
    return CountUsageReports(cluster, fencing) >= before + 2;
  });
  bool sawNewHolder = false;
  std::map<std::string, Json::Value> figures; // By window.
  for (const Json::Value& event : cluster.History("usage")) {
    const Json::Value& report = event["content"];
    INFO(WriteJson(event));
    sawNewHolder = sawNewHolder || report["fencing"].asInt64() >= fencing;
    if (sawNewHolder) {
      CHECK(report["fencing"].asInt64() >= fencing);
    }
    const auto [known, isNew] =
      figures.try_emplace(report["window"].asString(), report["lines"]);
    CHECK((isNew || known->second == report["lines"]));
  }
  CHECK(sawNewHolder);
}
