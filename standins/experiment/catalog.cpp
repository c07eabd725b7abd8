#include "experiment/model.hpp"

namespace arbutusferry::experiment {

const std::vector<deployment>&
Deployments()
{
  static const std::vector<deployment> kDeployments{
    { "trust", 0.001, { 4, 4, 3 }, { 1, 1, 1 }, { 4, 3, 3 } },
    { "boothshare", 0.0005, { 3, 2, 2, 2 }, { 1, 1, 1, 1 }, { 3, 3, 3, 2 } },
  };
  return kDeployments;
}

const std::vector<policy_set>&
Policies()
{
  static const std::vector<policy_set> kPolicies{
    { "ours", true, true, true, fleet_kind::Forecast },
    { "fifo", false, true, true, fleet_kind::Forecast },
    { "round_robin", true, false, true, fleet_kind::Forecast },
    { "no_grants", true, true, false, fleet_kind::Forecast },
    { "fixed", true, true, true, fleet_kind::Fixed },
    { "threshold", true, true, true, fleet_kind::Threshold },
    { "naive", false, false, false, fleet_kind::Fixed },
  };
  return kPolicies;
}

const std::vector<scenario>&
Scenarios()
{
  static const std::vector<scenario> kScenarios = [] {
    std::vector<scenario> all(8);
    all[0].name = "calm";
    all[1].name = "flood";
    all[1].flood = true;
    all[2].name = "stragglers";
    all[2].stragglers = 0.02;
    all[3].name = "weights";
    all[3].weightPeriod = 90;
    all[4].name = "reclaim";
    all[4].reclaim = true;
    all[5].name = "unavailable";
    all[5].unavailable = true;
    all[6].name = "crash";
    all[6].crash = true;
    all[7].name = "partition";
    all[7].partition = true;
    return all;
  }();
  return kScenarios;
}

} // namespace arbutusferry::experiment
