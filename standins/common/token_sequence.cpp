#include "common/token_sequence.hpp"

#include "arbutusferry/hash.hpp"

#include <algorithm>

namespace arbutusferry::standin {

namespace {

constexpr std::uint64_t kVocabularySize = 50'000;
constexpr std::size_t kBlockCharacters = 64;

} // namespace

std::int64_t
TokenAt(std::string_view aPrompt, std::int64_t aSeed, std::int64_t aIndex)
{
  const std::uint64_t sequenceSeed =
    Hash64(aPrompt, static_cast<std::uint64_t>(aSeed) + 1);
  const std::string position = std::to_string(aIndex);
  return static_cast<std::int64_t>(Hash64(position, sequenceSeed) %
                                   kVocabularySize);
}

std::string
TokenText(std::int64_t aToken)
{
  return " w" + std::to_string(aToken);
}

std::string
ExpectedText(std::string_view aPrompt, std::int64_t aSeed, std::int64_t aTokens)
{
  std::string text;
  for (std::int64_t index = 0; index < aTokens; ++index) {
    text += TokenText(TokenAt(aPrompt, aSeed, index));
  }
  return text;
}

std::int64_t
PromptTokens(std::string_view aPrompt)
{
  return std::max<std::int64_t>(1,
                                static_cast<std::int64_t>(aPrompt.size()) / 4);
}

std::vector<std::uint64_t>
PrefixBlockHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  for (std::size_t offset = 0; offset + kBlockCharacters <= aPrompt.size();
       offset += kBlockCharacters) {
    hash = Hash64(aPrompt.substr(offset, kBlockCharacters), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

} // namespace arbutusferry::standin
