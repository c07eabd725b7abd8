#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/time.hpp"

#include <string>

namespace arbutusferry {

/// Sends an HTTP GET request to an arbutusferry process.
/// @param aAddress "IP:port".
/// @param aTimeout Limit of connecting and, separately, of each read.
/// @return The body; `Unreachable` if there is no response, `BrokenExchange` if
/// the status is not 200.
[[nodiscard]] result<std::string>
HttpGet(const std::string& aAddress,
        const std::string& aPath,
        duration aTimeout);

} // namespace arbutusferry
