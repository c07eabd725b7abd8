#include "output.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace arbutusferry {

namespace {

constexpr std::size_t kMaxBarLength = 40; // characters

std::string
FormatScalar(const Json::Value& aValue)
{
  return aValue.isString() ? aValue.asString() : WriteJson(aValue);
}

bool
IsListOfObjects(const Json::Value& aValue)
{
  return aValue.isArray() && !aValue.empty() &&
         std::all_of(aValue.begin(),
                     aValue.end(),
                     [](const Json::Value& aItem) { return aItem.isObject(); });
}

std::string
FormatTable(const Json::Value& aList)
{
  std::set<std::string> names;
  for (const Json::Value& item : aList) {
    for (const std::string& name : item.getMemberNames()) {
      names.insert(name);
    }
  }
  std::vector<std::vector<std::string>> rows;
  rows.emplace_back(names.begin(), names.end());
  for (const Json::Value& item : aList) {
    std::vector<std::string> row;
    row.reserve(names.size());
    for (const std::string& name : names) {
      row.push_back(item.isMember(name) ? FormatScalar(item[name]) : "-");
    }
    rows.push_back(std::move(row));
  }
  std::ostringstream text;
  for (const auto& row : rows) {
    text << ' ';
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::size_t width = 0;
      for (const auto& other : rows) {
        width = std::max(width, other[i].size());
      }
      text << ' ' << std::left << std::setw(static_cast<int>(width)) << row[i];
    }
    text << '\n';
  }
  return text.str();
}

std::string
FormatNumber(double aValue)
{
  std::ostringstream text;
  text << std::setprecision(4) << aValue;
  return text.str();
}

} // namespace

std::string
FormatText(const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    return FormatScalar(aValue) + "\n";
  }
  std::string text;
  for (const std::string& name : aValue.getMemberNames()) {
    const Json::Value& value = aValue[name];
    if (IsListOfObjects(value)) {
      text += name + ":\n" + FormatTable(value);
    } else if (value.isObject() && !value.empty()) {
      text += name + ":\n";
      for (const std::string& member : value.getMemberNames()) {
        text += "  " + member + ": " + FormatScalar(value[member]) + "\n";
      }
    } else {
      text += name + ": " + FormatScalar(value) + "\n";
    }
  }
  return text;
}

std::string
FormatChanges(const std::vector<document_change>& aChanges)
{
  std::string text;
  for (const document_change& change : aChanges) {
    const std::string before = WriteJson(change.before);
    const std::string after = WriteJson(change.after);
    if (change.before.isNull()) {
      text += "+ " + change.path + ": " + after + "\n";
    } else if (change.after.isNull()) {
      text += "- " + change.path + ": " + before + "\n";
    } else {
      text.append("~ ").append(change.path).append(": ").append(before);
      text.append(" -> ").append(after).append("\n");
    }
  }
  return text;
}

std::string
FormatHistogram(const metric_histogram& aHistogram)
{
  std::ostringstream text;
  text << aHistogram.name;
  for (const auto& [name, value] : aHistogram.labels) {
    text << ' ' << name << '=' << value;
  }
  text << "  count " << aHistogram.count;
  if (aHistogram.count > 0) {
    text << "  mean "
         << FormatNumber(aHistogram.sum /
                         static_cast<double>(aHistogram.count));
    for (const int percent : { 50, 95, 99 }) {
      text << "  p" << percent << ' '
           << FormatNumber(EstimateQuantile(aHistogram, percent / 100.0));
    }
  }
  text << '\n';
  std::int64_t largest = 1;
  for (const auto& bucket : aHistogram.buckets) {
    largest = std::max(largest, bucket.second);
  }
  for (const auto& [bound, count] : aHistogram.buckets) {
    if (count > 0) {
      const double ratio =
        static_cast<double>(count) / static_cast<double>(largest);
      const auto length = static_cast<std::size_t>(
        std::ceil(ratio * static_cast<double>(kMaxBarLength)));
      text << "  <= " << std::left << std::setw(8)
           << (std::isinf(bound) ? "inf" : FormatNumber(bound)) << std::right
           << std::setw(10) << count << ' ' << std::string(length, '#') << '\n';
    }
  }
  return text.str();
}

} // namespace arbutusferry
