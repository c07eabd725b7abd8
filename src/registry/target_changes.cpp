#include "registry/target_changes.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

/// All fields on which decisions depend. A field that is added to
/// `target_entry` belongs here and into `ToJson` and `FromJson`.
auto
DecidingFields(const target_entry& aEntry)
{
  return std::tie(aEntry.service,
                  aEntry.address.ip,
                  aEntry.address.port,
                  aEntry.zone,
                  aEntry.software,
                  aEntry.slots,
                  aEntry.draining,
                  aEntry.reclaimable,
                  aEntry.bornUnixMs,
                  aEntry.modelVersions);
}

Json::Value
ToJson(const target_change& aChange)
{
  Json::Value value(Json::objectValue);
  value["id"] = aChange.id;
  value["at"] = Json::UInt64(aChange.offset);
  if (!aChange.entry) {
    value["gone"] = true;
    return value;
  }
  const target_entry& entry = *aChange.entry;
  value["service"] = entry.service;
  value["address"] = FormatAddress(entry.address);
  value["zone"] = entry.zone;
  value["slots"] = entry.slots;
  value["born"] = Json::Int64(entry.bornUnixMs);
  if (!entry.software.empty()) {
    value["software"] = entry.software;
  }
  if (entry.draining) {
    value["draining"] = true;
  }
  if (entry.reclaimable) {
    value["reclaimable"] = true;
  }
  for (const auto& [model, version] : entry.modelVersions) {
    value["versions"][model] = Json::Int64(version);
  }
  return value;
}

std::optional<target_change>
FromJson(const Json::Value& aValue)
{
  target_change change;
  change.id = aValue["id"].asString();
  change.offset = aValue["at"].asUInt64();
  if (change.id.empty()) {
    return std::nullopt;
  }
  if (aValue["gone"].asBool()) {
    return change;
  }
  const auto address = ParseAddress(aValue["address"].asString());
  if (!address) {
    return std::nullopt;
  }
  target_entry entry;
  entry.id = change.id;
  entry.service = aValue["service"].asString();
  entry.address = *address;
  entry.zone = aValue["zone"].asString();
  entry.software = aValue["software"].asString();
  entry.slots = aValue["slots"].asInt();
  entry.draining = aValue["draining"].asBool();
  entry.reclaimable = aValue["reclaimable"].asBool();
  entry.bornUnixMs = aValue["born"].asInt64();
  const Json::Value& versions = aValue["versions"];
  if (versions.isObject()) {
    for (const std::string& model : versions.getMemberNames()) {
      entry.modelVersions[model] = versions[model].asInt64();
    }
  }
  change.entry = std::move(entry);
  return change;
}

} // namespace

bool
SameDecisions(const target_entry& aLeft, const target_entry& aRight)
{
  return DecidingFields(aLeft) == DecidingFields(aRight);
}

std::optional<std::vector<target_change>>
DecodeChanges(const std::string& aText)
{
  using changes = std::vector<target_change>;
  return DecodeObject(aText,
                      "registry feed",
                      [](const Json::Value& aValue) -> std::optional<changes> {
                        if (!aValue["targets"].isArray()) {
                          return std::nullopt;
                        }
                        changes decoded;
                        decoded.reserve(aValue["targets"].size());
                        for (const Json::Value& each : aValue["targets"]) {
                          auto change =
                            each.isObject() ? FromJson(each) : std::nullopt;
                          if (!change) {
                            return std::nullopt;
                          }
                          decoded.push_back(std::move(*change));
                        }
                        return decoded;
                      });
}

void
target_changes::Update(const target_entry& aTarget,
                       std::uint64_t aOffset,
                       bool aRepeatWanted)
{
  const auto known = mTargets.find(aTarget.id);
  if (known != mTargets.end()) {
    target_change& change = known->second.change;
    if (aOffset < change.offset) {
      return;
    }
    if (!aRepeatWanted && change.entry &&
        SameDecisions(*change.entry, aTarget)) {
      return;
    }
  }
  Note({ aTarget.id, aOffset, aTarget });
}

void
target_changes::Remove(const std::string& aId, std::uint64_t aOffset)
{
  const auto known = mTargets.find(aId);
  if (known == mTargets.end() || !known->second.change.entry ||
      aOffset < known->second.change.offset) {
    return;
  }
  Note({ aId, aOffset, std::nullopt });
  ++mRemoved;
  for (auto oldest = mOrder.begin();
       mRemoved > kMaxRemoved && oldest != mOrder.end();) {
    const auto gone = mTargets.find(oldest->second);
    if (gone->second.change.entry) {
      ++oldest;
      continue;
    }
    mFloor = oldest->first;
    SetHistoryFrom(gone->second.change.offset + 1);
    mTargets.erase(gone);
    oldest = mOrder.erase(oldest);
    --mRemoved;
  }
}

void
target_changes::Note(target_change aChange)
{
  known_target& known = mTargets[aChange.id];
  if (known.sequence > 0) {
    mOrder.erase(known.sequence);
    if (!known.change.entry) {
      --mRemoved;
    }
  }
  known.sequence = ++mSequence;
  mOrder[known.sequence] = aChange.id;
  known.change = std::move(aChange);
  known.text.clear();
}

void
target_changes::SetHistoryFrom(std::uint64_t aOffset)
{
  mHistoryFrom = std::max(mHistoryFrom.value_or(0), aOffset);
}

std::optional<feed_cursor>
target_changes::Resolve(const feed_cursor& aCursor) const
{
  if (aCursor.epoch == mEpoch) {
    return aCursor.base >= mFloor && aCursor.base <= mSequence &&
               aCursor.sequence <= mSequence
             ? std::optional(aCursor)
             : std::nullopt;
  }
  if (!mHistoryFrom || aCursor.known == 0 || aCursor.known < *mHistoryFrom) {
    return std::nullopt;
  }
  // What changed from the known offset on, and perhaps some more.
  for (const auto& [sequence, id] : mOrder) {
    if (mTargets.at(id).change.offset >= aCursor.known) {
      return feed_cursor{ mEpoch, sequence - 1, sequence - 1, aCursor.known };
    }
  }
  return feed_cursor{ mEpoch, mSequence, mSequence, aCursor.known };
}

bool
target_changes::Has(const feed_cursor& aCursor) const
{
  // A follower of another process gets this one's cursor at once.
  return aCursor.epoch != mEpoch || !Resolve(aCursor) ||
         aCursor.sequence < mSequence;
}

change_page
target_changes::After(const feed_cursor& aCursor) const
{
  const auto from = Resolve(aCursor);
  change_page page;
  page.snapshot = !from;
  std::uint64_t sequence = from ? from->sequence : 0;
  page.text = R"({"targets":[)";
  auto entry = mOrder.upper_bound(sequence);
  for (std::size_t count = 0; entry != mOrder.end() && count < kPageChanges;
       ++entry, ++count) {
    sequence = entry->first;
    const known_target& known = mTargets.at(entry->second);
    if (known.text.empty()) {
      known.text = WriteJson(ToJson(known.change));
    }
    page.text.append(count > 0 ? "," : "").append(known.text);
  }
  page.text += "]}";
  page.more = entry != mOrder.end();
  page.next.epoch = mEpoch;
  page.next.sequence = page.more ? sequence : mSequence;
  page.next.base = page.next.sequence;
  if (page.more) {
    // The later pages of a snapshot keep the base of the first one.
    page.next.base = page.snapshot ? mSequence : std::max(sequence, from->base);
  }
  return page;
}

} // namespace arbutusferry::node
