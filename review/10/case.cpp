#include "../harness-2/stage.hpp"

/// An order to change the weights gets no answer and is carried out late, on a
/// route whose texts must have a single version.
namespace review {

namespace {

constexpr int kSamplers = 12;
constexpr std::size_t kItems = 40;
/// `applied_late`: 2 to 12 s.
constexpr std::int64_t kLateMs = 2'600;
/// From the naming of the version to the submission.
constexpr std::int64_t kSubmitMs = 300;
constexpr std::int64_t kReadMs = 45'000;

std::optional<std::vector<std::string>>
Run(stage& aStage, const std::string& aProgram)
{
  stage_sampler* first = nullptr;
  for (int number = 0; number < kSamplers; ++number) {
    stage_sampler_settings settings;
    settings.zone = ZoneOf(number % stage::Count());
    settings.slots = 2;
    settings.events = 110;
    settings.eventMs = 40;
    stage_sampler& added = aStage.AddSampler(settings);
    if (!first || added.Id() < first->Id()) {
      first = &added;
    }
  }
  if (WithTrouble()) {
    // The sampler with the lowest id gets one of the first two orders.
    first->SetFirstOrderLate(kLateMs);
  }
  std::vector<stage_route> routes{ { "r-uxsr7i4", "/pufi791/" } };
  routes.back().singleVersion = true;
  aStage.PutManifest(3, routes);
  aStage.NameVersion(1);
  if (!aStage.Start(aProgram)) {
    return std::nullopt;
  }
  const int node = (aStage.Leader() + 1) % stage::Count();
  // Step 2 is asked once version 2 is named, and allows version 1.
  aStage.NameVersion(2);
  SleepMs(kSubmitMs);
  const std::string batch = NewId();
  std::vector<std::string> items;
  for (std::size_t index = 0; index < kItems; ++index) {
    items.push_back(NewId());
  }
  if (!aStage.Submit(node, BatchCall("/pufi791/", batch, items, kKey))) {
    return std::nullopt;
  }
  const auto results = aStage.AwaitResults(node, batch, kKey, kItems, kReadMs);
  std::vector<std::string> broken;
  for (const Json::Value& result : results) {
    if (result["state"].asString() == "completed" &&
        result["versions"].size() != 1) {
      std::string versions;
      for (const Json::Value& version : result["versions"]) {
        versions += " " + version.asString();
      }
      broken.push_back("VERSION: item " + result["id"].asString() +
                       " has the versions" + versions +
                       " on a single-version route");
    }
  }
  if (broken.empty() && results.size() < kItems) {
    return std::nullopt;
  }
  return broken;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::Run);
}
