#include "zones/evacuations.hpp"

#include <utility>

namespace arbutusferry::node {

bool
evacuations::NoteOrdersRead() noexcept
{
  return !std::exchange(mOrdersRead, true);
}

bool
evacuations::Order(const std::string& aZone, std::uint64_t aOffset)
{
  zone_order& known = mZones[aZone];
  // A listing without the key drops it at the listing's end, which is also the
  // offset of the next record.
  if (aOffset < known.offset) {
    return false;
  }
  known.offset = aOffset;
  if (std::exchange(known.ordered, true)) {
    return false;
  }
  ++mOrdered;
  return true;
}

bool
evacuations::Lift(const std::string& aZone, std::uint64_t aOffset)
{
  const auto found = mZones.find(aZone);
  if (found == mZones.end() || aOffset <= found->second.offset ||
      !found->second.ordered) {
    return false;
  }
  found->second = { false, aOffset };
  --mOrdered;
  return true;
}

bool
evacuations::Allows(const std::string& aZone) const
{
  if (AllowsAll()) {
    return true;
  }
  const auto found = mZones.find(aZone);
  return mOrdersRead && (found == mZones.end() || !found->second.ordered);
}

} // namespace arbutusferry::node
