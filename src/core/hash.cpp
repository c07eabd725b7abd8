#include "arbutusferry/hash.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <xxhash.h>

namespace arbutusferry {

namespace {

std::string
ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    text += kDigits[aBytes[i] >> 4U];
    text += kDigits[aBytes[i] & 15U];
  }
  return text;
}

const unsigned char*
Bytes(std::string_view aData)
{
  return reinterpret_cast<const unsigned char*>(aData.data());
}

} // namespace

std::string
Sha256Hex(std::string_view aData)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(Bytes(aData), aData.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string
HmacSha256Hex(std::string_view aKey, std::string_view aData)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       Bytes(aData),
       aData.size(),
       digest.data(),
       &size);
  return ToHex(digest.data(), size);
}

bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

std::string
EncodeBase64Url(std::string_view aData)
{
  std::string text((aData.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    Bytes(aData),
                    static_cast<int>(aData.size()));
  text.resize(static_cast<std::size_t>(size));
  while (!text.empty() && text.back() == '=') {
    text.pop_back();
  }
  for (char& character : text) {
    character = character == '+' ? '-' : character == '/' ? '_' : character;
  }
  return text;
}

std::optional<std::string>
DecodeBase64Url(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size() + 3);
  for (const char character : aText) {
    const bool valid = (character >= 'A' && character <= 'Z') ||
                       (character >= 'a' && character <= 'z') ||
                       (character >= '0' && character <= '9') ||
                       character == '-' || character == '_';
    if (!valid) {
      return std::nullopt;
    }
    text += character == '-' ? '+' : character == '_' ? '/' : character;
  }
  if (text.size() % 4 == 1) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (text.size() % 4 != 0) {
    text += '=';
    ++padding;
  }
  std::string data(text.size() / 4 * 3 + 1, '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                    Bytes(text),
                    static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  data.resize(static_cast<std::size_t>(size) - padding);
  return data;
}

std::string
RandomHex(std::size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(aBytes)) != 1) {
    throw std::runtime_error("no random bytes from the operating system");
  }
  return ToHex(Bytes(bytes), bytes.size());
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode) noexcept
{
  return Hash64(aNode, Hash64(aKey));
}

} // namespace arbutusferry
