#pragma once

#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node/environment_view.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/target_protocol.hpp"

#include <functional>
#include <memory>
#include <string>

namespace arbutusferry::node {

/// A caller's request that has passed the checks.
struct admitted_call
{
  std::string id;
  std::string team;    ///< Empty on routes open to all.
  std::string service; ///< Chosen among the route's services.
  route_entry route;
  http_request request; ///< Without the headers of the caller's connection.
  time_point deadline;  ///< When the caller stops waiting.
  time_point timeout;   ///< When the operator wants it answered.
};

/// How the product's failures of a request are written for callers.
class caller_protocol
{
public:
  virtual ~caller_protocol() = default;
  /// The request has not run and never will.
  /// @param aRetryAfter When the caller should come back.
  [[nodiscard]] virtual http_response Refusal(
    const std::string& aRequestId,
    std::chrono::milliseconds aRetryAfter) const = 0;
  /// The request failed or timed out; it may have run.
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

/// Sends plain requests and streams to targets, one attempt after the other,
/// within the route's bounds.
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
    run_counter& runs;
    metrics_registry& metrics;
    std::string zone;
  };

  explicit call_forwarder(parts aParts)
    : mParts(std::move(aParts))
  {
  }
  /// Forwards a call; the responder gets exactly one answer, unless the caller
  /// leaves.
  void Forward(admitted_call aCall, std::shared_ptr<responder> aResponder);
  /// @return Requests in progress.
  [[nodiscard]] std::size_t Active() const noexcept { return *mActive; }

private:
  parts mParts;
  std::shared_ptr<std::size_t> mActive = std::make_shared<std::size_t>(0);
};

} // namespace arbutusferry::node
