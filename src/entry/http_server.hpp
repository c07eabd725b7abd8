#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace arbutusferry {

/// A request of a caller.
struct http_request
{
  std::string method;
  std::string requestTarget; ///< Path and query as received.
  std::string path;          ///< Decoded path without query.
  header_list headers;
  std::string body;
  std::string remoteIp; ///< Address of the peer of the connection.
};

/// Answer to a caller: a whole body, or a stream when `next` is set.
struct http_response
{
  int status = 200;
  header_list headers;
  std::string contentType = "application/json";
  std::string body;
  /// Appends the next part of a stream; may wait up to about a second and
  /// append nothing. Returns false when the stream ended.
  std::function<bool(std::string&)> next;
  /// Called once when the answer ended; false if the caller was lost.
  std::function<void(bool)> onEnd;
};

using http_handler = std::function<http_response(const http_request&)>;

/// Makes the body of an error that the server itself detects.
/// @param aStatus Status code of the answer.
/// @param aMessage What was wrong.
using http_error_handler =
  std::function<http_response(int aStatus, const std::string& aMessage)>;

/// Bounds of the HTTP server.
struct http_limits
{
  std::size_t maxBodyBytes = 8U << 20U;
  std::size_t maxHeadBytes = 65'536; ///< Request line and all headers.
  std::size_t maxConnections = 256;  ///< One thread each while open.
  std::size_t maxWaiting = 64;       ///< Accepted connections without a thread.
  duration headTimeout = std::chrono::seconds(10);
  duration bodyTimeout = std::chrono::seconds(30);
  duration idleTimeout = std::chrono::seconds(15);
  duration writeStallTimeout = std::chrono::seconds(30);
};

/// HTTP/1.1 server over cpp-httplib that bounds connections, heads and bodies
/// and answers with 503 when it has no thread for a connection.
class http_server
{
public:
  virtual ~http_server() = default;

  /// Binds to "IP:port"; port 0 lets the system choose.
  /// @return The address that callers use.
  [[nodiscard]] virtual result<std::string> Bind(
    const std::string& aAddress) = 0;

  /// Serves until `Stop`; then returns when all connections ended.
  virtual void Serve() = 0;

  /// Closes idle connections and ends `Serve`. Streams in progress are cut, so
  /// the caller waits for them before.
  virtual void Stop() = 0;
};

[[nodiscard]] std::unique_ptr<http_server>
MakeHttpServer(const http_limits& aLimits,
               const clock_source& aClock,
               http_handler aHandler,
               http_error_handler aErrors);

} // namespace arbutusferry
