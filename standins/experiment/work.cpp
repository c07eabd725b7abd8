#include "experiment/simulation.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::experiment {

namespace {

constexpr std::int64_t kGroupSize = 8;
constexpr std::int64_t kStalenessBound = 1;
constexpr seconds kStepDeadline = 2340; ///< 39 minutes.
constexpr seconds kSamplerDeadline = 30;
constexpr seconds kDeskDeadline = 5;
constexpr double kMeanSampleTokens = 200;
constexpr double kMeanDeskTokens = 50;
/// Callers state the maximum length they accept, not the expected one.
constexpr double kSampleEstimatedTokens = 512;
constexpr double kDeskEstimatedTokens = 128;

time_point
At(seconds aTime)
{
  return time_point{ std::chrono::seconds(1000) } +
         std::chrono::duration_cast<duration>(
           std::chrono::duration<double>(aTime));
}

} // namespace

void
simulation::ScheduleLoad()
{
  for (std::size_t i = 0; i < mTeams.size(); ++i) {
    const auto& team = mTeams[i];
    if (team.groups > 0) {
      Schedule(Uniform(0, 20), [this, i] { PostStep(i); });
    }
    ScheduleCall(i, kSamplerClass, team.samplerCalls);
    ScheduleCall(i, kDeskClass, team.deskCalls);
  }
}

void
simulation::ScheduleCall(std::size_t aTeam,
                         const std::string& aClass,
                         double aRate)
{
  if (aRate <= 0) {
    return;
  }
  Schedule(Exponential(1 / aRate), [this, aTeam, aClass, aRate] {
    const bool desk = aClass == kDeskClass;
    const auto work = std::make_shared<request>();
    work->item.team = mTeams[aTeam].name;
    work->item.targetClass = aClass;
    work->item.idempotent = !desk || Uniform(0, 1) < 0.6;
    work->item.estimatedTokens =
      desk ? kDeskEstimatedTokens : kSampleEstimatedTokens;
    work->tokens = std::max(
      1.0, Uniform(0.5, 1.5) * (desk ? kMeanDeskTokens : kMeanSampleTokens));
    work->submitted = mNow;
    work->item.deadline = At(mNow + (desk ? kDeskDeadline : kSamplerDeadline));
    work->entry = static_cast<std::size_t>(
      Uniform(0, static_cast<double>(mEntries.size())));
    // The flooding team has no guarantee of an answer in time.
    work->counted = WarmedUp() && !(mScenario.flood && aTeam == 7);
    mCountedCalls += work->counted ? 1 : 0;
    Send(work);
    ScheduleCall(aTeam, aClass, aRate);
  });
}

void
simulation::PostStep(std::size_t aTeam)
{
  const auto posted = std::make_shared<step>();
  posted->team = aTeam;
  posted->version = mVersion;
  posted->posted = mNow;
  posted->deadline = mNow + kStepDeadline;
  posted->entry =
    static_cast<std::size_t>(Uniform(0, static_cast<double>(mEntries.size())));
  const auto groups = mTeams[aTeam].groups;
  posted->remaining = groups * kGroupSize;
  ++mLastStepId;
  for (std::int64_t g = 0; g < groups; ++g) {
    const auto group = std::to_string(mLastStepId) + "/" + std::to_string(g);
    posted->groups[group] = kGroupSize;
    for (std::int64_t i = 0; i < kGroupSize; ++i) {
      const auto work = std::make_shared<request>();
      work->item.team = mTeams[aTeam].name;
      work->item.targetClass = kSamplerClass;
      work->item.kind = work_kind::Sample;
      work->item.group = group;
      work->item.estimatedTokens = kSampleEstimatedTokens;
      work->item.minVersion =
        std::max<std::int64_t>(1, posted->version - kStalenessBound);
      work->item.deadline = At(posted->deadline);
      for (std::uint64_t block = 0; block < 4; ++block) {
        work->item.prefix.push_back(
          static_cast<std::uint64_t>(mLastStepId * 10'000 + g * 10) + block);
      }
      work->tokens = Uniform(0.5, 1.5) * kMeanSampleTokens;
      if (Uniform(0, 1) < mScenario.stragglers) {
        work->tokens *= 10;
      }
      work->submitted = mNow;
      work->owner = posted;
      work->entry = posted->entry;
      Send(work);
    }
  }
}

void
simulation::Send(const std::shared_ptr<request>& aWork)
{
  if (aWork->owner) {
    aWork->item.groupRemaining = aWork->owner->groups[aWork->item.group];
  }
  mEntries[aWork->entry].entryDispatcher->Submit(
    aWork->item,
    [this, aWork](std::variant<assignment, error_info> aOutcome) {
      if (const auto* found = std::get_if<assignment>(&aOutcome)) {
        OnAssigned(aWork, *found);
      } else if (aWork->owner) {
        Schedule(1, [this, aWork] { Send(aWork); });
      }
    },
    Now());
}

void
simulation::OnAssigned(const std::shared_ptr<request>& aWork,
                       const assignment& aAssignment)
{
  mAttemptCount += WarmedUp() ? 1 : 0;
  const auto started = std::make_shared<exchange>();
  started->work = aWork;
  started->id = aAssignment.id;
  const auto zone = mEntries[aWork->entry].zone;
  const bool remote = ZoneOf(aAssignment.target) != zone;
  const seconds latency =
    remote ? mDeployment.interZoneLatency : mDeployment.interZoneLatency / 10;
  const auto found =
    std::find_if(mEngines.begin(), mEngines.end(), [&](const auto& aEngine) {
      return aEngine->info.id == aAssignment.target.id;
    });
  const auto receiver = found == mEngines.end() ? nullptr : *found;
  Schedule(latency, [this, started, receiver, zone] {
    if (!receiver || !receiver->up ||
        Disconnected(zone, ZoneOf(receiver->info))) {
      mEntries[started->work->entry].entryDispatcher->Complete(
        started->id, { 0, true }, Now());
      Retry(started->work, receiver ? receiver->info.id : "");
      return;
    }
    receiver->waiting.push_back(started);
    Admit(receiver);
    if (WarmedUp()) {
      mResult.maxOverSlots =
        std::max(mResult.maxOverSlots,
                 static_cast<std::int64_t>(receiver->waiting.size()) +
                   receiver->running - receiver->info.slots);
    }
  });
}

void
simulation::Retry(const std::shared_ptr<request>& aWork,
                  const std::string& aFailed)
{
  ++aWork->attempts;
  if (!aWork->owner && !aWork->item.idempotent) {
    return; // The outcome is unknown and a repeat is unsafe.
  }
  if (!aFailed.empty() && aWork->item.avoid.size() < 4) {
    aWork->item.avoid.push_back(aFailed);
  }
  if (mEntries[aWork->entry].entryDispatcher->TryRetry(aWork->item.team,
                                                       Now())) {
    Send(aWork);
  } else if (aWork->owner) {
    Schedule(1, [this, aWork] {
      --aWork->attempts;
      Retry(aWork, "");
    });
  }
}

void
simulation::OnFinished(const std::shared_ptr<request>& aWork,
                       std::int64_t aVersion,
                       const target_info& aTarget)
{
  if (aWork->owner) {
    auto& owner = *aWork->owner;
    if (owner.version - aVersion > kStalenessBound) {
      mResult.discardedSamples += WarmedUp() ? 1 : 0;
      Send(aWork);
      return;
    }
    --owner.groups[aWork->item.group];
    if (--owner.remaining == 0) {
      if (WarmedUp()) {
        mStepWaitTime += mNow - owner.posted;
        ++mResult.steps;
      }
      const auto team = owner.team;
      const seconds training = Uniform(0.5, 1.5) * mTeams[team].trainTime;
      mTrainingTime += WarmedUp() ? training : 0;
      Schedule(training, [this, team] { PostStep(team); });
    }
  } else if (At(mNow) > aWork->item.deadline) {
    return;
  } else {
    mCallsInTime += aWork->counted ? 1 : 0;
  }
  if (WarmedUp()) {
    ++mFinishedRequests;
    mTokens += aWork->tokens;
    mReclaimableTokens +=
      aTarget.pool == target_pool::Reclaimable ? aWork->tokens : 0;
  }
}

} // namespace arbutusferry::experiment
