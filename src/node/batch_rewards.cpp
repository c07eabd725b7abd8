#include "arbutusferry/node/batch_leader.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Time limit of a reward call. `mayStartRuns` allows calls to start up to 1.6
/// s after leadership was last confirmed, and none may reach a target later
/// than `cancelWithin` (3 s) after the end of its batch.
constexpr milliseconds kRewardTimeLimit{ 1'000 };

} // namespace

void
batch_leader::FinishText(batch& aBatch, std::size_t aIndex)
{
  if (!TextFits(aBatch, aIndex)) {
    RestartItem(aBatch, aIndex);
    return;
  }
  if (!aBatch.Request().items[aIndex].reward) {
    FinishItem(aBatch, aIndex, result_state::Completed);
    return;
  }
  item_state& item = aBatch.Items()[aIndex];
  item.phase = item_phase::Scoring;
  item.scoring = {};
  item.scoring.since = mParts.loop.Now();
  if (!std::exchange(item.progress.complete, true)) {
    SaveItem(aBatch, aIndex);
  }
  ScheduleRewardCalls();
}

void
batch_leader::FinishCompleteTexts(batch& aBatch)
{
  for (std::size_t index = 0; !aBatch.Closed() && index < aBatch.Items().size();
       ++index) {
    const item_state& item = aBatch.Items()[index];
    if (item.phase == item_phase::Waiting && item.progress.complete) {
      FinishText(aBatch, index);
    }
  }
}

void
batch_leader::SaveItem(batch& aBatch, std::size_t aIndex)
{
  const std::string& id = aBatch.Request().id;
  item_state& item = aBatch.Items()[aIndex];
  std::string encoded = EncodeProgress(item.progress);
  if (encoded.size() + kRecordOverhead > mParts.log.MaxRecordBytes()) {
    Log(log_level::Warning,
        "item_too_large_to_save",
        { { "item", aBatch.Request().items[aIndex].id },
          { "batch", id },
          { "bytes", std::to_string(encoded.size()) } });
    return;
  }
  // Also without events there is now a record to remove.
  item.savedEvents = std::max<std::size_t>(1, item.progress.events.size());
  mJournal.Append({ { ProgressKey(id, aIndex), std::move(encoded) } }, {});
}

void
batch_leader::ScheduleRewardCalls()
{
  if (mReady && !mRewardTimer) {
    mRewardTimer = mParts.loop.After(duration::zero(), [this] {
      mRewardTimer.reset();
      SendRewardCalls();
    });
  }
}

std::vector<waiting_reward>
batch_leader::WaitingRewards()
{
  const time_point now = mParts.loop.Now();
  const environment_view& environment = mParts.environment.Environment();
  std::vector<waiting_reward> waiting;
  for (const auto& [id, entry] : mBatches.All()) {
    if (entry->Closed()) {
      continue;
    }
    const batch_request& request = entry->Request();
    for (std::size_t index = 0; index < entry->Items().size(); ++index) {
      const item_state& item = entry->Items()[index];
      if (item.phase != item_phase::Scoring || item.scoring.calling ||
          item.scoring.notBefore > now) {
        continue;
      }
      const reward_request& reward = *request.items[index].reward;
      const route_entry* route =
        environment.FindRoute(reward.host, reward.path);
      waiting.push_back(
        { id,
          index,
          route ? ChooseService(*route, reward.id) : std::string(),
          request.submittedUnixMs,
          item.carried,
          entry->UncommittedItems(request.items[index].group) });
    }
  }
  return waiting;
}

void
batch_leader::SendRewardCalls()
{
  if (mHandedOver || mSuperseded || !mParts.mayStartRuns()) {
    return;
  }
  std::vector<waiting_reward> waiting = WaitingRewards();
  std::map<std::string, int> room;
  for (const waiting_reward& reward : waiting) {
    const auto [at, added] = room.try_emplace(reward.service);
    if (added) {
      // A call without a service fails at once and is retried later.
      at->second = reward.service.empty()
                     ? static_cast<int>(waiting.size())
                     : RoomForRewardCalls(
                         mParts.targets, reward.service, mParts.loop.Now());
    }
  }
  for (const waiting_reward& reward :
       ChooseRewardCalls(std::move(waiting), std::move(room))) {
    StartRewardCall(reward);
  }
}

void
batch_leader::StartRewardCall(const waiting_reward& aReward)
{
  batch& owner = *mBatches.Find(aReward.batch);
  scoring_state& scoring = owner.Items()[aReward.index].scoring;
  ++scoring.calls;
  scoring.calling = true;
  reward_request request = *owner.Request().items[aReward.index].reward;
  request.homes = HomesOf(owner, aReward.index);
  auto call = mParts.rewards.Call(
    request,
    kRewardTimeLimit,
    [this, id = aReward.batch, index = aReward.index](
      const reward_result& aResult) { OnRewardCallEnded(id, index, aResult); });
  if (scoring.calling) {
    scoring.call = std::move(call);
  }
}

void
batch_leader::OnRewardCallEnded(const std::string& aBatch,
                                std::size_t aIndex,
                                const reward_result& aResult)
{
  mParts.metrics.Count(
    "ferry_reward_calls_total",
    { { "outcome", std::string(RewardOutcomeName(aResult.outcome)) } });
  batch* owner = mBatches.Find(aBatch);
  if (!owner || owner->Ended() ||
      owner->Items()[aIndex].phase != item_phase::Scoring) {
    return;
  }
  const time_point now = mParts.loop.Now();
  item_state& item = owner->Items()[aIndex];
  item.scoring.calling = false;
  item.scoring.call.reset();
  item.progress.rewardErrors += aResult.errors;
  const batch_item& request = owner->Request().items[aIndex];
  const scoring_step next = AfterRewardCall(item.scoring,
                                            aResult,
                                            item.progress.rewardErrors,
                                            MaxRewardErrors(*owner, aIndex),
                                            now);
  if (next != scoring_step::Commit) {
    Log(log_level::Info,
        "reward_call_failed",
        { { "item", request.id },
          { "batch", aBatch },
          { "call", request.reward->id },
          { "attempt", std::to_string(item.scoring.calls) },
          { "outcome", std::string(RewardOutcomeName(aResult.outcome)) },
          { "errors", std::to_string(item.progress.rewardErrors) },
          { "next", next == scoring_step::GiveUp ? "give_up" : "retry" } });
  }
  switch (next) {
    case scoring_step::Commit:
      if (!TextFits(*owner, aIndex)) {
        // The route has come to allow a single version only.
        RestartItem(*owner, aIndex);
        break;
      }
      mParts.metrics.Observe(
        "ferry_reward_seconds",
        { { "model", owner->Request().model } },
        std::chrono::duration<double>(now - item.scoring.since).count());
      FinishItem(*owner, aIndex, result_state::Completed, aResult.score);
      break;
    case scoring_step::GiveUp:
      FinishItem(*owner, aIndex, result_state::Errored);
      break;
    case scoring_step::Retry:
      if (aResult.errors > 0) {
        // The next leader counts on from here.
        SaveItem(*owner, aIndex);
      }
      break;
  }
  ScheduleRewardCalls();
}

int
batch_leader::MaxRewardErrors(const batch& aBatch, std::size_t aIndex) const
{
  const environment_view& environment = mParts.environment.Environment();
  const batch_item& item = aBatch.Request().items[aIndex];
  const route_entry* own =
    environment.FindRoute(aBatch.Request().host, item.path);
  const route_entry* called =
    environment.FindRoute(item.reward->host, item.reward->path);
  return std::max(
    { 1, own ? own->maxAttempts : 1, called ? called->maxAttempts : 1 });
}

void
batch_leader::CancelRewardCalls(batch& aBatch)
{
  for (item_state& item : aBatch.Items()) {
    item.scoring.calling = false;
    if (const auto call = std::exchange(item.scoring.call, nullptr)) {
      call->Cancel();
    }
  }
}

void
batch_leader::CancelRewardCalls()
{
  for (const auto& [id, entry] : mBatches.All()) {
    CancelRewardCalls(*entry);
  }
}

} // namespace arbutusferry::node
