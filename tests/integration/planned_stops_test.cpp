#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <set>
#include <thread>

using namespace arbutusferry;
using harness::Call;
using harness::cluster;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;

namespace {

const std::string kCompletionBody =
  R"({"model":"slip-reader","prompt":"p","max_tokens":20,"stream":true})";

/// Calls the entries in turn from several threads until it is stopped or
/// destroyed.
class background_load
{
public:
  background_load(cluster& aCluster, std::string aKey, bool aService)
    : mCluster(aCluster)
    , mKey(std::move(aKey))
    , mService(aService)
  {
    UpdateEntries();
    for (std::size_t i = 0; i < 4; ++i) {
      mThreads.emplace_back([this, i] { Run(i); });
    }
  }
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;
  ~background_load() { Stop(); }

  void UpdateEntries()
  {
    const std::lock_guard lock(mMutex);
    mEntries.clear();
    for (std::size_t vm = 0; vm < mCluster.Vms().size(); ++vm) {
      mEntries.push_back(mCluster.EntryAddress(vm));
    }
  }
  void Stop()
  {
    mStop = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }
  [[nodiscard]] int Answered() const { return mAnswered; }
  /// @return Calls that were neither answered completely nor refused as not
  /// run, one per line.
  [[nodiscard]] std::string BrokenCalls() const
  {
    const std::lock_guard lock(mMutex);
    return mBrokenCalls;
  }

private:
  void Run(std::size_t aThread)
  {
    for (std::size_t number = aThread; !mStop; ++number) {
      std::string entry;
      {
        const std::lock_guard lock(mMutex);
        entry = mEntries[number % mEntries.size()];
      }
      const bool service = mService && number % 2 == 0;
      const auto reply =
        service ? Call(entry, "/quotes", "x", mKey)
                : Call(entry, "/v1/completions", kCompletionBody, mKey);
      const bool whole =
        reply.status == 200 &&
        (service || reply.body.find("[DONE]") != std::string::npos);
      if (whole) {
        ++mAnswered;
      } else if (reply.Outcome() != "not_run" &&
                 reply.failure != "Connection") {
        const std::lock_guard lock(mMutex);
        mBrokenCalls += std::to_string(reply.status) + " " + reply.failure +
                        " " + reply.body + "\n";
      }
    }
  }

  cluster& mCluster;
  std::string mKey;
  bool mService;
  mutable std::mutex mMutex;
  std::vector<std::string> mEntries;
  std::string mBrokenCalls;
  std::atomic<int> mAnswered{ 0 };
  std::atomic<bool> mStop{ false };
  std::vector<std::thread> mThreads;
};

void
WaitForMoreAnswers(const background_load& aLoad, int aCount)
{
  const int before = aLoad.Answered();
  WaitUntil("more calls were answered",
            [&] { return aLoad.Answered() >= before + aCount; });
}

} // namespace

// Restarting a daemon for an update must not break requests of callers.
TEST_CASE("SIGTERM to any daemon under load breaks no request")
{
  harness::cluster_options options;
  options.vmsPerZone = 2;
  cluster cluster(options);
  cluster.AddTarget("z1", "desk", target_kind::Service, 16);
  cluster.AddTarget("z1", "sampler", target_kind::Engine, 16);
  cluster.PublishLists();
  cluster.Apply(harness::ExampleDocument("shop", 1));
  const std::string key = cluster.Grant("acme");
  cluster.WaitUntilReady();
  for (std::size_t vm = 0; vm < 2; ++vm) {
    WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
      return Call(cluster.EntryAddress(vm),
                  "/v1/completions",
                  kCompletionBody,
                  key)
               .status == 200;
    });
  }
  background_load load(cluster, key, true);
  WaitForMoreAnswers(load, 20);
  for (auto& vm : cluster.Vms()) {
    INFO("entry of " << vm.id);
    CHECK(vm.entry->Terminate() == 0);
    cluster.StartEntry(vm);
    cluster.PublishLists();
    WaitUntil("the new entry is ready", [&] {
      return harness::Send(vm.entry->Address(), "GET", "/readyz").status == 200;
    });
    load.UpdateEntries();
    WaitForMoreAnswers(load, 20);
    CHECK_THAT(load.BrokenCalls(), Catch::Matchers::Equals(""));
  }
  // An entry whose own control process stopped uses that of the other VM.
  CHECK(cluster.Vms()[0].control->Terminate() == 0);
  WaitForMoreAnswers(load, 40);
  load.Stop();
  CHECK_THAT(load.BrokenCalls(), Catch::Matchers::Equals(""));
}

// Guards against ordering too many or too few targets, which costs money, and
// against stopping a target that still has requests in flight.
TEST_CASE(
  "targets are ordered for each zone, and a drained target stops when idle")
{
  harness::cluster_options options;
  options.zones = 2;
  cluster cluster(options);
  SendJson(
    cluster.PlatformAddress(),
    "PUT",
    "/admin/classes",
    Parse(R"({"classes":[{"class":"sampler","kind":"engine","slots":8}]})"));
  Json::Value document = harness::ExampleDocument("shop", 2);
  for (Json::Value& entry : document["targets"]) {
    if (entry["class"] == "sampler") {
      for (Json::Value& zone : entry["zones"]) {
        zone["min_protected"] = 1;
        zone["max"] = 2;
      }
    }
  }
  cluster.Apply(document);
  const std::string key = cluster.Grant("acme");
  const auto liveZones = [&] {
    std::set<std::string> zones;
    const Json::Value list =
      SendJson(cluster.PlatformAddress(), "GET", "/targets");
    for (const Json::Value& target : list["targets"]) {
      zones.insert(target["zone"].asString());
    }
    return zones;
  };
  WaitUntil("each zone has a target", [&] { return liveZones().size() == 2; });
  for (std::size_t vm = 0; vm < 2; ++vm) {
    WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
      return Call(cluster.EntryAddress(vm),
                  "/v1/completions",
                  kCompletionBody,
                  key)
               .status == 200;
    });
  }
  background_load load(cluster, key, false);
  WaitForMoreAnswers(load, 20);
  const Json::Value list =
    SendJson(cluster.PlatformAddress(), "GET", "/targets");
  const std::string id = list["targets"][0]["id"].asString();
  const auto drained = cluster.RunClient({ "drain", "target", id });
  INFO(drained.output << drained.errors);
  CHECK(drained.exitCode == 0);
  Json::Value stopped;
  WaitUntil("the drained target was stopped", [&] {
    for (const Json::Value& event : cluster.History("target_stopped")) {
      if (event["content"]["id"].asString() == id) {
        stopped = event["content"];
      }
    }
    return !stopped.isNull();
  });
  CHECK(stopped["in_flight"].asInt() == 0);
  WaitForMoreAnswers(load, 20);
  load.Stop();
  CHECK_THAT(load.BrokenCalls(), Catch::Matchers::Equals(""));
}

// Billing must count each request exactly once.
TEST_CASE(
  "usage counts each request once and reports a window with the same lines")
{
  harness::cluster_options options;
  options.zones = 2;
  options.timing["usage_batch_ms"] = 500;
  cluster cluster(options);
  for (std::size_t zone = 0; zone < 2; ++zone) {
    cluster.AddTarget(cluster.ZoneName(zone), "desk", target_kind::Service, 8);
  }
  cluster.PublishLists();
  Json::Value document = harness::ExampleDocument("shop", 2);
  document["usage"]["window_s"] = 4;
  document["usage"]["grace_s"] = 2;
  cluster.Apply(document);
  const std::string key = cluster.Grant("acme");
  cluster.WaitUntilReady();
  std::int64_t answered = 0;
  for (std::size_t vm = 0; vm < 2; ++vm) {
    WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
      const bool served =
        Call(cluster.EntryAddress(vm), "/quotes", "x", key).status == 200;
      answered += served ? 1 : 0;
      return served;
    });
    for (int i = 0; i < 25; ++i) {
      REQUIRE(Call(cluster.EntryAddress(vm), "/quotes", "x", key).status ==
              200);
      ++answered;
    }
  }
  const auto reported = [&] {
    std::map<std::string, Json::Value> windows;
    for (const Json::Value& event : cluster.History("usage")) {
      const Json::Value& content = event["content"];
      if (!content["accepted"].asBool()) {
        continue;
      }
      const auto [known, first] =
        windows.emplace(content["window"].asString(), content["lines"]);
      CHECK(known->second == content["lines"]);
    }
    std::int64_t requests = 0;
    for (const auto& [window, lines] : windows) {
      for (const Json::Value& line : lines) {
        requests += line["tenant"] == "acme" ? line["requests"].asInt64() : 0;
      }
    }
    return requests;
  };
  std::int64_t sum = 0;
  WaitUntil("all requests were reported", [&] {
    sum = reported();
    return sum >= answered;
  });
  CHECK(sum == answered);
  // A later window must not report the same requests again.
  REQUIRE(Call(cluster.EntryAddress(0), "/quotes", "x", key).status == 200);
  ++answered;
  WaitUntil("the last request was reported", [&] {
    sum = reported();
    return sum >= answered;
  });
  CHECK(sum == answered);
}
