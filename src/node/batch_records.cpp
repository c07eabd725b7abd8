#include "arbutusferry/node/batch_records.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Positions and parts are zero-padded so that keys sort numerically.
constexpr int kNumberDigits = 6;

std::string
ZeroPadded(std::size_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(kNumberDigits -
                       std::min<std::size_t>(kNumberDigits, digits.size()),
                     '0') +
         digits;
}

/// Decodes a record, and logs one that can't be read.
template<typename Function>
auto
DecodeRecord(const std::string& aText, const char* aWhat, Function&& aDecode)
{
  auto decoded = DecodeObject(aText, aWhat, aDecode);
  if (!decoded) {
    Log(log_level::Error, "journal_record_unreadable", { { "what", aWhat } });
  }
  return decoded;
}

batch_request
BatchFromJson(const Json::Value& aValue)
{
  batch_request batch;
  batch.id = aValue["id"].asString();
  batch.team = aValue["tenant"].asString();
  batch.host = aValue["host"].asString();
  batch.route = aValue["route"].asString();
  batch.model = aValue["model"].asString();
  batch.step = aValue["step"].asInt64();
  batch.minimumVersion = aValue["minimum_version"].asInt64();
  batch.neededGroups = aValue["target_groups"].asUInt64();
  batch.submittedUnixMs = aValue["submitted_unix_ms"].asInt64();
  for (const Json::Value& entry : aValue["items"]) {
    batch_item item;
    item.id = entry["id"].asString();
    item.path = entry["path"].asString();
    const Json::Value& headers = entry["headers"];
    for (Json::ArrayIndex index = 0; index + 1 < headers.size(); index += 2) {
      item.headers.Add(headers[index].asString(),
                       headers[index + 1].asString());
    }
    item.body = DecodeBase64Url(entry["body"].asString()).value_or("");
    item.tokens = entry["tokens"].asInt64();
    item.group = entry["group"].asString();
    item.lengthHint = entry["hint"].asInt64();
    if (const Json::Value& reward = entry["reward"]; reward.isObject()) {
      item.reward = { reward["id"].asString(),
                      reward["host"].asString(),
                      reward["path"].asString(),
                      DecodeBase64Url(reward["body"].asString()).value_or("") };
    }
    batch.items.push_back(std::move(item));
  }
  return batch;
}

batch_result
ResultFromJson(const Json::Value& aValue)
{
  batch_result result;
  result.item = aValue["item"].asUInt64();
  result.state = aValue["errored"].asBool() ? result_state::Errored
                                            : result_state::Completed;
  // Neither an errored result nor an empty text has a text record.
  result.loaded =
    result.state == result_state::Errored || aValue["empty_text"].asBool();
  for (const Json::Value& version : aValue["versions"]) {
    result.versions.push_back(version.asInt64());
  }
  result.score = aValue["score"].asString();
  return result;
}

std::optional<item_progress>
ProgressFromJson(const Json::Value& aValue)
{
  if (aValue["events"].size() != aValue["versions"].size()) {
    return std::nullopt;
  }
  item_progress progress;
  for (const Json::Value& event : aValue["events"]) {
    progress.events.push_back(event.asString());
  }
  for (const Json::Value& version : aValue["versions"]) {
    progress.versions.push_back(version.asInt64());
  }
  if (aValue["software"].isString()) {
    progress.software = aValue["software"].asString();
  }
  progress.complete = aValue["complete"].asBool();
  progress.rewardErrors = aValue["reward_errors"].asInt();
  const auto relay = ParseAddress(aValue["relay"].asString());
  if (relay) {
    progress.location = { aValue["run"].asString(),
                          *relay,
                          aValue["sampler"].asString(),
                          aValue["resumed-after"].asUInt64() };
  }
  return progress;
}

} // namespace

std::string
EncodeBatch(const batch_request& aBatch, bool aWithRequests)
{
  Json::Value value(Json::objectValue);
  value["id"] = aBatch.id;
  value["tenant"] = aBatch.team;
  value["host"] = aBatch.host;
  value["route"] = aBatch.route;
  value["model"] = aBatch.model;
  value["step"] = Json::Int64(aBatch.step);
  value["minimum_version"] = Json::Int64(aBatch.minimumVersion);
  value["target_groups"] = Json::UInt64(aBatch.neededGroups);
  value["submitted_unix_ms"] = Json::Int64(aBatch.submittedUnixMs);
  Json::Value& items = value["items"] = Json::Value(Json::arrayValue);
  for (const batch_item& item : aBatch.items) {
    Json::Value entry(Json::objectValue);
    entry["id"] = item.id;
    entry["group"] = item.group;
    if (!aWithRequests) {
      items.append(std::move(entry));
      continue;
    }
    entry["path"] = item.path;
    Json::Value& headers = entry["headers"] = Json::Value(Json::arrayValue);
    for (const auto& [name, text] : item.headers) {
      headers.append(name);
      headers.append(text);
    }
    entry["body"] = EncodeBase64Url(item.body);
    entry["tokens"] = Json::Int64(item.tokens);
    entry["hint"] = Json::Int64(item.lengthHint);
    if (item.reward) {
      Json::Value& reward = entry["reward"];
      reward["id"] = item.reward->id;
      reward["host"] = item.reward->host;
      reward["path"] = item.reward->path;
      reward["body"] = EncodeBase64Url(item.reward->body);
    }
    items.append(std::move(entry));
  }
  return WriteJson(value);
}

std::optional<batch_request>
DecodeBatch(const std::string& aText)
{
  return DecodeRecord(aText, "batch", [](const Json::Value& aValue) {
    return std::optional(BatchFromJson(aValue));
  });
}

std::vector<std::string>
EncodeBatchParts(const batch_request& aBatch, std::size_t aMaxBytes)
{
  const std::string encoded = EncodeBatch(aBatch);
  // The number of parts stands in front, so its digits count too.
  std::size_t count = 1;
  while (std::to_string(count).size() + 1 + encoded.size() >
         count * aMaxBytes) {
    ++count;
  }
  const std::string text = std::to_string(count) + ":" + encoded;
  std::vector<std::string> parts;
  for (std::size_t at = 0; at < text.size(); at += aMaxBytes) {
    parts.push_back(text.substr(at, aMaxBytes));
  }
  return parts;
}

std::string
EncodeResult(const batch_result& aResult)
{
  Json::Value value(Json::objectValue);
  value["item"] = Json::UInt64(aResult.item);
  value["errored"] = aResult.state == result_state::Errored;
  if (aResult.state == result_state::Completed && aResult.text.empty()) {
    value["empty_text"] = true;
  }
  Json::Value& versions = value["versions"] = Json::Value(Json::arrayValue);
  for (const std::int64_t version : aResult.versions) {
    versions.append(Json::Int64(version));
  }
  if (!aResult.score.empty()) {
    value["score"] = aResult.score;
  }
  return WriteJson(value);
}

std::optional<batch_result>
DecodeResult(const std::string& aText)
{
  return DecodeRecord(aText, "result", [](const Json::Value& aValue) {
    return std::optional(ResultFromJson(aValue));
  });
}

std::string
EncodeProgress(const item_progress& aProgress)
{
  Json::Value value(Json::objectValue);
  Json::Value& events = value["events"] = Json::Value(Json::arrayValue);
  Json::Value& versions = value["versions"] = Json::Value(Json::arrayValue);
  for (std::size_t index = 0; index < aProgress.events.size(); ++index) {
    events.append(aProgress.events[index]);
    versions.append(Json::Int64(aProgress.versions[index]));
  }
  if (aProgress.software) {
    value["software"] = *aProgress.software;
  }
  if (aProgress.complete) {
    value["complete"] = true;
  }
  if (aProgress.rewardErrors > 0) {
    value["reward_errors"] = aProgress.rewardErrors;
  }
  if (aProgress.location) {
    value["run"] = aProgress.location->run;
    value["relay"] = FormatAddress(aProgress.location->relay);
    value["sampler"] = aProgress.location->sampler;
    value["resumed-after"] = Json::UInt64(aProgress.location->resumedAfter);
  }
  return WriteJson(value);
}

std::optional<item_progress>
DecodeProgress(const std::string& aText)
{
  return DecodeRecord(aText, "progress", ProgressFromJson);
}

std::string
BatchKey(const std::string& aBatch, std::size_t aPart)
{
  return "b/" + ZeroPadded(aPart) + "/" + aBatch;
}

std::string
ResultKey(const std::string& aBatch, std::size_t aPosition)
{
  return "i/" + ZeroPadded(aPosition) + "/" + aBatch;
}

std::string
TextPrefix(const std::string& aBatch)
{
  return std::string(kTextKeyPrefix) + aBatch + "/";
}

std::string
TextKey(const std::string& aBatch, std::size_t aPosition)
{
  return TextPrefix(aBatch) + ZeroPadded(aPosition);
}

std::string
ProgressKey(const std::string& aBatch, std::size_t aItem)
{
  return "p/" + ZeroPadded(aItem) + "/" + aBatch;
}

std::string
EndKey(const std::string& aBatch)
{
  return "e/" + aBatch;
}

std::string
UsageKey(std::int64_t aWindow)
{
  return "c/" + std::to_string(aWindow);
}

std::string
LimitKey(const std::string& aTarget)
{
  return "l/" + aTarget;
}

void
journal_reader::Add(const log_entry& aEntry)
{
  const auto& [key, value] = aEntry.record;
  if (key.size() < 3 || value.empty()) {
    return;
  }
  const std::string rest = key.substr(2);
  if (key.starts_with("e/")) {
    mContents.ended.insert(rest);
  } else if (key.starts_with("c/")) {
    if (const auto window = ParseInteger(rest)) {
      mContents.usage[*window] = value;
    }
  } else if (key.starts_with("l/")) {
    if (const auto perSecond = ParseDecimal(value)) {
      mContents.limits[rest] = *perSecond;
    }
  } else if (rest.size() > kNumberDigits + 1) {
    const auto number = ParseInteger(rest.substr(0, kNumberDigits));
    const std::string id = rest.substr(kNumberDigits + 1);
    if (!number) {
      return;
    }
    const auto index = static_cast<std::size_t>(*number);
    if (key.starts_with("b/")) {
      mParts[id][index] = value;
    } else if (key.starts_with("p/")) {
      if (auto progress = DecodeProgress(value)) {
        mContents.progress[id][index] = std::move(*progress);
      }
    } else if (auto result = DecodeResult(value)) {
      mContents.results[id][index] = std::move(*result);
    }
  }
}

journal_contents
journal_reader::Finish()
{
  for (const auto& [id, parts] : mParts) {
    // The first part starts with the number of parts in decimal and a colon.
    std::string text;
    for (const auto& [part, value] : parts) {
      text += value;
    }
    const auto colon = text.find(':');
    const auto count = ParseInteger(text.substr(0, colon));
    if (colon == std::string::npos || !count ||
        static_cast<std::size_t>(*count) != parts.size()) {
      continue; // Never accepted: its writer stopped before the last part.
    }
    if (auto decoded = DecodeBatch(text.substr(colon + 1))) {
      mContents.partCounts[id] = parts.size();
      mContents.batches.push_back(std::move(*decoded));
    }
  }
  mParts.clear();
  return std::move(mContents);
}

} // namespace arbutusferry::node
