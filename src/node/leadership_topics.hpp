#pragma once

#include "arbutusferry/node/record_log.hpp"

#include <chrono>

namespace arbutusferry::node {

/// Interval of checks of the leadership.
inline constexpr std::chrono::milliseconds kElectionTick{ 100 };
/// Interval at which counts are saved, the leader's duties run and removed
/// targets expire.
inline constexpr std::chrono::milliseconds kSlowTick{ 500 };

inline const log_partition kLeaderPartition{ "af.leader", 0, true };
inline const log_partition kUsagePartition{ "af.usage", 0, true };

} // namespace arbutusferry::node
