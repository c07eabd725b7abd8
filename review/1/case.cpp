#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

/// An end of a batch is acknowledged that no store has. By default the leader
/// is partitioned from the store; with VARIANT=outage the store is down for all
/// nodes, and the leader's process is killed.
namespace review {

namespace {

constexpr int kNodes = 3;
constexpr int kSamplers = 8;
constexpr std::size_t kItems = 240;
constexpr int kEvents = 10;
constexpr std::int64_t kEventMs = 60;
/// `cancel-ms` and `contact-ms` of the small deployments.
constexpr std::int64_t kCancelMs = 3'000;
constexpr std::int64_t kContactMs = 3'000;
/// Length of the partition (`core_cut`; 6.7 s on the sheet).
constexpr std::int64_t kCutMs = 6'500;
/// From the first end to the second, by another consumer of the tenant.
constexpr std::int64_t kSecondEndMs = 1'000;
/// Length of the store's outage (`platform_down`; 7 s on the sheet), and the
/// time in it at which the leader is killed (`node_kill`).
constexpr std::int64_t kOutageMs = 6'000;
constexpr std::int64_t kKillMs = 5'000;
/// The platform starts a killed process again after this time.
constexpr std::int64_t kRestartMs = 1'000;
/// Room for messages under way.
constexpr std::int64_t kMarginMs = 200;
constexpr int kTimeLimitMs = 12'000;

const std::string kBatch = "7c41e09b52d6a3f8";

/// What happened, by which the runs are judged.
struct course
{
  std::int64_t acknowledgedAt = -1; ///< First 200 for an end.
  std::int64_t inTouchFrom = 0;     ///< The nodes are in touch from then on,
  int outOfTouch = -1;              ///< but for this one.
};

/// Ends the batch at one node, and at others after no answer or a 5xx.
std::int64_t
EndBatch(const node_fleet& aNodes, int aNode)
{
  const auto ended =
    CallWithRetries(aNodes,
                    aNode,
                    TenantCall("DELETE", "/lots/" + kBatch, kTimeLimitMs),
                    kTimeLimitMs + 1'500,
                    2);
  return ended.end == call_end::Answered && ended.answer.status == 200 ? NowMs()
                                                                       : -1;
}

/// The leader is partitioned from the store. Two consumers of the tenant end
/// the batch at it: the second is answered at once.
course
CutLeader(world& aWorld, int aLeader)
{
  node_fleet& nodes = *aWorld.nodes;
  const std::int64_t begin = NowMs();
  if (WithTrouble()) {
    nodes.CutFromStore(aLeader, true);
    SleepMs(100);
  }
  std::int64_t firstAck = -1;
  std::thread first([&] { firstAck = EndBatch(nodes, aLeader); });
  SleepMs(kSecondEndMs);
  const std::int64_t secondAck = EndBatch(nodes, aLeader);
  if (WithTrouble()) {
    SleepUntilMs(begin + kCutMs);
    nodes.CutFromStore(aLeader, false);
  }
  first.join();
  course seen;
  seen.acknowledgedAt =
    firstAck >= 0 ? std::min(firstAck, secondAck) : secondAck;
  // The other nodes and the store have no disruption.
  seen.outOfTouch = WithTrouble() ? aLeader : -1;
  return seen;
}

/// The store is down. A consumer ends the batch at a node that isn't the
/// leader; then the leader's process is killed.
course
KillLeaderInOutage(world& aWorld, int aLeader)
{
  node_fleet& nodes = *aWorld.nodes;
  const std::int64_t begin = NowMs();
  if (WithTrouble()) {
    Note("platform: the store is down");
    aWorld.store.SetDown(true);
    SleepMs(100);
  }
  course seen;
  std::thread client(
    [&] { seen.acknowledgedAt = EndBatch(nodes, (aLeader + 1) % kNodes); });
  if (WithTrouble()) {
    SleepUntilMs(begin + kKillMs);
    nodes.Signal(aLeader, SIGKILL);
    if (!nodes.AwaitEnd(aLeader, 1'000)) {
      throw std::runtime_error("the leader did not end");
    }
    SleepUntilMs(begin + kOutageMs);
    Note("platform: the store is back");
    aWorld.store.SetDown(false);
    SleepUntilMs(begin + kKillMs + kRestartMs);
    nodes.Start(aLeader);
    seen.inTouchFrom = NowMs() + kContactMs;
  }
  client.join();
  return seen;
}

verdict
Run(const scenario_paths& aPaths)
{
  auto& all = *new world;
  PutManifest(
    all.store, 1, { { "r-uxsr7i4", "/pufi791/", "rollout", "huvo11a" } });
  work output;
  for (int event = 1; event <= kEvents; ++event) {
    output.events.push_back("piece " + std::to_string(event));
  }
  output.eventMs = kEventMs;
  // Several, so that each node passes items on to some of them.
  for (int index = 0; index < kSamplers; ++index) {
    sampler_settings settings;
    settings.id = "i-7f3a91c" + std::to_string(index);
    settings.service = "huvo11a";
    settings.model = kModel;
    settings.slots = 2;
    all.samplers.push_back(std::make_unique<sampler>(
      settings, all.store, [output](const std::string&) { return output; }));
  }
  if (!all.StartNodes(aPaths.node, kNodes)) {
    return verdict::CouldNotRun;
  }

  std::vector<std::string> items;
  for (std::size_t index = 0; index < kItems; ++index) {
    items.push_back("e5b2907c14da" + std::to_string(1'000 + index));
  }
  const auto accepted =
    CallWithRetries(*all.nodes,
                    0,
                    Submission("/pufi791/", kBatch, items, kTimeLimitMs),
                    kTimeLimitMs + 1'500,
                    2);
  if (accepted.answer.status != 202) {
    return verdict::CouldNotRun;
  }
  SleepMs(1'000);
  const int leader = all.nodes->Leader(all.store);
  if (leader < 0) {
    return verdict::CouldNotRun;
  }
  const char* variant = std::getenv("VARIANT");
  const course seen = variant && std::string(variant) == "outage"
                        ? KillLeaderInOutage(all, leader)
                        : CutLeader(all, leader);
  if (seen.acknowledgedAt < 0) {
    Note("the end was not acknowledged");
    return verdict::CouldNotRun;
  }
  SleepMs(15'000);

  const std::int64_t from =
    std::max(seen.acknowledgedAt + kCancelMs, seen.inTouchFrom) + kMarginMs;
  std::size_t late = 0;
  for (const run_start& start : all.Starts()) {
    if (start.atMs > from && start.sender >= 0 &&
        start.sender != seen.outOfTouch) {
      ++late;
      Note("UNASKED: item " + start.item + " ran at " + start.sampler + " " +
           std::to_string(start.atMs - seen.acknowledgedAt) +
           " ms after the end was acknowledged, sent by node " +
           std::to_string(start.sender + 1));
    }
  }
  Note("the end was acknowledged at " + std::to_string(seen.acknowledgedAt) +
       " ms; " + std::to_string(late) +
       " runs began over 3 s after that, from nodes in touch");
  return late > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunScenario(aCount, aArguments, review::Run);
}
