#include "arbutusferry/prefix_hints.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <unordered_map>

namespace arbutusferry {

namespace {

namespace bmi = boost::multi_index;

/// Block hashes, most recently used first.
using block_cache = bmi::multi_index_container<
  std::uint64_t,
  bmi::indexed_by<bmi::sequenced<>,
                  bmi::hashed_unique<bmi::identity<std::uint64_t>>>>;

struct target_hints
{
  std::int64_t nextSeq = -1; ///< -1 before the first event.
  block_cache blocks;
};

} // namespace

struct prefix_hints::impl
{
  std::size_t maxPerTarget;
  std::unordered_map<std::string, target_hints> targets;

  void Add(block_cache& aBlocks, std::uint64_t aBlock) const
  {
    const auto [position, inserted] = aBlocks.push_front(aBlock);
    if (!inserted) {
      aBlocks.relocate(aBlocks.begin(), position);
    } else if (aBlocks.size() > maxPerTarget) {
      aBlocks.pop_back();
    }
  }
};

prefix_hints::prefix_hints(std::size_t aMaxPerTarget)
  : mImpl(std::make_unique<impl>(impl{ aMaxPerTarget, {} }))
{
}

prefix_hints::prefix_hints(prefix_hints&&) noexcept = default;
prefix_hints&
prefix_hints::operator=(prefix_hints&&) noexcept = default;
prefix_hints::~prefix_hints() = default;

void
prefix_hints::Apply(const std::string& aTarget,
                    const std::vector<cache_event>& aEvents)
{
  auto& hints = mImpl->targets[aTarget];
  for (const auto& event : aEvents) {
    if (event.seq < hints.nextSeq) {
      continue;
    }
    if (event.seq > hints.nextSeq && hints.nextSeq != -1) {
      hints.blocks.clear();
    }
    hints.nextSeq = event.seq + 1;
    for (const auto block : event.removed) {
      hints.blocks.get<1>().erase(block);
    }
    for (const auto block : event.added) {
      mImpl->Add(hints.blocks, block);
    }
  }
}

void
prefix_hints::AddExpected(const std::string& aTarget,
                          const std::vector<std::uint64_t>& aPrefix)
{
  if (aPrefix.empty()) {
    return;
  }
  auto& hints = mImpl->targets[aTarget];
  for (const auto block : aPrefix) {
    mImpl->Add(hints.blocks, block);
  }
}

void
prefix_hints::Erase(const std::string& aTarget)
{
  mImpl->targets.erase(aTarget);
}

std::size_t
prefix_hints::Hits(const std::string& aTarget,
                   const std::vector<std::uint64_t>& aPrefix) const
{
  const auto found = mImpl->targets.find(aTarget);
  if (found == mImpl->targets.end()) {
    return 0;
  }
  const auto& blocks = found->second.blocks.get<1>();
  std::size_t hits = 0;
  while (hits < aPrefix.size() && blocks.contains(aPrefix[hits])) {
    ++hits;
  }
  return hits;
}

std::size_t
prefix_hints::Size(const std::string& aTarget) const
{
  const auto found = mImpl->targets.find(aTarget);
  return found == mImpl->targets.end() ? 0 : found->second.blocks.size();
}

} // namespace arbutusferry
