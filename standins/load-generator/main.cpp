#include "arbutusferry/json.hpp"
#include "common/caller.hpp"
#include "common/token_sequence.hpp"
#include "common/trainer.hpp"

#include <algorithm>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

DEFINE_string(mode, "calls", "calls, completions, bookings or step");
DEFINE_string(entries, "", "addresses IP:port, separated by commas");
DEFINE_string(key, "", "API key, sent as bearer token");
DEFINE_string(path, "/quotes", "request path of calls and bookings");
DEFINE_string(route, "bookings", "route to request permits for");
DEFINE_string(model, "slip-reader", "model of completions and steps");
DEFINE_int64(calls, 100, "total number of calls");
DEFINE_int32(threads, 4, "number of concurrent clients");
DEFINE_double(rate, 0, "calls per second; 0 for no limit");
DEFINE_int64(body_bytes, 200, "size of a request body in bytes");
DEFINE_int64(max_tokens, 32, "maximum number of tokens of a response");
DEFINE_int64(groups, 8, "number of groups in a step");
DEFINE_int64(group_size, 4, "number of samples in a group");
DEFINE_int64(weight_version, 1, "weight version of the trainer");
DEFINE_int64(staleness_bound,
             1,
             "number of versions that a sample may lag behind");
DEFINE_int64(
  publish_at,
  -1,
  "publish the next weight version after this many samples; -1 for never");
DEFINE_string(step, "step-1", "id of the step");
DEFINE_uint64(seed, 1, "random seed");
DEFINE_int32(timeout_s, 60, "time limit of each read in seconds");
DEFINE_bool(allow_failures, false, "exit 0 even if calls were not answered");

namespace {

namespace af = arbutusferry;
namespace standin = arbutusferry::standin;
namespace acc = boost::accumulators;

using latency_accumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::mean,
                                  acc::tag::tail_quantile<acc::right>>>;

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

/// Outcome counts and latencies of the calls of all clients.
class call_statistics
{
public:
  // The tail cache holds every call, so that the quantiles are exact.
  explicit call_statistics(std::size_t aCalls)
    : mLatency(acc::tag::tail<acc::right>::cache_size = aCalls + 1)
  {
  }

  void Add(const standin::call_result& aResult, bool aCorrect)
  {
    const std::lock_guard lock(mMutex);
    std::string name = aResult.outcome;
    if (name.empty()) {
      name = aResult.status == 200 ? "direct" : "broken";
    }
    if (aResult.status >= 400) {
      name += "_" + std::to_string(aResult.status);
    }
    ++mOutcomes[name];
    if (aResult.status == 200) {
      mLatency(aResult.seconds * 1000);
      mWrongAnswers += aCorrect ? 0 : 1;
      ++mAnswered;
    }
  }

  [[nodiscard]] Json::Value ToJson(double aSeconds) const
  {
    Json::Value value(Json::objectValue);
    for (const auto& [name, count] : mOutcomes) {
      value["outcomes"][name] = Json::Int64(count);
    }
    value["wrong_answers"] = Json::Int64(mWrongAnswers);
    value["seconds"] = aSeconds;
    value["answered_per_s"] = static_cast<double>(mAnswered) / aSeconds;
    if (acc::count(mLatency) > 0) {
      Json::Value& latency = value["latency_ms"];
      latency["mean"] = acc::mean(mLatency);
      latency["p50"] = Quantile(0.5);
      latency["p90"] = Quantile(0.9);
      latency["p99"] = Quantile(0.99);
    }
    return value;
  }

  [[nodiscard]] bool Succeeded(std::int64_t aCalls) const
  {
    return mWrongAnswers == 0 && (FLAGS_allow_failures || mAnswered == aCalls);
  }

private:
  [[nodiscard]] double Quantile(double aProbability) const
  {
    return acc::quantile(mLatency, acc::quantile_probability = aProbability);
  }

  std::mutex mMutex;
  latency_accumulator mLatency;
  std::map<std::string, std::int64_t> mOutcomes;
  std::int64_t mWrongAnswers = 0;
  std::int64_t mAnswered = 0;
};

/// Requests one permit.
/// @return The permit; empty if refused.
std::string
ObtainPermit(standin::caller& aCaller)
{
  const standin::call_result result = aCaller.Post(
    "/v1/permits", R"({"route":")" + FLAGS_route + R"(","count":1})");
  const auto parsed =
    af::Capture([&] { return af::ParseJson(result.body, "permits"); });
  const auto* body = std::get_if<Json::Value>(&parsed);
  if (result.status != 200 || body == nullptr ||
      (*body)["permits"].size() != 1) {
    return {};
  }
  return (*body)["permits"][0].asString();
}

/// Sends one call.
/// @return The result and whether the response belongs to this call.
std::pair<standin::call_result, bool>
SendCall(standin::caller& aCaller, std::int64_t aNumber, std::uint64_t aRandom)
{
  const std::string name =
    "call-" + std::to_string(FLAGS_seed) + "-" + std::to_string(aNumber);
  if (FLAGS_mode == "completions") {
    Json::Value body(Json::objectValue);
    const std::int64_t tokens =
      1 + static_cast<std::int64_t>(
            aRandom % static_cast<std::uint64_t>(FLAGS_max_tokens));
    const std::string prompt = "Read order slip " + name;
    body["model"] = FLAGS_model;
    body["prompt"] = prompt;
    body["seed"] = Json::Int64(aNumber);
    body["max_tokens"] = Json::Int64(tokens);
    body["stream"] = true;
    const standin::call_result result =
      aCaller.Post("/v1/completions", af::WriteJson(body));
    // The last token is in the last event, followed by the end marker.
    const std::string last =
      standin::TokenText(standin::TokenAt(prompt, aNumber, tokens - 1));
    return { result,
             result.body.find(last) != std::string::npos &&
               result.body.find("[DONE]") != std::string::npos };
  }
  std::string body = name + " ";
  if (body.size() < static_cast<std::size_t>(FLAGS_body_bytes)) {
    body.resize(static_cast<std::size_t>(FLAGS_body_bytes), 'x');
  }
  standin::caller::header_list headers;
  if (FLAGS_mode == "bookings") {
    headers.emplace_back("Idempotency-Key", ObtainPermit(aCaller));
  }
  const standin::call_result result = aCaller.Post(FLAGS_path, body, headers);
  return { result, result.body.find(name + " ") != std::string::npos };
}

int
RunCalls(const std::vector<std::string>& aEntries)
{
  using steady = std::chrono::steady_clock;
  call_statistics statistics(static_cast<std::size_t>(FLAGS_calls));
  std::atomic<std::int64_t> next{ 0 };
  const auto start = steady::now();
  const auto runCaller = [&](int aThread) {
    boost::random::mt19937_64 random(FLAGS_seed * 1000 +
                                     static_cast<std::uint64_t>(aThread));
    standin::caller client(
      aEntries[static_cast<std::size_t>(aThread) % aEntries.size()],
      FLAGS_key,
      FLAGS_timeout_s);
    for (std::int64_t number = next++; number < FLAGS_calls; number = next++) {
      if (FLAGS_rate > 0) {
        std::this_thread::sleep_until(
          start + std::chrono::duration_cast<steady::duration>(
                    std::chrono::duration<double>(static_cast<double>(number) /
                                                  FLAGS_rate)));
      }
      const auto [result, correct] = SendCall(client, number, random());
      statistics.Add(result, correct);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int i = 0; i < FLAGS_threads; ++i) {
    threads.emplace_back(runCaller, i);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double seconds =
    std::chrono::duration<double>(steady::now() - start).count();
  std::cout << af::WriteJson(statistics.ToJson(seconds)) << "\n";
  return statistics.Succeeded(FLAGS_calls) ? 0 : 1;
}

void
Publish(const std::vector<std::string>& aEntries, std::int64_t aVersion)
{
  standin::caller client(aEntries.front(), FLAGS_key, FLAGS_timeout_s);
  Json::Value body(Json::objectValue);
  body["model"] = FLAGS_model;
  body["version"] = Json::Int64(aVersion);
  const standin::call_result result =
    client.Post("/v1/weights", af::WriteJson(body));
  if (result.status != 200) {
    std::cerr << "publishing weights failed: status " << result.status << " "
              << result.failure << " " << result.body << "\n";
  }
}

int
RunOneStep(const std::vector<std::string>& aEntries)
{
  standin::step_plan plan = standin::MakeStep(FLAGS_step,
                                              FLAGS_model,
                                              FLAGS_groups,
                                              FLAGS_group_size,
                                              FLAGS_max_tokens,
                                              FLAGS_seed);
  plan.stalenessBound = FLAGS_staleness_bound;
  std::atomic<std::int64_t> version{ FLAGS_weight_version };
  standin::trainer_options options;
  options.entries = aEntries;
  options.key = FLAGS_key;
  options.timeoutSeconds = FLAGS_timeout_s;
  options.version = &version;
  options.onSample = [&](std::size_t aCount) {
    if (static_cast<std::int64_t>(aCount) == FLAGS_publish_at) {
      Publish(aEntries, FLAGS_weight_version + 1);
    }
  };
  const standin::step_report report = standin::RunStep(plan, options);
  Json::Value value(Json::objectValue);
  value["finished"] = report.finished;
  value["samples"] = Json::UInt64(report.samples.size());
  value["posts"] = Json::Int64(report.posts);
  value["duplicates"] = Json::Int64(report.duplicates);
  value["unexpected"] = Json::Int64(report.unexpected);
  value["unlabelled"] = Json::Int64(report.unlabelled);
  value["over_bound"] = Json::Int64(report.overBound);
  value["wrong_text"] = Json::Int64(report.wrongText);
  value["seconds"] = report.seconds;
  for (const auto& [each, tokens] : report.tokensByVersion) {
    value["tokens_by_version"][std::to_string(each)] = Json::Int64(tokens);
  }
  for (const std::string& failure : report.failures) {
    value["failures"].append(failure);
  }
  std::cout << af::WriteJson(value) << "\n";
  return report.Correct(plan) ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "Sends a reproducible, bounded load to entries. Exit codes: 0 if all "
    "requests were answered correctly, 1 if not, 2 for invalid arguments.");
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const std::vector<std::string> entries = Split(FLAGS_entries);
  if (entries.empty()) {
    std::cerr
      << "--entries: expected at least one IP:port, separated by commas\n";
    return 2;
  }
  if (FLAGS_threads < 1 || FLAGS_calls < 1 || FLAGS_max_tokens < 1) {
    std::cerr << "--threads, --calls, --max_tokens: expected at least 1\n";
    return 2;
  }
  if (FLAGS_mode == "step") {
    return RunOneStep(entries);
  }
  if (FLAGS_mode == "calls" || FLAGS_mode == "completions" ||
      FLAGS_mode == "bookings") {
    return RunCalls(entries);
  }
  std::cerr << "--mode: expected calls, completions, bookings or step\n";
  return 2;
}
