#include "arbutusferry/node/limit_records.hpp"

#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/batch_journal.hpp"

namespace arbutusferry::node {

namespace {

/// How long the limit of a target that isn't registered is kept: several times
/// the 2 s after which a lapsed entry is back when the store returns.
constexpr std::chrono::seconds kUnknownTargetRetention{ 10 };

} // namespace

void
limit_records::Restore(const std::map<std::string, double>& aPerSecond,
                       time_point aNow)
{
  mRestoredAt = aNow;
  for (const auto& [id, perSecond] : aPerSecond) {
    mSaved[id] = { perSecond, false };
  }
}

std::vector<log_record>
limit_records::Synchronize(target_view& aTargets, time_point aNow)
{
  std::vector<log_record> changes;
  for (auto& [id, known] : aTargets.All()) {
    const auto saved = mSaved.find(id);
    if (saved != mSaved.end() && !saved->second.applied) {
      saved->second.applied = true;
      known.limit.Learn({ saved->second.perSecond, aNow }, aNow);
      Log(log_level::Info,
          "target_limit_restored",
          { { "target", id },
            { "per_second", std::to_string(saved->second.perSecond) } });
    }
    const auto& named = known.limit.Named();
    if (named && (saved == mSaved.end() ||
                  saved->second.perSecond != named->perSecond)) {
      mSaved[id] = { named->perSecond, true };
      changes.push_back({ LimitKey(id), std::to_string(named->perSecond) });
    } else if (!named && saved != mSaved.end()) {
      mSaved.erase(saved);
      changes.push_back({ LimitKey(id), {} });
    }
  }
  std::erase_if(mSaved, [&](const auto& aEntry) {
    const bool mayAppear =
      !aEntry.second.applied && aNow - mRestoredAt < kUnknownTargetRetention;
    if (mayAppear || aTargets.Find(aEntry.first)) {
      return false;
    }
    changes.push_back({ LimitKey(aEntry.first), {} });
    return true;
  });
  return changes;
}

} // namespace arbutusferry::node
