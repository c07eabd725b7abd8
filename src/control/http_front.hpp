#pragma once

#include "arbutusferry/error.hpp"

#include <functional>
#include <memory>
#include <string>

namespace arbutusferry {

/// What the HTTP server of a control process calls; thread-safe functions.
struct http_front_handlers
{
  std::function<std::string(const std::string&)> rpc; ///< Text in, text out.
  std::function<bool()> ready;
  std::function<std::string()> metrics;
};

/// HTTP server of a control process.
class http_front
{
public:
  virtual ~http_front() = default;
  [[nodiscard]] virtual std::string Address() const = 0;
  /// Finishes the requests it received and stops.
  virtual void Stop() = 0;
};

[[nodiscard]] result<std::unique_ptr<http_front>>
StartHttpFront(const std::string& aListen, http_front_handlers aHandlers);

} // namespace arbutusferry
