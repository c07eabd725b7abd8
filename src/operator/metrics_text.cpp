#include "arbutusferry/metrics_text.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace arbutusferry {

namespace {

struct sample
{
  std::string name;
  metric_labels labels;
  double value = 0;
};

std::optional<double>
ReadNumber(std::string_view aText)
{
  if (aText == "+Inf") {
    return std::numeric_limits<double>::infinity();
  }
  if (aText == "-Inf") {
    return -std::numeric_limits<double>::infinity();
  }
  if (aText == "NaN") {
    return std::numeric_limits<double>::quiet_NaN();
  }
  double value = 0;
  const char* const end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || parsedEnd != end) {
    return std::nullopt;
  }
  return value;
}

/// Reads `name="value",...}` from the position after the opening brace.
/// @return Position after the closing brace.
std::optional<std::size_t>
ReadLabels(std::string_view aLine, std::size_t aFrom, metric_labels& aLabels)
{
  std::size_t at = aFrom;
  while (at < aLine.size() && aLine[at] != '}') {
    const std::size_t equals = aLine.find("=\"", at);
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string name(aLine.substr(at, equals - at));
    std::string value;
    for (at = equals + 2; at < aLine.size() && aLine[at] != '"'; ++at) {
      if (aLine[at] == '\\' && at + 1 < aLine.size()) {
        ++at;
        value += aLine[at] == 'n' ? '\n' : aLine[at];
      } else {
        value += aLine[at];
      }
    }
    aLabels[name] = value;
    at += at + 1 < aLine.size() && aLine[at + 1] == ',' ? 2 : 1;
  }
  if (at >= aLine.size()) {
    return std::nullopt;
  }
  return at + 1;
}

std::optional<sample>
ReadSample(std::string_view aLine)
{
  sample read;
  std::size_t at = std::min(aLine.find_first_of("{ "), aLine.size());
  read.name = std::string(aLine.substr(0, at));
  if (at < aLine.size() && aLine[at] == '{') {
    const auto end = ReadLabels(aLine, at + 1, read.labels);
    if (!end) {
      return std::nullopt;
    }
    at = *end;
  }
  if (at >= aLine.size() || aLine[at] != ' ') {
    return std::nullopt;
  }
  const auto value = ReadNumber(aLine.substr(at + 1));
  if (!value) {
    return std::nullopt;
  }
  read.value = *value;
  return read;
}

bool
EndsWith(const std::string& aText, std::string_view aEnd)
{
  return aText.size() > aEnd.size() &&
         aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

using histogram_map =
  std::map<std::pair<std::string, metric_labels>, metric_histogram>;

metric_histogram&
FindHistogram(histogram_map& aMap, const sample& aSample, std::size_t aSuffix)
{
  const std::string name =
    aSample.name.substr(0, aSample.name.size() - aSuffix);
  metric_labels labels = aSample.labels;
  labels.erase("le");
  metric_histogram& found = aMap[{ name, labels }];
  found.name = name;
  found.labels = std::move(labels);
  return found;
}

void
AddSample(histogram_map& aMap, const sample& aSample)
{
  constexpr std::string_view kBucket = "_bucket";
  constexpr std::string_view kSum = "_sum";
  constexpr std::string_view kCount = "_count";
  const auto bound = aSample.labels.find("le");
  if (EndsWith(aSample.name, kBucket) && bound != aSample.labels.end()) {
    const auto limit = ReadNumber(bound->second);
    if (limit && aSample.value >= 0 && aSample.value < 1e18) {
      FindHistogram(aMap, aSample, kBucket.size())
        .buckets.emplace_back(*limit, std::llround(aSample.value));
    }
  } else if (EndsWith(aSample.name, kSum)) {
    FindHistogram(aMap, aSample, kSum.size()).sum = aSample.value;
  } else if (EndsWith(aSample.name, kCount) && aSample.value >= 0 &&
             aSample.value < 1e18) {
    FindHistogram(aMap, aSample, kCount.size()).count =
      std::llround(aSample.value);
  }
}

} // namespace

result<std::vector<metric_histogram>>
ReadHistograms(std::string_view aText, const std::string& aPeer)
{
  histogram_map found;
  std::size_t line = 0;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const std::string_view text = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    ++line;
    if (text.empty() || text.front() == '#') {
      continue;
    }
    const auto read = ReadSample(text);
    if (!read) {
      return MakeError(error_code::BrokenExchange,
                       "read metrics",
                       aPeer,
                       "line " + std::to_string(line) +
                         ": expected \"name{labels} value\"");
    }
    AddSample(found, *read);
  }
  std::vector<metric_histogram> histograms;
  for (auto& [key, histogram] : found) {
    if (histogram.buckets.empty()) {
      continue;
    }
    std::sort(histogram.buckets.begin(), histogram.buckets.end());
    for (std::size_t i = histogram.buckets.size() - 1; i > 0; --i) {
      histogram.buckets[i].second -= histogram.buckets[i - 1].second;
    }
    histograms.push_back(std::move(histogram));
  }
  return histograms;
}

double
EstimateQuantile(const metric_histogram& aHistogram, double aQuantile)
{
  const double rank = aQuantile * static_cast<double>(aHistogram.count);
  double seen = 0;
  double lower = 0;
  for (const auto& [bound, count] : aHistogram.buckets) {
    const auto size = static_cast<double>(count);
    if (std::isinf(bound)) {
      break;
    }
    if (size > 0 && seen + size >= rank) {
      return lower + (bound - lower) * std::max(0.0, rank - seen) / size;
    }
    seen += size;
    lower = bound;
  }
  return lower;
}

} // namespace arbutusferry
