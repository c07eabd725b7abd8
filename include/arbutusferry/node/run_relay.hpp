#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/target_protocol.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Connect timeout to a sampler, or to the node that relays its stream.
inline constexpr std::chrono::milliseconds kRunConnectTimeout{ 400 };
/// A run that receives no byte for this long has failed. The scheduler usually
/// moves a silent run earlier.
inline constexpr std::chrono::milliseconds kRunIdleTimeout{ 5'000 };

/// Why a relaying node answers in place of the sampler.
enum class relay_error
{
  Unknown,     ///< The node has no such run, or the request is malformed.
  Stale,       ///< The node knows of a later leader.
  Unreachable, ///< No connection to the sampler; it has received nothing.
  Broken,      ///< The sampler's connection broke before its response.
  Late,        ///< The request was in transit too long, or names no time.
  Limited,     ///< The sampler's limit allows no request now.
};

/// Makes the leader's request to start a run through a relaying node.
/// @param aSentAt The node's clock at the time of sending, in milliseconds, as
/// estimated from an earlier response. The node refuses requests that are much
/// older, since their batch may have ended meanwhile.
[[nodiscard]] http_request
MakeRelayedRun(const std::string& aRun,
               std::uint64_t aFence,
               std::optional<std::int64_t> aSentAt,
               const socket_address& aTarget,
               const http_request& aRequest,
               const std::string& aZone = {},
               start_right aRight = start_right::Any,
               const home_regions& aHomes = {});
[[nodiscard]] http_request
MakeRelayedAttach(const std::string& aRun, std::uint64_t aFence);
[[nodiscard]] http_request
MakeRelayedCancel(const std::string& aRun);

/// @return The error, if the relaying node answered in place of the sampler.
[[nodiscard]] std::optional<relay_error>
ReadRelayError(const header_list& aHeaders);
/// @return The sampler's limit, if the relaying node refused a run by it.
[[nodiscard]] limit_notice
ReadRelayLimit(const header_list& aHeaders);
/// @return The relaying node's clock at its response, in milliseconds.
[[nodiscard]] std::optional<std::int64_t>
ReadRelayClock(const header_list& aHeaders);

/// Relays sampler streams to the leader and buffers them. A stream outlives its
/// leader: the next one attaches and gets all of it from its start, so that a
/// change of leaders interrupts no item.
class run_relay final : public request_handler
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    const target_protocol& protocol;
    /// @return The highest leader fence that this node knows of.
    std::function<std::uint64_t()> highestFence;
    /// Called when a leader has closed its connection.
    std::function<void()> leaderDisconnected;
    /// Handles all other paths.
    request_handler& fallback;
    /// @return Whether this node may start runs: it knows which zones are
    /// evacuated.
    std::function<bool()> mayStart = [] { return true; };
  };

  explicit run_relay(parts aParts);
  ~run_relay() override;
  run_relay(const run_relay&) = delete;
  run_relay& operator=(const run_relay&) = delete;

  void Handle(http_request aRequest,
              std::shared_ptr<responder> aResponder) override;
  [[nodiscard]] std::size_t Runs() const noexcept { return mRuns.size(); }

private:
  class run;

  void Start(const std::string& aRun,
             const http_request& aRequest,
             std::shared_ptr<responder> aResponder);
  void Expire();

  /// Limits by the address of the sampler. They hold for all leaders, so that
  /// a new one, which knows no limit yet, doesn't exceed it.
  using limit_table = std::map<std::string, target_limit>;

  parts mParts;
  std::shared_ptr<limit_table> mLimits = std::make_shared<limit_table>();
  std::map<std::string, std::shared_ptr<run>> mRuns;
  periodic_timer mExpiryTimer;
};

} // namespace arbutusferry::node

template<>
inline constexpr std::array
  arbutusferry::kEnumNames<arbutusferry::node::relay_error>{
    std::pair{ arbutusferry::node::relay_error::Unknown,
               std::string_view("unknown") },
    std::pair{ arbutusferry::node::relay_error::Stale,
               std::string_view("stale") },
    std::pair{ arbutusferry::node::relay_error::Unreachable,
               std::string_view("unreachable") },
    std::pair{ arbutusferry::node::relay_error::Broken,
               std::string_view("broken") },
    std::pair{ arbutusferry::node::relay_error::Late,
               std::string_view("late") },
    std::pair{ arbutusferry::node::relay_error::Limited,
               std::string_view("limited") },
  };
