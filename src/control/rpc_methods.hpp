#pragma once

#include "arbutusferry/rpc.hpp"
#include "control/node_state.hpp"

namespace arbutusferry {

/// Codes of the JSON-RPC errors of a control process.
inline constexpr int kRpcInvalidParams = -32602;
/// Nothing was done; the call may be repeated. Codes from -32001 to -32003 are
/// used by libjsonrpccpp itself for answers that it could not read.
inline constexpr int kRpcUnavailable = -32011;
inline constexpr int kRpcNotFound = -32004;

/// @return The methods of a control process.
/// @param aState Must outlive the methods.
[[nodiscard]] std::map<std::string, rpc_method>
MakeControlMethods(node_state& aState, const platform_clients& aPlatform);

} // namespace arbutusferry
