#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <thread>

using namespace arbutusferry;
using harness::Call;
using harness::cluster;
using harness::Parse;
using harness::SendJson;
using harness::WaitUntil;
using standin::fault_mode;

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t kZones = 3;

/// Calls one entry all the time and remembers when it last accepted the key.
class prober
{
public:
  prober(std::string aEntry, std::string aKey)
    : mEntry(std::move(aEntry))
    , mKey(std::move(aKey))
    , mThread([this] { Run(); })
  {
  }
  prober(const prober&) = delete;
  prober& operator=(const prober&) = delete;
  ~prober()
  {
    mStop = true;
    mThread.join();
  }

  /// @return Start of the last call that was accepted.
  [[nodiscard]] steady::time_point LastAccepted() const
  {
    const std::lock_guard lock(mMutex);
    return mLastAccepted;
  }
  /// @return Calls begun after a time that have ended.
  [[nodiscard]] int CallsAfter(steady::time_point aTime) const
  {
    const std::lock_guard lock(mMutex);
    return static_cast<int>(
      std::count_if(mStarts.begin(), mStarts.end(), [&](const auto& aStart) {
        return aStart > aTime;
      }));
  }
  [[nodiscard]] std::string Last() const
  {
    const std::lock_guard lock(mMutex);
    return mLast;
  }

private:
  void Run()
  {
    while (!mStop) {
      const auto start = steady::now();
      const auto reply = Call(mEntry, "/quotes", "probe", mKey);
      {
        const std::lock_guard lock(mMutex);
        mStarts.push_back(start);
        mLast = std::to_string(reply.status) + " " + reply.body;
        if (reply.status == 200) {
          mLastAccepted = start;
        }
      }
      // Spreads the calls; nothing waits for it.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::string mEntry;
  std::string mKey;
  mutable std::mutex mMutex;
  std::vector<steady::time_point> mStarts;
  steady::time_point mLastAccepted{};
  std::string mLast;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

/// Open stream of a slow engine.
struct open_stream
{
  std::atomic<int> pieces{ 0 };
  std::atomic<bool> ended{ false };
  harness::http_reply reply;
  std::jthread thread;
};

std::string
Prepare(cluster& aCluster)
{
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    const std::string name = aCluster.ZoneName(zone);
    aCluster.AddTarget(name, "desk", target_kind::Service, 16);
    // Slow enough that a stream outlasts the test unless it is ended.
    aCluster.AddTarget(name,
                       "sampler",
                       target_kind::Engine,
                       4,
                       false,
                       { "--tokens_per_s=10", "--event_tokens=1" });
  }
  aCluster.PublishLists();
  Json::Value document = harness::ExampleDocument("shop", kZones);
  for (Json::Value& route : document["routes"]) {
    route["deadline_ms"] = 600'000;
  }
  aCluster.Apply(document);
  std::string key = aCluster.Grant("acme");
  aCluster.WaitReady();
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
      return Call(aCluster.Entry(vm), "/quotes", "probe", key).status == 200;
    });
  }
  return key;
}

harness::cluster_options
LinkedZones()
{
  harness::cluster_options options;
  options.zones = kZones;
  options.linkProxies = true;
  return options;
}

} // namespace

// A withdrawn key that keeps working in a zone that is cut off, or because the
// log fails right after, lets its holder act for the team.
TEST_CASE("a withdrawn key stops within 5 s with a zone cut off and no log")
{
  // Declared before the cluster: a failure ends the cluster first, and with it
  // the streams that their threads wait for.
  std::vector<open_stream> streams(kZones);
  cluster cluster(LinkedZones());
  const std::string key = Prepare(cluster);
  std::vector<std::unique_ptr<prober>> probers;
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    streams[vm].thread = std::jthread([&, vm] {
      streams[vm].reply = harness::SendStreaming(
        cluster.Entry(vm),
        "/v1/completions",
        R"({"model":"slip-reader","prompt":"p","max_tokens":5000,"stream":true})",
        { { "Authorization", "Bearer " + key } },
        [&, vm](const std::string&) {
          ++streams[vm].pieces;
          return true;
        });
      streams[vm].ended = true;
    });
  }
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("stream " + std::to_string(vm) + " flows",
              [&] { return streams[vm].pieces > 2 || streams[vm].ended; });
    CHECK_FALSE(streams[vm].ended);
    probers.push_back(std::make_unique<prober>(cluster.Entry(vm), key));
  }
  cluster.FaultZone(cluster.ZoneName(2), fault_mode::Cut);
  const auto withdrawn = cluster.Withdraw(key, 0);
  const auto accepted = steady::now();
  SendJson(
    cluster.Platform(), "PUT", "/admin/faults", Parse(R"({"log":"down"})"));
  CHECK(withdrawn.exitCode == 0);
  const auto bound = accepted + std::chrono::seconds(5);
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("calls were made after the bound",
              [&] { return probers[vm]->CallsAfter(bound) >= 20; });
    INFO("entry " << vm << " accepted the key until "
                  << std::chrono::duration<double>(probers[vm]->LastAccepted() -
                                                   accepted)
                       .count()
                  << " s after the withdrawal; last: " << probers[vm]->Last());
    CHECK(probers[vm]->LastAccepted() <= bound);
  }
  // Streams of the connected zones end; design section 5 lets those of a cut
  // off zone go on while it cannot know of the withdrawal.
  for (const std::size_t vm : { 0, 1 }) {
    WaitUntil("stream " + std::to_string(vm) + " ended",
              [&] { return streams[vm].ended.load(); });
    CHECK(streams[vm].reply.body.find("key_withdrawn") != std::string::npos);
    CHECK(streams[vm].reply.body.find("[DONE]") == std::string::npos);
  }
  probers.clear();
  // The cut off zone learns of the withdrawal when it is connected again.
  SendJson(
    cluster.Platform(), "PUT", "/admin/faults", Parse(R"({"log":"up"})"));
  cluster.FaultZone(cluster.ZoneName(2), fault_mode::Pass);
  WaitUntil("the stream of the cut off zone ended",
            [&] { return streams[2].ended.load(); });
  CHECK(streams[2].reply.body.find("key_withdrawn") != std::string::npos);
  for (open_stream& stream : streams) {
    stream.thread.join();
  }
  WaitUntil(
    "the key is refused as withdrawn in the zone that was cut off",
    [&] { return Call(cluster.Entry(2), "/quotes", "x", key).status == 401; });
}
