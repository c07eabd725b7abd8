#include "arbutusferry/json.hpp"

#include <cmath>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace arbutusferry {

namespace {

constexpr int kMaxDepth = 64;

const Json::Value&
EmptyArray()
{
  static const Json::Value kValue(Json::arrayValue);
  return kValue;
}

const Json::Value&
EmptyObject()
{
  static const Json::Value kValue(Json::objectValue);
  return kValue;
}

const Json::Value&
Null()
{
  static const Json::Value kValue;
  return kValue;
}

std::string
OneLine(std::string aText)
{
  for (char& character : aText) {
    if (character == '\n') {
      character = ' ';
    }
  }
  while (!aText.empty() && aText.back() == ' ') {
    aText.pop_back();
  }
  return aText;
}

} // namespace

result<Json::Value>
ParseJson(std::string_view aText, std::string_view aSource)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = true;
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  bool parsed = false;
  try {
    parsed = reader->parse(
      aText.data(), aText.data() + aText.size(), &value, &problems);
  } catch (const Json::Exception& exception) {
    problems = exception.what();
  }
  if (!parsed) {
    return MakeError(error_code::InvalidArgument,
                     "parse JSON",
                     std::string(aSource),
                     OneLine(problems));
  }
  return value;
}

std::string
WriteJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["commentStyle"] = "None";
    builder["emitUTF8"] = true;
    return builder;
  }();
  return Json::writeString(kBuilder, aValue);
}

object_reader::object_reader(const Json::Value& aValue,
                             std::string aSource,
                             std::string aPath)
  : mValue(aValue)
  , mSource(std::move(aSource))
  , mPath(std::move(aPath))
{
  if (!mValue.isObject()) {
    mProblem = (mPath.empty() ? std::string("document") : mPath) +
               ": expected an object";
  }
}

const Json::Value&
object_reader::Member(const char* aName)
{
  mKnown.insert(aName);
  return Has(aName) ? mValue[aName] : Null();
}

bool
object_reader::Has(const char* aName) const
{
  return mValue.isObject() && mValue.isMember(aName);
}

std::string
object_reader::Path(const std::string& aName) const
{
  return mPath.empty() ? aName : mPath + "." + aName;
}

void
object_reader::Fail(const std::string& aName, const std::string& aExpected)
{
  if (mProblem.empty()) {
    mProblem = "field \"" + Path(aName) + "\": " + aExpected;
  }
}

std::string
object_reader::String(const char* aName)
{
  const Json::Value& value = Member(aName);
  if (!value.isString() || value.asString().empty()) {
    Fail(aName, "expected a non-empty string");
    return {};
  }
  return value.asString();
}

std::string
object_reader::String(const char* aName, std::string aDefault)
{
  const Json::Value& value = Member(aName);
  if (!Has(aName)) {
    return aDefault;
  }
  if (!value.isString()) {
    Fail(aName, "expected a string");
    return aDefault;
  }
  return value.asString();
}

std::int64_t
object_reader::Integer(const char* aName,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum)
{
  const Json::Value& value = Member(aName);
  if (!value.isInt64() || value.type() == Json::realValue ||
      value.asInt64() < aMinimum || value.asInt64() > aMaximum) {
    Fail(aName,
         "expected an integer from " + std::to_string(aMinimum) + " to " +
           std::to_string(aMaximum));
    return aMinimum;
  }
  return value.asInt64();
}

std::int64_t
object_reader::Integer(const char* aName,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum,
                       std::int64_t aDefault)
{
  if (!Has(aName)) {
    mKnown.insert(aName);
    return aDefault;
  }
  return Integer(aName, aMinimum, aMaximum);
}

double
object_reader::Number(const char* aName,
                      double aMinimum,
                      double aMaximum,
                      double aDefault)
{
  const Json::Value& value = Member(aName);
  if (!Has(aName)) {
    return aDefault;
  }
  if (!value.isNumeric() || !std::isfinite(value.asDouble()) ||
      value.asDouble() < aMinimum || value.asDouble() > aMaximum) {
    Fail(aName,
         "expected a number from " + std::to_string(aMinimum) + " to " +
           std::to_string(aMaximum));
    return aDefault;
  }
  return value.asDouble();
}

bool
object_reader::Boolean(const char* aName, bool aDefault)
{
  const Json::Value& value = Member(aName);
  if (!Has(aName)) {
    return aDefault;
  }
  if (!value.isBool()) {
    Fail(aName, "expected true or false");
    return aDefault;
  }
  return value.asBool();
}

std::vector<std::string>
object_reader::Strings(const char* aName)
{
  std::vector<std::string> texts;
  for (const Json::Value& item : Array(aName)) {
    if (!item.isString() || item.asString().empty()) {
      Fail(aName, "expected a list of non-empty strings");
      return {};
    }
    texts.push_back(item.asString());
  }
  return texts;
}

const Json::Value&
object_reader::Array(const char* aName)
{
  const Json::Value& value = Member(aName);
  if (!Has(aName)) {
    return EmptyArray();
  }
  if (!value.isArray()) {
    Fail(aName, "expected a list");
    return EmptyArray();
  }
  return value;
}

const Json::Value&
object_reader::Object(const char* aName)
{
  const Json::Value& value = Member(aName);
  if (!Has(aName)) {
    return EmptyObject();
  }
  if (!value.isObject()) {
    Fail(aName, "expected an object");
    return EmptyObject();
  }
  return value;
}

const Json::Value&
object_reader::Any(const char* aName)
{
  return Member(aName);
}

result<void>
object_reader::Finish(error_code aCode)
{
  if (mProblem.empty()) {
    for (const std::string& name : mValue.getMemberNames()) {
      if (mKnown.count(name) == 0) {
        std::string known;
        for (const std::string& other : mKnown) {
          known += (known.empty() ? "" : ", ") + other;
        }
        Fail(name, "unknown field; expected one of " + known);
      }
    }
  }
  if (!mProblem.empty()) {
    return MakeError(aCode, "read document", mSource, mProblem);
  }
  return {};
}

} // namespace arbutusferry
