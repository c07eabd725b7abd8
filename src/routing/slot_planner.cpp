#include "arbutusferry/slot_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <numeric>
#include <set>

namespace arbutusferry {

namespace {

/// A part of a slot that an entry lost to rounding is carried to later rounds
/// with this weight. It is small, because a slot that moves between entries
/// stays unused for about one exchange of messages.
constexpr double kCarryWeight = 0.05;
/// Preference for the entry that held the odd slot in the previous round.
constexpr double kStickiness = 0.5;
/// Idle entries keep one slot for their first request when there are at least
/// this many slots per entry.
constexpr std::int64_t kSlotsForIdleReserve = 2;
/// Work in flight of an entry that stopped reporting is counted for this long.
/// It is longer than an exchange usually takes.
constexpr duration kInFlightMemory = std::chrono::seconds(60);
/// Load that this zone's entries do not account for must show in this many
/// rounds in a row, because reports and loads are not taken at the same time.
constexpr std::size_t kForeignRounds = 4;

struct issued_round
{
  std::int64_t round = 0;
  time_point issued{};
  std::map<std::string, std::int64_t> slots;
};

struct entry_state
{
  time_point firstReport{};
  time_point lastReport{};
  std::vector<tenant_demand> demand;
  std::map<std::string, std::int64_t> inFlight;
  std::optional<time_point> acknowledged; ///< When that round was issued.
  std::optional<std::int64_t> otherRound; ///< Newest of another planner.
  std::deque<issued_round> rounds;        ///< From the acknowledged round on.
  std::map<std::string, double> carry;    ///< By class.
  std::map<std::string, std::int64_t> desired;
};

/// Working state of one class in one round; vectors are by entry, then target.
struct class_plan
{
  std::string name;
  std::vector<const target_info*> targets;
  std::vector<std::int64_t> capacity;              ///< By target.
  std::vector<std::vector<std::int64_t>> reserved; ///< Still usable by entry.
  std::vector<std::vector<std::int64_t>> desired;
};

} // namespace

struct slot_planner::impl
{
  planner_options options;
  std::int64_t round;
  std::map<std::string, entry_state> entries;
  std::map<std::string, std::array<std::int64_t, kForeignRounds>> foreign;

  explicit impl(const planner_options& aOptions)
    : options(aOptions)
    , round(aOptions.firstRound)
  {
  }

  /// An entry that comes from another planner may still be covered by that
  /// planner's grants: two terms after its first report the last of them that
  /// could lend its slots has expired, and one term later exchanges on lent
  /// slots have ended too.
  [[nodiscard]] bool Grantable(const entry_state& aEntry, time_point aNow) const
  {
    return aNow - aEntry.lastReport < options.term &&
           aNow - aEntry.firstReport >= 3 * options.term;
  }

  [[nodiscard]] std::int64_t Reserved(const entry_state& aEntry,
                                      const target_info& aTarget,
                                      std::int64_t aFallback,
                                      time_point aNow) const
  {
    std::int64_t slots = 0;
    if (const auto found = aEntry.inFlight.find(aTarget.id);
        found != aEntry.inFlight.end() &&
        aNow - aEntry.lastReport < kInFlightMemory) {
      slots = found->second;
    }
    for (const auto& issued : aEntry.rounds) {
      if (aNow - issued.issued < options.term) {
        const auto found = issued.slots.find(aTarget.id);
        slots =
          std::max(slots, found == issued.slots.end() ? 0 : found->second);
      }
    }
    // The entry may return to its fallback slots two terms after its grants
    // expire; grants planned now and their exchanges must have ended by then.
    if (!aEntry.acknowledged || aNow - *aEntry.acknowledged >= options.term) {
      slots = std::max(slots, aFallback);
    }
    return slots;
  }

  std::int64_t Foreign(const target_info& aTarget, std::int64_t aKnown)
  {
    auto& recent = foreign[aTarget.id];
    recent[static_cast<std::size_t>(round) % kForeignRounds] =
      std::max<std::int64_t>(aTarget.running + aTarget.waiting - aKnown, 0);
    return *std::min_element(recent.begin(), recent.end());
  }

  std::vector<std::int64_t> Counts(
    class_plan& aPlan,
    const std::vector<entry_state*>& aEntries,
    const std::vector<std::size_t>& aGrantable,
    const std::map<std::string, double>& aShares,
    std::vector<std::vector<tenant_grant>>& aTenants) const;
  static void Spread(class_plan& aPlan,
                     const std::vector<entry_state*>& aEntries,
                     const std::vector<std::size_t>& aGrantable,
                     const std::vector<std::int64_t>& aCounts);
  std::vector<std::vector<std::int64_t>> Issue(
    const class_plan& aPlan,
    const std::vector<std::size_t>& aGrantable) const;
};

/// Decides how many slots of a class each entry gets.
std::vector<std::int64_t>
slot_planner::impl::Counts(
  class_plan& aPlan,
  const std::vector<entry_state*>& aEntries,
  const std::vector<std::size_t>& aGrantable,
  const std::map<std::string, double>& aShares,
  std::vector<std::vector<tenant_grant>>& aTenants) const
{
  // Slots reserved for entries without grants are not divided.
  std::int64_t capacity = std::accumulate(
    aPlan.capacity.begin(), aPlan.capacity.end(), std::int64_t{ 0 });
  std::set<std::size_t> grantable(aGrantable.begin(), aGrantable.end());
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    if (!grantable.contains(e)) {
      for (std::size_t t = 0; t < aPlan.targets.size(); ++t) {
        capacity -= std::min(aPlan.reserved[e][t], aPlan.capacity[t]);
      }
    }
  }
  capacity = std::max<std::int64_t>(capacity, 0);

  // Demand in slots by tenant, then by entry.
  std::map<std::string, std::vector<double>> demand;
  std::vector<bool> idle(aEntries.size(), true);
  for (const auto e : aGrantable) {
    for (const auto& line : aEntries[e]->demand) {
      const auto slots = line.waiting + line.running;
      if (line.targetClass == aPlan.name && slots > 0) {
        auto& entries = demand[line.tenant];
        entries.resize(aEntries.size());
        entries[e] += static_cast<double>(slots);
        idle[e] = false;
      }
    }
  }
  std::vector<double> wanted(aEntries.size());
  double left = static_cast<double>(capacity);
  if (capacity >=
      kSlotsForIdleReserve * static_cast<std::int64_t>(aGrantable.size())) {
    for (const auto e : aGrantable) {
      if (idle[e]) {
        wanted[e] = 1;
        left -= 1;
      }
    }
  }

  // Weighted max-min over tenants, then equal max-min over a tenant's entries.
  std::vector<double> weights;
  std::vector<double> totals;
  for (const auto& [tenant, entries] : demand) {
    const auto share = aShares.find(tenant);
    weights.push_back(
      share == aShares.end() || share->second <= 0 ? 1.0 : share->second);
    totals.push_back(std::accumulate(entries.begin(), entries.end(), 0.0));
  }
  const auto parts = WeightedMaxMin(left, weights, totals);
  double level = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    level = std::max(level, parts[i] / weights[i]);
  }
  std::size_t index = 0;
  for (const auto& [tenant, entries] : demand) {
    const auto split = WeightedMaxMin(
      parts[index], std::vector<double>(entries.size(), 1.0), entries);
    for (const auto e : aGrantable) {
      wanted[e] += split[e];
      left -= split[e];
      if (entries[e] > 0 && parts[index] > 0) {
        // A tenant whose demand is met keeps its whole weight: it may ask for
        // more before the next round.
        const double entitled =
          level * weights[index] * split[e] / parts[index];
        aTenants[e].push_back(
          { tenant, aPlan.name, std::max(split[e], entitled) });
      }
    }
    ++index;
  }
  for (const auto e : aGrantable) {
    wanted[e] += std::max(left, 0.0) / static_cast<double>(aGrantable.size());
  }

  // Whole slots: the largest remainders round up.
  std::vector<std::int64_t> counts(aEntries.size());
  std::vector<std::pair<double, std::size_t>> remainders;
  std::int64_t rest = capacity;
  for (const auto e : aGrantable) {
    counts[e] = static_cast<std::int64_t>(std::floor(wanted[e] + 1e-9));
    rest -= counts[e];
    const double fraction = wanted[e] - static_cast<double>(counts[e]);
    std::int64_t previous = 0;
    for (const auto* target : aPlan.targets) {
      const auto found = aEntries[e]->desired.find(target->id);
      previous += found == aEntries[e]->desired.end() ? 0 : found->second;
    }
    remainders.emplace_back(-fraction -
                              kCarryWeight * aEntries[e]->carry[aPlan.name] -
                              (previous > counts[e] ? kStickiness : 0),
                            e);
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; i < remainders.size() && rest > 0; ++i, --rest) {
    ++counts[remainders[i].second];
  }
  for (const auto e : aGrantable) {
    auto& carry = aEntries[e]->carry[aPlan.name];
    carry = std::clamp(
      carry + wanted[e] - static_cast<double>(counts[e]), -100.0, 100.0);
  }
  return counts;
}

/// Spreads each entry's slots over the targets, moving as few as possible.
void
slot_planner::impl::Spread(class_plan& aPlan,
                           const std::vector<entry_state*>& aEntries,
                           const std::vector<std::size_t>& aGrantable,
                           const std::vector<std::int64_t>& aCounts)
{
  const auto size = aPlan.targets.size();
  aPlan.desired.assign(aEntries.size(), std::vector<std::int64_t>(size));
  std::vector<std::int64_t> nominal = aPlan.capacity;
  std::vector<bool> grantable(aEntries.size());
  for (const auto e : aGrantable) {
    grantable[e] = true;
    for (std::size_t t = 0; t < size; ++t) {
      const auto found = aEntries[e]->desired.find(aPlan.targets[t]->id);
      aPlan.desired[e][t] =
        found == aEntries[e]->desired.end() ? 0 : found->second;
      nominal[t] -= aPlan.desired[e][t];
    }
  }
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    for (std::size_t t = 0; !grantable[e] && t < size; ++t) {
      nominal[t] -= aPlan.reserved[e][t];
    }
  }
  // Entries above their count give up slots where they hold the most.
  const auto idleSlots = [&](std::size_t aEntry, std::size_t aTarget) {
    const auto& inFlight = aEntries[aEntry]->inFlight;
    const auto found = inFlight.find(aPlan.targets[aTarget]->id);
    return aPlan.desired[aEntry][aTarget] -
           (found == inFlight.end() ? 0 : found->second);
  };
  for (std::size_t t = 0; t < size; ++t) {
    while (nominal[t] < 0) {
      const auto most = std::max_element(
        aGrantable.begin(),
        aGrantable.end(),
        [&](std::size_t aLeft, std::size_t aRight) {
          return aPlan.desired[aLeft][t] < aPlan.desired[aRight][t];
        });
      if (most == aGrantable.end() || aPlan.desired[*most][t] == 0) {
        break;
      }
      --aPlan.desired[*most][t];
      ++nominal[t];
    }
  }
  std::vector<std::int64_t> missing(aEntries.size());
  for (const auto e : aGrantable) {
    auto& desired = aPlan.desired[e];
    missing[e] =
      aCounts[e] -
      std::accumulate(desired.begin(), desired.end(), std::int64_t{ 0 });
    for (; missing[e] < 0; ++missing[e]) {
      std::size_t victim = size;
      for (std::size_t t = 0; t < size; ++t) {
        if (desired[t] > 0 &&
            (victim == size || idleSlots(e, t) > idleSlots(e, victim))) {
          victim = t;
        }
      }
      --desired[victim];
      ++nominal[victim];
    }
  }
  // Slots that others still use come last, however free they are on paper.
  std::vector<std::int64_t> open = aPlan.capacity;
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    for (std::size_t t = 0; t < size; ++t) {
      open[t] -= std::max(aPlan.desired[e][t], aPlan.reserved[e][t]);
    }
  }
  bool added = true;
  while (added) {
    added = false;
    for (const auto e : aGrantable) {
      if (missing[e] <= 0) {
        continue;
      }
      auto& desired = aPlan.desired[e];
      std::size_t best = size;
      const auto rank = [&](std::size_t aTarget) {
        const bool own = aPlan.reserved[e][aTarget] > desired[aTarget];
        return std::tuple(own || open[aTarget] > 0,
                          -desired[aTarget],
                          open[aTarget],
                          nominal[aTarget]);
      };
      for (std::size_t t = 0; t < size; ++t) {
        if (nominal[t] > 0 && (best == size || rank(t) > rank(best))) {
          best = t;
        }
      }
      if (best == size) {
        continue;
      }
      if (aPlan.reserved[e][best] <= desired[best]) {
        --open[best];
      }
      ++desired[best];
      --nominal[best];
      --missing[e];
      added = true;
    }
  }
}

/// Limits growth to slots that no other entry may still use.
std::vector<std::vector<std::int64_t>>
slot_planner::impl::Issue(const class_plan& aPlan,
                          const std::vector<std::size_t>& aGrantable) const
{
  auto issued = aPlan.desired;
  for (std::size_t t = 0; t < aPlan.targets.size(); ++t) {
    auto open = aPlan.capacity[t];
    for (const auto& reserved : aPlan.reserved) {
      open -= reserved[t];
    }
    for (std::size_t i = 0; i < aGrantable.size(); ++i) {
      const auto e =
        aGrantable[(i + static_cast<std::size_t>(round)) % aGrantable.size()];
      const auto growth = aPlan.desired[e][t] - aPlan.reserved[e][t];
      if (growth > 0) {
        const auto granted = std::clamp<std::int64_t>(open, 0, growth);
        issued[e][t] = aPlan.reserved[e][t] + granted;
        open -= granted;
      }
    }
  }
  return issued;
}

slot_planner::slot_planner(const planner_options& aOptions)
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
  if (isNew || aNow - entry.lastReport >= mImpl->options.term) {
    entry = {};
    entry.firstReport = aNow;
  }
  entry.lastReport = aNow;
  entry.demand = aReport.demand;
  entry.inFlight = aReport.inFlight;
  auto received = entry.rounds.end();
  for (auto issued = entry.rounds.begin(); issued != entry.rounds.end();
       ++issued) {
    const bool known =
      aReport.acknowledged
        ? issued->round == *aReport.acknowledged
        : aNow - issued->issued >= mImpl->options.assumedDelivery;
    if (known) {
      received = issued;
    }
  }
  // A newer round of another planner starts the wait of `Grantable` again:
  // while the entry held it, that planner could lend its slots.
  if (aReport.acknowledged && received == entry.rounds.end() &&
      aReport.acknowledged != entry.otherRound) {
    entry.otherRound = aReport.acknowledged;
    entry.firstReport = aNow;
    entry.acknowledged.reset();
  }
  if (received != entry.rounds.end()) {
    entry.acknowledged = received->issued;
    entry.rounds.erase(entry.rounds.begin(), received);
  }
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
  std::vector<entry_state> silent(aEntries.size());
  std::vector<entry_state*> entries;
  std::vector<std::size_t> grantable;
  for (std::size_t e = 0; e < aEntries.size(); ++e) {
    const auto found = self.entries.find(aEntries[e]);
    if (found == self.entries.end()) {
      entries.push_back(&silent[e]);
      continue;
    }
    auto& entry = found->second;
    entries.push_back(&entry);
    while (!entry.rounds.empty() &&
           aNow - entry.rounds.front().issued >= self.options.term) {
      entry.rounds.pop_front();
    }
    if (self.Grantable(entry, aNow)) {
      grantable.push_back(e);
    }
  }
  std::map<std::string, class_plan> classes;
  for (const auto& target : aTargets) {
    if (target.state != target_state::Live) {
      continue;
    }
    auto& plan = classes[target.targetClass];
    plan.name = target.targetClass;
    plan.targets.push_back(&target);
    plan.reserved.resize(entries.size());
    std::int64_t known = 0;
    for (std::size_t e = 0; e < entries.size(); ++e) {
      const auto fallback =
        FallbackSlots(target.id, target.slots, e, entries.size());
      plan.reserved[e].push_back(
        self.Reserved(*entries[e], target, fallback, aNow));
      const auto found = entries[e]->inFlight.find(target.id);
      known += entries[e]->firstReport == time_point{} ? fallback
               : found == entries[e]->inFlight.end()   ? 0
                                                       : found->second;
    }
    plan.capacity.push_back(
      std::max<std::int64_t>(target.slots - self.Foreign(target, known), 0));
  }
  std::vector<std::vector<tenant_grant>> tenants(entries.size());
  std::map<std::size_t, issued_round> rounds;
  std::vector<std::map<std::string, std::int64_t>> desired(entries.size());
  for (const auto e : grantable) {
    rounds[e] = { self.round, aNow, {} };
  }
  for (auto& [name, plan] : classes) {
    if (grantable.empty()) {
      break;
    }
    const auto counts = self.Counts(plan, entries, grantable, aShares, tenants);
    self.Spread(plan, entries, grantable, counts);
    const auto issued = self.Issue(plan, grantable);
    for (const auto e : grantable) {
      for (std::size_t t = 0; t < plan.targets.size(); ++t) {
        if (plan.desired[e][t] > 0) {
          desired[e][plan.targets[t]->id] = plan.desired[e][t];
        }
        if (issued[e][t] > 0) {
          rounds[e].slots[plan.targets[t]->id] = issued[e][t];
        }
      }
    }
  }
  std::erase_if(self.foreign, [&](const auto& aEntry) {
    return std::none_of(
      aTargets.begin(), aTargets.end(), [&](const auto& aTarget) {
        return aTarget.id == aEntry.first;
      });
  });
  std::map<std::string, entry_plan> plans;
  for (auto& [e, issued] : rounds) {
    auto& plan = plans[aEntries[e]];
    plan.round = self.round;
    plan.expiry = aNow + self.options.term;
    for (const auto& [target, slots] : issued.slots) {
      plan.grants.push_back({ target, slots });
    }
    plan.tenants = std::move(tenants[e]);
    entries[e]->desired = std::move(desired[e]);
    entries[e]->rounds.push_back(std::move(issued));
  }
  return plans;
}

} // namespace arbutusferry
