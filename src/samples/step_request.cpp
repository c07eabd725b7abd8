#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/step.hpp"

#include <set>

namespace arbutusferry {

namespace {

/// Maximum deadline of a step: one day.
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr std::int64_t kMaxTokens = 1'000'000;

} // namespace

result<step_request>
ReadStep(const Json::Value& aValue, const std::string& aPeer)
{
  object_reader reader(aValue, aPeer);
  step_request step;
  step.step = reader.String("step");
  step.model = reader.String("model");
  step.weightVersion = reader.Integer("weight_version", 0, INT64_MAX);
  step.deadline =
    std::chrono::milliseconds(reader.Integer("deadline_ms", 1, kMaxDeadlineMs));
  step.cursor = reader.String("cursor", "");
  std::set<std::string> names;
  std::int64_t samples = 0;
  std::size_t index = 0;
  for (const Json::Value& value : reader.Array("groups")) {
    object_reader item(value, aPeer, "groups[" + std::to_string(index++) + "]");
    step_group group;
    group.id = item.String("id");
    group.count = item.Integer(
      "count", 1, static_cast<std::int64_t>(delivery_cursor::kMaxSamples));
    group.prompt = item.String("prompt");
    group.seed = item.Integer("seed", 0, INT64_MAX / 2, 0);
    group.maxTokens = item.Integer("max_tokens", 1, kMaxTokens);
    if (auto read = item.Finish(); !read) {
      return read.error();
    }
    if (!names.insert(group.id).second) {
      reader.Fail("groups", "expected unique ids");
    }
    samples += group.count;
    step.groups.push_back(std::move(group));
  }
  if (step.groups.empty()) {
    reader.Fail("groups", "expected at least one group");
  }
  if (samples > static_cast<std::int64_t>(delivery_cursor::kMaxSamples)) {
    reader.Fail("groups",
                "expected at most " +
                  std::to_string(delivery_cursor::kMaxSamples) + " samples");
  }
  if (auto read = reader.Finish(); !read) {
    return read.error();
  }
  return step;
}

std::uint64_t
StepHash(const step_request& aStep)
{
  Json::Value value(Json::arrayValue);
  value.append(aStep.step);
  value.append(aStep.model);
  for (const step_group& group : aStep.groups) {
    value.append(group.id);
    value.append(static_cast<Json::Int64>(group.count));
    value.append(group.prompt);
    value.append(static_cast<Json::Int64>(group.seed));
    value.append(static_cast<Json::Int64>(group.maxTokens));
  }
  return Hash64(WriteJson(value));
}

std::size_t
SampleCount(const step_request& aStep)
{
  std::size_t count = 0;
  for (const step_group& group : aStep.groups) {
    count += static_cast<std::size_t>(group.count);
  }
  return count;
}

bool
sample_answer::Add(const Json::Value& aEvent)
{
  if (finished) {
    return false;
  }
  const Json::Value& list = aEvent["tokens"];
  if (!list.isNull() && !list.isArray()) {
    return false;
  }
  const auto count = static_cast<std::int64_t>(list.size());
  if (count > 0) {
    const Json::Value& index = aEvent["index"];
    const Json::Value& version = aEvent["weight_version"];
    if (!index.isInt64() ||
        !segments.Add(
          version.isInt64() ? version.asInt64() : -1, index.asInt64(), count)) {
      return false;
    }
    for (const Json::Value& token : list) {
      tokens.append(token);
    }
  }
  if (aEvent["text"].isString()) {
    text += aEvent["text"].asString();
  }
  const Json::Value& usage = aEvent["usage"];
  if (usage.isObject()) {
    if (usage["prompt_tokens"].isInt64()) {
      promptTokens = usage["prompt_tokens"].asInt64();
    }
    if (usage["completion_tokens"].isInt64()) {
      completionTokens = usage["completion_tokens"].asInt64();
    }
  }
  finished = aEvent["finish_reason"].isString();
  return true;
}

sample_disposition
ClassifySample(const sample_answer& aAnswer,
               std::int64_t aTrainer,
               std::int64_t aBound)
{
  if (!aAnswer.finished || aAnswer.completionTokens < 0 ||
      aAnswer.completionTokens !=
        static_cast<std::int64_t>(aAnswer.tokens.size())) {
    return sample_disposition::Truncated;
  }
  if (!aAnswer.segments.Covers(aAnswer.completionTokens)) {
    return sample_disposition::Mislabelled;
  }
  return IsFresh(aAnswer.segments.Oldest(), aTrainer, aBound)
           ? sample_disposition::Deliver
           : sample_disposition::TooOld;
}

} // namespace arbutusferry
