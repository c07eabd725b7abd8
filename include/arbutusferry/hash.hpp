#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusferry {

/// @return SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string
Sha256Hex(std::string_view aData);

/// @return HMAC-SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string
HmacSha256Hex(std::string_view aKey, std::string_view aData);

/// Compares in constant time with respect to the content.
[[nodiscard]] bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight) noexcept;

/// @return 64-bit xxh3 hash; not cryptographic.
[[nodiscard]] std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed = 0) noexcept;

/// @return Base64url text without padding.
[[nodiscard]] std::string
EncodeBase64Url(std::string_view aData);

/// @return The decoded bytes, or nothing if the text is not base64url.
[[nodiscard]] std::optional<std::string>
DecodeBase64Url(std::string_view aText);

/// @return Random bytes from the operating system as hexadecimal digits.
/// @param aBytes Number of bytes.
[[nodiscard]] std::string
RandomHex(std::size_t aBytes);

/// Highest-random-weight (rendezvous) hash.
/// @return Weight of a node for a key; the node with the highest weight wins.
[[nodiscard]] std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode) noexcept;

} // namespace arbutusferry
