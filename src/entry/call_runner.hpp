#pragma once

#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <functional>
#include <string>

namespace arbutusferry {

/// One call to run on some target, with what its attempts report to.
struct call_plan
{
  work_item item;
  upstream_request request;     ///< Its exchange id is set for each attempt.
  bool retryAfterEvents = true; ///< False once events go to the caller as they
                                ///< arrive: then no retry after the first.
  /// Called before each attempt's first byte, with the exchange id.
  std::function<void(const std::string&)> onAttempt;
  event_handler onEvent;
  /// Called after each attempt.
  /// @return Tokens that the attempt really used.
  std::function<double(const upstream_answer&)> countTokens;
};

/// How a call ended.
struct call_result
{
  upstream_answer answer;
  std::string target;     ///< Last target that was tried; empty if none.
  std::string exchangeId; ///< Of the last attempt.
  int attempts = 0;
};

/// Takes calls through the dispatcher and the transport, with retries. A call
/// is repeated only if nothing of it was sent, or if it is idempotent; under
/// the retry budget and before the deadline. Thread-safe.
class call_runner
{
public:
  call_runner(dispatcher& aDispatcher,
              upstream_transport& aTransport,
              const clock_source& aClock,
              metrics_registry& aMetrics);

  /// Runs a call and returns when it ended.
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
