#include "arbutusferry/node/target_view.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// How long a removed target stays a last resort: shorter than the time for
/// which draining targets keep serving on both reference deployments
/// (`drain-ms`).
constexpr milliseconds kRemovedTargetRetention{ 1'200 };
/// Backoff after a failure; doubles with each further one up to the maximum.
constexpr milliseconds kInitialBackoff{ 250 };
constexpr milliseconds kMaxBackoff{ 4'000 };
/// How long a target that refused a request as full is avoided.
constexpr milliseconds kFullTargetPause{ 30 };
/// A target that named a limit this long ago is chosen like any other, since
/// its limit may have ended.
constexpr milliseconds kLimitRecheck{ 2'000 };
/// One in this many slots of a target is kept for callers, at least one of a
/// target with several.
constexpr int kSlotsPerKeptSlot = 4;

} // namespace

int
SlotsKeptForCallers(int aSlots)
{
  return aSlots > 1 ? std::max(1, aSlots / kSlotsPerKeptSlot) : 0;
}

void
target_view::Update(const target_entry& aEntry, time_point aNow)
{
  const auto [at, added] = mTargets.try_emplace(aEntry.id);
  known_target& known = at->second;
  const bool restarted = known.entry.bornUnixMs != aEntry.bornUnixMs ||
                         known.entry.address != aEntry.address;
  if (restarted) {
    known.failures = 0;
    known.avoidUntil = {};
    known.limit = target_limit();
    known.nextStart = {};
  }
  if (aEntry.draining && !known.entry.draining) {
    known.drainingSince = aNow;
  }
  known.entry = aEntry;
  known.removedSince.reset();
  NoteColdRecord(known, added || restarted, aNow);
}

void
target_view::Remove(const std::string& aId, time_point aNow)
{
  if (known_target* known = Find(aId); known && !known->removedSince) {
    known->removedSince = aNow;
  }
}

void
target_view::Expire(time_point aNow)
{
  std::erase_if(mTargets, [&](const auto& aEntry) {
    const known_target& known = aEntry.second;
    return known.removedSince &&
           aNow - *known.removedSince >= kRemovedTargetRetention &&
           known.outstanding == 0;
  });
  if (HasColdRates()) {
    for (auto& [id, known] : mTargets) {
      SyncColdRate(known, aNow);
    }
  }
}

target_view::known_target*
target_view::Find(const std::string& aId)
{
  const auto found = mTargets.find(aId);
  return found == mTargets.end() ? nullptr : &found->second;
}

bool
target_view::Fits(const known_target& aTarget, const target_query& aQuery) const
{
  const target_entry& entry = aTarget.entry;
  return entry.service == aQuery.service && !entry.draining &&
         (!aQuery.software || entry.software == *aQuery.software) &&
         !aQuery.excluded.contains(entry.id) && Allows(aTarget) &&
         (!aQuery.homes.Restricted() ||
          aQuery.homes.Allows(mRegions.RegionOf(entry.zone)));
}

bool
target_view::Allows(const socket_address& aAddress,
                    const std::string& aZone) const
{
  if (mEvacuations.AllowsAll()) {
    return true;
  }
  if (!aZone.empty()) {
    return mEvacuations.Allows(aZone);
  }
  const auto found =
    std::find_if(mTargets.begin(), mTargets.end(), [&](const auto& aEntry) {
      return aEntry.second.entry.address == aAddress;
    });
  // A target that isn't known may be in an evacuated zone.
  return found != mTargets.end() && Allows(found->second);
}

std::string
target_view::Choose(const target_query& aQuery, time_point aNow) const
{
  using rank = std::tuple<bool, bool, bool, bool, bool, double, std::uint64_t>;
  std::optional<rank> best;
  std::string chosen;
  for (const auto& [id, known] : mTargets) {
    const target_entry& entry = known.entry;
    if (!Fits(known, aQuery) ||
        (known.removedSince &&
         aNow - *known.removedSince >= kRemovedTargetRetention)) {
      continue;
    }
    const bool tried =
      std::find(aQuery.tried.begin(), aQuery.tried.end(), id) !=
      aQuery.tried.end();
    const auto& limit = known.limit.Named();
    const bool cold = known.limit.ColdRate().has_value();
    const rank candidate{
      known.removedSince.has_value(),
      tried,
      known.avoidUntil > aNow ||
        (known.limit.Limited() && known.nextStart > aNow),
      cold || (limit && aNow - limit->namedAt < kLimitRecheck),
      !aQuery.ranking &&
        (entry.zone != aQuery.zone ||
         known.outstanding >=
           entry.slots -
             (aQuery.leavesSlots ? SlotsKeptForCallers(entry.slots) : 0)),
      aQuery.ranking
        ? aQuery.ranking->Rank(entry, known.outstanding, aQuery.salt)
        : known.outstanding,
      Hash64(id, aQuery.salt)
    };
    if (!best || candidate < *best) {
      best = candidate;
      chosen = id;
    }
  }
  return chosen;
}

std::size_t
target_view::CountReady(const target_query& aQuery) const
{
  return static_cast<std::size_t>(
    std::count_if(mTargets.begin(), mTargets.end(), [&](const auto& aEntry) {
      return Fits(aEntry.second, aQuery) && !aEntry.second.removedSince;
    }));
}

software_history::version_map
target_view::SoftwareVersions() const
{
  software_history::version_map versions;
  for (const auto& [id, known] : mTargets) {
    versions[known.entry.service].insert(known.entry.software);
  }
  return versions;
}

void
target_view::SpendLimitBursts(time_point aNow)
{
  for (auto& [id, known] : mTargets) {
    known.limit.SpendBurst(aNow);
    known.doubtedStarts.SpendBurst(aNow);
  }
}

void
target_view::NoteSuccess(const std::string& aId)
{
  if (known_target* known = Find(aId)) {
    known->failures = 0;
    known->avoidUntil = {};
  }
}

void
target_view::NoteFailure(const std::string& aId, time_point aNow)
{
  if (known_target* known = Find(aId)) {
    const duration backoff =
      kInitialBackoff * (1 << std::min(known->failures, 4));
    known->avoidUntil = aNow + std::min<duration>(backoff, kMaxBackoff);
    ++known->failures;
  }
}

void
target_view::NoteFull(const std::string& aId, time_point aNow)
{
  if (known_target* known = Find(aId)) {
    known->avoidUntil = std::max(known->avoidUntil, aNow + kFullTargetPause);
  }
}

void
target_view::NoteLimit(const std::string& aId,
                       const limit_notice& aNotice,
                       bool aGenuine,
                       time_point aSentAt,
                       time_point aNow)
{
  known_target* known = Find(aId);
  if (known && aNotice.coldLeft && ColdRateOf(*known)) {
    known->cold.NoteResponse(*aNotice.coldLeft, aNow);
    SyncColdRate(*known, aNow);
  }
  if (!known || !known->limit.Note(aNotice, aGenuine, aSentAt, aNow)) {
    return;
  }
  if (const auto& named = known->limit.Named()) {
    Log(log_level::Info,
        "target_limit",
        { { "target", aId },
          { "per_second", std::to_string(named->perSecond) } });
  } else {
    Log(log_level::Info, "target_limit_ended", { { "target", aId } });
  }
}

} // namespace arbutusferry::node
