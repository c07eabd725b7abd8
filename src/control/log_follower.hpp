#pragma once

#include "control/duty.hpp"
#include "control/node_state.hpp"

namespace arbutusferry {

/// Duty that reads the log with held requests and folds the records.
[[nodiscard]] std::unique_ptr<duty>
MakeLogFollower(node_state& aState, std::shared_ptr<platform_log> aLog);

/// Duty that reads the platform's lists of VMs and targets.
[[nodiscard]] std::unique_ptr<duty>
MakeDirectoryReader(node_state& aState,
                    std::shared_ptr<vm_directory> aDirectory);

/// Duty that asks engines for their load.
[[nodiscard]] std::unique_ptr<duty>
MakeLoadPollerDuty(node_state& aState);

} // namespace arbutusferry
