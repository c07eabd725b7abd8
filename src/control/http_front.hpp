#pragma once

#include "arbutusferry/error.hpp"

#include <functional>
#include <memory>
#include <string>

namespace arbutusferry {

/// Callbacks of the HTTP server of a control process. They must be
/// thread-safe.
struct http_front_handlers
{
  std::function<std::string(const std::string&)> rpc; ///< JSON in, JSON out.
  std::function<bool()> ready;
  std::function<std::string()> metrics;
};

/// HTTP server of a control process.
class http_front
{
public:
  virtual ~http_front() = default;
  [[nodiscard]] virtual std::string Address() const = 0;
  /// Completes the requests received so far, then stops.
  virtual void Stop() = 0;
};

/// @param aListen "IP:port"; port 0 lets the system choose.
/// @return The server, or an error if the address is invalid or in use.
[[nodiscard]] result<std::unique_ptr<http_front>>
StartHttpFront(const std::string& aListen, http_front_handlers aHandlers);

} // namespace arbutusferry
