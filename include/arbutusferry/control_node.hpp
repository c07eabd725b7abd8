#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/lease.hpp"
#include "arbutusferry/platform_http.hpp"
#include "arbutusferry/time.hpp"

#include <memory>
#include <string>

namespace arbutusferry {

/// Options of one control process.
struct control_options
{
  std::string vm;          ///< Id of the VM it runs on.
  std::string zone;        ///< Availability zone of the VM.
  std::string environment; ///< Environment whose targets it manages.
  std::string listen;      ///< "IP:port"; port 0 lets the system choose.
  lease_timing lease;
  /// Minimum interval of the syncs.
  duration syncInterval = std::chrono::milliseconds(1000);
  /// Maximum age of the configuration view at which keys are accepted.
  duration staleAfter = std::chrono::milliseconds(4000);
  duration usageBatchInterval = std::chrono::seconds(10);
  duration checkpointInterval = std::chrono::minutes(10);
};

/// Running control process: HTTP server and supervised duties.
class control_node
{
public:
  virtual ~control_node() = default;

  /// @return Address it listens on, with the chosen port.
  [[nodiscard]] virtual std::string Address() const = 0;

  /// @return Id that is unique for this start of the process.
  [[nodiscard]] virtual std::string Instance() const = 0;

  /// Stops gracefully: answers held requests, ends the duties, releases the
  /// leases. Takes up to about two platform timeouts.
  virtual void Stop() = 0;
};

/// Starts a control process.
/// @param aPlatform Clients of the platform.
/// @param aClock Must outlive the node.
/// @return The node, or an error if the address cannot be bound.
[[nodiscard]] result<std::unique_ptr<control_node>>
StartControlNode(const control_options& aOptions,
                 const platform_clients& aPlatform,
                 const clock_source& aClock);

} // namespace arbutusferry
