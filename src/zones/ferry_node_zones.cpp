#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/ferry_node.hpp"

namespace arbutusferry::node {

void
ferry_node::EvacuateZone(const std::string& aZone, std::uint64_t aOffset)
{
  Log(log_level::Info,
      "evacuation_known",
      { { "zone", aZone }, { "offset", std::to_string(aOffset) } });
  if (!mTargets.Evacuations().Order(aZone, aOffset)) {
    return;
  }
  std::size_t targets = 0;
  int outstanding = 0;
  for (const auto& [id, known] : mTargets.All()) {
    if (known.entry.zone == aZone) {
      ++targets;
      outstanding += known.outstanding;
    }
  }
  Log(log_level::Warning,
      "evacuation_in_force",
      { { "zone", aZone },
        { "offset", std::to_string(aOffset) },
        { "targets", std::to_string(targets) },
        { "outstanding", std::to_string(outstanding) } });
  if (mLeader) {
    mLeader->OnTargetsChanged();
  }
}

void
ferry_node::LiftEvacuation(const std::string& aZone, std::uint64_t aOffset)
{
  if (!mTargets.Evacuations().Lift(aZone, aOffset)) {
    return;
  }
  Log(log_level::Warning,
      "evacuation_lifted",
      { { "zone", aZone }, { "offset", std::to_string(aOffset) } });
  mTargets.NoteZoneBack(aZone, mParts.loop.Now());
  if (mLeader) {
    mLeader->OnTargetsChanged();
  }
}

void
ferry_node::NoteOrdersRead()
{
  if (!mTargets.Evacuations().NoteOrdersRead()) {
    return;
  }
  Log(
    log_level::Info,
    "orders_read",
    { { "evacuated_zones", std::to_string(mTargets.Evacuations().Count()) } });
  if (mLeader) {
    mLeader->OnTargetsChanged();
  }
}

bool
ferry_node::MayCarry(const home_regions& aHomes, const std::string& aZone) const
{
  const std::string& region = mTargets.Regions().RegionOf(aZone);
  return aHomes.Allows(region) ||
         (!region.empty() &&
          region == mTargets.Regions().RegionOf(mSettings.zone));
}

void
ferry_node::ApplyColdRates()
{
  std::map<std::string, cold_rate> rates;
  for (const service_entry& service : mEnvironment.Services()) {
    if (service.coldRate) {
      rates[service.name] = *service.coldRate;
    }
  }
  mTargets.SetColdRates(std::move(rates), mParts.loop.Now());
}

void
ferry_node::SetZoneMetrics()
{
  if (mTargets.HasColdRates()) {
    mMetrics.SetGauge(
      "ferry_cold_targets", {}, static_cast<double>(mTargets.CountCold()));
    mMetrics.SetGauge("ferry_cold_starts_granted",
                      {},
                      static_cast<double>(mLimits.ColdGranted()));
    mMetrics.SetGauge("ferry_cold_starts_refused",
                      {},
                      static_cast<double>(mLimits.ColdRefused()));
  }
  if (mTargets.Evacuations().EverOrdered()) {
    mMetrics.SetGauge("ferry_evacuated_zones",
                      {},
                      static_cast<double>(mTargets.Evacuations().Count()));
    mMetrics.SetGauge("ferry_requests_held_back",
                      {},
                      static_cast<double>(mTargetClient.HeldBack()));
  }
}

} // namespace arbutusferry::node
