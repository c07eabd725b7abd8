#include "arbutusferry/target_selector.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace arbutusferry {

namespace {

/// Load, as a fraction of the target's slots, that a full prefix hit offsets.
constexpr double kPrefixWeight = 0.5;

double
Load(const target_candidate& aCandidate,
     const work_item& aItem,
     const prefix_hints& aHints)
{
  const auto& info = *aCandidate.info;
  // The report includes own exchanges; the rest belongs to other entries.
  const auto others = std::max<std::int64_t>(
    info.running + info.waiting - aCandidate.inFlightAtReport, 0);
  double load = static_cast<double>(others + aCandidate.inFlight) /
                static_cast<double>(std::max<std::int64_t>(info.slots, 1));
  if (!aItem.prefix.empty()) {
    load -= kPrefixWeight *
            static_cast<double>(aHints.Hits(info.id, aItem.prefix)) /
            static_cast<double>(aItem.prefix.size());
  }
  return load;
}

class two_choice_selector final : public selection_policy
{
public:
  explicit two_choice_selector(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::size_t Select(const std::vector<target_candidate>& aCandidates,
                     const work_item& aItem,
                     const prefix_hints& aHints) override
  {
    const auto size = aCandidates.size();
    if (size == 1) {
      return 0;
    }
    const auto first = Draw(size);
    auto second = Draw(size - 1);
    second += second >= first ? 1 : 0;
    return Load(aCandidates[second], aItem, aHints) <
               Load(aCandidates[first], aItem, aHints)
             ? second
             : first;
  }

private:
  std::size_t Draw(std::size_t aSize)
  {
    return boost::random::uniform_int_distribution<std::size_t>(0, aSize - 1)(
      mRandom);
  }

  boost::random::mt19937_64 mRandom;
};

class round_robin_selector final : public selection_policy
{
public:
  std::size_t Select(const std::vector<target_candidate>& aCandidates,
                     const work_item& /*aItem*/,
                     const prefix_hints& /*aHints*/) override
  {
    return mNext++ % aCandidates.size();
  }

private:
  std::size_t mNext = 0;
};

} // namespace

bool
MeetsNeeds(const target_info& aTarget, const placement_needs& aNeeds) noexcept
{
  if (aTarget.state != target_state::Live ||
      aTarget.targetClass != aNeeds.targetClass) {
    return false;
  }
  if (aTarget.pool == target_pool::Reclaimable && !aNeeds.reclaimable) {
    return false;
  }
  // Without a load report the version is -1, which meets no minimum.
  return aNeeds.minVersion <= 0 || aTarget.weightVersion >= aNeeds.minVersion;
}

std::unique_ptr<selection_policy>
MakeTwoChoiceSelector(std::uint64_t aSeed)
{
  return std::make_unique<two_choice_selector>(aSeed);
}

std::unique_ptr<selection_policy>
MakeRoundRobinSelector()
{
  return std::make_unique<round_robin_selector>();
}

} // namespace arbutusferry
