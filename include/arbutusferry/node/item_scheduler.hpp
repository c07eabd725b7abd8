#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// What the leader knows of one sampler when it places items.
struct sampler_state
{
  std::string id;
  int slots = 1;
  int running = 0;
  bool usable = true; ///< Neither leaving nor failing at present.
  std::map<std::string, std::int64_t> versions; ///< By model.
  std::string loading; ///< Model that is being loaded, or empty.
  /// The load may have ended: one item may try.
  bool mayHaveLoaded = false;
  std::string home; ///< Model whose new versions it gets.
  /// Mean time between events in milliseconds; nothing while unknown.
  std::optional<double> eventMilliseconds;
  std::map<std::string, int> groups; ///< Running items of each group.
};

/// An item that waits for a sampler.
struct waiting_item
{
  std::string batch;
  std::size_t index = 0;
  std::string model;
  std::int64_t minimumVersion = 0;
  /// The only version it may run under, because it has begun; 0 if any.
  std::int64_t onlyVersion = 0;
  std::string group;
  std::int64_t submittedUnixMs = 0;
  bool carried = false;
  /// Unlisted items of its group: the group nearest to completion goes first.
  std::size_t groupUncommitted = 0;
  /// Largest estimate of output tokens in its group.
  std::int64_t groupTokenEstimate = 0;
};

/// Order in which waiting items are placed: the oldest step first; within it
/// groups that came back, then groups that were begun, then those that are
/// likely to take longest.
void
SortWaiting(std::vector<waiting_item>& aItems);

/// Places one item.
/// @return Index of the sampler, or nothing if none has room for it.
[[nodiscard]] std::optional<std::size_t>
ChooseSampler(const waiting_item& aItem,
              const std::vector<sampler_state>& aSamplers);

/// What a run has shown so far.
struct run_pace
{
  time_point started;
  time_point lastEvent; ///< Start, until the first event.
  bool begun = false;   ///< The first event has arrived.
};

/// Decides whether a run should go on at another sampler: it has been silent
/// for too long, or its sampler is much slower than the others.
[[nodiscard]] bool
ShouldMove(const run_pace& aRun,
           const sampler_state& aSampler,
           double aTypicalEventMilliseconds,
           time_point aNow);

/// @return The (lower) median time between events over samplers, or nothing.
[[nodiscard]] std::optional<double>
MedianEventIntervalMs(const std::vector<sampler_state>& aSamplers);

} // namespace arbutusferry::node
