#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace arbutusferry {

/// Table of names of an `enum class`; specialise `kEnumNames` for each type.
template<typename Enum, std::size_t Size>
using enum_name_table = std::array<std::pair<Enum, std::string_view>, Size>;

/// Specialised as an `enum_name_table` beside each enumeration.
template<typename Enum>
inline constexpr std::array<std::pair<Enum, std::string_view>, 0> kEnumNames{};

/// @return The name of an enumerator, or an empty view if it has none.
template<typename Enum>
[[nodiscard]] constexpr std::string_view
EnumName(Enum aValue) noexcept
{
  for (const auto& [value, name] : kEnumNames<Enum>) {
    if (value == aValue) {
      return name;
    }
  }
  return {};
}

/// @return The enumerator with this name, if any.
template<typename Enum>
[[nodiscard]] constexpr std::optional<Enum>
ParseEnum(std::string_view aName) noexcept
{
  for (const auto& [value, name] : kEnumNames<Enum>) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace arbutusferry
