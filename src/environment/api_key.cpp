#include "arbutusferry/api_key.hpp"

#include "arbutusferry/hash.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

constexpr std::string_view kKeyPrefix = "af_";
constexpr std::size_t kMaxKeyLength = 256;
constexpr std::size_t kKeyIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSaltBytes = 16;

bool
IsKeyCharacter(char aCharacter) noexcept
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_';
}

} // namespace

std::string_view
DescribeRefusal(key_refusal aRefusal) noexcept
{
  switch (aRefusal) {
    case key_refusal::Missing:
      return "no key; expected Authorization: Bearer <key> or X-Api-Key: <key>";
    case key_refusal::Malformed:
      return "malformed key; expected af_<key id>_<secret>";
    case key_refusal::Unknown:
      return "unknown key; expected a key granted for this environment and "
             "stage";
    case key_refusal::Withdrawn:
      return "the key was withdrawn; expected a key that is in force";
    case key_refusal::TeamRemoved:
      return "the tenant of the key is not in the environment; expected a key "
             "of a listed tenant";
  }
  return "unknown key";
}

std::optional<presented_key>
ParseKey(std::string_view aText) noexcept
{
  if (aText.size() > kMaxKeyLength ||
      aText.substr(0, kKeyPrefix.size()) != kKeyPrefix ||
      !std::all_of(aText.begin(), aText.end(), IsKeyCharacter)) {
    return std::nullopt;
  }
  const std::string_view rest = aText.substr(kKeyPrefix.size());
  const std::size_t split = rest.find('_');
  if (split == std::string_view::npos || split == 0 ||
      split + 1 == rest.size()) {
    return std::nullopt;
  }
  return presented_key{ rest.substr(0, split), rest.substr(split + 1) };
}

generated_key
GenerateKey()
{
  generated_key key;
  key.keyId = RandomHex(kKeyIdBytes);
  key.salt = RandomHex(kSaltBytes);
  const std::string secret = RandomHex(kSecretBytes);
  key.hash = HashKeySecret(key.salt, secret);
  key.text = std::string(kKeyPrefix) + key.keyId + "_" + secret;
  return key;
}

std::string
HashKeySecret(std::string_view aSalt, std::string_view aSecret)
{
  std::string data(aSalt);
  data += aSecret;
  return Sha256Hex(data);
}

std::variant<key_owner, key_refusal>
CheckKey(const stage_config& aConfig, std::string_view aText)
{
  if (aText.empty()) {
    return key_refusal::Missing;
  }
  const auto key = ParseKey(aText);
  if (!key) {
    return key_refusal::Malformed;
  }
  const auto found = aConfig.keys.find(key->keyId);
  if (found == aConfig.keys.end()) {
    return key_refusal::Unknown;
  }
  const key_entry& entry = found->second;
  if (!entry.withdrawn &&
      !ConstantTimeEqual(HashKeySecret(entry.salt, key->secret), entry.hash)) {
    return key_refusal::Unknown;
  }
  key_owner owner{ entry.team, std::string(key->keyId) };
  if (const auto refusal = RecheckKey(aConfig, owner)) {
    return *refusal;
  }
  return owner;
}

std::optional<key_refusal>
RecheckKey(const stage_config& aConfig, const key_owner& aOwner)
{
  const auto found = aConfig.keys.find(aOwner.keyId);
  if (found == aConfig.keys.end() || found->second.team != aOwner.team) {
    return key_refusal::Unknown;
  }
  if (found->second.withdrawn) {
    return key_refusal::Withdrawn;
  }
  if (!aConfig.document || aConfig.document->FindTeam(aOwner.team) == nullptr) {
    return key_refusal::TeamRemoved;
  }
  return std::nullopt;
}

} // namespace arbutusferry
