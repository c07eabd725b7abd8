#include "common/trainer.hpp"

#include "arbutusferry/json.hpp"
#include "common/caller.hpp"
#include "common/token_sequence.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <thread>

namespace arbutusferry::standin {

namespace {

/// Delay before a retry, so that the limited number of requests spans the time
/// that an entry needs to start.
constexpr std::chrono::milliseconds kRetryDelay{ 200 };

/// Parses the streamed records, checks them and adds them to the report.
class record_checker
{
public:
  record_checker(const step_plan& aPlan,
                 const trainer_options& aOptions,
                 step_report& aReport)
    : mPlan(aPlan)
    , mOptions(aOptions)
    , mReport(aReport)
  {
  }

  void Append(const std::string& aChunk)
  {
    mBuffer += aChunk;
    std::size_t end = 0;
    while ((end = mBuffer.find('\n')) != std::string::npos) {
      const std::string line = mBuffer.substr(0, end);
      mBuffer.erase(0, end + 1);
      if (!line.empty()) {
        HandleRecord(line);
      }
    }
  }

  /// Drops an incomplete last line: its record was truncated and does not count
  /// as delivered.
  void DiscardPartialLine() { mBuffer.clear(); }

private:
  void HandleRecord(const std::string& aLine)
  {
    const auto parsed = Capture([&] { return ParseJson(aLine, "record"); });
    const auto* record = std::get_if<Json::Value>(&parsed);
    if (record == nullptr || !record->isObject()) {
      mReport.failures.push_back("not a JSON object: " + aLine);
      return;
    }
    if (record->isMember("error")) {
      mReport.failures.push_back(WriteJson((*record)["error"]));
      return;
    }
    if ((*record)["cursor"].isString()) {
      mReport.cursor = (*record)["cursor"].asString();
    }
    if ((*record)["done"].isBool() && (*record)["done"].asBool()) {
      mReport.finished = true;
      return;
    }
    HandleSample(*record);
  }

  void HandleSample(const Json::Value& aRecord)
  {
    const std::pair id(aRecord["group"].asString(), aRecord["index"].asInt64());
    const auto group = std::find_if(
      mPlan.groups.begin(), mPlan.groups.end(), [&](const step_group& aGroup) {
        return aGroup.id == id.first;
      });
    if (group == mPlan.groups.end() || id.second < 0 ||
        id.second >= group->count) {
      ++mReport.unexpected;
      return;
    }
    if (!mReport.samples.emplace(id, aRecord).second) {
      ++mReport.duplicates;
    }
    CheckSegments(aRecord, *group);
    CheckText(aRecord, *group);
    if (mOptions.onSample) {
      mOptions.onSample(mReport.samples.size());
    }
  }

  void CheckSegments(const Json::Value& aRecord, const step_group& aGroup)
  {
    std::int64_t next = 0;
    std::int64_t oldest = -1;
    for (const Json::Value& segment : aRecord["segments"]) {
      const std::int64_t version = segment["version"].asInt64();
      const std::int64_t from = segment["from"].asInt64();
      const std::int64_t to = segment["to"].asInt64();
      if (from != next || to <= from || version < 0) {
        break;
      }
      next = to;
      oldest = oldest < 0 ? version : std::min(oldest, version);
      mReport.tokensByVersion[version] += to - from;
    }
    if (next != aGroup.maxTokens) {
      ++mReport.unlabelled;
    }
    const std::int64_t trainer =
      mOptions.version != nullptr ? mOptions.version->load() : 0;
    if (mOptions.version != nullptr &&
        trainer - oldest > mPlan.stalenessBound) {
      ++mReport.overBound;
    }
  }

  void CheckText(const Json::Value& aRecord, const step_group& aGroup)
  {
    const std::int64_t seed = aGroup.seed + aRecord["index"].asInt64();
    if (aRecord["text"].asString() !=
        ExpectedText(aGroup.prompt, seed, aGroup.maxTokens)) {
      ++mReport.wrongText;
    }
  }

  const step_plan& mPlan;
  const trainer_options& mOptions;
  step_report& mReport;
  std::string mBuffer;
};

} // namespace

step_plan
MakeStep(const std::string& aName,
         const std::string& aModel,
         std::int64_t aGroups,
         std::int64_t aGroupSize,
         std::int64_t aMaxTokens,
         std::uint64_t aSeed)
{
  boost::random::mt19937_64 random(aSeed);
  boost::random::uniform_int_distribution<std::int64_t> distribution(0,
                                                                     1'000'000);
  step_plan plan;
  plan.step = aName;
  plan.model = aModel;
  for (std::int64_t index = 0; index < aGroups; ++index) {
    step_group group;
    group.id = "g" + std::to_string(index);
    group.count = aGroupSize;
    group.seed = distribution(random);
    group.prompt = "Read order slip " + std::to_string(distribution(random)) +
                   " of the shared system prompt.";
    const bool straggler = distribution(random) % 8 == 0;
    group.maxTokens =
      std::max<std::int64_t>(1, straggler ? aMaxTokens : aMaxTokens / 4);
    plan.groups.push_back(std::move(group));
  }
  return plan;
}

bool
step_report::Correct(const step_plan& aPlan) const
{
  std::size_t expected = 0;
  for (const step_group& group : aPlan.groups) {
    expected += static_cast<std::size_t>(group.count);
  }
  return finished && samples.size() == expected && duplicates == 0 &&
         unexpected == 0 && unlabelled == 0 && overBound == 0 && wrongText == 0;
}

Json::Value
WriteStep(const step_plan& aPlan, std::int64_t aVersion)
{
  Json::Value body(Json::objectValue);
  body["step"] = aPlan.step;
  body["model"] = aPlan.model;
  body["weight_version"] = Json::Int64(aVersion);
  body["deadline_ms"] = Json::Int64(aPlan.deadlineMs);
  body["groups"] = Json::Value(Json::arrayValue);
  for (const step_group& group : aPlan.groups) {
    Json::Value item(Json::objectValue);
    item["id"] = group.id;
    item["count"] = Json::Int64(group.count);
    item["prompt"] = group.prompt;
    item["seed"] = Json::Int64(group.seed);
    item["max_tokens"] = Json::Int64(group.maxTokens);
    body["groups"].append(std::move(item));
  }
  return body;
}

step_report
RunStep(const step_plan& aPlan, const trainer_options& aOptions)
{
  step_report report;
  report.cursor = aOptions.cursor;
  record_checker checker(aPlan, aOptions, report);
  const auto start = std::chrono::steady_clock::now();
  while (!report.finished && report.posts < aOptions.maxPosts) {
    const std::string& entry =
      aOptions.entries[static_cast<std::size_t>(report.posts) %
                       aOptions.entries.size()];
    ++report.posts;
    Json::Value body = WriteStep(
      aPlan, aOptions.version != nullptr ? aOptions.version->load() : 0);
    if (!report.cursor.empty()) {
      body["cursor"] = report.cursor;
    }
    caller::header_list headers;
    if (!aOptions.stage.empty()) {
      headers.emplace_back("Arbutusferry-Stage", aOptions.stage);
    }
    caller connection(entry, aOptions.key, aOptions.timeoutSeconds);
    checker.DiscardPartialLine();
    const call_result result = connection.Post(
      "/v1/steps", WriteJson(body), headers, [&](const std::string& aChunk) {
        checker.Append(aChunk);
        return true;
      });
    if (!report.finished) {
      report.failures.push_back(
        entry + ": status " + std::to_string(result.status) + " " +
        result.failure + " " + result.body.substr(0, 300));
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  report.seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  return report;
}

} // namespace arbutusferry::standin
