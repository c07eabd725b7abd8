#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/node/http_message.hpp"
#include "arbutusferry/time.hpp"
#include "zones/home_regions.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace arbutusferry::node {

/// Why an exchange ended without a complete response.
enum class exchange_failure
{
  Refused,  ///< Nothing listens at the address: its process has ended.
  NotSent,  ///< No connection was made; the peer has received nothing.
  Broken,   ///< The connection closed early; the peer may have acted.
  Protocol, ///< The peer sent no valid HTTP response.
  Timeout,  ///< No complete response in time; the peer may have acted.
};

/// @return A name for log lines.
[[nodiscard]] constexpr std::string_view
FailureName(exchange_failure aFailure) noexcept
{
  switch (aFailure) {
    case exchange_failure::Refused:
      return "refused";
    case exchange_failure::NotSent:
      return "not_sent";
    case exchange_failure::Broken:
      return "broken";
    case exchange_failure::Protocol:
      return "protocol";
    case exchange_failure::Timeout:
      break;
  }
  return "timeout";
}

/// @return Whether the peer has received no part of the request.
[[nodiscard]] constexpr bool
NothingSent(exchange_failure aFailure) noexcept
{
  return aFailure == exchange_failure::Refused ||
         aFailure == exchange_failure::NotSent;
}

/// Receives one response as it arrives. `OnEnd` or `OnFailure` is the last
/// call.
class response_sink
{
public:
  virtual ~response_sink() = default;
  virtual void OnHead(int aStatus, const header_list& aHeaders) = 0;
  virtual void OnBody(std::string_view aPart) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(exchange_failure aFailure) = 0;
};

/// By what right a request may start at a target that may be cold.
enum class start_right
{
  Any,     ///< Not counted among a cold target's requests.
  Warm,    ///< The sender took the target for warm.
  Granted, ///< The leader granted the start, within the connect timeout.
};

/// Connect timeout of granted starts at cold targets: many times a round trip
/// within a region. Late arrivals add to the requests of a later second.
inline constexpr std::chrono::milliseconds kColdConnectTimeout{ 200 };

struct exchange_options
{
  /// Longest time to establish a connection.
  std::chrono::milliseconds connectTimeout{ 1'000 };
  /// Longest time without a byte from the peer, counted from the sending of the
  /// request.
  std::chrono::milliseconds readTimeout{ 10'000 };
  /// Request header that the peer repeats in its response, or empty. A response
  /// with another value belongs to another request and is skipped.
  std::string echoHeader;
  /// The peer makes its response at once, so that one which arrives by a few
  /// bytes at a time is stalled: these count as no byte. Not for streams, whose
  /// events are far between.
  bool madeAtOnce = false;
  /// Never send through another node: the peer tells senders apart by where
  /// they connect from.
  bool directOnly = false;
  /// Zone of the target that gets the request, if the sender knows it.
  std::string targetZone;
  /// Regions of the targets that may get the request; its body isn't sent to
  /// nodes in others either.
  home_regions homes;
  start_right start = start_right::Any;
  /// Asked right before the request is written. If it says no, the exchange
  /// fails with `NotSent`.
  std::function<bool()> mayWrite;
};

/// A request whose response is not complete yet.
class http_exchange
{
public:
  virtual ~http_exchange() = default;
  /// Ends the exchange and closes its connection; the sink is not called
  /// again.
  virtual void Cancel() = 0;
};

/// Sends HTTP requests over persistent connections.
class http_client
{
public:
  virtual ~http_client() = default;
  /// Sends a request; the sink is called from the event loop, never from
  /// within this call.
  virtual std::shared_ptr<http_exchange> Send(
    const socket_address& aPeer,
    http_request aRequest,
    const exchange_options& aOptions,
    std::shared_ptr<response_sink> aSink) = 0;
  /// Opens a connection and closes it again, to find out whether a process
  /// listens.
  /// @param aDone Receives nothing if one listens, or why no connection was
  /// made; called from the event loop, never from within this call.
  virtual void Probe(
    const socket_address& aPeer,
    std::chrono::milliseconds aTimeout,
    std::function<void(std::optional<exchange_failure>)> aDone) = 0;
};

/// Collects a whole response and calls a function with it.
class response_collector final : public response_sink
{
public:
  using callback = std::function<void(const http_response*, exchange_failure)>;
  /// @param aDone Receives the response, or null and the failure.
  explicit response_collector(callback aDone)
    : mDone(std::move(aDone))
  {
  }
  void OnHead(int aStatus, const header_list& aHeaders) override
  {
    mResponse.status = aStatus;
    mResponse.headers = aHeaders;
  }
  void OnBody(std::string_view aPart) override { mResponse.body += aPart; }
  void OnEnd() override { mDone(&mResponse, exchange_failure::Broken); }
  void OnFailure(exchange_failure aFailure) override
  {
    mDone(nullptr, aFailure);
  }

private:
  callback mDone;
  http_response mResponse;
};

} // namespace arbutusferry::node

template<>
inline constexpr std::array
  arbutusferry::kEnumNames<arbutusferry::node::start_right>{
    std::pair{ arbutusferry::node::start_right::Any, std::string_view("any") },
    std::pair{ arbutusferry::node::start_right::Warm,
               std::string_view("warm") },
    std::pair{ arbutusferry::node::start_right::Granted,
               std::string_view("granted") },
  };
