#pragma once

#include "arbutusferry/rpc.hpp"
#include "arbutusferry/time.hpp"

#include <memory>
#include <string>

namespace arbutusferry {

/// @return A client that posts JSON-RPC to `http://aAddress/rpc` over a
/// persistent connection, one call at a time.
/// @param aAddress "IP:port".
/// @param aTimeout Time limit for connecting and for the answer.
[[nodiscard]] std::unique_ptr<rpc_client>
MakeHttpRpcClient(const std::string& aAddress, duration aTimeout);

} // namespace arbutusferry
