#include "arbutusferry/node/item_scoring.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr time_point kNow{ std::chrono::hours(1) };

target_entry
Target(const std::string& aId, int aSlots)
{
  target_entry entry;
  entry.id = aId;
  entry.service = "desk";
  entry.slots = aSlots;
  return entry;
}

waiting_reward
Reward(std::size_t aIndex,
       std::size_t aUncommitted,
       std::int64_t aSubmitted = 0)
{
  return { "b" + std::to_string(aSubmitted),
           aIndex,
           "desk",
           aSubmitted,
           false,
           aUncommitted };
}

reward_result
Ended(reward_outcome aOutcome)
{
  reward_result result;
  result.outcome = aOutcome;
  return result;
}

/// Targets that serve requests in order of arrival, a fixed time each, and a
/// burst of reward calls beside a caller's request every 10 ms.
class burst_simulation
{
public:
  static constexpr int kTargets = 4;
  static constexpr int kSlots = 6;
  static constexpr int kServiceMs = 30;
  static constexpr int kRewards = 350;

  struct outcome
  {
    int worstCallerMs = 0;
    int lastRewardMs = 0;
  };

  /// @param aBounded Whether to send calls as the decisions say, instead of all
  /// at once.
  static outcome Run(bool aBounded)
  {
    burst_simulation simulation;
    outcome result;
    int unsent = kRewards;
    int rewardsDone = 0;
    for (int now = 0; rewardsDone < kRewards || now < 1'000; ++now) {
      for (int target = 0; target < kTargets; ++target) {
        simulation.Complete(target, now, result, rewardsDone);
      }
      std::map<std::string, int> room{ { "desk", kRewards } };
      if (aBounded) {
        room["desk"] = RoomForRewardCalls(simulation.mView, "desk", kNow);
      }
      std::vector<waiting_reward> waiting;
      waiting.reserve(static_cast<std::size_t>(unsent));
      for (int index = 0; index < unsent; ++index) {
        waiting.push_back(Reward(static_cast<std::size_t>(index), 1));
      }
      for (const auto& chosen : ChooseRewardCalls(std::move(waiting), room)) {
        (void)chosen;
        --unsent;
        simulation.Send({ now, false }, aBounded);
      }
      if (now % 10 == 0) {
        simulation.Send({ now, true }, false);
      }
    }
    return result;
  }

private:
  struct request
  {
    int sentAt;
    bool ofCaller;
    int endsAt = 0;
  };

  burst_simulation()
  {
    for (int target = 0; target < kTargets; ++target) {
      mView.Update(Target("t" + std::to_string(target), kSlots), kNow);
    }
  }

  void Send(request aRequest, bool aLeavesSlots)
  {
    target_query query;
    query.service = "desk";
    query.leavesSlots = aLeavesSlots;
    const std::string chosen = mView.Choose(query, kNow);
    ++mView.Find(chosen)->outstanding;
    mQueues[chosen].push_back(aRequest);
  }

  void Complete(int aTarget, int aNow, outcome& aResult, int& aRewardsDone)
  {
    const std::string id = "t" + std::to_string(aTarget);
    auto& queue = mQueues[id];
    std::erase_if(queue, [&](const request& aRequest) {
      if (aRequest.endsAt == 0 || aRequest.endsAt > aNow) {
        return false;
      }
      --mView.Find(id)->outstanding;
      if (aRequest.ofCaller) {
        aResult.worstCallerMs =
          std::max(aResult.worstCallerMs, aNow - aRequest.sentAt);
      } else {
        ++aRewardsDone;
        aResult.lastRewardMs = aNow;
      }
      return true;
    });
    for (std::size_t at = 0; at < std::min<std::size_t>(kSlots, queue.size());
         ++at) {
      if (queue[at].endsAt == 0) {
        queue[at].endsAt = aNow + kServiceMs;
      }
    }
  }

  target_view mView;
  std::map<std::string, std::deque<request>> mQueues;
};

} // namespace

// Guards against callers that wait behind a burst of reward calls, as when the
// items of several groups end together.
TEST_CASE("a burst of reward calls doesn't delay callers' requests")
{
  const auto atOnce = burst_simulation::Run(false);
  const auto bounded = burst_simulation::Run(true);
  INFO("at once: " << atOnce.worstCallerMs << " ms, last score after "
                   << atOnce.lastRewardMs
                   << " ms; bounded: " << bounded.worstCallerMs << " ms, "
                   << bounded.lastRewardMs << " ms");
  // A caller's request always finds a free slot.
  CHECK(bounded.worstCallerMs <= burst_simulation::kServiceMs + 1);
  CHECK(atOnce.worstCallerMs > 5 * bounded.worstCallerMs);
  // Slots kept for callers may cost the burst half as much time again.
  CHECK(2 * bounded.lastRewardMs <= 3 * atOnce.lastRewardMs + 60);
}

// Guards against a group that waits for one score while later groups begin.
TEST_CASE("the oldest batch's group nearest to completion is scored first")
{
  const auto chosen = ChooseRewardCalls({ Reward(1, 3, 200),
                                          Reward(2, 1, 200),
                                          Reward(3, 4, 100),
                                          Reward(4, 2, 100) },
                                        { { "desk", 3 } });
  REQUIRE(chosen.size() == 3);
  CHECK(chosen[0].index == 4);
  CHECK(chosen[1].index == 3);
  CHECK(chosen[2].index == 2);
}

TEST_CASE("reward calls of one service don't take the room of another")
{
  waiting_reward other = Reward(9, 1);
  other.service = "other";
  const auto chosen = ChooseRewardCalls({ Reward(1, 1), other },
                                        { { "desk", 0 }, { "other", 1 } });
  REQUIRE(chosen.size() == 1);
  CHECK(chosen[0].index == 9);
}

TEST_CASE("the room for reward calls follows the slots of usable targets")
{
  target_view view;
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 0);
  view.Update(Target("a", 6), kNow);
  view.Update(Target("b", 6), kNow);
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 10);
  view.Find("a")->outstanding = 5;
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 5);
  target_entry draining = Target("b", 6);
  draining.draining = true;
  view.Update(draining, kNow);
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 0);
  view.Update(Target("c", 1), kNow);
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 1);
}

// Guards against calls that flood targets which have just failed, and against
// items that are never scored because all targets failed once.
TEST_CASE("a service whose targets all failed gets one call at a time")
{
  target_view view;
  view.Update(Target("a", 6), kNow);
  view.NoteFailure("a", kNow);
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 1);
  view.Find("a")->outstanding = 1;
  CHECK(RoomForRewardCalls(view, "desk", kNow) == 0);
}

TEST_CASE("a reward call is repeated until it is scored or errors are used up")
{
  scoring_state state;
  state.calls = 1;
  CHECK(AfterRewardCall(state, Ended(reward_outcome::Scored), 3, 4, kNow) ==
        scoring_step::Commit);
  CHECK(AfterRewardCall(state, Ended(reward_outcome::Failed), 3, 4, kNow) ==
        scoring_step::Retry);
  CHECK(AfterRewardCall(state, Ended(reward_outcome::Failed), 4, 4, kNow) ==
        scoring_step::GiveUp);
  // Neither a refusal nor a lost response counts as an error.
  for (const auto outcome : { reward_outcome::Refused,
                              reward_outcome::Unanswered,
                              reward_outcome::NoRoute }) {
    CHECK(AfterRewardCall(state, Ended(outcome), 3, 4, kNow) ==
          scoring_step::Retry);
  }
}

TEST_CASE("the delay between reward calls grows up to a bound")
{
  scoring_state state;
  state.calls = 1;
  (void)AfterRewardCall(state, Ended(reward_outcome::Refused), 0, 4, kNow);
  const duration first = state.notBefore - kNow;
  state.calls = 50;
  reward_result late = Ended(reward_outcome::Refused);
  late.retryAfter = std::chrono::minutes(10);
  (void)AfterRewardCall(state, late, 0, 4, kNow);
  CHECK(first > duration::zero());
  CHECK(state.notBefore - kNow > first);
  // A crash report blocks a request for minutes; an item isn't given up on it.
  CHECK(state.notBefore - kNow <= milliseconds(1'000));
}
