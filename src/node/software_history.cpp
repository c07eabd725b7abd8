#include "arbutusferry/node/software_history.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/node/stream_origins.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Time for which a version counts after it left: as long as origins are kept,
/// and a margin for clocks that differ or jump.
constexpr std::int64_t kCountedMs =
  std::chrono::milliseconds(kOriginRetention + std::chrono::seconds(10))
    .count();

/// @return Whether a record says more than a stored one. Times at which a
/// version left may differ, since each node notes its own.
bool
SaysMore(const software_record& aRecord, const software_record& aStored)
{
  const auto sameState = [](const auto& aLeft, const auto& aRight) {
    return aLeft.first == aRight.first &&
           (aLeft.second == 0) == (aRight.second == 0);
  };
  return aRecord.completeSince < aStored.completeSince ||
         !std::equal(aRecord.left.begin(),
                     aRecord.left.end(),
                     aStored.left.begin(),
                     aStored.left.end(),
                     sameState);
}

} // namespace

std::string
EncodeSoftware(const software_record& aRecord)
{
  Json::Value value(Json::objectValue);
  value["complete_since"] = Json::Int64(aRecord.completeSince);
  Json::Value& left = value["left"] = Json::Value(Json::objectValue);
  for (const auto& [version, at] : aRecord.left) {
    left[version] = Json::Int64(at);
  }
  return WriteJson(value);
}

std::optional<software_record>
DecodeSoftware(const std::string& aText)
{
  return DecodeObject(
    aText,
    "software record",
    [](const Json::Value& aValue) -> std::optional<software_record> {
      const Json::Value& left = aValue["left"];
      if (!aValue["complete_since"].isInt64() || !left.isObject()) {
        return std::nullopt;
      }
      software_record record;
      record.completeSince = aValue["complete_since"].asInt64();
      for (const std::string& version : left.getMemberNames()) {
        record.left[version] = left[version].asInt64();
      }
      return record;
    });
}

void
software_history::Begin(std::int64_t aUnixMs)
{
  mCompleteSince = aUnixMs;
  mRecords.clear();
}

void
software_history::NoteFirstStart()
{
  mCompleteSince = 0;
  for (auto& [service, record] : mRecords) {
    record.completeSince = 0;
  }
}

void
software_history::Note(const version_map& aVersions, std::int64_t aUnixMs)
{
  for (const auto& [service, versions] : aVersions) {
    software_record& record =
      mRecords.try_emplace(service, software_record{ mCompleteSince, {} })
        .first->second;
    for (const std::string& version : versions) {
      record.left[version] = 0;
    }
  }
  for (auto& [service, record] : mRecords) {
    const auto known = aVersions.find(service);
    for (auto& [version, left] : record.left) {
      if (left == 0 &&
          (known == aVersions.end() || !known->second.contains(version))) {
        left = aUnixMs;
      }
    }
    std::erase_if(record.left, [&](const auto& aEntry) {
      return aEntry.second != 0 && aUnixMs - aEntry.second >= kCountedMs;
    });
  }
}

bool
software_history::Serves(const std::string& aService,
                         const std::string& aVersion) const
{
  const auto record = mRecords.find(aService);
  if (record == mRecords.end()) {
    return false;
  }
  const auto left = record->second.left.find(aVersion);
  return left != record->second.left.end() && left->second == 0;
}

void
software_history::Restore(const std::string& aService,
                          const software_record& aStored)
{
  mStored[aService] = aStored;
  software_record& record =
    mRecords.try_emplace(aService, software_record{ mCompleteSince, {} })
      .first->second;
  record.completeSince = std::min(record.completeSince, aStored.completeSince);
  for (const auto& [version, left] : aStored.left) {
    const auto [known, added] = record.left.try_emplace(version, left);
    if (!added && known->second != 0 && left != 0) {
      known->second = std::max(known->second, left);
    }
  }
}

std::map<std::string, software_record>
software_history::Unsaved() const
{
  std::map<std::string, software_record> unsaved;
  for (const auto& [service, record] : mRecords) {
    const auto stored = mStored.find(service);
    if (stored == mStored.end() || SaysMore(record, stored->second)) {
      unsaved.emplace(service, record);
    }
  }
  return unsaved;
}

void
software_history::NoteSaved(const std::string& aService,
                            const software_record& aRecord)
{
  mStored[aService] = aRecord;
}

std::optional<std::string>
software_history::OnlyOrigin(const std::string& aService,
                             std::int64_t aUnixMs) const
{
  const auto found = mRecords.find(aService);
  if (found == mRecords.end()) {
    return std::nullopt;
  }
  const software_record& record = found->second;
  if (record.left.size() != 1 ||
      (record.completeSince != 0 &&
       aUnixMs - record.completeSince < kCountedMs)) {
    return std::nullopt;
  }
  return record.left.begin()->first;
}

} // namespace arbutusferry::node
