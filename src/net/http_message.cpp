#include "arbutusferry/node/http_message.hpp"
#include "message_parser.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace arbutusferry::node {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) noexcept
{
  const auto lower = [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar | 0x20)
                                        : aChar;
  };
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [&](char aOne, char aTwo) { return lower(aOne) == lower(aTwo); });
}

bool
HasToken(std::string_view aList, std::string_view aToken) noexcept
{
  while (!aList.empty()) {
    const auto comma = aList.find(',');
    std::string_view part = aList.substr(0, comma);
    aList = comma == std::string_view::npos ? std::string_view{}
                                            : aList.substr(comma + 1);
    while (!part.empty() && (part.front() == ' ' || part.front() == '\t')) {
      part.remove_prefix(1);
    }
    while (!part.empty() && (part.back() == ' ' || part.back() == '\t')) {
      part.remove_suffix(1);
    }
    if (EqualIgnoringCase(part, aToken)) {
      return true;
    }
  }
  return false;
}

void
header_list::Remove(std::string_view aName)
{
  std::erase_if(mEntries, [&](const entry& aEntry) {
    return EqualIgnoringCase(aEntry.first, aName);
  });
}

void
header_list::RemovePrefixed(std::string_view aPrefix)
{
  std::erase_if(mEntries, [&](const entry& aEntry) {
    return EqualIgnoringCase(
      std::string_view(aEntry.first).substr(0, aPrefix.size()), aPrefix);
  });
}

void
RemoveNodeHeaders(header_list& aHeaders)
{
  aHeaders.RemovePrefixed("Ferry-");
}

std::optional<std::string_view>
header_list::Find(std::string_view aName) const
{
  for (const auto& [name, value] : mEntries) {
    if (EqualIgnoringCase(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

std::size_t
header_list::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const entry& aEntry) {
      return EqualIgnoringCase(aEntry.first, aName);
    }));
}

std::optional<std::int64_t>
ParseInteger(std::string_view aText) noexcept
{
  std::int64_t value = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::optional<double>
ParseDecimal(std::string_view aText) noexcept
{
  double value = 0;
  const auto [end, error] = std::from_chars(
    aText.data(), aText.data() + aText.size(), value, std::chars_format::fixed);
  if (error != std::errc() || end != aText.data() + aText.size() ||
      !std::isfinite(value) || std::signbit(value)) {
    return std::nullopt;
  }
  return value;
}

void
AppendHeaders(std::string& aText, const header_list& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    aText += name;
    aText += ": ";
    aText += value;
    aText += "\r\n";
  }
  aText += "\r\n";
}

} // namespace arbutusferry::node
