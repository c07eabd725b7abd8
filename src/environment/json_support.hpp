#pragma once

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Returns from the function with the error of a `result<void>`, if any.
/// BOOST_LEAF_CHECK uses a GNU statement expression, which clang-tidy rejects
/// under -Wpedantic.
#define ARBUTUSFERRY_CHECK(aExpression)                                        \
  do {                                                                         \
    if (auto checked = (aExpression); !checked) {                              \
      return checked.error();                                                  \
    }                                                                          \
  } while (false)

namespace arbutusferry {

/// @return The number as a JSON integer.
[[nodiscard]] inline Json::Value
JsonInteger(std::int64_t aNumber)
{
  return { static_cast<Json::Int64>(aNumber) };
}

/// Accepts unknown fields, so that processes of adjacent versions interoperate
/// during a rolling upgrade.
inline void
AllowUnknownFields(object_reader& aReader, const Json::Value& aValue)
{
  if (aValue.isObject()) {
    for (const std::string& name : aValue.getMemberNames()) {
      (void)aReader.Any(name.c_str());
    }
  }
}

/// Names are used as metric labels, log fields and parts of role names.
[[nodiscard]] inline bool
IsValidName(std::string_view aName)
{
  constexpr std::size_t kMaxLength = 64;
  return !aName.empty() && aName.size() <= kMaxLength &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') ||
                  aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
         });
}

/// Reads a name that must be present.
[[nodiscard]] inline std::string
ReadName(object_reader& aReader, const char* aField)
{
  std::string name = aReader.String(aField);
  if (!IsValidName(name)) {
    aReader.Fail(aField, "expected 1 to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

/// Reads a list of objects.
/// @param aReader Reader of the object that has the list.
/// @param aName Name of the list.
/// @param aRead Called with each value and its path; returns `result<T>`.
template<typename Read>
[[nodiscard]] auto
ReadList(object_reader& aReader, const char* aName, Read&& aRead)
{
  using item_result =
    decltype(aRead(std::declval<const Json::Value&>(), std::string()));
  using item_type =
    std::decay_t<decltype(*std::declval<item_result>().operator->())>;
  using list_result = result<std::vector<item_type>>;
  std::vector<item_type> items;
  const Json::Value& values = aReader.Array(aName);
  items.reserve(values.size());
  for (const Json::Value& value : values) {
    auto item = aRead(
      value, aReader.Path(aName) + "[" + std::to_string(items.size()) + "]");
    if (!item) {
      return list_result(item.error());
    }
    items.push_back(std::move(*item));
  }
  return list_result(std::move(items));
}

/// @return A JSON list with each item written by `aWrite`.
template<typename Item, typename Write>
[[nodiscard]] Json::Value
WriteList(const std::vector<Item>& aItems, Write aWrite)
{
  Json::Value list(Json::arrayValue);
  for (const Item& item : aItems) {
    list.append(aWrite(item));
  }
  return list;
}

} // namespace arbutusferry
