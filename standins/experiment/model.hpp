#pragma once

#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/slot_planner.hpp"
#include "arbutusferry/target_planner.hpp"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::experiment {

/// Simulated time in seconds since the start.
using seconds = double;

inline constexpr const char* kSampler = "sampler";
inline constexpr const char* kDesk = "desk";

/// Sizes of a deployment (design section 1.1).
struct deployment
{
  std::string name;
  seconds hop = 0.001;                ///< One way, between zones.
  std::vector<std::int64_t> samplers; ///< Largest number by zone.
  std::vector<std::int64_t> desks;
  std::vector<std::int64_t> entries;
};

enum class fleet_kind
{
  Forecast,
  Fixed,
  Threshold,
};

/// Decision functions to compare.
struct policy_set
{
  std::string name;
  bool fairQueue = true;
  bool twoChoices = true;
  bool grants = true;
  fleet_kind fleet = fleet_kind::Forecast;
};

struct scenario
{
  std::string name;
  bool flood = false;
  double stragglers = 0; ///< Part of the samples that is 10 times as long.
  seconds weightPeriod = 300;
  bool reclaim = false;
  bool unavailable = false;
  bool crash = false;
  bool partition = false;
};

/// Figures of one run.
struct run_result
{
  double worstShare = 0; ///< Worst-served team, 1 is its share.
  std::string worstTeam; ///< Team and class of it.
  double stepWait = 0;   ///< Mean seconds a trainer waits for a step.
  double idle = 0;       ///< Part of the time that trainers wait.
  std::int64_t steps = 0;
  std::int64_t overBound = 0; ///< Samples over the bound, discarded.
  double inTime = 0;          ///< Part of the calls answered in time.
  double cost = 0;            ///< Target price times time, per 1000 tokens.
  double reclaimable = 0;     ///< Part of the tokens from reclaimable targets.
  std::int64_t overSlots = 0; ///< Most requests a target had above its slots.
  double retries = 0;         ///< Attempts per finished request, less 1.
};

/// One request of a caller or one sample of a step.
struct step;
struct request
{
  work_item item;
  double tokens = 0;
  seconds submitted = 0;
  std::shared_ptr<step> owner; ///< Null for calls.
  std::size_t entry = 0;
  int attempts = 0;
  bool counted = false; ///< Counts for calls answered in time.
};

/// A trainer's step until all its samples are delivered.
struct step
{
  std::size_t team = 0;
  std::size_t entry = 0;
  std::int64_t version = 0;
  std::int64_t remaining = 0;
  std::map<std::string, std::int64_t> groups; ///< Samples still to deliver.
  seconds posted = 0;
  seconds deadline = 0;
};

/// One exchange at an engine.
struct exchange
{
  std::shared_ptr<request> work;
  work_id id = 0;
  std::int64_t version = 0;
  bool ended = false;
};

/// Model engine: continuous batching, admission in arrival order, a cache of
/// prompt prefixes, no priorities.
struct engine
{
  target_info info; ///< As the platform lists it; the load is filled in late.
  std::int64_t version = 0;
  std::int64_t running = 0;
  std::deque<std::shared_ptr<exchange>> waiting;
  std::vector<std::shared_ptr<exchange>> active;
  std::list<std::uint64_t> cache; ///< Newest first.
  seconds since = 0;              ///< Start of billing.
  bool swapping = false;          ///< Loads weights and admits nothing.
  bool up = true;                 ///< Answers; a crashed engine does not.
};

/// Work that one team offers.
struct team_load
{
  std::string name;
  double share = 1;
  std::int64_t groups = 0; ///< Of 8 samples a step; 0 without a trainer.
  seconds trainTime = 0;   ///< Mean time between steps.
  double samplerCalls = 0; ///< Idempotent calls a second.
  double deskCalls = 0;    ///< Calls a second; 40 % must not be repeated.
};

[[nodiscard]] const std::vector<deployment>&
Deployments();
[[nodiscard]] const std::vector<policy_set>&
Policies();
[[nodiscard]] const std::vector<scenario>&
Scenarios();

/// Runs one combination in simulated time.
[[nodiscard]] run_result
Run(const deployment& aDeployment,
    const policy_set& aPolicy,
    const scenario& aScenario,
    std::uint64_t aSeed,
    seconds aLength);

/// Measures the time of a dispatch decision and of a planning round at several
/// sizes and prints a table.
void
MeasureDecisions(std::uint64_t aSeed, bool aCsv);

} // namespace arbutusferry::experiment
