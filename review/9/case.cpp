#include "../harness-2/stage.hpp"

/// A manifest adds a rollout route that is open to all. A trainer submits a
/// batch on it with the key of its tenant.
namespace review {

namespace {

constexpr std::size_t kItems = 8;
/// `config-apply-ms` and `settle-ms` of the small deployments.
constexpr std::int64_t kApplyMs = 2'000;
constexpr std::int64_t kSettleMs = 1'000;
constexpr std::int64_t kReadMs = 12'000;

std::optional<std::vector<std::string>>
Run(stage& aStage, const std::string& aProgram)
{
  for (int node = 0; node < stage::Count(); ++node) {
    stage_sampler_settings settings;
    settings.zone = ZoneOf(node);
    aStage.AddSampler(settings);
  }
  std::vector<stage_route> routes{ { "r-uxsr7i4", "/pufi791/" } };
  aStage.PutManifest(3, routes);
  aStage.NameVersion(1);
  if (!aStage.Start(aProgram)) {
    return std::nullopt;
  }
  routes.push_back({ "r-9kalo20", "/kalo204/" });
  routes.back().open = WithTrouble();
  aStage.PutManifest(5, routes);
  SleepMs(kApplyMs + 1'000);
  const std::string batch = NewId();
  std::vector<std::string> items;
  for (std::size_t index = 0; index < kItems; ++index) {
    items.push_back(NewId());
  }
  if (!aStage.Submit(0, BatchCall("/kalo204/", batch, items, kKey))) {
    return std::nullopt;
  }
  SleepMs(kSettleMs + 500);
  std::set<std::string> broken;
  std::size_t read = 0;
  for (const std::int64_t until = NowMs() + kReadMs;
       NowMs() < until && read < kItems;) {
    for (int node = 0; node < stage::Count(); ++node) {
      const call_result result =
        aStage.Ask(node, KeyCall("GET", "/lots/" + batch + "?after=0", kKey));
      if (result.end == call_end::Answered &&
          (result.answer.status == 404 || result.answer.status == 410)) {
        broken.insert("LOST: node " + std::to_string(node + 1) + " answers " +
                      std::to_string(result.answer.status) +
                      " for a batch that was accepted");
      }
    }
    std::vector<Json::Value> results;
    if (aStage.ReadAll(0, batch, kKey, {}, results)) {
      read = results.size();
    }
    SleepMs(500);
  }
  const std::set<std::string> sent(items.begin(), items.end());
  std::size_t wrong = 0;
  for (const sampler_run& run : aStage.Runs()) {
    wrong += sent.contains(run.id) && run.tenant != kTenant ? 1 : 0;
  }
  if (wrong > 0) {
    broken.insert("UNASKED: " + std::to_string(wrong) +
                  " items ran for another tenant than that of the key");
  }
  (void)aStage.Ask(0, KeyCall("DELETE", "/lots/" + batch, kKey));
  if (broken.empty() && read < kItems) {
    return std::nullopt;
  }
  return std::vector<std::string>(broken.begin(), broken.end());
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::Run);
}
