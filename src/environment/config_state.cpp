#include "arbutusferry/config_state.hpp"

#include "arbutusferry/json.hpp"
#include "environment/json_support.hpp"

#include <algorithm>
#include <limits>

namespace arbutusferry {

namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
/// Record ids kept for operators that query a change whose response was lost.
constexpr std::size_t kMaxRecordIds = 4096;
/// Record ids written to a saved state. Operators query within minutes, and all
/// ids would make a checkpoint 300 KB large.
constexpr std::size_t kMaxSavedRecordIds = 256;
constexpr const char* kSource = "saved state";

using stage_map = std::map<std::pair<std::string, stage>, stage_config>;

/// @return The stage if it has a document in force, otherwise null.
stage_config*
FindInForce(stage_map& aStages, const std::string& aEnvironment, stage aStage)
{
  const auto found = aStages.find({ aEnvironment, aStage });
  return found != aStages.end() && found->second.document ? &found->second
                                                          : nullptr;
}

bool
Fold(stage_map& aStages, const environment_applied& aRecord, log_offset aOffset)
{
  const auto key =
    std::make_pair(aRecord.document.environment, aRecord.recordStage);
  const auto found = aStages.find(key);
  const log_offset revision =
    found == aStages.end() ? kNoOffset : found->second.revision;
  if (aRecord.base != revision) {
    return false;
  }
  stage_config& config = aStages[key];
  config.revision = aOffset;
  config.document = aRecord.document;
  return true;
}

bool
Fold(stage_map& aStages,
     const environment_promoted& aRecord,
     log_offset aOffset)
{
  const stage_config* trial =
    FindInForce(aStages, aRecord.environment, stage::Trial);
  if (trial == nullptr || EnvironmentHash(*trial->document) != aRecord.sha256) {
    return false;
  }
  return Fold(
    aStages,
    environment_applied{ stage::Production, aRecord.base, *trial->document },
    aOffset);
}

bool
Fold(stage_map& aStages, const key_granted& aRecord, log_offset)
{
  stage_config* config =
    FindInForce(aStages, aRecord.environment, aRecord.recordStage);
  if (config == nullptr ||
      config->document->FindTeam(aRecord.team) == nullptr) {
    return false;
  }
  // A key id is never granted twice: a duplicate append that arrives after the
  // withdrawal must not reactivate the key.
  return config->keys
    .try_emplace(aRecord.keyId,
                 key_entry{ aRecord.team, aRecord.salt, aRecord.hash, false })
    .second;
}

bool
Fold(stage_map& aStages, const key_withdrawn& aRecord, log_offset)
{
  const auto config =
    aStages.find({ aRecord.environment, aRecord.recordStage });
  if (config == aStages.end()) {
    return false;
  }
  const auto key = config->second.keys.find(aRecord.keyId);
  if (key == config->second.keys.end()) {
    return false;
  }
  key->second.withdrawn = true;
  key->second.salt.clear();
  key->second.hash.clear();
  return true;
}

bool
Fold(stage_map& aStages, const weights_published& aRecord, log_offset)
{
  stage_config* config =
    FindInForce(aStages, aRecord.environment, aRecord.recordStage);
  if (config == nullptr ||
      config->document->FindModel(aRecord.model) == nullptr) {
    return false;
  }
  const auto [found, inserted] =
    config->weights.try_emplace(aRecord.model, aRecord.version);
  if (aRecord.version < found->second) {
    return false;
  }
  found->second = aRecord.version;
  return true;
}

template<typename Record>
bool
Fold(stage_map&, const Record&, log_offset)
{
  return false;
}

result<key_entry>
ReadKey(const Json::Value& aValue, const std::string& aPath)
{
  object_reader reader(aValue, kSource, aPath);
  key_entry key;
  key.team = reader.String("tenant");
  key.withdrawn = reader.Boolean("withdrawn", false);
  key.salt = reader.String("salt", "");
  key.hash = reader.String("hash", "");
  if (!key.withdrawn && (key.salt.empty() || key.hash.empty())) {
    reader.Fail("hash", "expected salt and hash of a key in force");
  }
  ARBUTUSFERRY_CHECK(reader.Finish());
  return key;
}

using saved_stage = std::pair<std::pair<std::string, stage>, stage_config>;

result<saved_stage>
ReadStage(const Json::Value& aValue, const std::string& aPath)
{
  object_reader reader(aValue, kSource, aPath);
  const std::string environment = reader.String("environment");
  const stage recordStage = reader.Enumerator<stage>("stage");
  stage_config config;
  config.revision = reader.Integer("revision", kNoOffset, kMaxInt64);
  BOOST_LEAF_ASSIGN(config.document,
                    ReadEnvironment(reader.Object("document"), kSource));
  const Json::Value& keys = reader.Object("keys");
  for (const std::string& id : keys.getMemberNames()) {
    BOOST_LEAF_ASSIGN(config.keys[id], ReadKey(keys[id], aPath + ".keys"));
  }
  const Json::Value& weights = reader.Object("weights");
  object_reader versions(weights, kSource, aPath + ".weights");
  for (const std::string& model : weights.getMemberNames()) {
    config.weights[model] = versions.Integer(model.c_str(), 0, kMaxInt64);
  }
  ARBUTUSFERRY_CHECK(versions.Finish());
  ARBUTUSFERRY_CHECK(reader.Finish());
  return saved_stage(std::make_pair(environment, recordStage),
                     std::move(config));
}

struct saved_record
{
  std::string id;
  log_offset offset = kNoOffset;
  fold_outcome outcome = fold_outcome::Void;
};

result<saved_record>
ReadSavedRecord(const Json::Value& aValue, const std::string& aPath)
{
  object_reader reader(aValue, kSource, aPath);
  saved_record record;
  record.id = reader.String("id");
  record.offset = reader.Integer("offset", 0, kMaxInt64);
  record.outcome = reader.Enumerator<fold_outcome>("outcome");
  ARBUTUSFERRY_CHECK(reader.Finish());
  return record;
}

} // namespace

fold_outcome
config_state::Apply(const raw_log_record& aRecord)
{
  if (aRecord.offset <= mOffset) {
    return fold_outcome::Ignored;
  }
  const auto record = ReadLogRecord(aRecord.record);
  if (record && *record && std::holds_alternative<checkpoint>(**record)) {
    const auto& saved = std::get<checkpoint>(**record);
    if (saved.through > mOffset && saved.through < aRecord.offset) {
      // Records were skipped. The offset becomes `through`, because the records
      // between `through` and this one have not been applied.
      // A control process saves other state beside the configuration.
      const Json::Value& state =
        saved.state.isMember("config") ? saved.state["config"] : saved.state;
      if (Restore(state) && mOffset == saved.through) {
        return fold_outcome::Ignored;
      }
      ++mVoidCount;
      return fold_outcome::Void;
    }
    mOffset = aRecord.offset;
    return fold_outcome::Ignored;
  }
  mOffset = aRecord.offset;
  if (record && (!*record || !IsConfigurationRecord(**record))) {
    return fold_outcome::Ignored;
  }
  const bool inForce =
    record && std::visit(
                [&](const auto& aContent) {
                  return Fold(mStages, aContent, aRecord.offset);
                },
                **record);
  const fold_outcome outcome =
    inForce ? fold_outcome::InForce : fold_outcome::Void;
  mVoidCount += inForce ? 0 : 1;
  StoreOutcome(aRecord.id, aRecord.offset, outcome);
  return outcome;
}

void
config_state::StoreOutcome(const std::string& aId,
                           log_offset aOffset,
                           fold_outcome aOutcome)
{
  if (aId.empty()) {
    return;
  }
  const auto found = mOutcomesById.find(aId);
  if (found != mOutcomesById.end()) {
    // The same record was appended twice; it is in force if either copy is.
    if (found->second.second == fold_outcome::InForce ||
        aOutcome != fold_outcome::InForce) {
      return;
    }
    mIdsByOffset.erase(found->second.first);
  }
  mOutcomesById[aId] = { aOffset, aOutcome };
  mIdsByOffset[aOffset] = aId;
  while (mIdsByOffset.size() > kMaxRecordIds) {
    mOutcomesById.erase(mIdsByOffset.begin()->second);
    mIdsByOffset.erase(mIdsByOffset.begin());
  }
}

void
config_state::SkipTo(log_offset aOffset) noexcept
{
  mOffset = std::max(mOffset, aOffset);
}

const stage_config*
config_state::Find(std::string_view aEnvironment, stage aStage) const
{
  const auto found = mStages.find({ std::string(aEnvironment), aStage });
  return found == mStages.end() ? nullptr : &found->second;
}

std::optional<std::pair<log_offset, fold_outcome>>
config_state::FindRecord(std::string_view aId) const
{
  const auto found = mOutcomesById.find(aId);
  if (found == mOutcomesById.end()) {
    return std::nullopt;
  }
  return found->second;
}

Json::Value
config_state::Save() const
{
  Json::Value state(Json::objectValue);
  state["offset"] = JsonInteger(mOffset);
  state["void_records"] = JsonInteger(mVoidCount);
  state["stages"] = Json::Value(Json::arrayValue);
  for (const auto& [key, config] : mStages) {
    Json::Value item(Json::objectValue);
    item["environment"] = key.first;
    item["stage"] = std::string(EnumName(key.second));
    item["revision"] = JsonInteger(config.revision);
    item["document"] = WriteEnvironment(*config.document);
    item["keys"] = Json::Value(Json::objectValue);
    for (const auto& [id, entry] : config.keys) {
      Json::Value& saved = item["keys"][id];
      saved["tenant"] = entry.team;
      if (entry.withdrawn) {
        saved["withdrawn"] = true;
      } else {
        saved["salt"] = entry.salt;
        saved["hash"] = entry.hash;
      }
    }
    item["weights"] = Json::Value(Json::objectValue);
    for (const auto& [model, version] : config.weights) {
      item["weights"][model] = JsonInteger(version);
    }
    state["stages"].append(item);
  }
  state["records"] = Json::Value(Json::arrayValue);
  auto record = mIdsByOffset.begin();
  if (mIdsByOffset.size() > kMaxSavedRecordIds) {
    std::advance(record, mIdsByOffset.size() - kMaxSavedRecordIds);
  }
  for (; record != mIdsByOffset.end(); ++record) {
    Json::Value item(Json::objectValue);
    item["id"] = record->second;
    item["offset"] = JsonInteger(record->first);
    item["outcome"] =
      std::string(EnumName(mOutcomesById.at(record->second).second));
    state["records"].append(item);
  }
  return state;
}

result<void>
config_state::Restore(const Json::Value& aState)
{
  object_reader reader(aState, kSource);
  const log_offset offset = reader.Integer("offset", kNoOffset, kMaxInt64);
  const std::int64_t voidCount =
    reader.Integer("void_records", 0, kMaxInt64, 0);
  BOOST_LEAF_AUTO(stages, ReadList(reader, "stages", ReadStage));
  BOOST_LEAF_AUTO(records, ReadList(reader, "records", ReadSavedRecord));
  ARBUTUSFERRY_CHECK(reader.Finish());
  if (offset <= mOffset) {
    return {};
  }
  mStages.clear();
  for (saved_stage& item : stages) {
    mStages.insert(std::move(item));
  }
  for (const saved_record& record : records) {
    StoreOutcome(record.id, record.offset, record.outcome);
  }
  mVoidCount = std::max(mVoidCount, voidCount);
  mOffset = offset;
  return {};
}

} // namespace arbutusferry
