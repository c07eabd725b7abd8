#pragma once

#include "arbutusferry/rpc.hpp"
#include "control/work_duties.hpp"

namespace arbutusferry {

/// @return JSON-RPC methods of a control process by name.
/// @param aState Must outlive the methods.
[[nodiscard]] std::map<std::string, rpc_method>
MakeControlMethods(node_state& aState,
                   const platform_clients& aPlatform,
                   std::shared_ptr<usage_log_listener> aUsage,
                   std::shared_ptr<drain_requests> aDrains);

} // namespace arbutusferry
