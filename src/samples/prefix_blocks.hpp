#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// @return Hashes of the leading blocks of a prompt, each over everything up to
/// the end of its block.
[[nodiscard]] std::vector<std::uint64_t>
PrefixBlocks(std::string_view aPrompt);

} // namespace arbutusferry
