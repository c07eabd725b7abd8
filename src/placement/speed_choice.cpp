#include "placement/speed_choice.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Weight of a sampler's load in its score, as in `ChooseSampler`.
constexpr double kLoadWeight = 0.1;
/// Score bonus of samplers assigned to the model, as in `ChooseSampler`.
constexpr double kAssignedModelBonus = 0.05;
/// Score bonus for each version above the minimum, up to two.
constexpr double kVersionBonus = 0.02;
/// Score penalty of a sampler that may still be loading the weights.
constexpr double kProbePenalty = 1.0;
/// Score bonus of a sampler that has the group's prompt. Outweighs the load
/// (0.1) but no difference in speed above a seventh: where all slots fill up
/// anyway, a prompt of up to 1,000 tokens is read once less.
constexpr double kPromptBonus = 0.15;
/// Slower samplers than this, relative to the median, get no item by
/// preference: runs move away from them (1.8, `ShouldMove`).
constexpr double kMaxPreferredInterval = 1.8;
/// A move must gain this multiple of its cost, since the number of remaining
/// events is an estimate and the slot at the other sampler is used as well.
constexpr double kGainFactor = 1.5;

} // namespace

std::optional<std::size_t>
ChooseByLength(const waiting_item& aItem,
               const std::vector<sampler_state>& aSamplers,
               double aMedianIntervalMs,
               double aTypicalEvents)
{
  const double slowestCost =
    kMaxPreferredInterval * aItem.remainingEvents * aMedianIntervalMs;
  const bool preferSlow =
    aItem.remainingEvents < aTypicalEvents &&
    (aItem.need == slack_class::Surplus || aItem.slackMs >= slowestCost);
  std::optional<std::size_t> best;
  double bestScore = 0.0;
  for (std::size_t index = 0; index < aSamplers.size(); ++index) {
    const sampler_state& sampler = aSamplers[index];
    if (!MayTake(sampler, aItem)) {
      continue;
    }
    const double relativeInterval =
      sampler.eventIntervalMs.value_or(aMedianIntervalMs) / aMedianIntervalMs;
    double score = preferSlow && relativeInterval <= kMaxPreferredInterval
                     ? -relativeInterval
                     : relativeInterval;
    score += kLoadWeight * sampler.running / sampler.slots;
    score += sampler.cold ? kColdPenalty : 0.0;
    score += sampler.loading == aItem.model ? kProbePenalty : 0.0;
    score -= sampler.assignedModel == aItem.model ? kAssignedModelBonus : 0.0;
    score -= sampler.groups.contains(aItem.group) ? kPromptBonus : 0.0;
    score -=
      kVersionBonus *
      static_cast<double>(std::min<std::int64_t>(
        2, sampler.versions.find(aItem.model)->second - aItem.minimumVersion));
    if (!best || score < bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

bool
ShouldMoveEarly(const move_outlook& aRun)
{
  const double here = aRun.remainingEvents * aRun.hereMs;
  const double there = aRun.remainingEvents * aRun.thereMs;
  return here > aRun.untilDueMs &&
         there + aRun.firstEventMs <= aRun.untilDueMs &&
         here - there >= kGainFactor * aRun.firstEventMs;
}

} // namespace arbutusferry::node
