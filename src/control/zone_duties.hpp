#pragma once

#include "control/duty.hpp"
#include "control/role_keeper.hpp"

namespace arbutusferry {

/// Duty that keeps a `zone.sync` open at the relay of the zone.
[[nodiscard]] std::unique_ptr<duty>
MakeZoneSync(node_state& aState);

/// Duty that exchanges summaries with the relays of other zones while this
/// process is the relay of its own.
[[nodiscard]] std::unique_ptr<duty>
MakeZoneSummary(node_state& aState);

/// Duty that removes members and entries that are gone and decides whether
/// this process reads the log itself.
[[nodiscard]] std::unique_ptr<duty>
MakeMembershipWatch(node_state& aState, std::shared_ptr<role_keeper> aKeeper);

} // namespace arbutusferry
