#include "arbutusferry/node/crash_ledger.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Weight of a report, and of one by a node that had served the request. A
/// request is blocked from `kBlockWeight` on: the platform's rules allow three
/// targets to end.
constexpr int kReportWeight = 2;
constexpr int kServedReportWeight = 1;
constexpr int kBlockWeight = 3 * kReportWeight;
/// How long a request is blocked after its newest report, and how long fewer
/// reports count.
constexpr std::chrono::minutes kRetention{ 10 };
/// A process that writes to the registry this long after a report that it has
/// ended is alive. A record that it wrote before its end is read sooner.
constexpr milliseconds kAliveAfter{ 1'500 };
/// Reports that count for one request at most.
constexpr std::size_t kMaxReportsPerRequest = 8;

int
WeightOf(const crash_report& aReport)
{
  return aReport.servedBefore ? kServedReportWeight : kReportWeight;
}

} // namespace

std::string
CrashKey(const crash_report& aReport)
{
  return aReport.fingerprint + "/" + aReport.target + "/" +
         std::to_string(aReport.bornUnixMs);
}

std::string
EncodeCrash(const crash_report& aReport)
{
  Json::Value value(Json::objectValue);
  value["fingerprint"] = aReport.fingerprint;
  value["target"] = aReport.target;
  value["born"] = Json::Int64(aReport.bornUnixMs);
  value["served_before"] = aReport.servedBefore;
  return WriteJson(value);
}

std::optional<crash_report>
DecodeCrash(const std::string& aText)
{
  const auto parsed = Capture([&] { return ParseJson(aText, "crash report"); });
  const auto* value = std::get_if<Json::Value>(&parsed);
  if (!value || !value->isObject() || !(*value)["fingerprint"].isString() ||
      !(*value)["target"].isString() || !(*value)["born"].isInt64() ||
      !(*value)["served_before"].isBool()) {
    return std::nullopt;
  }
  return crash_report{ (*value)["fingerprint"].asString(),
                       (*value)["target"].asString(),
                       (*value)["born"].asInt64(),
                       (*value)["served_before"].asBool() };
}

void
crash_ledger::Add(const crash_report& aReport, time_point aNow)
{
  const std::string key = CrashKey(aReport);
  if (const auto known = mEntries.find(key);
      known != mEntries.end() && !known->second.ended) {
    return;
  }
  const int before = Weight(aReport.fingerprint);
  mEntries.insert_or_assign(key, entry{ aReport, aNow });
  mKeysByFingerprint[aReport.fingerprint].insert(key);
  mKeysByTarget[aReport.target].insert(key);
  if (before < kBlockWeight && Weight(aReport.fingerprint) >= kBlockWeight) {
    Log(
      log_level::Warning,
      "request_blocked",
      { { "fingerprint", aReport.fingerprint }, { "target", aReport.target } });
  }
  const auto counting = Counting(aReport.fingerprint);
  if (counting.size() > kMaxReportsPerRequest) {
    mEntries.at(counting.front()).ended = true;
  }
  if (mEntries.size() > mMakeRoomAt) {
    MakeRoom();
    mMakeRoomAt = std::max(kMaxReports, mEntries.size() + kMaxReports / 4);
  }
}

void
crash_ledger::MakeRoom()
{
  // Reports of requests that aren't blocked go first, then the oldest.
  std::vector<std::tuple<bool, time_point, std::string>> ranked;
  std::vector<std::string> ended;
  for (const auto& [key, known] : mEntries) {
    if (known.ended) {
      ended.push_back(key);
    } else {
      ranked.emplace_back(
        Weight(known.report.fingerprint) >= kBlockWeight, known.since, key);
    }
  }
  if (ranked.size() > kMaxReports) {
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(kMaxReports / 4);
    for (const auto& [blocked, since, key] : ranked) {
      mEntries.at(key).ended = true;
    }
  }
  if (mEntries.size() > 2 * kMaxReports) {
    for (const std::string& key : ended) {
      Remove(key);
    }
  }
}

void
crash_ledger::Remove(const std::string& aKey)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return;
  }
  const auto forget = [&](auto& aIndex, const std::string& aName) {
    const auto keys = aIndex.find(aName);
    keys->second.erase(aKey);
    if (keys->second.empty()) {
      aIndex.erase(keys);
    }
  };
  forget(mKeysByFingerprint, found->second.report.fingerprint);
  forget(mKeysByTarget, found->second.report.target);
  mEntries.erase(found);
}

void
crash_ledger::NoteAlive(const std::string& aTarget,
                        std::int64_t aBornUnixMs,
                        time_point aNow)
{
  const auto keys = mKeysByTarget.find(aTarget);
  if (keys == mKeysByTarget.end()) {
    return;
  }
  for (const std::string& key : keys->second) {
    entry& known = mEntries.at(key);
    if (!known.ended && known.report.bornUnixMs == aBornUnixMs &&
        aNow - known.since >= kAliveAfter) {
      known.ended = true;
      Log(
        log_level::Info,
        "crash_report_wrong",
        { { "fingerprint", known.report.fingerprint }, { "target", aTarget } });
    }
  }
}

std::vector<std::string>
crash_ledger::NoteServed(const std::string& aFingerprint)
{
  const auto keys = mKeysByFingerprint.find(aFingerprint);
  if (keys == mKeysByFingerprint.end()) {
    return {};
  }
  std::vector<std::string> dropped(keys->second.begin(), keys->second.end());
  for (const std::string& key : dropped) {
    Remove(key);
  }
  return dropped;
}

std::vector<std::string>
crash_ledger::Counting(const std::string& aFingerprint) const
{
  std::vector<std::string> counting;
  const auto keys = mKeysByFingerprint.find(aFingerprint);
  if (keys == mKeysByFingerprint.end()) {
    return counting;
  }
  for (const std::string& key : keys->second) {
    if (!mEntries.at(key).ended) {
      counting.push_back(key);
    }
  }
  std::stable_sort(counting.begin(),
                   counting.end(),
                   [this](const auto& aLeft, const auto& aRight) {
                     return mEntries.at(aLeft).since <
                            mEntries.at(aRight).since;
                   });
  return counting;
}

int
crash_ledger::Weight(const std::string& aFingerprint) const
{
  int weight = 0;
  for (const std::string& key : Counting(aFingerprint)) {
    weight += WeightOf(mEntries.at(key).report);
  }
  return weight;
}

std::optional<milliseconds>
crash_ledger::BlockedFor(
  const std::string& aFingerprint,
  const std::map<std::string, crash_report>& aUnconfirmed,
  time_point aNow) const
{
  int weight = 0;
  time_point newest = aNow;
  for (const std::string& key : Counting(aFingerprint)) {
    if (!aUnconfirmed.contains(key)) {
      weight += WeightOf(mEntries.at(key).report);
    }
    newest = mEntries.at(key).since;
  }
  for (const auto& [key, report] : aUnconfirmed) {
    if (report.fingerprint == aFingerprint) {
      weight += WeightOf(report);
      newest = aNow;
    }
  }
  if (weight < kBlockWeight) {
    return std::nullopt;
  }
  return std::max(std::chrono::ceil<milliseconds>(newest + kRetention - aNow),
                  milliseconds(0));
}

void
crash_ledger::Expire(time_point aNow)
{
  for (const auto& [fingerprint, keys] : mKeysByFingerprint) {
    auto counting = Counting(fingerprint);
    if (counting.empty() ||
        aNow - mEntries.at(counting.back()).since < kRetention) {
      continue;
    }
    if (Weight(fingerprint) < kBlockWeight) {
      for (const std::string& key : counting) {
        mEntries.at(key).ended = true;
      }
      continue;
    }
    // The request may be sent again, and one more report blocks it.
    std::reverse(counting.begin(), counting.end());
    while (Weight(fingerprint) >= kBlockWeight) {
      mEntries.at(counting.back()).ended = true;
      counting.pop_back();
    }
    for (const std::string& key : counting) {
      mEntries.at(key).since = aNow;
    }
  }
}

std::vector<std::string>
crash_ledger::EndedKeys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, known] : mEntries) {
    if (known.ended) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::size_t
crash_ledger::CountBlocked() const
{
  return static_cast<std::size_t>(std::count_if(mKeysByFingerprint.begin(),
                                                mKeysByFingerprint.end(),
                                                [this](const auto& aEntry) {
                                                  return Weight(aEntry.first) >=
                                                         kBlockWeight;
                                                }));
}

} // namespace arbutusferry::node
