#pragma once

#include "arbutusferry/time.hpp"
#include "placement/step_slack.hpp"

#include "zones/home_regions.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Score penalty of a cold sampler, above all other differences: warm ones come
/// first.
inline constexpr double kColdPenalty = 1'000.0;

/// What the leader knows of one sampler when it places items.
struct sampler_state
{
  std::string id;
  std::string software; ///< Version of its software.
  int slots = 1;
  int running = 0;
  bool usable = true; ///< Registered, not draining, not in backoff.
  /// Items that its limit allows to start now.
  int startsAvailable = std::numeric_limits<int>::max();
  bool cold = false;
  std::string region;                           ///< Empty if not known.
  std::map<std::string, std::int64_t> versions; ///< Weights by model.
  std::string loading; ///< Model whose weights are being loaded, or empty.
  /// The load may have ended: one item may be sent as a probe.
  bool mayHaveLoaded = false;
  std::string assignedModel; ///< Model whose new versions it loads.
  /// End of its last load, during which its runs paused.
  time_point loadEndedAt;
  /// Mean time between the events of a run.
  std::optional<double> eventIntervalMs;
  std::map<std::string, int> groups; ///< Running items by group.
};

/// An item that waits for a sampler.
struct waiting_item
{
  std::string batch;
  std::size_t index = 0;
  std::string model;
  std::int64_t minimumVersion = 0;
  /// The only weight version it may continue under once begun; 0 if any.
  std::int64_t onlyVersion = 0;
  /// The only software version at which it may continue once begun.
  std::optional<std::string> onlySoftware = std::nullopt;
  std::string group;
  std::int64_t submittedUnixMs = 0;
  bool carried = false;
  /// Items of its group without a listed result: the group nearest to
  /// completion goes first.
  std::size_t groupUncommitted = 0;
  /// Largest estimate of output tokens among the items of its group.
  std::int64_t groupTokenEstimate = 0;
  home_regions homes = {}; ///< Regions of the samplers that may run it.
  /// Priority of its team, or else of its route; 0 is placed first.
  int priority = 0;
  std::size_t demand = 0; ///< Index of its model and version in a placement.
  bool contended = false; ///< Whether the members below are set.
  std::size_t share = 0;  ///< Index of its team and model in a placement.
  slack_class need = slack_class::Timely;
  double slackMs = 0.0;         ///< Slack of its group.
  double remainingEvents = 0.0; ///< Events that it probably still needs.
};

/// @return Whether a sampler has weights of a model that are new enough, or may
/// have loaded them.
[[nodiscard]] bool
HoldsWeights(const sampler_state& aSampler,
             const std::string& aModel,
             std::int64_t aMinimumVersion);

/// @return Whether a sampler may take an item now.
[[nodiscard]] bool
MayTake(const sampler_state& aSampler, const waiting_item& aItem);

/// Sorts items in the order of placement: the oldest batch first; within it
/// groups carried over from an earlier batch, then the longest by estimate,
/// then those with the fewest items left.
void
SortWaiting(std::vector<waiting_item>& aItems);

/// Chooses a sampler for an item.
/// @return Its index, or nothing if none may take the item now.
[[nodiscard]] std::optional<std::size_t>
ChooseSampler(const waiting_item& aItem,
              const std::vector<sampler_state>& aSamplers);
/// The same with a median from `MedianEventIntervalMs`, for many items.
[[nodiscard]] std::optional<std::size_t>
ChooseSampler(const waiting_item& aItem,
              const std::vector<sampler_state>& aSamplers,
              double aMedianIntervalMs);

/// Times of a run's start and events.
struct run_timing
{
  time_point started;
  time_point lastEvent; ///< The start until the first event.
  bool begun = false;   ///< The first event has arrived.
};

/// @return Whether a run was silent for so long that its sampler may have
/// stopped.
[[nodiscard]] bool
FellSilent(const run_timing& aRun,
           const sampler_state& aSampler,
           double aMedianIntervalMs,
           time_point aNow);

/// @return Whether a run should continue at another sampler: its sampler is
/// much slower than the others, or the run was silent for too long. A sampler
/// that gets no further items for now, or that the registry doesn't list, keeps
/// the runs that go on there.
[[nodiscard]] bool
ShouldMove(const run_timing& aRun,
           const sampler_state& aSampler,
           double aMedianIntervalMs,
           time_point aNow);

/// @return The (lower) median time between events over samplers, or nothing.
[[nodiscard]] std::optional<double>
MedianEventIntervalMs(const std::vector<sampler_state>& aSamplers);

} // namespace arbutusferry::node
