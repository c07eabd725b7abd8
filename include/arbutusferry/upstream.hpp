#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/outcome.hpp"
#include "arbutusferry/target.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusferry {

/// Header names and values in the order of arrival.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Header that carries the id of an exchange; targets echo it.
inline constexpr const char* kExchangeIdHeader = "X-Request-Id";

/// @return The value of the first header with this name, ignoring case; empty
/// if none.
[[nodiscard]] std::string
FindHeader(const header_list& aHeaders, std::string_view aName);

/// @return The request headers that may be forwarded to a target. API keys,
/// cookies and all other headers outside the allow list are dropped.
[[nodiscard]] header_list
ForwardableRequestHeaders(const header_list& aHeaders);

/// @return The answer headers that may be returned to a caller.
[[nodiscard]] header_list
ForwardableAnswerHeaders(const header_list& aHeaders);

/// Removes the query parameters that carry API keys.
/// @param aTarget Request target: path and optional query.
[[nodiscard]] std::string
RemoveKeyParameters(std::string_view aTarget);

/// One request to one target.
struct upstream_request
{
  std::string exchangeId;
  std::string method;
  std::string path;        ///< Path and query, without API keys.
  header_list headers;     ///< Filtered by `ForwardableRequestHeaders`.
  std::string body;        ///< Empty if there is none.
  bool idempotent = false; ///< May be sent on a reused connection.
  bool events = false;     ///< The answer is a stream of events.
  time_point deadline{};   ///< The exchange fails at this time.
};

/// How an exchange ended.
struct upstream_answer
{
  outcome result = outcome::NotRun;
  int status = 0; ///< Status of the target; 0 if it did not answer.
  header_list headers;
  std::string body;                ///< Whole body, unless events were received.
  bool eventsDelivered = false;    ///< An event was passed to the handler.
  std::optional<error_info> error; ///< Set unless the result is `Answered`.
};

/// Cancels an exchange from another thread.
class exchange_control
{
public:
  /// Aborts the exchange; the target may have executed the request.
  void Cancel();
  [[nodiscard]] bool Cancelled() const;

  /// Sets what `Cancel` does; used by transports.
  /// @return False if the exchange was already cancelled.
  [[nodiscard]] bool Attach(std::function<void()> aAbort);
  /// Removes the action, which does not run after this returns.
  void Detach();

private:
  mutable std::mutex mMutex;
  bool mCancelled = false;
  std::function<void()> mAbort;
};

/// Receives the events of an answer in order; each carries the id of the
/// exchange. Returning false cancels the exchange.
using event_handler = std::function<bool(const Json::Value&)>;

/// Sends requests to targets.
class upstream_transport
{
public:
  virtual ~upstream_transport() = default;

  /// Runs one exchange and blocks until it ends. Thread-safe.
  /// @param aOnEvent Called on the same thread; used only when
  /// `aRequest.events` is set and the target answered with status 200.
  /// @return `Answered` only for a complete answer that carries the id of this
  /// exchange; `NotRun` only when no byte was written to the target.
  [[nodiscard]] virtual upstream_answer Exchange(
    const target_info& aTarget,
    const upstream_request& aRequest,
    const event_handler& aOnEvent,
    exchange_control& aControl) = 0;
};

/// Settings of the HTTP transport.
struct upstream_options
{
  duration connectTimeout = std::chrono::seconds(2);
  std::size_t maxAnswerBytes = 64U << 20U; ///< Larger answers fail.
  /// Idle connections kept for idempotent requests.
  std::size_t maxIdlePerTarget = 8;
};

/// @return Transport over HTTP/1.1.
[[nodiscard]] std::unique_ptr<upstream_transport>
MakeHttpTransport(const upstream_options& aOptions, const clock_source& aClock);

} // namespace arbutusferry
