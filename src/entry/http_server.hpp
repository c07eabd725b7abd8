#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace arbutusferry {

/// HTTP request of a caller.
struct http_request
{
  std::string method;
  std::string requestTarget; ///< Path and query as received.
  std::string path;          ///< Decoded path without query.
  header_list headers;
  std::string body;
  std::string remoteIp; ///< Peer address of the connection.
};

/// HTTP response: a complete body, or a stream if `next` is set.
struct http_response
{
  int status = 200;
  header_list headers;
  std::string contentType = "application/json";
  std::string body;
  /// Appends the next part of a stream; may block for up to about a second and
  /// append nothing. Returns false at the end of the stream.
  std::function<bool(std::string&)> next;
  /// Called once when the response has ended; false if the caller disconnected.
  std::function<void(bool)> onEnd;
};

using http_handler = std::function<http_response(const http_request&)>;

/// Makes the response for an error that the server itself detects.
using http_error_handler =
  std::function<http_response(int aStatus, const std::string& aMessage)>;

/// Limits of the HTTP server.
struct http_limits
{
  std::size_t maxBodyBytes = 8U << 20U;
  std::size_t maxHeadBytes = 65'536; ///< Request line and all headers.
  std::size_t maxConnections = 256;  ///< One thread each while open.
  std::size_t maxWaiting = 64; ///< Accepted connections that wait for a thread.
  duration headTimeout = std::chrono::seconds(10);
  duration bodyTimeout = std::chrono::seconds(30);
  duration idleTimeout = std::chrono::seconds(15);
  duration writeStallTimeout = std::chrono::seconds(30);
};

/// HTTP/1.1 server based on cpp-httplib that limits connections, request heads
/// and bodies, and responds with 503 if it has no thread for a connection.
class http_server
{
public:
  virtual ~http_server() = default;

  /// Binds to "IP:port"; port 0 lets the system choose.
  /// @return The address that callers use.
  [[nodiscard]] virtual result<std::string> Bind(
    const std::string& aAddress) = 0;

  /// Serves until `Stop` is called and all connections have ended.
  virtual void Serve() = 0;

  /// Closes idle connections and ends `Serve`. Aborts streams in progress; wait
  /// for them before calling it.
  virtual void Stop() = 0;
};

[[nodiscard]] std::unique_ptr<http_server>
MakeHttpServer(const http_limits& aLimits,
               const clock_source& aClock,
               http_handler aHandler,
               http_error_handler aErrors);

} // namespace arbutusferry
