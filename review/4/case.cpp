#include "world.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>

/// Nodes are stopped in turn. A stopping node takes requests until it ends, and
/// cuts off those that samplers work on.
namespace review {

namespace {

constexpr int kNodes = 3;
/// Nodes that are stopped; the third stays in rotation.
constexpr int kStopped = 2;
/// Between the stops of two nodes (`roll_term`, `gap_s`).
constexpr std::int64_t kGapMs = 1'300;
/// `grace-s`: SIGKILL follows a SIGTERM after this time.
constexpr std::int64_t kGraceMs = 8'000;
constexpr std::int64_t kRestartMs = 500;
/// A request sent later than this after the SIGTERM has no excuse.
constexpr std::int64_t kExcusedSentMs = 3'000;
constexpr std::int64_t kWorkMs = 800;
constexpr int kTimeLimitMs = 5'000;
constexpr std::int64_t kArrivalMs = 50;
constexpr std::size_t kPrefixLength = 8;

/// The platform's ingress: checks readiness once a second and chooses the node
/// of a new channel.
class ingress
{
public:
  explicit ingress(const node_fleet& aNodes)
    : mNodes(aNodes)
    , mMisses(static_cast<std::size_t>(aNodes.Count()), 0)
  {
  }

  void Run()
  {
    for (std::int64_t next = NowMs();; next += 1'000) {
      for (int index = 0; index < mNodes.Count(); ++index) {
        const bool ready = mNodes.Ready(index);
        const std::lock_guard lock(mMutex);
        int& misses = mMisses[static_cast<std::size_t>(index)];
        if (ready != (misses == 0)) {
          Note("ingress: node " + std::to_string(index + 1) +
               (ready ? " is ready" : " isn't ready"));
        }
        misses = ready ? 0 : misses + 1;
      }
      SleepUntilMs(next + 1'000);
    }
  }

  /// @return The node for a new channel: after two misses a node gets none,
  /// unless fewer than half are left.
  int Choose(std::size_t aConsumer)
  {
    const std::lock_guard lock(mMutex);
    std::vector<int> rotation;
    for (int index = 0; index < mNodes.Count(); ++index) {
      if (mMisses[static_cast<std::size_t>(index)] < 2) {
        rotation.push_back(index);
      }
    }
    if (2 * static_cast<int>(rotation.size()) < mNodes.Count()) {
      rotation.clear();
      for (int index = 0; index < mNodes.Count(); ++index) {
        rotation.push_back(index);
      }
    }
    return rotation[aConsumer % rotation.size()];
  }

private:
  const node_fleet& mNodes;
  std::mutex mMutex;
  std::vector<int> mMisses;
};

struct sent_request
{
  std::string id;
  int node = 0;
  std::int64_t sentAt = 0;
  std::int64_t endedAt = 0;
  call_result result;
};

verdict
Run(const scenario_paths& aPaths)
{
  auto& all = *new world;
  PutManifest(
    all.store,
    1,
    { { "r-35ieisp", "/lohu930/", "non_idempotent", "wuno96b", 2, 5'000 } });
  for (int index = 0; index < 3; ++index) {
    sampler_settings settings;
    settings.id = "i-desk" + std::to_string(index);
    settings.service = "wuno96b";
    settings.slots = 24;
    all.samplers.push_back(
      std::make_unique<sampler>(settings, all.store, [](const std::string&) {
        work task;
        task.plainMs = kWorkMs;
        return task;
      }));
  }
  if (!all.StartNodes(aPaths.node, kNodes)) {
    return verdict::CouldNotRun;
  }
  auto& entry = *new ingress(*all.nodes);
  std::thread([&entry] { entry.Run(); }).detach();
  SleepMs(2'000);

  auto& mutex = *new std::mutex;
  auto& sent = *new std::vector<sent_request>;
  std::atomic<bool> stop = false;
  std::thread traffic([&] {
    std::vector<std::thread> consumers;
    std::size_t number = 0;
    for (std::int64_t next = NowMs(); !stop; next += kArrivalMs) {
      SleepUntilMs(next);
      consumers.emplace_back([&, number] {
        sent_request made;
        made.id = "9c41d07b" + std::to_string(100'000 + number);
        request call = TenantCall(
          "POST", "/lohu930/" + made.id.substr(kPrefixLength), kTimeLimitMs);
        call.fields.emplace_back("Arbutusferry-Request-Id", made.id);
        call.body = "slip";
        made.node = entry.Choose(number);
        made.sentAt = NowMs();
        made.result =
          Call(all.nodes->CallerPort(made.node), call, kTimeLimitMs + 1'500);
        made.endedAt = NowMs();
        Note("consumer: " + made.id + " to node " +
             std::to_string(made.node + 1) + ", sent at " +
             std::to_string(made.sentAt) + " ms: " + DescribeEnd(made.result));
        const std::lock_guard lock(mutex);
        sent.push_back(std::move(made));
      });
      ++number;
    }
    for (std::thread& consumer : consumers) {
      consumer.join();
    }
  });
  SleepMs(3'000);

  std::vector<std::int64_t> stoppedAt(kNodes, -1);
  if (WithTrouble()) {
    const std::int64_t begin = NowMs();
    for (int index = 0; index < kStopped; ++index) {
      SleepUntilMs(begin + index * kGapMs);
      stoppedAt[static_cast<std::size_t>(index)] = NowMs();
      all.nodes->Signal(index, SIGTERM);
    }
    for (int index = 0; index < kStopped; ++index) {
      const std::int64_t kill =
        stoppedAt[static_cast<std::size_t>(index)] + kGraceMs;
      if (!all.nodes->AwaitEnd(index, kill - NowMs())) {
        all.nodes->Signal(index, SIGKILL);
        if (!all.nodes->AwaitEnd(index, 1'000)) {
          return verdict::CouldNotRun;
        }
      }
      SleepMs(kRestartMs);
      all.nodes->Start(index);
    }
  } else {
    SleepMs(kStopped * kGapMs + kGraceMs);
  }
  SleepMs(3'000);
  stop = true;
  traffic.join();

  std::set<std::string> begun;
  for (const run_start& start : all.Starts()) {
    begun.insert(start.item);
  }
  std::size_t answered = 0;
  std::size_t lost = 0;
  for (const sent_request& made : sent) {
    answered +=
      made.result.end == call_end::Answered && made.result.answer.status == 200
        ? 1
        : 0;
    const std::int64_t stopped = stoppedAt[static_cast<std::size_t>(made.node)];
    const bool cut = made.result.end == call_end::Closed;
    const bool limitReached = made.endedAt - made.sentAt >= kTimeLimitMs;
    if (stopped >= 0 && cut && begun.contains(made.id) && !limitReached &&
        made.sentAt > stopped + kExcusedSentMs &&
        made.endedAt <= stopped + kGraceMs + 1'000) {
      ++lost;
      Note("LOST: " + made.id + ", sent to node " +
           std::to_string(made.node + 1) + " " +
           std::to_string(made.sentAt - stopped) +
           " ms after its SIGTERM, was passed on to a sampler; its channel "
           "ended without an answer " +
           std::to_string(made.endedAt - stopped) + " ms after the SIGTERM");
    }
  }
  Note(std::to_string(sent.size()) + " requests sent, " +
       std::to_string(answered) + " answered with 200, " +
       std::to_string(lost) + " lost around a planned stop");
  if (answered == 0) {
    return verdict::CouldNotRun;
  }
  return lost > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunScenario(aCount, aArguments, review::Run);
}
