#pragma once

#include "admission/call_admission.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node/crash_guard.hpp"
#include "arbutusferry/node/environment_view.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/limit_coordinator.hpp"
#include "arbutusferry/node/recent_maximum.hpp"
#include "arbutusferry/node/shutdown_schedule.hpp"
#include "arbutusferry/node/stream_origins.hpp"
#include "arbutusferry/node/target_protocol.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutusferry::node {

/// A caller's request that has been checked and routed.
struct admitted_call
{
  std::string id;
  std::string team;                ///< Team; empty if no key is needed.
  std::optional<int> teamPriority; ///< Goes before the route's.
  std::string service;             ///< Chosen among the route's services.
  route_entry route;
  http_request request; ///< Without hop-by-hop headers.
  time_point deadline;  ///< When the caller stops waiting.
  time_point timeout;   ///< End of the route's configured timeout.
  /// Whether the caller has events of the stream and wants the following ones.
  bool resumesStream = false;
  /// Request that brought the stream's first event, if the caller names it.
  std::string streamOrigin;
  /// Whether to prefer targets with slots left for callers' own requests.
  bool leavesSlots = false;
  home_regions homes; ///< Regions that it may reach.
  /// Called for each error response of a target, if set.
  std::function<void()> onTargetError;
};

/// Writes the responses to requests that the node itself refuses or fails.
class caller_protocol
{
public:
  virtual ~caller_protocol() = default;
  /// Makes the response to a request that has not run and never will.
  /// @param aRetryAfter Delay after which the caller should retry.
  [[nodiscard]] virtual http_response Refusal(
    const std::string& aRequestId,
    std::chrono::milliseconds aRetryAfter) const = 0;
  /// Makes the response to a request that failed or timed out and may have run.
  [[nodiscard]] virtual http_response Failure(const std::string& aRequestId,
                                              bool aTimedOut) const = 0;
};

/// Counts requests that began to run, for usage reports.
class run_counter
{
public:
  virtual ~run_counter() = default;
  virtual void CountRun(const std::string& aTeam,
                        std::int64_t aUnixMilliseconds) = 0;
};

class forwarded_call;

/// What the calls of a forwarder share.
struct forwarder_state
{
  std::set<forwarded_call*> active;
  /// Time from a plain request to a target's response, by route.
  std::map<std::string, recent_maximum> responseTimes;
  std::unique_ptr<call_admission> admission;
  std::uint64_t lastTicket = 0;
};

/// Forwards single requests and streams to targets, with retries and hedging
/// within the route's limit of attempts.
class call_forwarder
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    target_view& targets;
    const target_protocol& protocol;
    const caller_protocol& callers;
    target_admission& admission;
    stream_origins& origins;
    crash_guard& crashes;
    run_counter& runs;
    metrics_registry& metrics;
    std::string zone;
  };

  /// @param aAdmission Decides when requests are sent; by default, it goes by
  /// what this node's requests meet.
  explicit call_forwarder(parts aParts,
                          std::unique_ptr<call_admission> aAdmission = nullptr);
  /// Forwards a call; the responder gets exactly one response, unless the
  /// caller disconnects.
  void Forward(admitted_call aCall, std::shared_ptr<responder> aResponder);
  /// Refuses, from now on, calls that may not be answered before the node
  /// stops.
  void Stop(const shutdown_schedule& aSchedule) { mShutdown = aSchedule; }
  /// Answers all calls in progress but streams that have begun: a call that
  /// may have run as failed, others as refused.
  void EndCalls();
  /// @return The number of calls in progress.
  [[nodiscard]] std::size_t Active() const noexcept
  {
    return mState->active.size();
  }

private:
  /// @return When a call is answered, going by others on its route, or at its
  /// deadline.
  [[nodiscard]] time_point ExpectedEnd(const admitted_call& aCall,
                                       time_point aNow) const;

  parts mParts;
  std::shared_ptr<forwarder_state> mState = std::make_shared<forwarder_state>();
  std::optional<shutdown_schedule> mShutdown;
};

} // namespace arbutusferry::node
