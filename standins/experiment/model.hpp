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

inline constexpr const char* kSamplerClass = "sampler";
inline constexpr const char* kDeskClass = "desk";

/// Zones of a deployment and their sizes (design section 1.1).
struct deployment
{
  std::string name;
  seconds interZoneLatency = 0.001;   ///< One way.
  std::vector<std::int64_t> samplers; ///< Maximum number by zone.
  std::vector<std::int64_t> desks;
  std::vector<std::int64_t> entries;
};

enum class fleet_kind
{
  Forecast,
  Fixed,
  Threshold,
};

/// Combination of decision functions to compare.
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
  double stragglers = 0; ///< Fraction of samples that are 10 times as long.
  seconds weightPeriod = 300;
  bool reclaim = false;
  bool unavailable = false;
  bool crash = false;
  bool partition = false;
};

/// Results of one run.
struct run_result
{
  /// Attained fraction of the worst-served team's share; 1 is the full share.
  double worstShare = 0;
  std::string worstTeam; ///< Team and class with worstShare.
  double stepWait = 0;   ///< Mean time a trainer waits for a step, in seconds.
  double idle = 0;       ///< Fraction of time that trainers wait.
  std::int64_t steps = 0;
  std::int64_t discardedSamples = 0; ///< Samples over the staleness bound.
  double inTime = 0;                 ///< Fraction of calls answered in time.
  double cost = 0;        ///< Price times seconds of targets, per 1000 tokens.
  double reclaimable = 0; ///< Fraction of tokens from reclaimable targets.
  /// Largest number of requests at one target above its slots.
  std::int64_t maxOverSlots = 0;
  double retries = 0; ///< Attempts per finished request, minus 1.
};

struct step;

/// One request of a caller or one sample of a step.
struct request
{
  work_item item;
  double tokens = 0;
  seconds submitted = 0;
  std::shared_ptr<step> owner; ///< Null for calls.
  std::size_t entry = 0;
  int attempts = 0;
  bool counted = false; ///< Included in run_result::inTime.
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

/// One attempt of a request at an engine.
struct exchange
{
  std::shared_ptr<request> work;
  work_id id = 0;
  std::int64_t version = 0;
  bool ended = false;
};

/// Simulated inference engine: continuous batching, admission in arrival order,
/// a prompt prefix cache, no priorities.
struct engine
{
  target_info info; ///< Without the load, which Sync() adds to its copy.
  std::int64_t version = 0;
  std::int64_t running = 0;
  std::deque<std::shared_ptr<exchange>> waiting;
  std::vector<std::shared_ptr<exchange>> active;
  std::list<std::uint64_t> cache; ///< Most recently used first.
  seconds billedSince = 0;
  bool loadingWeights = false; ///< Admits no requests meanwhile.
  bool up = true;              ///< False while crashed and after removal.
};

/// Load that one team offers.
struct team_load
{
  std::string name;
  double share = 1;
  std::int64_t groups = 0; ///< Per step, 8 samples each; 0 without a trainer.
  seconds trainTime = 0;   ///< Mean time between steps.
  double samplerCalls = 0; ///< Idempotent calls per second.
  double deskCalls = 0;    ///< Calls per second; 40 % are not idempotent.
};

[[nodiscard]] const std::vector<deployment>&
Deployments();
[[nodiscard]] const std::vector<policy_set>&
Policies();
[[nodiscard]] const std::vector<scenario>&
Scenarios();

/// Runs one combination for aLength simulated seconds.
[[nodiscard]] run_result
Run(const deployment& aDeployment,
    const policy_set& aPolicy,
    const scenario& aScenario,
    std::uint64_t aSeed,
    seconds aLength);

/// Measures the time of a dispatch decision and of a planning round at several
/// sizes and prints a table, or CSV if aCsv.
void
MeasureDecisions(std::uint64_t aSeed, bool aCsv);

} // namespace arbutusferry::experiment
