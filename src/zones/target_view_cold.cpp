#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/target_view.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// A record that arrives within this time of the end of an evacuation may have
/// been written before it: targets write every 1,200 ms.
constexpr milliseconds kZoneBackDistrust{ 1'500 };

const char*
ReasonName(cold_reason aReason)
{
  switch (aReason) {
    case cold_reason::Broken:
      return "broken";
    case cold_reason::ZoneBack:
      return "zone_back";
    case cold_reason::Unknown:
      return "unknown";
    case cold_reason::OtherNode:
      break;
  }
  return "other_node";
}

} // namespace

const cold_rate*
target_view::ColdRateOf(const known_target& aTarget) const
{
  if (mColdRates.empty()) {
    return nullptr;
  }
  const auto found = mColdRates.find(aTarget.entry.service);
  return found == mColdRates.end() ? nullptr : &found->second;
}

void
target_view::SetColdRates(std::map<std::string, cold_rate> aRates,
                          time_point aNow)
{
  const auto before = std::exchange(mColdRates, std::move(aRates));
  if (before == mColdRates) {
    return;
  }
  for (auto& [id, known] : mTargets) {
    if (ColdRateOf(known) && !before.contains(known.entry.service)) {
      // What its records tell was not looked at so far.
      NoteColdRecord(known, true, aNow);
    } else {
      SyncColdRate(known, aNow);
    }
  }
}

void
target_view::NoteColdRecord(known_target& aTarget, bool aNew, time_point aNow)
{
  const cold_rate* rate = ColdRateOf(aTarget);
  if (!rate) {
    return;
  }
  const auto back = mZonesBack.find(aTarget.entry.zone);
  if (aNew && back != mZonesBack.end() &&
      aNow < back->second + kZoneBackDistrust) {
    PresumeCold(
      aTarget, cold_reason::ZoneBack, back->second + kZoneBackDistrust, aNow);
  }
  if (aNew && !aTarget.entry.coldLeft) {
    Log(log_level::Info,
        "target_presumed_cold",
        { { "target", aTarget.entry.id },
          { "reason", ReasonName(cold_reason::Unknown) } });
  }
  aTarget.cold.NoteRecord(aTarget.entry.coldLeft, aNew, rate->coldStart, aNow);
  SyncColdRate(aTarget, aNow);
}

void
target_view::SyncColdRate(known_target& aTarget, time_point aNow)
{
  const cold_rate* rate = ColdRateOf(aTarget);
  const bool cold = rate && aTarget.cold.Cold(aNow);
  const bool wasCold = aTarget.limit.ColdRate().has_value();
  aTarget.limit.SetColdRate(
    cold ? std::optional(rate->perSecond) : std::nullopt, aNow);
  if (cold && !wasCold) {
    aTarget.doubtedStarts.SetColdRate(std::nullopt, aNow);
    Log(log_level::Info,
        "target_cold",
        { { "target", aTarget.entry.id },
          { "per_second", std::to_string(rate->perSecond) } });
  } else if (!cold && wasCold) {
    aTarget.nextStart = {};
    Log(log_level::Info, "target_warm", { { "target", aTarget.entry.id } });
  }
}

void
target_view::PresumeCold(known_target& aTarget,
                         cold_reason aReason,
                         time_point aFrom,
                         time_point aNow)
{
  if (!ColdRateOf(aTarget)) {
    return;
  }
  if (aTarget.cold.Presume(aFrom, aNow)) {
    Log(log_level::Info,
        "target_presumed_cold",
        { { "target", aTarget.entry.id }, { "reason", ReasonName(aReason) } });
  }
  SyncColdRate(aTarget, aNow);
}

void
target_view::PresumeCold(const std::string& aId,
                         cold_reason aReason,
                         time_point aNow)
{
  if (known_target* known = Find(aId)) {
    PresumeCold(*known, aReason, aNow, aNow);
  }
}

void
target_view::NoteBroken(const socket_address& aAddress, time_point aNow)
{
  if (!HasColdRates()) {
    return;
  }
  for (auto& [id, known] : mTargets) {
    if (known.entry.address == aAddress) {
      PresumeCold(known, cold_reason::Broken, aNow, aNow);
    }
  }
}

void
target_view::NoteZoneBack(const std::string& aZone, time_point aNow)
{
  mZonesBack[aZone] = aNow;
  for (auto& [id, known] : mTargets) {
    if (known.entry.zone == aZone) {
      PresumeCold(known, cold_reason::ZoneBack, aNow + kZoneBackDistrust, aNow);
    }
  }
}

bool
target_view::ColdAt(const socket_address& aAddress) const
{
  return HasColdRates() &&
         std::any_of(mTargets.begin(), mTargets.end(), [&](const auto& aEntry) {
           return aEntry.second.entry.address == aAddress &&
                  aEntry.second.limit.ColdRate();
         });
}

std::size_t
target_view::CountCold() const
{
  return static_cast<std::size_t>(
    std::count_if(mTargets.begin(), mTargets.end(), [](const auto& aEntry) {
      return aEntry.second.limit.ColdRate().has_value();
    }));
}

start_limits
target_view::LimitsOf(const known_target& aTarget)
{
  start_limits limits;
  limits.named = aTarget.limit.Named();
  if (const auto& rate = aTarget.limit.ColdRate()) {
    limits.cold = cold_limit{ *rate, aTarget.cold.KnownSince() };
  }
  return limits;
}

} // namespace arbutusferry::node
