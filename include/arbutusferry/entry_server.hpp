#pragma once

#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/metrics.hpp"
#include "arbutusferry/rpc.hpp"
#include "arbutusferry/settings.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <functional>
#include <memory>
#include <string>

namespace arbutusferry {

/// Dependencies of an entry server; all are required.
struct entry_parts
{
  std::shared_ptr<const clock_source> clock;
  std::shared_ptr<metrics_registry> metrics;
  std::shared_ptr<dispatcher> work;
  std::shared_ptr<upstream_transport> transport;
  /// Makes a client of the control process at an address.
  std::function<std::unique_ptr<rpc_client>(const std::string&)> makeClient;
};

/// HTTP front end of an entry process with its background duties.
class entry_server
{
public:
  virtual ~entry_server() = default;

  /// Binds, then starts the background duties and serves on its own threads.
  [[nodiscard]] virtual result<void> Start() = 0;

  /// @return "IP:port" that callers use; valid after `Start`.
  [[nodiscard]] virtual std::string Address() const = 0;
  /// @return Id of this instance, new at every start.
  [[nodiscard]] virtual std::string Instance() const = 0;

  /// Shuts down gracefully: rejects new requests, waits for those in progress,
  /// hands over the permits and reports the remaining usage.
  virtual void Shutdown() = 0;
};

[[nodiscard]] std::unique_ptr<entry_server>
MakeEntryServer(const entry_settings& aSettings, entry_parts aParts);

} // namespace arbutusferry
