#include "routing/queue_base.hpp"

namespace arbutusferry {

namespace {

class fifo_queue final : public queue_base
{
public:
  using queue_base::queue_base;

  void UpdateShares(const std::map<std::string, double>& /*aShares*/) override
  {
  }
  void UpdateWeights(const std::string& /*aClass*/,
                     const std::map<std::string, double>& /*aWeights*/) override
  {
  }

  std::optional<queued_item> Pop(const std::string& aClass,
                                 const placement_check& aCheck,
                                 time_point /*aEarliestEnd*/) override
  {
    work_id next = 0;
    for (const auto& [needs, items] : mClasses[aClass]) {
      if ((next == 0 || *items.begin() < next) &&
          aCheck(needs) == placement::Now) {
        next = *items.begin();
      }
    }
    if (next == 0) {
      return std::nullopt;
    }
    Remove(next, Find(next));
    return Start(next, 0, 0);
  }

private:
  void Insert(work_id aId, const work_item& aItem) override
  {
    mClasses[aItem.targetClass][NeedsOf(aItem)].insert(aId);
  }

  void Remove(work_id aId, const work_item& aItem) override
  {
    auto& buckets = mClasses[aItem.targetClass];
    const auto found = buckets.find(NeedsOf(aItem));
    found->second.erase(aId);
    if (found->second.empty()) {
      buckets.erase(found);
    }
  }

  void CorrectCharge(const running_item& /*aItem*/,
                     double /*aTokens*/,
                     bool /*aFinished*/) override
  {
  }

  std::map<std::string, std::map<placement_needs, std::set<work_id>>> mClasses;
};

} // namespace

std::unique_ptr<queue_policy>
MakeFifoQueue(std::size_t aMaxPerTeam)
{
  return std::make_unique<fifo_queue>(aMaxPerTeam);
}

} // namespace arbutusferry
