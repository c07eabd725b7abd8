#pragma once

#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/target_client.hpp"

#include <optional>
#include <string_view>

namespace arbutusferry::node {

/// Why a gateway answers in place of the target.
enum class gateway_error
{
  Malformed, ///< The message can't be read.
  CutOff,    ///< The gateway reaches no target itself.
  Late,      ///< The message was in transit too long, or names no time.
  Refused,   ///< The target refused the connection.
  NotSent,   ///< No connection to the target; it has received nothing.
  Broken,    ///< The target's connection broke before its response.
  Protocol,  ///< The target sent no valid HTTP response.
  Timeout,   ///< The target did not respond in time.
};

/// What a node asks a gateway for.
struct gateway_call
{
  socket_address target;
  exchange_options options;
  /// The gateway's clock at the time of sending, in milliseconds, as estimated
  /// from an earlier response; nothing if there was none.
  std::optional<std::int64_t> sentAt;
};

/// Makes the message that asks a gateway to send a request to a target.
[[nodiscard]] http_request
MakeGatewaySend(const gateway_call& aCall, const http_request& aRequest);
/// Makes the message that asks a gateway to probe a target.
[[nodiscard]] http_request
MakeGatewayProbe(const gateway_call& aCall);
/// @return The error, if the gateway answered in place of the target.
[[nodiscard]] std::optional<gateway_error>
ReadGatewayError(const header_list& aHeaders);
/// @return The gateway's clock at its response, in milliseconds.
[[nodiscard]] std::optional<std::int64_t>
ReadGatewayClock(const header_list& aHeaders);
/// Removes the headers that a gateway adds to a target's response.
void
StripGatewayHeaders(header_list& aHeaders);

/// Gives other nodes access to targets over this node's own links.
class target_gateway
{
public:
  target_gateway(event_loop& aLoop, target_client& aTargets)
    : mLoop(aLoop)
    , mTargets(aTargets)
  {
  }

  /// @return Whether a path addresses a gateway.
  [[nodiscard]] static bool IsGatewayPath(std::string_view aPath);
  void Serve(const http_request& aRequest,
             const std::shared_ptr<responder>& aResponder);
  /// Sends other nodes to other gateways from now on, since this node stops.
  void Stop() noexcept { mStopping = true; }

private:
  class passage;

  event_loop& mLoop;
  target_client& mTargets;
  bool mStopping = false;
};

} // namespace arbutusferry::node

template<>
inline constexpr std::array
  arbutusferry::kEnumNames<arbutusferry::node::gateway_error>{
    std::pair{ arbutusferry::node::gateway_error::Malformed,
               std::string_view("malformed") },
    std::pair{ arbutusferry::node::gateway_error::CutOff,
               std::string_view("cut_off") },
    std::pair{ arbutusferry::node::gateway_error::Late,
               std::string_view("late") },
    std::pair{ arbutusferry::node::gateway_error::Refused,
               std::string_view("refused") },
    std::pair{ arbutusferry::node::gateway_error::NotSent,
               std::string_view("not_sent") },
    std::pair{ arbutusferry::node::gateway_error::Broken,
               std::string_view("broken") },
    std::pair{ arbutusferry::node::gateway_error::Protocol,
               std::string_view("protocol") },
    std::pair{ arbutusferry::node::gateway_error::Timeout,
               std::string_view("timeout") },
  };
