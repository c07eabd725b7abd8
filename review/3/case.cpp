#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

/// An item completes with an empty text. Its result is read, then the leader's
/// process is killed: no node gives the result again, nor those behind it. With
/// VARIANT=ended no process is killed, and the batch is ended by its consumer.
namespace review {

namespace {

constexpr int kNodes = 3;
constexpr std::size_t kItems = 8;
constexpr std::size_t kEmptyItem = 3;
constexpr std::int64_t kContactMs = 3'000;
constexpr std::int64_t kRestartMs = 1'000;
/// From the batch's end to the next reads, with VARIANT=ended.
constexpr std::int64_t kAfterEndMs = 8'000;
/// Time for which the results are read after the kill.
constexpr std::int64_t kReadMs = 25'000;

verdict
Run(const scenario_paths& aPaths)
{
  auto& all = *new world;
  PutManifest(
    all.store, 1, { { "r-uxsr7i4", "/pufi791/", "rollout", "huvo11a" } });
  std::vector<std::string> items;
  for (std::size_t index = 0; index < kItems; ++index) {
    items.push_back("e5b2907c14da" + std::to_string(1'000 + index));
  }
  const auto plan = [&items](const std::string& aItem) {
    work output;
    output.eventMs = 30;
    if (aItem == items[kEmptyItem]) {
      // The model ends its output at once: one event without text.
      output.events = { "" };
    } else {
      for (int event = 1; event <= 10; ++event) {
        output.events.push_back("piece " + std::to_string(event));
      }
    }
    return output;
  };
  for (const char* id : { "i-7f3a91c2", "i-02d9e6b4" }) {
    sampler_settings settings;
    settings.id = id;
    settings.service = "huvo11a";
    settings.model = kModel;
    all.samplers.push_back(
      std::make_unique<sampler>(settings, all.store, plan));
  }
  if (!all.StartNodes(aPaths.node, kNodes)) {
    return verdict::CouldNotRun;
  }

  const std::string batch = "7c41e09b52d6a3f8";
  const auto accepted = CallWithRetries(
    *all.nodes, 0, Submission("/pufi791/", batch, items, 12'000), 13'500, 2);
  if (accepted.answer.status != 202) {
    return verdict::CouldNotRun;
  }
  // Reads all results from the start, as one consumer.
  const auto readAll = [&](int aNode) {
    std::map<std::size_t, std::pair<std::string, std::string>> read;
    for (std::size_t after = 0; after < kItems;) {
      const result_page page =
        ReadResults(all.nodes->CallerPort(aNode), batch, after);
      Note("consumer: GET /lots/" + batch + "?after=" + std::to_string(after) +
           " at node " + std::to_string(aNode + 1) + ": " +
           std::to_string(page.status) + ", " +
           std::to_string(page.items.size()) + " results");
      if (page.status != 200 || page.items.empty()) {
        break;
      }
      for (std::size_t index = 0; index < page.items.size(); ++index) {
        read[after + index] = { page.items[index], page.texts[index] };
      }
      after = page.next;
    }
    return read;
  };
  std::map<std::size_t, std::pair<std::string, std::string>> before;
  for (int tries = 0; tries < 20 && before.size() < kItems; ++tries) {
    SleepMs(500);
    before = readAll(tries % kNodes);
  }
  if (before.size() < kItems) {
    Note("not all results could be read");
    return verdict::CouldNotRun;
  }

  std::int64_t inTouchFrom = NowMs();
  const char* variant = std::getenv("VARIANT");
  if (variant && std::string(variant) == "ended") {
    if (WithTrouble()) {
      const auto ended =
        CallWithRetries(*all.nodes,
                        1,
                        TenantCall("DELETE", "/lots/" + batch, 12'000),
                        13'500,
                        2);
      if (ended.answer.status != 200) {
        return verdict::CouldNotRun;
      }
    }
    SleepMs(kAfterEndMs);
  } else if (WithTrouble()) {
    const int leader = all.nodes->Leader(all.store);
    if (leader < 0) {
      return verdict::CouldNotRun;
    }
    all.nodes->Signal(leader, SIGKILL);
    if (!all.nodes->AwaitEnd(leader, 1'000)) {
      return verdict::CouldNotRun;
    }
    SleepMs(kRestartMs);
    all.nodes->Start(leader);
    inTouchFrom = NowMs() + kContactMs;
  }
  SleepUntilMs(inTouchFrom + 1'000);
  std::set<std::size_t> again;
  int node = 0;
  for (const std::int64_t until = NowMs() + kReadMs;
       NowMs() < until && again.size() < kItems;
       node = (node + 1) % kNodes) {
    for (const auto& [position, result] : readAll(node)) {
      if (result == before[position]) {
        again.insert(position);
      }
    }
    SleepMs(500);
  }
  for (const auto& [position, result] : before) {
    if (!again.contains(position)) {
      Note("LOST: the result at position " + std::to_string(position) +
           ", item " + result.first + ", had been read and doesn't come again");
    }
  }
  Note(std::to_string(before.size()) + " results had been read, " +
       std::to_string(again.size()) + " came again");
  return again.size() < kItems ? verdict::Broken : verdict::Held;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunScenario(aCount, aArguments, review::Run);
}
