#pragma once

#include "arbutusferry/error.hpp"

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Parses JSON with comments. Duplicate keys, text after the value, NaN and
/// nesting deeper than 64 levels are refused with line and column.
/// @param aText Text to parse.
/// @param aSource File name or peer, for the error.
[[nodiscard]] result<Json::Value>
ParseJson(std::string_view aText, std::string_view aSource);

/// Runs a function that reads a JSON value, whose accessors throw for values of
/// another type than expected.
/// @param aStep What is read, for the error.
/// @param aPeer Where the value comes from, for the error.
/// @return What the function returns, a `result`; an error if a type is wrong.
template<typename Function>
[[nodiscard]] auto
ReadChecked(std::string_view aStep, std::string_view aPeer, Function&& aRead)
  -> decltype(aRead())
{
  try {
    return aRead();
  } catch (const Json::Exception& error) {
    return MakeError(error_code::InvalidArgument,
                     std::string(aStep),
                     std::string(aPeer),
                     std::string("unexpected type: ") + error.what());
  }
}

/// Parses a JSON object and decodes it.
/// @param aDecode Returns an `optional` of the decoded type.
/// @return Nothing if the text is no object or a field has another type than
/// expected.
template<typename Function>
[[nodiscard]] auto
DecodeObject(std::string_view aText,
             std::string_view aSource,
             Function&& aDecode) -> decltype(aDecode(Json::Value()))
{
  const auto parsed = Capture([&] { return ParseJson(aText, aSource); });
  const auto* value = std::get_if<Json::Value>(&parsed);
  if (!value || !value->isObject()) {
    return std::nullopt;
  }
  try {
    return aDecode(*value);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

/// @return Compact JSON text on one line.
[[nodiscard]] std::string
WriteJson(const Json::Value& aValue);

/// Reads the fields of one JSON object and reports the first problem with the
/// path of the field and what was expected. `Finish` refuses fields that were
/// never read.
class object_reader
{
public:
  /// @param aValue Object to read; must outlive the reader.
  /// @param aSource File name or peer, for errors.
  /// @param aPath Path of this object, such as "routes[2]"; empty at the top.
  object_reader(const Json::Value& aValue,
                std::string aSource,
                std::string aPath = {});

  /// Reads a field that must be present and not empty.
  [[nodiscard]] std::string String(const char* aName);
  /// Reads a field that may be absent.
  [[nodiscard]] std::string String(const char* aName, std::string aDefault);
  /// Reads a required integer within bounds.
  [[nodiscard]] std::int64_t Integer(const char* aName,
                                     std::int64_t aMinimum,
                                     std::int64_t aMaximum);
  /// Reads an optional integer within bounds.
  [[nodiscard]] std::int64_t Integer(const char* aName,
                                     std::int64_t aMinimum,
                                     std::int64_t aMaximum,
                                     std::int64_t aDefault);
  /// Reads an optional number within bounds.
  [[nodiscard]] double Number(const char* aName,
                              double aMinimum,
                              double aMaximum,
                              double aDefault);
  /// Reads an optional boolean.
  [[nodiscard]] bool Boolean(const char* aName, bool aDefault);
  /// Reads an optional list of strings.
  [[nodiscard]] std::vector<std::string> Strings(const char* aName);
  /// Reads a required enumerator by its name.
  template<typename Enum>
  [[nodiscard]] Enum Enumerator(const char* aName)
  {
    const std::string text = String(aName);
    if (const auto value = ParseEnum<Enum>(text)) {
      return *value;
    }
    std::string expected;
    for (const auto& entry : kEnumNames<Enum>) {
      expected += (expected.empty() ? "" : ", ") + std::string(entry.second);
    }
    Fail(aName, "expected one of " + expected);
    return Enum{};
  }
  /// @return A field that must be an array; an empty array if absent.
  [[nodiscard]] const Json::Value& Array(const char* aName);
  /// @return A field that must be an object; an empty object if absent.
  [[nodiscard]] const Json::Value& Object(const char* aName);
  /// @return Any value, null if absent.
  [[nodiscard]] const Json::Value& Any(const char* aName);
  [[nodiscard]] bool Has(const char* aName) const;

  /// Records a problem with a field; only the first is kept.
  void Fail(const std::string& aName, const std::string& aExpected);
  /// @return Path of a field of this object.
  [[nodiscard]] std::string Path(const std::string& aName) const;
  [[nodiscard]] bool Failed() const noexcept { return !mProblem.empty(); }

  /// Refuses fields that were never read and reports the first problem.
  /// @param aCode Code of the error.
  /// @return An error that names source, field and what was expected.
  [[nodiscard]] result<void> Finish(
    error_code aCode = error_code::InvalidArgument);

private:
  const Json::Value& Member(const char* aName);

  const Json::Value& mValue;
  std::string mSource;
  std::string mPath;
  std::set<std::string> mKnown;
  std::string mProblem;
};

} // namespace arbutusferry
