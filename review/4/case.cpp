#include "world.hpp"

#include <algorithm>
#include <csignal>

/// The operator removes a host's only rollout route. All nodes then answer 404
/// for a batch that they accepted, and whose results were read.
namespace review {

namespace {

constexpr int kNodes = 3;
constexpr std::size_t kItems = 8;
/// `config-apply-ms`, `settle-ms` and `contact-ms` of the small deployments.
constexpr std::int64_t kConfigApplyMs = 2'000;
constexpr std::int64_t kSettleMs = 1'000;
constexpr std::int64_t kContactMs = 3'000;
constexpr int kReads = 12;

verdict
Run(const scenario_paths& aPaths)
{
  auto& all = *new world;
  const route plain{ "r-35ieisp", "/lohu930/", "idempotent", "wuno96b" };
  const route rollout{ "r-uxsr7i4", "/pufi791/", "rollout", "huvo11a" };
  PutManifest(all.store, 1, { plain, rollout });
  work output;
  for (int event = 1; event <= 10; ++event) {
    output.events.push_back("piece " + std::to_string(event));
  }
  output.eventMs = 30;
  for (const char* id : { "i-7f3a91c2", "i-02d9e6b4", "i-desk0" }) {
    const bool desk = std::string(id) == "i-desk0";
    sampler_settings settings;
    settings.id = id;
    settings.service = desk ? "wuno96b" : "huvo11a";
    settings.model = desk ? "" : kModel;
    all.samplers.push_back(std::make_unique<sampler>(
      settings, all.store, [output](const std::string&) { return output; }));
  }
  if (!all.StartNodes(aPaths.node, kNodes)) {
    return verdict::CouldNotRun;
  }

  const std::string batch = "7c41e09b52d6a3f8";
  std::vector<std::string> items;
  for (std::size_t index = 0; index < kItems; ++index) {
    items.push_back("e5b2907c14da" + std::to_string(1'000 + index));
  }
  const auto accepted = CallWithRetries(
    *all.nodes, 0, Submission("/pufi791/", batch, items, 12'000), 13'500, 2);
  if (accepted.answer.status != 202) {
    return verdict::CouldNotRun;
  }
  std::size_t read = 0;
  for (int tries = 0; tries < 20 && read < kItems; ++tries) {
    SleepMs(500);
    const result_page page =
      ReadResults(all.nodes->CallerPort(tries % kNodes), batch, 0);
    read = page.items.size();
    Note("consumer: GET /lots/" + batch +
         "?after=0: " + std::to_string(page.status) + ", " +
         std::to_string(read) + " results");
  }
  if (read < kItems) {
    return verdict::CouldNotRun;
  }

  if (WithTrouble()) {
    PutManifest(all.store, 4, { plain });
  } else {
    PutManifest(all.store, 4, { plain, rollout });
  }
  SleepMs(kConfigApplyMs + kSettleMs + kContactMs);
  int missing = 0;
  int good = 0;
  for (int tries = 0; tries < kReads; ++tries) {
    const int node = tries % kNodes;
    const result_page page = ReadResults(all.nodes->CallerPort(node), batch, 0);
    Note("consumer: GET /lots/" + batch + "?after=0 at node " +
         std::to_string(node + 1) + ": " + std::to_string(page.status) + ", " +
         std::to_string(page.items.size()) + " results");
    good += page.status == 200 && page.items.size() == kItems ? 1 : 0;
    if (page.status == 404 || page.status == 410) {
      ++missing;
      Note("LOST: node " + std::to_string(node + 1) + ", in touch, answers " +
           std::to_string(page.status) + " for a batch that was accepted");
    }
    SleepMs(500);
  }
  if (missing == 0 && good < kReads) {
    return verdict::CouldNotRun;
  }
  return missing > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunScenario(aCount, aArguments, review::Run);
}
