#include "samples/prefix_blocks.hpp"

#include "arbutusferry/hash.hpp"

namespace arbutusferry {

namespace {

constexpr std::size_t kBlockBytes = 64;
/// Blocks beyond this add little to the choice of a target.
constexpr std::size_t kMaxBlocks = 32;

} // namespace

std::vector<std::uint64_t>
PrefixBlocks(std::string_view aPrompt)
{
  std::vector<std::uint64_t> blocks;
  for (std::size_t end = kBlockBytes;
       end <= aPrompt.size() && blocks.size() < kMaxBlocks;
       end += kBlockBytes) {
    blocks.push_back(Hash64(aPrompt.substr(0, end)));
  }
  return blocks;
}

} // namespace arbutusferry
