#include "experiment/model.hpp"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the first run.");
DEFINE_uint64(runs,
              1,
              "Runs with successive seeds; figures are means, and the "
              "worst share and the load above slots are the worst.");
DEFINE_double(length, 1800, "Simulated seconds of a run.");
DEFINE_string(deployment, "all", "trust, boothshare or all.");
DEFINE_string(scenario, "all", "Name of a scenario or all.");
DEFINE_string(policy, "all", "Name of a policy set or all.");
DEFINE_bool(csv, false, "Print CSV instead of a table.");
DEFINE_bool(decisions, false, "Measure the time of decisions instead.");

namespace {

using namespace arbutusferry::experiment;

bool
Selected(const std::string& aFlag, const std::string& aName)
{
  return aFlag == "all" || aFlag == aName;
}

run_result
Average(const deployment& aDeployment,
        const policy_set& aPolicy,
        const scenario& aScenario)
{
  run_result total;
  total.worstShare = 1e9;
  const auto runs = static_cast<double>(FLAGS_runs);
  for (std::uint64_t i = 0; i < FLAGS_runs; ++i) {
    const auto result =
      Run(aDeployment, aPolicy, aScenario, FLAGS_seed + i, FLAGS_length);
    if (result.worstShare < total.worstShare) {
      total.worstShare = result.worstShare;
      total.worstTeam = result.worstTeam;
    }
    total.maxOverSlots = std::max(total.maxOverSlots, result.maxOverSlots);
    total.steps += result.steps;
    total.discardedSamples += result.discardedSamples;
    total.stepWait += result.stepWait / runs;
    total.idle += result.idle / runs;
    total.inTime += result.inTime / runs;
    total.cost += result.cost / runs;
    total.reclaimable += result.reclaimable / runs;
    total.retries += result.retries / runs;
  }
  return total;
}

void
Print(const std::string& aDeployment,
      const std::string& aScenario,
      const std::string& aPolicy,
      const run_result& aResult)
{
  const char* format =
    FLAGS_csv
      ? "%s,%s,%s,%.4f,%s,%.2f,%.4f,%lld,%lld,%.4f,%.4f,%.4f,%lld,%.4f\n"
      : "%-10s %-11s %-11s %6.3f %-9s %7.2f %6.3f %6lld %6lld %7.4f "
        "%7.4f %7.3f %5lld %7.4f\n";
  std::printf(format,
              aDeployment.c_str(),
              aScenario.c_str(),
              aPolicy.c_str(),
              aResult.worstShare,
              aResult.worstTeam.c_str(),
              aResult.stepWait,
              aResult.idle,
              static_cast<long long>(aResult.steps),
              static_cast<long long>(aResult.discardedSamples),
              aResult.inTime,
              aResult.cost,
              aResult.reclaimable,
              static_cast<long long>(aResult.maxOverSlots),
              aResult.retries);
  std::fflush(stdout);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("Compares policies in simulated time.");
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  if (FLAGS_decisions) {
    MeasureDecisions(FLAGS_seed, FLAGS_csv);
    return 0;
  }
  std::puts(
    FLAGS_csv
      ? "deployment,scenario,policy,worst_share,worst_tenant,step_wait_s,"
        "trainer_idle,steps,discarded,in_time,cost,reclaimable,"
        "over_slots,retries"
      : "deployment scenario    policy       worst  tenant   step_w  "
        " idle  steps discard in_time    cost reclaim  over retries");
  for (const auto& deployment : Deployments()) {
    for (const auto& scenario : Scenarios()) {
      for (const auto& policy : Policies()) {
        if (Selected(FLAGS_deployment, deployment.name) &&
            Selected(FLAGS_scenario, scenario.name) &&
            Selected(FLAGS_policy, policy.name)) {
          Print(deployment.name,
                scenario.name,
                policy.name,
                Average(deployment, policy, scenario));
        }
      }
    }
  }
  return 0;
}
