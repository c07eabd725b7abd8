#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/time.hpp"

#include <string>

namespace arbutusferry {

/// Gets a page from a process of the system.
/// @param aAddress "IP:port".
/// @return The body; `Unreachable` or `BrokenExchange`.
[[nodiscard]] result<std::string>
HttpGet(const std::string& aAddress,
        const std::string& aPath,
        duration aTimeout);

} // namespace arbutusferry
