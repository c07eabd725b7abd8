#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusferry::node {

/// Header fields in order of appearance; names are case-insensitive.
class header_list
{
public:
  using entry = std::pair<std::string, std::string>;

  header_list() = default;
  header_list(std::initializer_list<entry> aEntries)
    : mEntries(aEntries)
  {
  }

  void Add(std::string aName, std::string aValue)
  {
    mEntries.emplace_back(std::move(aName), std::move(aValue));
  }
  /// Removes all fields with a name.
  void Remove(std::string_view aName);
  /// Removes all fields whose names begin with a prefix.
  void RemovePrefixed(std::string_view aPrefix);
  /// @return The value of the first field with a name, or nothing.
  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const;
  /// @return The value of the first field with a name, or an empty view.
  [[nodiscard]] std::string_view Get(std::string_view aName) const
  {
    return Find(aName).value_or(std::string_view{});
  }
  /// @return Number of fields with a name.
  [[nodiscard]] std::size_t Count(std::string_view aName) const;
  [[nodiscard]] auto begin() const noexcept { return mEntries.begin(); }
  [[nodiscard]] auto end() const noexcept { return mEntries.end(); }

private:
  std::vector<entry> mEntries;
};

/// Removes the headers that only nodes write, in messages to each other.
/// Whoever else sends one could pass for a node.
void
RemoveNodeHeaders(header_list& aHeaders);

/// @return Whether two texts are equal, ignoring the case of ASCII letters.
[[nodiscard]] bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) noexcept;

/// @return Whether a comma-separated list holds a token, ignoring case.
[[nodiscard]] bool
HasToken(std::string_view aList, std::string_view aToken) noexcept;

/// Body of a request. Copies share its bytes, since the attempts at a request
/// each hold one and bodies are up to 32 MiB.
class request_body
{
public:
  request_body() = default;
  request_body(std::string aText)
    : mText(aText.empty()
              ? nullptr
              : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  request_body(const char* aText)
    : request_body(std::string(aText))
  {
  }

  [[nodiscard]] const std::string& Text() const noexcept
  {
    static const std::string kEmpty;
    return mText ? *mText : kEmpty;
  }
  operator const std::string&() const noexcept { return Text(); }
  [[nodiscard]] bool empty() const noexcept { return !mText; }
  [[nodiscard]] std::size_t size() const noexcept { return Text().size(); }
  friend bool operator==(const request_body& aLeft, std::string_view aRight)
  {
    return aLeft.Text() == aRight;
  }

private:
  std::shared_ptr<const std::string> mText; ///< Null if empty.
};

struct http_request
{
  std::string method;
  std::string target; ///< Path and query as received.
  header_list headers;
  request_body body;
};

struct http_response
{
  int status = 0;
  header_list headers;
  std::string body;
};

/// @return The value of a non-negative decimal integer, or nothing.
[[nodiscard]] std::optional<std::int64_t>
ParseInteger(std::string_view aText) noexcept;

/// @return The value of a non-negative, finite decimal number, or nothing.
[[nodiscard]] std::optional<double>
ParseDecimal(std::string_view aText) noexcept;

} // namespace arbutusferry::node
