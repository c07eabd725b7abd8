#include "placement/item_queue.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

auto
BucketKey(const waiting_item& aItem)
{
  return std::make_tuple(aItem.priority, aItem.need);
}

auto
FullKey(const waiting_item& aItem)
{
  return std::make_tuple(aItem.priority,
                         aItem.need,
                         aItem.share,
                         aItem.slackMs,
                         !aItem.carried,
                         aItem.submittedUnixMs,
                         std::cref(aItem.batch),
                         aItem.groupUncommitted,
                         std::cref(aItem.group),
                         aItem.index);
}

} // namespace

item_queue::item_queue(std::vector<waiting_item>& aItems,
                       std::vector<int> aSlots)
  : mSlots(std::move(aSlots))
{
  mOrder.reserve(aItems.size());
  std::size_t shares = mSlots.size();
  for (waiting_item& item : aItems) {
    mOrder.push_back(&item);
    shares = std::max(shares, item.share + 1);
  }
  mSlots.resize(shares);
  std::sort(mOrder.begin(),
            mOrder.end(),
            [](const waiting_item* aLeft, const waiting_item* aRight) {
              return FullKey(*aLeft) < FullKey(*aRight);
            });
}

void
item_queue::OpenBucket()
{
  mRuns.clear();
  const std::size_t begin = mBucketEnd;
  if (begin == mOrder.size()) {
    return;
  }
  const auto key = BucketKey(*mOrder[begin]);
  std::size_t at = begin;
  for (; at < mOrder.size() && BucketKey(*mOrder[at]) == key; ++at) {
    if (at == begin || mOrder[at]->share != mOrder[at - 1]->share) {
      mRuns.push_back({ at, at });
    }
    mRuns.back().end = at + 1;
  }
  mBucketEnd = at;
}

waiting_item*
item_queue::Next()
{
  if (mRuns.empty()) {
    OpenBucket();
  }
  const auto key = [this](const run& aRun) {
    const waiting_item& item = *mOrder[aRun.next];
    return std::make_tuple(mSlots[item.share], item.slackMs);
  };
  const auto best = std::min_element(
    mRuns.begin(), mRuns.end(), [&](const run& aLeft, const run& aRight) {
      return key(aLeft) < key(aRight);
    });
  if (best == mRuns.end()) {
    return nullptr;
  }
  waiting_item* next = mOrder[best->next++];
  if (best->next == best->end) {
    mRuns.erase(best);
  }
  return next;
}

double
TypicalRemainingEvents(const std::vector<waiting_item>& aItems)
{
  std::vector<double> lengths;
  lengths.reserve(aItems.size());
  for (const waiting_item& item : aItems) {
    lengths.push_back(item.remainingEvents);
  }
  if (lengths.empty()) {
    return 0.0;
  }
  const auto middle =
    lengths.begin() + static_cast<std::ptrdiff_t>((lengths.size() - 1) / 2);
  std::nth_element(lengths.begin(), middle, lengths.end());
  return *middle;
}

} // namespace arbutusferry::node
