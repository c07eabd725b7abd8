#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/node/http_message.hpp"
#include "arbutusferry/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace arbutusferry::node {

/// Sends the response to one request. Calls after its end, or after the caller
/// has disconnected, have no effect.
class responder
{
public:
  virtual ~responder() = default;
  /// Sends a whole response.
  virtual void Send(http_response aResponse) = 0;
  /// Starts a response whose body follows in parts, in the chunked transfer
  /// coding unless the headers hold a Content-Length.
  virtual void Begin(int aStatus, const header_list& aHeaders) = 0;
  virtual void Write(std::string_view aPart) = 0;
  /// Ends a response that was started with `Begin`.
  virtual void End() = 0;
  /// Closes the connection without completing the response.
  virtual void Abort() = 0;
  /// @return Whether the response is complete or the caller has disconnected.
  [[nodiscard]] virtual bool Closed() const = 0;
  /// @return Buffered bytes that are not written to the connection yet.
  [[nodiscard]] virtual std::size_t UnsentBytes() const = 0;
  /// @return Port of the client's end of the connection; 0 if it is closed.
  [[nodiscard]] virtual std::uint16_t PeerPort() const = 0;
  /// Sets a function that is called once if the caller disconnects before the
  /// response is complete.
  virtual void OnDisconnect(std::function<void()> aFunction) = 0;
  /// Reserves memory that the handler needs for the request beyond the request
  /// itself, until the responder is destroyed.
  /// @return Whether it is available.
  [[nodiscard]] virtual bool ReserveMemory(std::size_t /*aBytes*/)
  {
    return true;
  }
};

class request_handler
{
public:
  virtual ~request_handler() = default;
  virtual void Handle(http_request aRequest,
                      std::shared_ptr<responder> aResponder) = 0;
};

/// Bounds on what callers may send.
struct listener_limits
{
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxBodyBytes = std::size_t{ 32 } * 1024 * 1024;
  /// Longest time from the first byte of a request to the end of its header.
  std::chrono::milliseconds headerTimeout{ 3'000 };
  /// Time after which an idle connection is closed.
  std::chrono::milliseconds idleTimeout{ 15'000 };
};

/// Bounds on the framing of requests. No client that keeps to `listener_limits`
/// reaches the defaults.
struct framing_limits
{
  /// Bytes of trailers, or of one chunk's size line with its extensions.
  std::size_t maxTrailerBytes = std::size_t{ 16 } * 1024;
  /// As many as fit into the largest header, at four bytes each.
  std::size_t maxHeaderFields = 4'096;
  /// Bytes of chunk framing allowed for each byte of payload, beyond 64 KiB. A
  /// chunk of one byte takes five.
  std::size_t maxChunkOverhead = 16;
  /// Bytes a second below which a body is stalled, measured over the idle
  /// timeout. 0: 256 bytes in that time.
  std::size_t minBodyBytesPerSecond = 0;
};

class memory_budget;

/// What a listener may use of the machine.
struct listener_options
{
  /// Accounts for the memory of all connections; null: not bounded.
  std::shared_ptr<memory_budget> budget;
  framing_limits framing;
  /// Whether a request that there is no memory for gets 503. Not between nodes,
  /// which could take it for the response of a target or leader; it ends like a
  /// broken connection there.
  bool answersWithoutMemory = true;
  /// Open connections, in all and of one peer address; 0: not bounded.
  std::size_t maxConnections = 0;
  std::size_t maxConnectionsPerAddress = 0;
  /// Kernel buffer for received bytes of a connection; 0: the system's choice.
  std::size_t receiveBufferBytes = 0;
};

/// Serves HTTP/1.1, one request at a time on each connection.
class http_listener
{
public:
  virtual ~http_listener() = default;
  /// Timeouts apply at once, size limits to new connections and after the next
  /// response on existing ones.
  virtual void SetLimits(const listener_limits& aLimits) = 0;
  /// Closes each connection after its next response, and idle ones after
  /// `aIdle`. New connections are still accepted.
  virtual void Drain(duration aIdle) = 0;
  /// @return Whether no part of a request has arrived whose response is not
  /// written yet.
  [[nodiscard]] virtual bool Idle() const = 0;
};

} // namespace arbutusferry::node
