#include "routing/slot_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace arbutusferry {

namespace {

/// Weight at which the parts of a slot that an entry lost to rounding count in
/// later rounds. It is small because a slot that moves between entries stays
/// unused for about one message round trip.
constexpr double kCarryWeight = 0.05;
/// Preference for the entry that held the odd slot in the previous round.
constexpr double kStickiness = 0.5;
/// Idle entries keep one slot for their first request when there are at least
/// this many slots per entry.
constexpr std::int64_t kSlotsForIdleReserve = 2;
/// Time for which the work in flight of an entry that stopped reporting counts;
/// longer than a usual exchange.
constexpr duration kInFlightRetention = std::chrono::seconds(60);
/// Consecutive rounds in which load must exceed what the entries of this zone
/// account for, because reports and loads are not taken at the same time.
constexpr std::size_t kUnaccountedRounds = 4;

} // namespace

struct slot_planner::impl
{
  slot_planner_options options;
  std::int64_t round;
  std::map<std::string, entry_state> entries;
  std::map<std::string, zone_state> zones;
  std::map<std::string, std::array<std::int64_t, kUnaccountedRounds>>
    unaccounted; ///< Newest rounds by target id.
  std::map<std::string, service_balance> balances; ///< By class.

  explicit impl(const slot_planner_options& aOptions)
    : options(aOptions)
    , round(aOptions.firstRound)
  {
  }

  /// An entry that reported to another planner before may still use that
  /// planner's grants. Two grant lifetimes after its first report here, the
  /// last grant that could lend its slots has expired; one lifetime later,
  /// exchanges on lent slots have ended too.
  [[nodiscard]] bool Grantable(const entry_state& aEntry, time_point aNow) const
  {
    return aNow - aEntry.lastReport < options.grantLifetime &&
           aNow - aEntry.firstReport >= 3 * options.grantLifetime;
  }

  [[nodiscard]] std::int64_t Reserved(const entry_state& aEntry,
                                      const target_info& aTarget,
                                      std::int64_t aFallback,
                                      time_point aNow) const
  {
    std::int64_t slots = 0;
    if (const auto found = aEntry.inFlight.find(aTarget.id);
        found != aEntry.inFlight.end() &&
        aNow - aEntry.lastReport < kInFlightRetention) {
      slots = found->second;
    }
    for (const auto& issued : aEntry.rounds) {
      if (aNow - issued.issuedAt < options.grantLifetime) {
        const auto found = issued.slots.find(aTarget.id);
        slots =
          std::max(slots, found == issued.slots.end() ? 0 : found->second);
      }
    }
    // The entry may return to its fallback slots two grant lifetimes after its
    // grants expire. Grants planned now and their exchanges must have ended by
    // then.
    if (!aEntry.acknowledgedIssueTime ||
        aNow - *aEntry.acknowledgedIssueTime >= options.grantLifetime) {
      slots = std::max(slots, aFallback);
    }
    return slots;
  }

  /// Drops the rounds before the newest one that the entry received.
  /// @return Whether it received any.
  bool Acknowledge(entry_state& aEntry,
                   std::optional<std::int64_t> aAcknowledged,
                   time_point aNow) const
  {
    auto received = aEntry.rounds.end();
    for (auto issued = aEntry.rounds.begin(); issued != aEntry.rounds.end();
         ++issued) {
      const bool known =
        aAcknowledged ? issued->round == *aAcknowledged
                      : aNow - issued->issuedAt >= options.assumedDeliveryDelay;
      if (known) {
        received = issued;
      }
    }
    if (received == aEntry.rounds.end()) {
      return false;
    }
    aEntry.acknowledgedIssueTime = received->issuedAt;
    aEntry.rounds.erase(aEntry.rounds.begin(), received);
    return true;
  }

  /// Records the load above `aKnown` that the target reports.
  /// @return The least such load over the newest rounds.
  std::int64_t UnaccountedLoad(const target_info& aTarget, std::int64_t aKnown)
  {
    auto& recent = unaccounted[aTarget.id];
    recent[static_cast<std::size_t>(round) % kUnaccountedRounds] =
      std::max<std::int64_t>(aTarget.running + aTarget.waiting - aKnown, 0);
    return *std::min_element(recent.begin(), recent.end());
  }

  [[nodiscard]] std::map<std::string, double> Lend(
    const class_plan& aPlan,
    std::int64_t aSlots,
    const std::map<std::string, std::vector<double>>& aDemand,
    std::map<std::string, double> aHeld,
    const std::map<std::string, double>& aShares,
    time_point aNow,
    std::map<std::string, double>& aParts);
  std::vector<std::int64_t> Counts(
    const class_plan& aPlan,
    const std::vector<entry_state*>& aEntries,
    const std::vector<std::string>& aNames,
    const std::map<std::string, double>& aShares,
    time_point aNow,
    std::vector<std::vector<team_grant>>& aTeams);
};

namespace {

double
ShareOf(const std::map<std::string, double>& aShares, const std::string& aTeam)
{
  const auto found = aShares.find(aTeam);
  return found == aShares.end() || found->second <= 0 ? 1.0 : found->second;
}

std::int64_t
Held(const class_plan& aPlan, const entry_state& aEntry)
{
  std::int64_t held = 0;
  for (const auto* target : aPlan.targets) {
    const auto found = aEntry.desired.find(target->id);
    held += found == aEntry.desired.end() ? 0 : found->second;
  }
  return held;
}

} // namespace

/// Divides the slots of all zones among the teams and determines what this zone
/// can lend. Every zone gets the same result from the same reports; results
/// differ only while reports lag.
/// @param aDemand Demand of this zone by team and entry.
/// @param aHeld Slots that teams hold in this zone.
/// @param aParts Receives the part of each team that belongs to this zone.
/// @return Slots to lend by zone.
std::map<std::string, double>
slot_planner::impl::Lend(
  const class_plan& aPlan,
  std::int64_t aSlots,
  const std::map<std::string, std::vector<double>>& aDemand,
  std::map<std::string, double> aHeld,
  const std::map<std::string, double>& aShares,
  time_point aNow,
  std::map<std::string, double>& aParts)
{
  std::vector<std::string> names{ options.zone };
  std::vector<double> surplus{ static_cast<double>(aSlots) };
  std::map<std::string, std::vector<double>> demand; ///< By team and zone.
  for (const auto& [team, entries] : aDemand) {
    demand[team] = { std::accumulate(entries.begin(), entries.end(), 0.0) };
  }
  for (const auto& [zone, state] : zones) {
    if (aNow - state.borrower.lastReport >= options.grantLifetime) {
      continue;
    }
    const auto slots = state.slots.find(aPlan.name);
    names.push_back(zone);
    surplus.push_back(
      slots == state.slots.end() ? 0 : static_cast<double>(slots->second));
    for (const auto& line : state.borrower.demand) {
      if (line.targetClass == aPlan.name && line.waiting + line.running > 0) {
        auto& byZone = demand[line.team];
        byZone.resize(names.size());
        byZone.back() += static_cast<double>(line.waiting + line.running);
        aHeld[line.team] += static_cast<double>(line.running);
      }
    }
  }
  std::vector<double> weights;
  std::vector<double> totals;
  for (auto& [team, byZone] : demand) {
    byZone.resize(names.size());
    weights.push_back(ShareOf(aShares, team));
    totals.push_back(std::accumulate(byZone.begin(), byZone.end(), 0.0));
  }
  const double slots = std::accumulate(surplus.begin(), surplus.end(), 0.0);
  auto parts = WeightedMaxMin(slots, weights, totals);
  std::map<std::string, double> entitled;
  std::size_t index = 0;
  auto& balance = balances[aPlan.name];
  for (const auto& [team, byZone] : demand) {
    entitled[team] = parts[index];
    weights[index++] *= balance.Factor(team);
  }
  balance.Update(entitled, aHeld, aNow);
  parts = WeightedMaxMin(slots, weights, totals);
  index = 0;
  for (const auto& [team, byZone] : demand) {
    const auto split = WeightedMaxMin(
      parts[index++], std::vector<double>(byZone.size(), 1.0), byZone);
    aParts[team] = split.front();
    for (std::size_t z = 0; z < split.size(); ++z) {
      surplus[z] -= split[z];
    }
  }
  double spare = 0;
  for (const double each : surplus) {
    spare += std::max(each, 0.0);
  }
  std::map<std::string, double> lent;
  for (std::size_t z = 1; z < names.size(); ++z) {
    if (surplus.front() > 0 && surplus[z] < 0) {
      lent[names[z]] = -surplus[z] * surplus.front() / spare;
    }
  }
  return lent;
}

/// Decides how many slots of a class each entry and each borrowing zone gets.
std::vector<std::int64_t>
slot_planner::impl::Counts(const class_plan& aPlan,
                           const std::vector<entry_state*>& aEntries,
                           const std::vector<std::string>& aNames,
                           const std::map<std::string, double>& aShares,
                           time_point aNow,
                           std::vector<std::vector<team_grant>>& aTeams)
{
  // Slots reserved for entries without grants are not divided.
  std::vector<bool> isServed(aEntries.size());
  for (const auto e : aPlan.served) {
    isServed[e] = true;
  }
  std::int64_t own = 0;
  std::int64_t borrowed = 0;
  for (std::size_t t = 0; t < aPlan.targets.size(); ++t) {
    auto slots = aPlan.capacity[t];
    for (std::size_t e = 0; e < aEntries.size(); ++e) {
      slots -= isServed[e] ? 0 : aPlan.reserved[e][t];
    }
    (aPlan.own[t] ? own : borrowed) += std::max<std::int64_t>(slots, 0);
  }

  // Demand in slots by team, then by entry.
  std::map<std::string, std::vector<double>> demand;
  std::map<std::string, double> held;
  std::vector<bool> idle(aEntries.size(), true);
  for (const auto e : aPlan.grantable) {
    for (const auto& line : aEntries[e]->demand) {
      const auto slots = line.waiting + line.running;
      if (line.targetClass == aPlan.name && slots > 0) {
        auto& entries = demand[line.team];
        entries.resize(aEntries.size());
        entries[e] += static_cast<double>(slots);
        held[line.team] += static_cast<double>(line.running);
        idle[e] = false;
      }
    }
  }
  std::vector<double> wanted(aEntries.size());
  std::int64_t reserve = 0;
  if (own >= kSlotsForIdleReserve *
               static_cast<std::int64_t>(aPlan.grantable.size())) {
    for (const auto e : aPlan.grantable) {
      wanted[e] = idle[e] ? 1 : 0;
      reserve += idle[e] ? 1 : 0;
    }
  }

  std::vector<std::int64_t> counts(aEntries.size());
  std::map<std::string, double> parts;
  const auto lent =
    Lend(aPlan, own - reserve, demand, held, aShares, aNow, parts);
  std::int64_t capacity = own + borrowed;
  for (const auto z : aPlan.borrowers) {
    const auto loan = lent.find(aNames[z]);
    const double slots = loan == lent.end() ? 0 : loan->second;
    // A loan that is off by less than one slot stays unchanged.
    const auto held = Held(aPlan, *aEntries[z]);
    counts[z] = std::abs(slots - static_cast<double>(held)) < 1
                  ? held
                  : static_cast<std::int64_t>(std::llround(slots));
    counts[z] = std::clamp<std::int64_t>(counts[z], 0, capacity - borrowed);
    capacity -= counts[z];
  }

  // Weighted max-min over teams, then unweighted over the entries of a team.
  std::vector<double> weights;
  std::vector<double> totals;
  for (const auto& [team, entries] : demand) {
    // The small term keeps the weight of a team above 0 if its whole part lies
    // in other zones.
    weights.push_back(parts[team] + 1e-6 * ShareOf(aShares, team));
    totals.push_back(std::accumulate(entries.begin(), entries.end(), 0.0));
  }
  double remaining = static_cast<double>(capacity - reserve);
  const auto divided = WeightedMaxMin(remaining, weights, totals);
  double level = 0;
  std::size_t index = 0;
  for (const auto& [team, entries] : demand) {
    level = std::max(level, divided[index++] / ShareOf(aShares, team));
  }
  index = 0;
  for (const auto& [team, entries] : demand) {
    const double part = divided[index++];
    const auto split =
      WeightedMaxMin(part, std::vector<double>(entries.size(), 1.0), entries);
    for (const auto e : aPlan.grantable) {
      wanted[e] += split[e];
      remaining -= split[e];
      if (entries[e] > 0 && part > 0) {
        // A team whose demand is met keeps its whole share, because its demand
        // may grow before the next round.
        const double entitled =
          level * ShareOf(aShares, team) * split[e] / part;
        const bool met = part >= totals[index - 1] - 1e-9;
        aTeams[e].push_back(
          { team, aPlan.name, met ? std::max(split[e], entitled) : split[e] });
      }
    }
  }
  for (const auto e : aPlan.grantable) {
    wanted[e] +=
      std::max(remaining, 0.0) / static_cast<double>(aPlan.grantable.size());
  }

  // Largest remainder method: the largest fractions are rounded up.
  std::vector<std::pair<double, std::size_t>> remainders;
  std::int64_t rest = capacity;
  for (const auto e : aPlan.grantable) {
    counts[e] = static_cast<std::int64_t>(std::floor(wanted[e] + 1e-9));
    rest -= counts[e];
    const bool heldMore = Held(aPlan, *aEntries[e]) > counts[e];
    remainders.emplace_back(static_cast<double>(counts[e]) - wanted[e] -
                              kCarryWeight * aEntries[e]->carry[aPlan.name] -
                              (heldMore ? kStickiness : 0),
                            e);
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; i < remainders.size() && rest > 0; ++i, --rest) {
    ++counts[remainders[i].second];
  }
  for (const auto e : aPlan.grantable) {
    auto& carry = aEntries[e]->carry[aPlan.name];
    carry = std::clamp(
      carry + wanted[e] - static_cast<double>(counts[e]), -100.0, 100.0);
  }
  return counts;
}

std::string
LoanPlanKey(const std::string& aZone)
{
  return "zone/" + aZone;
}

slot_planner::slot_planner(const slot_planner_options& aOptions)
  : mImpl(std::make_unique<impl>(aOptions))
{
}

slot_planner::slot_planner(slot_planner&&) noexcept = default;
slot_planner&
slot_planner::operator=(slot_planner&&) noexcept = default;
slot_planner::~slot_planner() = default;

void
slot_planner::Report(const entry_report& aReport, time_point aNow)
{
  auto [position, isNew] = mImpl->entries.try_emplace(aReport.instance);
  auto& entry = position->second;
  if (isNew || aNow - entry.lastReport >= mImpl->options.grantLifetime) {
    entry = {};
    entry.firstReport = aNow;
  }
  entry.lastReport = aNow;
  entry.demand = aReport.demand;
  entry.inFlight = aReport.inFlight;
  const bool received = mImpl->Acknowledge(entry, aReport.acknowledged, aNow);
  // A new round of another planner restarts the wait in `Grantable`: that
  // planner could lend the entry's slots while the entry acknowledged it.
  if (!received && aReport.acknowledged &&
      aReport.acknowledged != entry.otherPlannerRound) {
    entry.otherPlannerRound = aReport.acknowledged;
    entry.firstReport = aNow;
    entry.acknowledgedIssueTime.reset();
  }
}

void
slot_planner::ReportZone(const zone_report& aReport, time_point aNow)
{
  auto& zone = mImpl->zones[aReport.zone];
  zone.slots = aReport.slots;
  zone.borrower.firstReport = aNow;
  zone.borrower.lastReport = aNow;
  zone.borrower.demand = aReport.demand;
  zone.borrower.inFlight = aReport.inFlight;
  mImpl->Acknowledge(zone.borrower, std::nullopt, aNow);
}

zone_report
slot_planner::ZoneReport(const std::string& aReceiver,
                         const std::vector<target_info>& aTargets,
                         time_point aNow) const
{
  zone_report report;
  report.zone = mImpl->options.zone;
  std::map<std::pair<std::string, std::string>, team_demand> demand;
  for (const auto& [name, entry] : mImpl->entries) {
    if (aNow - entry.lastReport < mImpl->options.grantLifetime) {
      for (const auto& line : entry.demand) {
        auto& sum = demand[{ line.team, line.targetClass }];
        sum.team = line.team;
        sum.targetClass = line.targetClass;
        sum.waiting += line.waiting;
        sum.running += line.running;
        sum.attainedTokens += line.attainedTokens;
      }
    }
  }
  for (auto& [key, line] : demand) {
    report.demand.push_back(std::move(line));
  }
  for (const auto& target : aTargets) {
    if (target.zone == report.zone && target.state == target_state::Live) {
      report.slots[target.targetClass] += target.slots;
    }
    for (const auto& [name, entry] : mImpl->entries) {
      const auto found = entry.inFlight.find(target.id);
      if (target.zone == aReceiver && found != entry.inFlight.end()) {
        report.inFlight[target.id] += found->second;
      }
    }
  }
  return report;
}

std::map<std::string, entry_plan>
slot_planner::Plan(const std::map<std::string, double>& aShares,
                   const std::vector<target_info>& aTargets,
                   const std::vector<std::string>& aEntries,
                   time_point aNow)
{
  auto& self = *mImpl;
  ++self.round;
  std::erase_if(self.entries, [&](const auto& aEntry) {
    return !std::binary_search(aEntries.begin(), aEntries.end(), aEntry.first);
  });
  std::vector<entry_state> unreported(aEntries.size());
  std::vector<entry_state*> entries;
  std::vector<std::string> names = aEntries;
  class_plan prototype;
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    const auto found = self.entries.find(aEntries[e]);
    entries.push_back(found == self.entries.end() ? &unreported[e]
                                                  : &found->second);
    if (found != self.entries.end() && self.Grantable(found->second, aNow)) {
      prototype.grantable.push_back(e);
    }
  }
  for (auto& [zone, state] : self.zones) {
    if (aNow - state.borrower.lastReport >= self.options.grantLifetime) {
      // The loans have expired. Work that an unreachable zone still runs here
      // shows in the load reports of the targets.
      state.borrower.inFlight.clear();
    }
    prototype.borrowers.push_back(entries.size());
    entries.push_back(&state.borrower);
    names.push_back(zone);
  }
  for (auto* entry : entries) {
    while (!entry->rounds.empty() && aNow - entry->rounds.front().issuedAt >=
                                       self.options.grantLifetime) {
      entry->rounds.pop_front();
    }
  }
  prototype.served = prototype.grantable;
  prototype.served.insert(prototype.served.end(),
                          prototype.borrowers.begin(),
                          prototype.borrowers.end());
  std::map<std::string, class_plan> classes;
  for (const auto& target : aTargets) {
    if (target.state != target_state::Live) {
      continue;
    }
    auto& plan =
      classes.try_emplace(target.targetClass, prototype).first->second;
    const bool own =
      self.options.zone.empty() || target.zone == self.options.zone;
    plan.name = target.targetClass;
    plan.targets.push_back(&target);
    plan.own.push_back(own);
    plan.reserved.resize(entries.size());
    std::int64_t known = 0;
    for (std::size_t e = 0; e < entries.size(); ++e) {
      const auto fallback =
        own && e < aEntries.size()
          ? FallbackSlots(target.id, target.slots, e, aEntries.size())
          : 0;
      plan.reserved[e].push_back(
        self.Reserved(*entries[e], target, fallback, aNow));
      const auto found = entries[e]->inFlight.find(target.id);
      known += entries[e]->firstReport == time_point{} ? fallback
               : found == entries[e]->inFlight.end()   ? 0
                                                       : found->second;
    }
    // For a borrowed target, the lending zone accounts for the load of others.
    plan.capacity.push_back(std::max<std::int64_t>(
      target.slots - (own ? self.UnaccountedLoad(target, known) : 0), 0));
  }
  std::vector<std::vector<team_grant>> teams(entries.size());
  std::map<std::size_t, issued_round> rounds;
  std::vector<std::map<std::string, std::int64_t>> desired(entries.size());
  for (const auto e : prototype.served) {
    rounds[e] = { self.round, aNow, {} };
  }
  for (auto& [name, plan] : classes) {
    if (prototype.grantable.empty()) {
      break;
    }
    plan.Spread(entries,
                self.Counts(plan, entries, names, aShares, aNow, teams));
    const auto issued = plan.Issue(static_cast<std::size_t>(self.round));
    for (const auto e : prototype.served) {
      for (std::size_t t = 0; t < plan.targets.size(); ++t) {
        if (plan.desired[e][t] > 0) {
          desired[e][plan.targets[t]->id] = plan.desired[e][t];
        }
        if (issued[e][t] > 0 && (plan.own[t] || e < aEntries.size())) {
          rounds[e].slots[plan.targets[t]->id] = issued[e][t];
        }
      }
    }
  }
  std::erase_if(self.unaccounted, [&](const auto& aEntry) {
    return std::none_of(
      aTargets.begin(), aTargets.end(), [&](const auto& aTarget) {
        return aTarget.id == aEntry.first;
      });
  });
  std::map<std::string, entry_plan> plans;
  for (auto& [e, issued] : rounds) {
    auto& plan = plans[e < aEntries.size() ? names[e] : LoanPlanKey(names[e])];
    plan.round = self.round;
    plan.expiry = aNow + self.options.grantLifetime;
    for (const auto& [target, slots] : issued.slots) {
      plan.grants.push_back({ target, slots });
    }
    plan.teams = std::move(teams[e]);
    entries[e]->desired = std::move(desired[e]);
    entries[e]->rounds.push_back(std::move(issued));
  }
  return plans;
}

} // namespace arbutusferry
