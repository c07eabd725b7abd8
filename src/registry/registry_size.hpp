#pragma once

#include <cstddef>

namespace arbutusferry::node {

/// What decides whether one node per zone reads the records of targets for the
/// others.
struct registry_size
{
  std::size_t nodes = 0;
  std::size_t targets = 0;
  /// What the store can serve to all readers; 0 if unknown.
  double storeReadMegabytes = 0.0;
};

/// @param aSize The deployment as this node knows it.
/// @return Bytes per second that the store serves if each node reads each
/// target's records itself.
[[nodiscard]] double
RegistryReadRate(const registry_size& aSize);

/// @param aEnabled Whether there are zone readers at present: they end at a
/// smaller size than they begin at, so that a size at the threshold doesn't
/// switch back and forth.
/// @return Whether each zone needs readers that serve its other nodes.
[[nodiscard]] bool
NeedsZoneReaders(const registry_size& aSize, bool aEnabled);

} // namespace arbutusferry::node
