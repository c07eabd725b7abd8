#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Longest wait for a connection to a sampler, or to the node that relays it.
inline constexpr std::chrono::milliseconds kRunConnectTimeout{ 400 };
/// A run without a byte for so long has failed; slower ones are moved before.
inline constexpr std::chrono::milliseconds kRunIdleTimeout{ 5'000 };

/// What a relaying node says of a run that it doesn't have or can't reach.
enum class relay_error
{
  Unknown,     ///< It has no such run.
  Stale,       ///< It knows of a later leader.
  Unreachable, ///< The sampler can't be reached; it has received nothing.
  Broken,      ///< The sampler broke off before its answer.
  Late,        ///< The request was under way for too long, or names no time.
};

/// Requests of the leader to a relaying node.
/// @param aSentAt The node's own clock at the sending, in milliseconds, as
/// estimated from an earlier answer; the node refuses what is much older, since
/// its batch may have ended meanwhile.
[[nodiscard]] http_request
MakeRelayedRun(const std::string& aRun,
               std::uint64_t aFence,
               std::optional<std::int64_t> aSentAt,
               const socket_address& aTarget,
               const http_request& aRequest);
[[nodiscard]] http_request
MakeRelayedAttach(const std::string& aRun, std::uint64_t aFence);
[[nodiscard]] http_request
MakeRelayedCancel(const std::string& aRun);

/// @return What the relaying node says instead of the sampler, if it does.
[[nodiscard]] std::optional<relay_error>
ReadRelayError(const header_list& aHeaders);
/// @return The relaying node's clock in milliseconds at its answer.
[[nodiscard]] std::optional<std::int64_t>
ReadRelayTime(const header_list& aHeaders);

/// Streams of samplers that this node holds for the leader. They outlive it:
/// the next leader attaches to a stream and gets all of it from its start, so
/// that a change of leaders interrupts no item.
class run_relay final : public request_handler
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    /// Header by which samplers name the request of an answer.
    std::string echoHeader;
    /// @return The highest fence of a leader that this node knows of.
    std::function<std::uint64_t()> highestFence;
    /// Called when a leader's connection was closed.
    std::function<void()> leaderDisconnected;
    /// Takes the requests that concern no run.
    request_handler& fallback;
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

  parts mParts;
  std::map<std::string, std::shared_ptr<run>> mRuns;
  periodic mExpiryTimer;
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
  };
