#pragma once

#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/environment_view.hpp"
#include "arbutusferry/node/reward_call.hpp"

namespace arbutusferry::node {

/// Sends reward calls like callers' requests: through the forwarder, which
/// keeps limits, crash reports and attempts, and uses other nodes where this
/// one reaches no target. They need no key, and the route's timeout doesn't
/// apply to them.
class forwarded_rewards final : public reward_caller
{
public:
  struct parts
  {
    event_loop& loop;
    call_forwarder& forwarder;
    const target_protocol& protocol;
    const environment_source& environment;
  };

  explicit forwarded_rewards(parts aParts)
    : mParts(aParts)
  {
  }

  std::shared_ptr<reward_exchange> Call(
    const reward_request& aRequest,
    std::chrono::milliseconds aTimeLimit,
    std::function<void(const reward_result&)> aDone) override;

private:
  parts mParts;
};

} // namespace arbutusferry::node
