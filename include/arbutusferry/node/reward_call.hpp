#pragma once

#include "zones/home_regions.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace arbutusferry::node {

/// Request to a plain service whose response scores the text of an item.
struct reward_request
{
  std::string id; ///< Stays the same when the call is repeated.
  std::string host;
  std::string path;
  std::string body;
  /// Regions that the call's item may reach; set when the call is made.
  home_regions homes = {};
};

/// How a reward call ended.
enum class reward_outcome
{
  Scored,
  Refused,    ///< Not run: no target took it in time.
  Failed,     ///< Targets responded with errors.
  Unanswered, ///< No usable response; it may have run.
  NoRoute,    ///< The environment has no route for it.
};

[[nodiscard]] std::string_view
RewardOutcomeName(reward_outcome aOutcome) noexcept;

struct reward_result
{
  reward_outcome outcome = reward_outcome::Unanswered;
  std::string score; ///< Empty unless scored.
  int errors = 0;    ///< Error responses of targets during the call.
  /// Earliest useful retry, if the call was refused.
  std::chrono::milliseconds retryAfter{ 0 };
};

/// A reward call in progress.
class reward_exchange
{
public:
  virtual ~reward_exchange() = default;
  /// Ends the call without a result. Has no effect after its end.
  virtual void Cancel() = 0;
};

/// Sends reward calls.
class reward_caller
{
public:
  virtual ~reward_caller() = default;
  /// Sends one call, to several targets if need be.
  /// @param aTimeLimit Time after which the call has ended.
  /// @param aDone Called once, unless the call is cancelled before; may be
  /// called at once.
  virtual std::shared_ptr<reward_exchange> Call(
    const reward_request& aRequest,
    std::chrono::milliseconds aTimeLimit,
    std::function<void(const reward_result&)> aDone) = 0;
};

} // namespace arbutusferry::node
