#pragma once

#include "arbutusferry/config_state.hpp"
#include "arbutusferry/enum_names.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace arbutusferry {

/// Why a key was not accepted.
enum class key_refusal
{
  Missing,     ///< The request has no key.
  Malformed,   ///< Not of the form `af_<key id>_<secret>`.
  Unknown,     ///< No such key, or the secret is wrong.
  Withdrawn,   ///< An operator withdrew the key.
  TeamRemoved, ///< The document in force no longer lists the team.
};

template<>
inline constexpr enum_name_table<key_refusal, 5> kEnumNames<key_refusal>{ {
  { key_refusal::Missing, "key_missing" },
  { key_refusal::Malformed, "key_malformed" },
  { key_refusal::Unknown, "key_unknown" },
  { key_refusal::Withdrawn, "key_withdrawn" },
  { key_refusal::TeamRemoved, "key_tenant_removed" },
} };

/// @return What was wrong and what was expected; never contains a key.
[[nodiscard]] std::string_view
DescribeRefusal(key_refusal aRefusal) noexcept;

/// Key as a caller presents it.
struct presented_key
{
  std::string_view keyId;
  std::string_view secret;
};

/// Splits a key of the form `af_<key id>_<secret>`.
/// @return Views into `aText`, or nothing if it has another form.
[[nodiscard]] std::optional<presented_key>
ParseKey(std::string_view aText) noexcept;

/// A new key. Only salt and hash are ever stored or sent.
struct generated_key
{
  std::string text; ///< The key, shown to the operator once.
  std::string keyId;
  std::string salt;
  std::string hash;
};

/// @return A key with 256 random bits of secret and its own salt.
[[nodiscard]] generated_key
GenerateKey();

/// @return SHA-256 of salt and secret as 64 hexadecimal digits. A fast hash is
/// enough, because the secret has 256 random bits.
[[nodiscard]] std::string
HashKeySecret(std::string_view aSalt, std::string_view aSecret);

/// Team that a key belongs to.
struct key_owner
{
  std::string team;
  std::string keyId;
};

/// Checks a key. The time taken does not depend on how much of the secret is
/// correct.
/// @param aConfig Configuration in force.
/// @param aText Key as presented, without "Bearer ".
[[nodiscard]] std::variant<key_owner, key_refusal>
CheckKey(const stage_config& aConfig, std::string_view aText);

/// Checks again a key that was accepted before, for open streams.
/// @param aOwner Result of `CheckKey` when the stream started.
/// @return Why the key is no longer accepted, or nothing if it still is.
[[nodiscard]] std::optional<key_refusal>
RecheckKey(const stage_config& aConfig, const key_owner& aOwner);

} // namespace arbutusferry
