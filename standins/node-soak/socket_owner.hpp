#pragma once

#include <cstdint>
#include <optional>
#include <sys/types.h>
#include <vector>

namespace arbutusferry::node_soak {

/// Finds which process holds the loopback socket with a local port, by the
/// kernel's tables.
/// @return Index into `aProcesses`, or nothing if none of them holds it.
[[nodiscard]] std::optional<std::size_t>
FindSocketOwner(std::uint16_t aLocalPort, const std::vector<pid_t>& aProcesses);

} // namespace arbutusferry::node_soak
