#pragma once

#include "arbutusferry/node/item_scheduler.hpp"

#include <cstddef>
#include <vector>

namespace arbutusferry::node {

/// Order of items that compete for slots: by priority, by slack class, then
/// from the team that has the fewest slots, its item with the least slack. A
/// team that wants less than its equal share leaves the rest to the others
/// (max-min fairness).
class item_queue
{
public:
  /// @param aItems Stay where they are while the queue is used.
  /// @param aSlots Running items by `waiting_item::share`.
  item_queue(std::vector<waiting_item>& aItems, std::vector<int> aSlots);
  /// @return The next item, or null if there is none.
  [[nodiscard]] waiting_item* Next();
  /// Counts a slot for the team of an item.
  void NotePlaced(const waiting_item& aItem) { ++mSlots[aItem.share]; }
  [[nodiscard]] int SlotsOf(const waiting_item& aItem) const
  {
    return mSlots[aItem.share];
  }

private:
  /// Items of one share in the current priority and class.
  struct run
  {
    std::size_t next = 0;
    std::size_t end = 0;
  };
  /// Finds the runs of the next priority and class.
  void OpenBucket();

  std::vector<waiting_item*> mOrder;
  std::vector<int> mSlots;
  std::vector<run> mRuns;
  std::size_t mBucketEnd = 0;
};

/// @return The median of the events that the items still need; 0 without items.
[[nodiscard]] double
TypicalRemainingEvents(const std::vector<waiting_item>& aItems);

} // namespace arbutusferry::node
