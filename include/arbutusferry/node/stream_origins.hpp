#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/node_directory.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// How long a stream may be taken up again after its first event: longer than
/// callers wait for a stream.
inline constexpr std::chrono::seconds kOriginRetention{ 120 };

/// Tells which software version began a stream of which nobody knows more than
/// its service.
class origin_candidates
{
public:
  virtual ~origin_candidates() = default;
  /// @return The only version that may have begun it; nothing if there may be
  /// several.
  [[nodiscard]] virtual std::optional<std::string> OnlyOrigin(
    const std::string& aService) const = 0;
};

/// Software versions that began streams, for callers that take a stream up
/// again at any node.
class stream_origins
{
public:
  virtual ~stream_origins() = default;
  /// Notes that a stream's first event came from a software version.
  /// @param aStream Id of the request that brought the event.
  virtual void Note(const std::string& aStream,
                    const std::string& aSoftware) = 0;
  /// Finds the software version that began a stream.
  /// @param aStream Id of the request that brought the first event; empty if
  /// the caller doesn't name it.
  /// @param aService Service that runs the stream.
  /// @param aDone Receives the version, or nothing if no reachable node knows
  /// it and the service had several. May be called at once.
  virtual void Find(
    const std::string& aStream,
    const std::string& aService,
    std::function<void(const std::optional<std::string>&)> aDone) = 0;
};

/// Keeps each stream's origin at the node that serves it and at a few others,
/// which the stream's id chooses, so that any node can ask them. If none of
/// them knows the origin, it is the only version that the service had.
class shared_stream_origins final : public stream_origins
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    const node_directory& nodes;
    const origin_candidates& candidates;
    std::string vm; ///< VM of this node.
  };

  explicit shared_stream_origins(parts aParts);

  void Note(const std::string& aStream, const std::string& aSoftware) override;
  void Find(
    const std::string& aStream,
    const std::string& aService,
    std::function<void(const std::optional<std::string>&)> aDone) override;
  /// @return Whether a path addresses the origins of streams.
  [[nodiscard]] static bool IsOriginPath(std::string_view aPath);
  /// Answers another node that notes an origin or asks for one.
  void Serve(const http_request& aRequest, responder& aResponder);

private:
  struct origin
  {
    std::string software;
    time_point since;
  };

  void Keep(const std::string& aStream, const std::string& aSoftware);
  void Expire();

  parts mParts;
  std::map<std::string, origin> mOrigins; ///< By stream.
  periodic_timer mExpiryTimer;
};

} // namespace arbutusferry::node
