#include "../harness-2/stage.hpp"

/// A sampler of a plain service breaks off a few of its answers, on a route
/// whose requests may not be repeated.
namespace review {

namespace {

constexpr int kRequests = 450;
/// The faulty sampler breaks off 0.02 of its answers (`garble`, 0.0229 on the
/// site), and is one of three (share 0.461 on the site).
constexpr int kAnswersPerBroken = 50;
/// Time of the disruption.
constexpr std::int64_t kFaultMs = 5'500;

std::optional<std::vector<std::string>>
Run(stage& aStage, const std::string& aProgram)
{
  std::vector<stage_sampler*> desks;
  for (int node = 0; node < stage::Count(); ++node) {
    stage_sampler_settings settings;
    settings.service = kDesk;
    settings.zone = ZoneOf(node);
    settings.answersPerBroken =
      WithTrouble() && node == 0 ? kAnswersPerBroken : 0;
    desks.push_back(&aStage.AddSampler(settings));
  }
  aStage.PutManifest(3,
                     { { "r-35ieisp", "/lohu930/", "non_idempotent", kDesk } });
  if (!aStage.Start(aProgram)) {
    return std::nullopt;
  }
  std::mutex mutex;
  std::map<std::string, std::string> successes;
  std::vector<std::thread> consumers;
  const std::int64_t begin = NowMs();
  for (int number = 0; number < kRequests; ++number) {
    SleepUntilMs(begin + number * kFaultMs / kRequests);
    consumers.emplace_back([&, number] {
      const std::string id = NewId();
      request call = KeyCall(
        "POST", "/lohu930/2f", kKey, { { "Arbutusferry-Request-Id", id } });
      call.body = "book";
      const call_result result = aStage.Ask(number % stage::Count(), call);
      if (result.end == call_end::Answered && result.answer.status / 100 == 2) {
        const std::lock_guard lock(mutex);
        successes[id] = result.answer.body;
      }
    });
  }
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  std::map<std::string, std::string> whole;
  for (stage_sampler* desk : desks) {
    whole.merge(desk->WholeAnswers());
  }
  std::vector<std::string> broken;
  for (const auto& [id, body] : successes) {
    const auto given = whole.find(id);
    if (given == whole.end() || given->second != body) {
      broken.push_back("MIXED: request " + id + " got a success with " +
                       std::to_string(body.size()) +
                       " bytes, where the sampler broke off");
    }
  }
  Note(std::to_string(successes.size()) + " successes, " +
       std::to_string(broken.size()) + " of them broken off");
  if (successes.size() < kRequests * 9 / 10) {
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
