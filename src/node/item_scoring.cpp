#include "arbutusferry/node/item_scoring.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Delay after the first call that failed; doubles with each further one.
constexpr milliseconds kRetryDelay{ 50 };
constexpr milliseconds kMaxRetryDelay{ 800 };
constexpr int kMaxDoublings = 4;

} // namespace

std::string_view
RewardOutcomeName(reward_outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case reward_outcome::Scored:
      return "scored";
    case reward_outcome::Refused:
      return "refused";
    case reward_outcome::Failed:
      return "failed";
    case reward_outcome::Unanswered:
      return "unanswered";
    case reward_outcome::NoRoute:
      break;
  }
  return "no_route";
}

int
RoomForRewardCalls(const target_view& aTargets,
                   const std::string& aService,
                   time_point aNow)
{
  int room = 0;
  bool available = false;
  int outstanding = 0;
  bool registered = false;
  for (const auto& [id, known] : aTargets.All()) {
    if (known.entry.service != aService || known.entry.draining ||
        known.removedSince || !aTargets.Allows(known)) {
      continue;
    }
    registered = true;
    outstanding += known.outstanding;
    if (known.avoidUntil > aNow) {
      continue;
    }
    available = true;
    room +=
      std::max(0,
               known.entry.slots - SlotsKeptForCallers(known.entry.slots) -
                 known.outstanding);
  }
  if (!available && registered) {
    return outstanding == 0 ? 1 : 0;
  }
  return room;
}

std::vector<waiting_reward>
ChooseRewardCalls(std::vector<waiting_reward> aWaiting,
                  std::map<std::string, int> aRoom)
{
  const auto key = [](const waiting_reward& aCall) {
    return std::make_tuple(aCall.submittedUnixMs,
                           std::cref(aCall.batch),
                           !aCall.carried,
                           aCall.groupUncommitted,
                           aCall.index);
  };
  std::sort(aWaiting.begin(),
            aWaiting.end(),
            [&](const waiting_reward& aLeft, const waiting_reward& aRight) {
              return key(aLeft) < key(aRight);
            });
  std::vector<waiting_reward> chosen;
  for (waiting_reward& call : aWaiting) {
    if (int& room = aRoom[call.service]; room > 0) {
      --room;
      chosen.push_back(std::move(call));
    }
  }
  return chosen;
}

scoring_step
AfterRewardCall(scoring_state& aState,
                const reward_result& aResult,
                int aErrors,
                int aMaxErrors,
                time_point aNow)
{
  if (aResult.outcome == reward_outcome::Scored) {
    return scoring_step::Commit;
  }
  if (aErrors >= aMaxErrors) {
    return scoring_step::GiveUp;
  }
  const milliseconds delay = std::min(
    kRetryDelay * (1 << std::clamp(aState.calls - 1, 0, kMaxDoublings)),
    kMaxRetryDelay);
  aState.notBefore =
    aNow + std::max(delay, std::min(aResult.retryAfter, kMaxRetryDelay));
  return scoring_step::Retry;
}

} // namespace arbutusferry::node
