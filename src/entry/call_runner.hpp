#pragma once

#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <functional>
#include <string>

namespace arbutusferry {

/// A call to run on any suitable target, with the callbacks for its attempts.
struct call_plan
{
  work_item item;
  upstream_request request; ///< Gets a new exchange id for each attempt.
  /// False if events are passed on as they arrive: no retry after the first.
  bool retryAfterEvents = true;
  /// Called with the exchange id before each attempt is sent.
  std::function<void(const std::string&)> onAttempt;
  event_handler onEvent;
  /// Called after each attempt.
  /// @return Tokens that the attempt actually used.
  std::function<double(const upstream_answer&)> countTokens;
};

/// Result of a call.
struct call_result
{
  upstream_answer answer;
  std::string target;     ///< Last target that was tried; empty if none.
  std::string exchangeId; ///< Of the last attempt.
  int attempts = 0;
};

/// Runs calls through the dispatcher and the transport, with retries. A call is
/// retried only if its last attempt did not run or if it is idempotent, within
/// the retry budget and the deadline. Thread-safe.
class call_runner
{
public:
  call_runner(dispatcher& aDispatcher,
              upstream_transport& aTransport,
              const clock_source& aClock,
              metrics_registry& aMetrics);

  /// Runs a call; blocks until it has ended.
  [[nodiscard]] call_result Run(call_plan aPlan, exchange_control& aControl);

private:
  std::variant<assignment, error_info> AwaitAssignment(
    const work_item& aItem,
    exchange_control& aControl);

  dispatcher& mDispatcher;
  upstream_transport& mTransport;
  const clock_source& mClock;
  metrics_registry& mMetrics;
};

} // namespace arbutusferry
