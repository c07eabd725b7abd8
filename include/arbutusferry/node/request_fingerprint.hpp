#pragma once

#include "arbutusferry/node/http_message.hpp"

#include <string>

namespace arbutusferry::node {

/// Identifies a request that callers send again under other ids: a hash of its
/// team, host, method, path with query, and body.
/// @return 16 hexadecimal digits.
[[nodiscard]] std::string
FingerprintOf(const std::string& aTeam, const http_request& aRequest);

} // namespace arbutusferry::node
