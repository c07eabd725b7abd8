#include "experiment/model.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>

namespace arbutusferry::experiment {

namespace {

struct workload_sizes
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
    targets[t].targetClass = kSamplerClass;
    targets[t].slots = 16;
  }
  return targets;
}

template<typename Function>
double
MeanMicroseconds(int aCount, Function&& aFunction)
{
  // Uses CPU time, since other processes may load the machine.
  const auto begin = std::clock();
  for (int i = 0; i < aCount; ++i) {
    aFunction();
  }
  return 1e6 * static_cast<double>(std::clock() - begin) /
         static_cast<double>(CLOCKS_PER_SEC) / aCount;
}

/// Returns the mean time to complete one exchange and to dispatch the next, in
/// microseconds.
double
TimeDispatch(const workload_sizes& aSizes, std::uint64_t aSeed)
{
  dispatcher_options options;
  options.zone = "z";
  options.maxQueuePerTeam = 1'000'000;
  options.seed = aSeed;
  const auto entryDispatcher = MakeDispatcher(options);
  entryDispatcher->UpdateTargets(
    MakeTargets(aSizes.targets), std::nullopt, {}, 0, aSizes.entries, kNow);
  std::deque<work_id> running;
  std::size_t submitted = 0;
  const auto submit = [&] {
    work_item item;
    const auto team = submitted % aSizes.teams;
    item.team = "tenant-" + std::to_string(team);
    item.targetClass = kSamplerClass;
    item.kind = work_kind::Sample;
    item.group = std::to_string(submitted / aSizes.teams / 8);
    item.groupRemaining = 8;
    ++submitted;
    entryDispatcher->Submit(
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
    entryDispatcher->Complete(id, { 200, false }, kNow);
  });
}

/// Returns the mean time of a planning round in microseconds, with reports from
/// all entries and 11 other zones and with changing demand.
double
TimePlanning(const workload_sizes& aSizes)
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
        demand[i] = {
          "tenant-" + std::to_string(i), kSamplerClass, waiting, 20, 0
        };
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
      planner.ReportZone({ "other-" + std::to_string(z),
                           { { kSamplerClass, 1600 } },
                           demand,
                           {} },
                         now);
    }
    plans = planner.Plan({}, targets, names, now);
  };
  for (int i = 0; i < 60; ++i) {
    plan();
  }
  return MeanMicroseconds(20, plan);
}

/// Prints the time for each size and the slope of a least-squares line.
template<typename Function>
void
MeasureSeries(const char* aDecision,
              const char* aName,
              std::size_t workload_sizes::*aSize,
              const std::vector<std::size_t>& aValues,
              bool aCsv,
              Function&& aTime)
{
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  for (const auto value : aValues) {
    workload_sizes varied;
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
  const auto dispatch = [&](const workload_sizes& aSizes) {
    return TimeDispatch(aSizes, aSeed);
  };
  const auto planning = [](const workload_sizes& aSizes) {
    return TimePlanning(aSizes);
  };
  const std::vector<std::size_t> targets{ 25, 50, 100, 200, 400 };
  const std::vector<std::size_t> teams{ 2, 4, 8, 16, 32 };
  MeasureSeries(
    "dispatch", "targets", &workload_sizes::targets, targets, aCsv, dispatch);
  MeasureSeries(
    "dispatch", "tenants", &workload_sizes::teams, teams, aCsv, dispatch);
  MeasureSeries("dispatch",
                "queued",
                &workload_sizes::queued,
                { 1000, 4000, 8000, 16'000, 32'000 },
                aCsv,
                dispatch);
  MeasureSeries(
    "planning", "targets", &workload_sizes::targets, targets, aCsv, planning);
  MeasureSeries(
    "planning", "tenants", &workload_sizes::teams, teams, aCsv, planning);
  MeasureSeries("planning",
                "entries",
                &workload_sizes::entries,
                { 7, 14, 28, 56 },
                aCsv,
                planning);
}

} // namespace arbutusferry::experiment
