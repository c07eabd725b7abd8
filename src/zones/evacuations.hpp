#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// The operator's orders to send nothing more to the targets of a zone.
class evacuations
{
public:
  /// Takes all zones as evacuated until the operator's records were read to
  /// their end once. Without this call no order holds from the start.
  void AwaitOrders() noexcept { mOrdersRead = false; }
  /// Notes that the operator's records were read to their present end.
  /// @return Whether that was the first time.
  bool NoteOrdersRead() noexcept;
  [[nodiscard]] bool OrdersRead() const noexcept { return mOrdersRead; }

  /// Applies an order, unless a later record of its key is known.
  /// @param aOffset Offset of the record in the operator's topic.
  /// @return Whether the zone was not evacuated before.
  bool Order(const std::string& aZone, std::uint64_t aOffset);
  /// Applies that an order was dropped.
  /// @param aOffset Offset of the record that dropped the key, or the end of
  /// the listing that no longer holds it.
  /// @return Whether the zone was evacuated before.
  bool Lift(const std::string& aZone, std::uint64_t aOffset);

  /// @return Whether requests may be sent to the targets of a zone.
  [[nodiscard]] bool Allows(const std::string& aZone) const;
  /// @return Whether requests may be sent to a target whose zone isn't known.
  [[nodiscard]] bool AllowsAll() const noexcept
  {
    return mOrdersRead && mOrdered == 0;
  }
  /// @return The number of evacuated zones.
  [[nodiscard]] std::size_t Count() const noexcept { return mOrdered; }
  /// @return Whether there was an order since the start of the process.
  [[nodiscard]] bool EverOrdered() const noexcept { return !mZones.empty(); }

private:
  struct zone_order
  {
    bool ordered = false;
    std::uint64_t offset = 0; ///< Of the last record that was applied.
  };

  std::map<std::string, zone_order> mZones;
  std::size_t mOrdered = 0;
  bool mOrdersRead = true;
};

} // namespace arbutusferry::node
