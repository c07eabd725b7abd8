#include "arbutusferry/step.hpp"

#include <algorithm>
#include <iterator>

namespace arbutusferry {

step_progress::step_progress(const step_request& aStep,
                             const delivery_cursor& aDelivered,
                             const hedge_options& aHedging)
  : mHedging(aHedging)
{
  for (std::size_t group = 0; group < aStep.groups.size(); ++group) {
    mGroupSize.push_back(aStep.groups[group].count);
    mGroupLeft.push_back(0);
    for (std::int64_t index = 0; index < aStep.groups[group].count; ++index) {
      sample_state sample;
      sample.group = group;
      sample.index = index;
      sample.done = aDelivered.Contains(mSamples.size());
      if (!sample.done) {
        ++mGroupLeft[group];
        ++mLeft;
      }
      mSamples.push_back(sample);
    }
  }
}

std::vector<std::size_t>
step_progress::Ready(std::size_t aLimit) const
{
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < mSamples.size(); ++i) {
    if (!mSamples[i].done && mSamples[i].open == 0) {
      ready.push_back(i);
    }
  }
  std::stable_sort(
    ready.begin(), ready.end(), [this](std::size_t aLeft, std::size_t aRight) {
      return GroupRemaining(aLeft) < GroupRemaining(aRight);
    });
  const std::size_t room = aLimit > mOpen ? aLimit - mOpen : 0;
  if (ready.size() > room) {
    ready.resize(room);
  }
  return ready;
}

void
step_progress::RecordSubmit(std::size_t aSample)
{
  ++mSamples[aSample].open;
  ++mOpen;
}

void
step_progress::RecordStart(std::size_t aSample, time_point aNow)
{
  sample_state& sample = mSamples[aSample];
  ++sample.attempts;
  if (++sample.running == 1) {
    sample.started = aNow;
  }
}

void
step_progress::RecordEnd(std::size_t aSample)
{
  sample_state& sample = mSamples[aSample];
  --sample.open;
  sample.running = std::min(sample.running, sample.open);
  --mOpen;
}

bool
step_progress::RecordSuccess(std::size_t aSample, duration aTook)
{
  sample_state& sample = mSamples[aSample];
  if (sample.done) {
    return false;
  }
  sample.done = true;
  --mGroupLeft[sample.group];
  --mLeft;
  mTimes.insert(aTook);
  return true;
}

std::vector<std::size_t>
step_progress::Stragglers(time_point aNow) const
{
  std::vector<std::size_t> late;
  if (mTimes.size() < mHedging.minFinished || mTimes.empty()) {
    return late;
  }
  const duration median =
    *std::next(mTimes.begin(), static_cast<std::ptrdiff_t>(mTimes.size() / 2));
  const auto limit =
    std::chrono::duration_cast<duration>(median * mHedging.medianFactor);
  for (std::size_t i = 0; i < mSamples.size(); ++i) {
    const sample_state& sample = mSamples[i];
    const double last = std::max(1.0,
                                 static_cast<double>(mGroupSize[sample.group]) *
                                   mHedging.maxUnfinishedFraction);
    if (!sample.done && sample.open == 1 && sample.running == 1 &&
        static_cast<double>(mGroupLeft[sample.group]) <= last &&
        aNow - sample.started > limit) {
      late.push_back(i);
    }
  }
  return late;
}

bool
step_progress::IsDone(std::size_t aSample) const
{
  return mSamples[aSample].done;
}

int
step_progress::Attempts(std::size_t aSample) const
{
  return mSamples[aSample].attempts;
}

std::int64_t
step_progress::GroupRemaining(std::size_t aSample) const
{
  return mGroupLeft[mSamples[aSample].group];
}

std::size_t
step_progress::GroupOf(std::size_t aSample) const
{
  return mSamples[aSample].group;
}

std::int64_t
step_progress::IndexOf(std::size_t aSample) const
{
  return mSamples[aSample].index;
}

} // namespace arbutusferry
