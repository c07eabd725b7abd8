#include "experiment/model.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>

namespace arbutusferry::experiment {

namespace {

struct sizes
{
  std::size_t targets = 100;
  std::size_t entries = 28;
  std::size_t teams = 8;
  std::size_t queued = 8000; ///< Samples, in groups of 8.
};

const time_point kNow{ std::chrono::seconds(1000) };

std::vector<target_info>
MakeTargets(std::size_t aCount)
{
  std::vector<target_info> targets(aCount);
  for (std::size_t t = 0; t < aCount; ++t) {
    targets[t].id = "target-" + std::to_string(t);
    targets[t].zone = "z";
    targets[t].targetClass = kSampler;
    targets[t].slots = 16;
  }
  return targets;
}

template<typename Function>
double
MeanMicroseconds(int aCount, Function&& aFunction)
{
  // Processor time, because other programs may keep the machine busy.
  const auto begin = std::clock();
  for (int i = 0; i < aCount; ++i) {
    aFunction();
  }
  return 1e6 * static_cast<double>(std::clock() - begin) /
         static_cast<double>(CLOCKS_PER_SEC) / aCount;
}

/// Time to end one exchange and to choose and place the next one.
double
TimeDispatch(const sizes& aSizes, std::uint64_t aSeed)
{
  dispatcher_options options;
  options.zone = "z";
  options.maxQueuePerTeam = 1'000'000;
  options.seed = aSeed;
  const auto front = MakeDispatcher(options);
  front->UpdateTargets(
    MakeTargets(aSizes.targets), std::nullopt, {}, 0, aSizes.entries, kNow);
  std::deque<work_id> running;
  std::size_t submitted = 0;
  const auto submit = [&] {
    work_item item;
    const auto team = submitted % aSizes.teams;
    item.team = "tenant-" + std::to_string(team);
    item.targetClass = kSampler;
    item.kind = work_kind::Sample;
    item.group = std::to_string(submitted / aSizes.teams / 8);
    item.groupRemaining = 8;
    ++submitted;
    front->Submit(
      std::move(item),
      [&](std::variant<assignment, error_info> aOutcome) {
        running.push_back(std::get<assignment>(aOutcome).id);
      },
      kNow);
  };
  const int rounds = 10'000;
  for (std::size_t i = 0; i < aSizes.queued; ++i) {
    submit();
  }
  return MeanMicroseconds(rounds, [&] {
    submit();
    const auto id = running.front();
    running.pop_front();
    front->Complete(id, { 200, false }, kNow);
  });
}

/// Time of a planning round, with the reports of all entries and of 11 other
/// zones, while the demand changes.
double
TimePlanning(const sizes& aSizes)
{
  slot_planner_options options;
  options.zone = "z";
  slot_planner planner(options);
  const auto targets = MakeTargets(aSizes.targets);
  std::vector<std::string> names;
  for (std::size_t e = 0; e < aSizes.entries; ++e) {
    names.push_back("entry-" + std::to_string(1000 + e));
  }
  auto now = kNow;
  std::map<std::string, entry_plan> plans;
  int round = 0;
  const auto plan = [&] {
    ++round;
    now += std::chrono::milliseconds(500);
    std::vector<team_demand> demand(aSizes.teams);
    for (std::size_t e = 0; e < aSizes.entries; ++e) {
      entry_report report{ names[e], {}, {}, std::nullopt };
      for (std::size_t i = 0; i < aSizes.teams; ++i) {
        const auto waiting =
          static_cast<std::int64_t>((e * 7 + i * 3) % 11 * 10) +
          (static_cast<std::size_t>(round) % aSizes.entries == e ? 100 : 0);
        demand[i] = { "tenant-" + std::to_string(i), kSampler, waiting, 20, 0 };
      }
      report.demand = demand;
      if (const auto found = plans.find(names[e]); found != plans.end()) {
        report.acknowledged = found->second.round;
        for (const auto& grant : found->second.grants) {
          report.inFlight[grant.target] = grant.slots;
        }
      }
      planner.Report(report, now);
    }
    for (int z = 0; z < 11; ++z) {
      planner.ReportZone(
        { "other-" + std::to_string(z), { { kSampler, 1600 } }, demand, {} },
        now);
    }
    plans = planner.Plan({}, targets, names, now);
  };
  for (int i = 0; i < 60; ++i) {
    plan();
  }
  return MeanMicroseconds(20, plan);
}

template<typename Function>
void
Vary(const char* aDecision,
     const char* aName,
     std::size_t sizes::*aSize,
     const std::vector<std::size_t>& aValues,
     bool aCsv,
     Function&& aTime)
{
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  for (const auto value : aValues) {
    sizes varied;
    varied.*aSize = value;
    const double time = aTime(varied);
    const auto x = static_cast<double>(value);
    sumX += x;
    sumY += time;
    sumXx += x * x;
    sumXy += x * time;
    std::printf(aCsv ? "%s,%s,%zu,%.3f\n" : "%-9s %-8s %6zu %10.3f us\n",
                aDecision,
                aName,
                value,
                time);
  }
  const auto n = static_cast<double>(aValues.size());
  std::printf(aCsv ? "%s,%s,slope,%.6f\n" : "%-9s %-8s  slope %10.6f us\n",
              aDecision,
              aName,
              (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX));
}

} // namespace

void
MeasureDecisions(std::uint64_t aSeed, bool aCsv)
{
  const auto dispatch = [&](const sizes& aSizes) {
    return TimeDispatch(aSizes, aSeed);
  };
  const auto planning = [](const sizes& aSizes) {
    return TimePlanning(aSizes);
  };
  const std::vector<std::size_t> targets{ 25, 50, 100, 200, 400 };
  const std::vector<std::size_t> teams{ 2, 4, 8, 16, 32 };
  Vary("dispatch", "targets", &sizes::targets, targets, aCsv, dispatch);
  Vary("dispatch", "tenants", &sizes::teams, teams, aCsv, dispatch);
  Vary("dispatch",
       "queued",
       &sizes::queued,
       { 1000, 4000, 8000, 16'000, 32'000 },
       aCsv,
       dispatch);
  Vary("planning", "targets", &sizes::targets, targets, aCsv, planning);
  Vary("planning", "tenants", &sizes::teams, teams, aCsv, planning);
  Vary(
    "planning", "entries", &sizes::entries, { 7, 14, 28, 56 }, aCsv, planning);
}

} // namespace arbutusferry::experiment
