#pragma once

#include "control/duty.hpp"
#include "control/role_keeper.hpp"

namespace arbutusferry {

/// Duty that syncs with the relay of the zone by long-polling `zone.sync`.
[[nodiscard]] std::unique_ptr<duty>
MakeZoneSyncDuty(node_state& aState);

/// Duty that exchanges summaries with the relays of other zones while this
/// process is the relay of its own.
[[nodiscard]] std::unique_ptr<duty>
MakeZoneSummaryDuty(node_state& aState);

/// Duty that removes expired entries, members and zones and decides whether
/// this process reads the log itself.
[[nodiscard]] std::unique_ptr<duty>
MakeMembershipDuty(node_state& aState, std::shared_ptr<role_keeper> aKeeper);

} // namespace arbutusferry
