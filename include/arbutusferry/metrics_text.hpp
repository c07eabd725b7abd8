#pragma once

#include "arbutusferry/error.hpp"
#include "arbutusferry/metrics.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusferry {

/// Histogram read from the Prometheus text format.
struct metric_histogram
{
  std::string name;
  metric_labels labels;
  /// Upper bound and number of observations in the bucket itself (not
  /// cumulative), in order of bound; the last bound is infinite.
  std::vector<std::pair<double, std::int64_t>> buckets;
  double sum = 0;
  std::int64_t count = 0;
};

/// Parses the histograms of a text in the Prometheus format; skips other
/// metrics.
/// @param aPeer Peer the text came from, for errors.
[[nodiscard]] result<std::vector<metric_histogram>>
ReadHistograms(std::string_view aText, const std::string& aPeer);

/// Estimates a quantile by linear interpolation within a bucket.
/// @param aQuantile From 0 to 1.
/// @return The estimate; the highest finite bound if it lies above that.
[[nodiscard]] double
EstimateQuantile(const metric_histogram& aHistogram, double aQuantile);

} // namespace arbutusferry
