#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry::standin {

/// Returns the token that the fake engine generates at a position. It depends
/// only on prompt, seed and position, so that a client can verify that a
/// response is complete and belongs to its request.
[[nodiscard]] std::int64_t
TokenAt(std::string_view aPrompt, std::int64_t aSeed, std::int64_t aIndex);

/// @return Text of one token.
[[nodiscard]] std::string
TokenText(std::int64_t aToken);

/// @return Text of a complete response of `aTokens` tokens.
[[nodiscard]] std::string
ExpectedText(std::string_view aPrompt,
             std::int64_t aSeed,
             std::int64_t aTokens);

/// @return Number of prompt tokens: one for each 4 characters, at least 1.
[[nodiscard]] std::int64_t
PromptTokens(std::string_view aPrompt);

/// @return Chained hashes of the prompt's complete blocks of 64 characters.
[[nodiscard]] std::vector<std::uint64_t>
PrefixBlockHashes(std::string_view aPrompt);

} // namespace arbutusferry::standin
