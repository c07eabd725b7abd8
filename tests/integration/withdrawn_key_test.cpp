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

/// Calls one entry repeatedly and records when it last accepted the key.
class key_prober
{
public:
  key_prober(std::string aEntry, std::string aKey)
    : mEntry(std::move(aEntry))
    , mKey(std::move(aKey))
    , mThread([this] { Run(); })
  {
  }
  key_prober(const key_prober&) = delete;
  key_prober& operator=(const key_prober&) = delete;
  ~key_prober()
  {
    mStop = true;
    mThread.join();
  }

  /// @return Start of the last accepted call.
  [[nodiscard]] steady::time_point LastAccepted() const
  {
    const std::lock_guard lock(mMutex);
    return mLastAccepted;
  }
  /// @return Number of ended calls that began after a time.
  [[nodiscard]] int CallsAfter(steady::time_point aTime) const
  {
    const std::lock_guard lock(mMutex);
    return static_cast<int>(
      std::count_if(mStarts.begin(), mStarts.end(), [&](const auto& aStart) {
        return aStart > aTime;
      }));
  }
  [[nodiscard]] std::string LastAnswer() const
  {
    const std::lock_guard lock(mMutex);
    return mLastAnswer;
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
        mLastAnswer = std::to_string(reply.status) + " " + reply.body;
        if (reply.status == 200) {
          mLastAccepted = start;
        }
      }
      // Limits the call rate; no check depends on it.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::string mEntry;
  std::string mKey;
  mutable std::mutex mMutex;
  std::vector<steady::time_point> mStarts;
  steady::time_point mLastAccepted{};
  std::string mLastAnswer;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

/// Completion stream of a slow engine.
struct open_stream
{
  std::atomic<int> chunks{ 0 };
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
    // Slow enough that a stream outlasts the test unless an entry ends it.
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
  aCluster.WaitUntilReady();
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
      return Call(aCluster.EntryAddress(vm), "/quotes", "probe", key).status ==
             200;
    });
  }
  return key;
}

harness::cluster_options
MakeOptions()
{
  harness::cluster_options options;
  options.zones = kZones;
  options.linkProxies = true;
  return options;
}

} // namespace

// Whoever holds a withdrawn key must not act for the team any longer, even in a
// partitioned zone or if the log fails right after the withdrawal.
TEST_CASE(
  "a withdrawn key is refused within 5 s despite a partition and log outage")
{
  // Declared before the cluster, so that a failed check destroys the cluster
  // first. This ends the streams before their threads are joined.
  std::vector<open_stream> streams(kZones);
  cluster cluster(MakeOptions());
  const std::string key = Prepare(cluster);
  std::vector<std::unique_ptr<key_prober>> keyProbers;
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    streams[vm].thread = std::jthread([&, vm] {
      streams[vm].reply = harness::SendStreaming(
        cluster.EntryAddress(vm),
        "/v1/completions",
        R"({"model":"slip-reader","prompt":"p","max_tokens":5000,"stream":true})",
        { { "Authorization", "Bearer " + key } },
        [&, vm](const std::string&) {
          ++streams[vm].chunks;
          return true;
        });
      streams[vm].ended = true;
    });
  }
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("stream " + std::to_string(vm) + " flows",
              [&] { return streams[vm].chunks > 2 || streams[vm].ended; });
    CHECK_FALSE(streams[vm].ended);
    keyProbers.push_back(
      std::make_unique<key_prober>(cluster.EntryAddress(vm), key));
  }
  cluster.SetZoneFault(cluster.ZoneName(2), fault_mode::Cut);
  const auto withdrawn = cluster.Withdraw(key, 0);
  const auto accepted = steady::now();
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"log":"down"})"));
  CHECK(withdrawn.exitCode == 0);
  const auto deadline = accepted + std::chrono::seconds(5);
  for (std::size_t vm = 0; vm < kZones; ++vm) {
    WaitUntil("calls were made after the deadline",
              [&] { return keyProbers[vm]->CallsAfter(deadline) >= 20; });
    INFO("entry " << vm << " accepted the key until "
                  << std::chrono::duration<double>(
                       keyProbers[vm]->LastAccepted() - accepted)
                       .count()
                  << " s after the withdrawal; last: "
                  << keyProbers[vm]->LastAnswer());
    CHECK(keyProbers[vm]->LastAccepted() <= deadline);
  }
  // Streams of the connected zones end. Those of a partitioned zone may go on
  // while it cannot know of the withdrawal (design section 5).
  for (const std::size_t vm : { 0, 1 }) {
    WaitUntil("stream " + std::to_string(vm) + " ended",
              [&] { return streams[vm].ended.load(); });
    CHECK(streams[vm].reply.body.find("key_withdrawn") != std::string::npos);
    CHECK(streams[vm].reply.body.find("[DONE]") == std::string::npos);
  }
  keyProbers.clear();
  // The partitioned zone learns of the withdrawal when it is connected again.
  SendJson(cluster.PlatformAddress(),
           "PUT",
           "/admin/faults",
           Parse(R"({"log":"up"})"));
  cluster.SetZoneFault(cluster.ZoneName(2), fault_mode::Pass);
  WaitUntil("the stream of the partitioned zone ended",
            [&] { return streams[2].ended.load(); });
  CHECK(streams[2].reply.body.find("key_withdrawn") != std::string::npos);
  for (open_stream& stream : streams) {
    stream.thread.join();
  }
  WaitUntil("the key is refused as withdrawn in the reconnected zone", [&] {
    return Call(cluster.EntryAddress(2), "/quotes", "x", key).status == 401;
  });
}
