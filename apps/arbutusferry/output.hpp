#pragma once

#include "arbutusferry/document_diff.hpp"
#include "arbutusferry/metrics_text.hpp"

#include <json/value.h>
#include <string>
#include <vector>

namespace arbutusferry {

/// @return A JSON object as readable text: one line per field, and a table for
/// each list of objects.
[[nodiscard]] std::string
FormatText(const Json::Value& aValue);

/// @return One line per difference: "+" added, "-" removed, "~" changed.
[[nodiscard]] std::string
FormatChanges(const std::vector<document_change>& aChanges);

/// @return Count, mean, quantiles and a bar for each non-empty bucket.
[[nodiscard]] std::string
FormatHistogram(const metric_histogram& aHistogram);

} // namespace arbutusferry
