#include "arbutusferry/metrics.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream> // Must precede extended_p_square_quantile.hpp.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

// False positive of g++ 12 in this header: the member is set before each read.
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#pragma GCC diagnostic pop

namespace arbutusferry {

namespace {

namespace acc = boost::accumulators;

/// Maximum label sets of one name. Callers have tens of teams and classes; the
/// limit keeps a faulty caller from exhausting memory.
constexpr std::size_t kMaxLabelSets = 256;
/// Upper bounds in seconds, from a local connect to the longest step.
constexpr std::array kBucketBounds = { 0.001, 0.0025, 0.005, 0.01,   0.025,
                                       0.05,  0.1,    0.25,  0.5,    1.0,
                                       2.5,   5.0,    10.0,  30.0,   60.0,
                                       120.0, 300.0,  600.0, 1200.0, 2400.0 };
constexpr std::array kQuantiles = { 0.5, 0.95, 0.99 };
/// The estimate of extended P-square is unset below 2 x quantiles + 3 samples.
constexpr std::size_t kMinSamplesForQuantiles = 2 * kQuantiles.size() + 3;

using accumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::max,
                                  acc::tag::extended_p_square_quantile>>;

struct histogram
{
  accumulator values{ acc::extended_p_square_probabilities = kQuantiles };
  std::array<std::uint64_t, kBucketBounds.size()> buckets{};
};

template<typename Value>
struct family
{
  std::map<metric_labels, Value> sets;

  Value& Find(const metric_labels& aLabels)
  {
    const auto found = sets.find(aLabels);
    if (found != sets.end()) {
      return found->second;
    }
    if (sets.size() < kMaxLabelSets) {
      return sets[aLabels];
    }
    metric_labels other = aLabels;
    for (auto& label : other) {
      label.second = "other";
    }
    return sets[other];
  }
};

template<typename Value>
using families = std::map<std::string, family<Value>, std::less<>>;

template<typename Value>
Value&
FindValue(families<Value>& aFamilies,
          std::string_view aName,
          const metric_labels& aLabels)
{
  auto found = aFamilies.find(aName);
  if (found == aFamilies.end()) {
    found = aFamilies.emplace(std::string(aName), family<Value>{}).first;
  }
  return found->second.Find(aLabels);
}

std::string
FormatNumber(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  if (std::isinf(aValue)) {
    return aValue > 0 ? "+Inf" : "-Inf";
  }
  std::array<char, 32> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aValue).ptr;
  return { text.data(), end };
}

std::string
EscapeLabelValue(const std::string& aText)
{
  std::string text;
  for (const char character : aText) {
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    if (character == '\n') {
      text += "\\n";
    } else {
      text += character;
    }
  }
  return text;
}

std::string
FormatLabels(const metric_labels& aLabels,
             const std::string& aName = "",
             const std::string& aValue = "")
{
  std::string text;
  const auto add = [&](const std::string& aKey, const std::string& aText) {
    text += (text.empty() ? "{" : ",") + aKey + "=\"" +
            EscapeLabelValue(aText) + "\"";
  };
  for (const auto& [name, value] : aLabels) {
    add(name, value);
  }
  if (!aName.empty()) {
    add(aName, aValue);
  }
  return text.empty() ? text : text + "}";
}

void
ExportValues(std::string& aText,
             const families<double>& aFamilies,
             const char* aType)
{
  for (const auto& [name, values] : aFamilies) {
    aText += "# TYPE " + name + " " + aType + "\n";
    for (const auto& [labels, value] : values.sets) {
      aText += name + FormatLabels(labels) + " " + FormatNumber(value) + "\n";
    }
  }
}

void
ExportBuckets(std::string& aText,
              const std::string& aName,
              const metric_labels& aLabels,
              const histogram& aHistogram)
{
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
    total += aHistogram.buckets[i];
    aText += aName + "_bucket" +
             FormatLabels(aLabels, "le", FormatNumber(kBucketBounds[i])) + " " +
             std::to_string(total) + "\n";
  }
  const std::string count = std::to_string(acc::count(aHistogram.values));
  aText += aName + "_bucket" + FormatLabels(aLabels, "le", "+Inf") + " " +
           count + "\n";
  aText += aName + "_sum" + FormatLabels(aLabels) + " " +
           FormatNumber(acc::sum(aHistogram.values)) + "\n";
  aText += aName + "_count" + FormatLabels(aLabels) + " " + count + "\n";
}

void
ExportQuantiles(std::string& aText,
                const std::string& aName,
                const metric_labels& aLabels,
                const histogram& aHistogram)
{
  const auto line = [&](double aQuantile, double aValue) {
    aText += aName + "_quantile" +
             FormatLabels(aLabels, "quantile", FormatNumber(aQuantile)) + " " +
             FormatNumber(aValue) + "\n";
  };
  if (acc::count(aHistogram.values) >= kMinSamplesForQuantiles) {
    for (const double quantile : kQuantiles) {
      line(
        quantile,
        acc::quantile(aHistogram.values, acc::quantile_probability = quantile));
    }
  }
  line(1.0, acc::max(aHistogram.values));
}

} // namespace

struct metrics_registry::impl
{
  mutable std::mutex mutex;
  families<double> counters;
  families<double> gauges;
  families<histogram> histograms;
};

metrics_registry::metrics_registry()
  : mImpl(std::make_unique<impl>())
{
}

metrics_registry::~metrics_registry() = default;

void
metrics_registry::Count(std::string_view aName,
                        const metric_labels& aLabels,
                        double aAmount)
{
  const std::lock_guard lock(mImpl->mutex);
  FindValue(mImpl->counters, aName, aLabels) += aAmount;
}

void
metrics_registry::SetGauge(std::string_view aName,
                           const metric_labels& aLabels,
                           double aValue)
{
  const std::lock_guard lock(mImpl->mutex);
  FindValue(mImpl->gauges, aName, aLabels) = aValue;
}

void
metrics_registry::Observe(std::string_view aName,
                          const metric_labels& aLabels,
                          double aValue)
{
  if (!std::isfinite(aValue)) {
    return;
  }
  const std::lock_guard lock(mImpl->mutex);
  histogram& values = FindValue(mImpl->histograms, aName, aLabels);
  values.values(aValue);
  const auto bucket =
    std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), aValue);
  if (bucket != kBucketBounds.end()) {
    ++values.buckets[static_cast<std::size_t>(bucket - kBucketBounds.begin())];
  }
}

std::string
metrics_registry::Export() const
{
  const std::lock_guard lock(mImpl->mutex);
  std::string text;
  ExportValues(text, mImpl->counters, "counter");
  ExportValues(text, mImpl->gauges, "gauge");
  for (const auto& [name, values] : mImpl->histograms) {
    text += "# TYPE " + name + " histogram\n";
    for (const auto& [labels, value] : values.sets) {
      ExportBuckets(text, name, labels, value);
    }
    // The text format allows no quantiles in a histogram, so they form their
    // own family.
    text += "# TYPE " + name + "_quantile gauge\n";
    for (const auto& [labels, value] : values.sets) {
      ExportQuantiles(text, name, labels, value);
    }
  }
  return text;
}

} // namespace arbutusferry
