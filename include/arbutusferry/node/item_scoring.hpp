#pragma once

#include "arbutusferry/node/reward_call.hpp"
#include "arbutusferry/node/target_view.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Scoring of an item whose text is complete.
struct scoring_state
{
  int calls = 0;        ///< Calls sent by this leader.
  time_point notBefore; ///< End of the delay after a call that failed.
  time_point since;     ///< When this leader had the complete text.
  bool calling = false; ///< Whether a call is in progress.
  std::shared_ptr<reward_exchange>
    call; ///< To cancel the call, if there is one.
};

/// An item whose reward call may be sent.
struct waiting_reward
{
  std::string batch;
  std::size_t index = 0;
  std::string service; ///< That scores it.
  std::int64_t submittedUnixMs = 0;
  bool carried = false; ///< Resubmitted from an earlier batch.
  /// Items of its group without a listed result.
  std::size_t groupUncommitted = 0;
};

/// @return How many reward calls the targets of a service may get now besides
/// what they have from this node. A service whose targets all failed recently
/// gets one call at a time.
[[nodiscard]] int
RoomForRewardCalls(const target_view& aTargets,
                   const std::string& aService,
                   time_point aNow);

/// Chooses the calls to send now: those of the oldest batch first, within it
/// of carried groups, then of the group nearest to completion.
/// @param aRoom Room by service.
[[nodiscard]] std::vector<waiting_reward>
ChooseRewardCalls(std::vector<waiting_reward> aWaiting,
                  std::map<std::string, int> aRoom);

/// What follows on a reward call.
enum class scoring_step
{
  Commit, ///< The item completes with its score.
  Retry,
  GiveUp, ///< The item ends as errored.
};

/// Decides what follows on a reward call.
/// @param aState Gets the delay until the next call.
/// @param aErrors Error responses to the item's calls so far, by all leaders.
/// @param aMaxErrors Error responses after which the item may be given up.
[[nodiscard]] scoring_step
AfterRewardCall(scoring_state& aState,
                const reward_result& aResult,
                int aErrors,
                int aMaxErrors,
                time_point aNow);

} // namespace arbutusferry::node
