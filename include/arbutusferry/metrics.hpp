#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Label names and values, in order of name.
using metric_labels = std::map<std::string, std::string>;

/// Counters, gauges and histograms with labels. Thread-safe. The number of
/// label sets of one name is bounded; further sets are counted together under
/// the label value "other".
class metrics_registry
{
public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Adds to a counter.
  void Count(std::string_view aName,
             const metric_labels& aLabels,
             double aAmount = 1.0);
  void SetGauge(std::string_view aName,
                const metric_labels& aLabels,
                double aValue);
  /// Adds one observation to a histogram, which has a count, sum, maximum,
  /// quantiles (Boost.Accumulators) and buckets with fixed bounds in seconds.
  void Observe(std::string_view aName,
               const metric_labels& aLabels,
               double aValue);

  /// @return All metrics in the Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string Export() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry
