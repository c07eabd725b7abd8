#pragma once

#include "control/duty.hpp"
#include "control/node_state.hpp"

namespace arbutusferry {

/// Duty that reads the log by long polling and applies the records.
[[nodiscard]] std::unique_ptr<duty>
MakeLogFollower(node_state& aState, std::shared_ptr<platform_log> aLog);

/// Duty that reads the platform's lists of VMs and targets.
[[nodiscard]] std::unique_ptr<duty>
MakeDirectoryReader(node_state& aState,
                    std::shared_ptr<vm_directory> aDirectory);

/// Duty that polls the load of the engines.
[[nodiscard]] std::unique_ptr<duty>
MakeLoadPollerDuty(node_state& aState);

} // namespace arbutusferry
