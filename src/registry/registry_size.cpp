#include "registry/registry_size.hpp"

namespace arbutusferry::node {

namespace {

/// Interval of a target's records, and the size of one as the store sends it.
constexpr double kRecordsPerSecond = 1'000.0 / 1'200.0;
constexpr double kRecordBytes = 300.0;
constexpr double kBytesPerMegabyte = 1e6;
/// Shares of the store's read rate. Listings after an outage and the reads of
/// other topics need the rest.
constexpr double kEnableShare = 0.5;
constexpr double kDisableShare = 0.4;

} // namespace

double
RegistryReadRate(const registry_size& aSize)
{
  return static_cast<double>(aSize.targets) * kRecordsPerSecond * kRecordBytes *
         static_cast<double>(aSize.nodes);
}

bool
NeedsZoneReaders(const registry_size& aSize, bool aEnabled)
{
  const double share = aEnabled ? kDisableShare : kEnableShare;
  return aSize.storeReadMegabytes > 0.0 &&
         RegistryReadRate(aSize) >
           share * aSize.storeReadMegabytes * kBytesPerMegabyte;
}

} // namespace arbutusferry::node
