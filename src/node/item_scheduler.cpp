#include "arbutusferry/node/item_scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Weight of a sampler's load against its speed: a full batch takes a tenth
/// longer a token than a single request (0.743 and 0.81 ms on both sheets).
constexpr double kLoadWeight = 0.1;
/// Advantage of the model's own samplers, whose weights stay current.
constexpr double kHomeBonus = 0.05;
/// Advantage of a sampler that has the group's prompt in its cache.
constexpr double kPrefixBonus = 0.02;
/// Advantage of each newer weight version, up to two.
constexpr double kVersionBonus = 0.02;
/// Disadvantage of a sampler that may still be loading the weights.
constexpr double kTrialMalus = 1.0;
/// A sampler slower than the typical one by this factor loses its runs.
constexpr double kSlowFactor = 1.8;
/// Silence after which a run is moved: several events of a slow sampler.
constexpr milliseconds kSilence{ 400 };
/// The same before the first event, which waits for a place in the batch.
constexpr milliseconds kSilenceBeforeFirst{ 700 };

} // namespace

void
SortWaiting(std::vector<waiting_item>& aItems)
{
  const auto key = [](const waiting_item& aItem) {
    return std::make_tuple(aItem.submittedUnixMs,
                           std::cref(aItem.batch),
                           !aItem.carried,
                           -aItem.groupTokenEstimate,
                           aItem.groupUncommitted,
                           std::cref(aItem.group),
                           aItem.index);
  };
  std::sort(aItems.begin(),
            aItems.end(),
            [&](const waiting_item& aLeft, const waiting_item& aRight) {
              return key(aLeft) < key(aRight);
            });
}

std::optional<double>
MedianEventIntervalMs(const std::vector<sampler_state>& aSamplers)
{
  std::vector<double> values;
  for (const sampler_state& sampler : aSamplers) {
    if (sampler.eventMilliseconds) {
      values.push_back(*sampler.eventMilliseconds);
    }
  }
  if (values.empty()) {
    return std::nullopt;
  }
  const auto middle =
    values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

std::optional<std::size_t>
ChooseSampler(const waiting_item& aItem,
              const std::vector<sampler_state>& aSamplers)
{
  const double typical = MedianEventIntervalMs(aSamplers).value_or(1.0);
  std::optional<std::size_t> best;
  double bestScore = 0.0;
  for (std::size_t index = 0; index < aSamplers.size(); ++index) {
    const sampler_state& sampler = aSamplers[index];
    const auto version = sampler.versions.find(aItem.model);
    if (!sampler.usable || sampler.running >= sampler.slots ||
        (sampler.loading == aItem.model && !sampler.mayHaveLoaded) ||
        version == sampler.versions.end() ||
        version->second < aItem.minimumVersion ||
        (aItem.onlyVersion != 0 && version->second != aItem.onlyVersion)) {
      continue;
    }
    const double pace = sampler.eventMilliseconds.value_or(typical) / typical;
    double score = std::max(1.0, pace) *
                   (1.0 + kLoadWeight * sampler.running / sampler.slots);
    score += sampler.loading == aItem.model ? kTrialMalus : 0.0;
    score -= sampler.home == aItem.model ? kHomeBonus : 0.0;
    score -= sampler.groups.contains(aItem.group) ? kPrefixBonus : 0.0;
    score -= kVersionBonus * static_cast<double>(std::min<std::int64_t>(
                               2, version->second - aItem.minimumVersion));
    if (!best || score < bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

bool
ShouldMove(const run_pace& aRun,
           const sampler_state& aSampler,
           double aTypicalEventMilliseconds,
           time_point aNow)
{
  if (!aSampler.usable) {
    return true;
  }
  // A load of weights stops all runs of the sampler for its time.
  if (!aSampler.loading.empty()) {
    return false;
  }
  const duration limit = aRun.begun ? kSilence : kSilenceBeforeFirst;
  const auto pace = std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::milli>(4 * aTypicalEventMilliseconds));
  if (aNow - aRun.lastEvent >= std::max(limit, pace)) {
    return true;
  }
  return aRun.begun && aSampler.eventMilliseconds &&
         *aSampler.eventMilliseconds > kSlowFactor * aTypicalEventMilliseconds;
}

} // namespace arbutusferry::node
