#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry::standin {

/// Tokens of the fake engine. They depend only on prompt, seed and position,
/// so a caller can check that it received its own whole answer.
/// @return Token at a position of the answer.
[[nodiscard]] std::int64_t
TokenAt(std::string_view aPrompt, std::int64_t aSeed, std::int64_t aIndex);

/// @return Text of one token.
[[nodiscard]] std::string
TokenText(std::int64_t aToken);

/// @return Text of the whole answer.
[[nodiscard]] std::string
ExpectedText(std::string_view aPrompt,
             std::int64_t aSeed,
             std::int64_t aTokens);

/// @return Number of prompt tokens: one for each 4 characters, at least 1.
[[nodiscard]] std::int64_t
PromptTokens(std::string_view aPrompt);

/// @return Chained hashes of the prompt's whole blocks of 64 characters.
[[nodiscard]] std::vector<std::uint64_t>
PrefixBlockHashes(std::string_view aPrompt);

} // namespace arbutusferry::standin
