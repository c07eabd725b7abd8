#include "samples/prefix_blocks.hpp"

#include "arbutusferry/hash.hpp"

namespace arbutusferry {

namespace {

/// Size of the blocks that engines report in their cache events.
constexpr std::size_t kBlockBytes = 64;
/// Blocks beyond this add little to the choice of a target.
constexpr std::size_t kMaxBlocks = 32;

} // namespace

std::vector<std::uint64_t>
PrefixBlockHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t chain = 0;
  for (std::size_t at = 0;
       at + kBlockBytes <= aPrompt.size() && blocks.size() < kMaxBlocks;
       at += kBlockBytes) {
    chain = Hash64(aPrompt.substr(at, kBlockBytes), chain);
    blocks.push_back(chain);
  }
  return blocks;
}

} // namespace arbutusferry
