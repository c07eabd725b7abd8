#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// @return Hashes of the leading blocks of a prompt as engines report them,
/// each seeded with the hash of the previous block.
[[nodiscard]] std::vector<std::uint64_t>
PrefixBlockHashes(std::string_view aPrompt);

} // namespace arbutusferry
