#pragma once

#include "arbutusferry/document_diff.hpp"
#include "arbutusferry/metrics_text.hpp"

#include <json/value.h>
#include <string>
#include <vector>

namespace arbutusferry {

/// @return A JSON object as text for people: one line a field, a table for a
/// list of objects.
[[nodiscard]] std::string
FormatText(const Json::Value& aValue);

/// @return One line a difference: "+" added, "-" removed, "~" changed.
[[nodiscard]] std::string
FormatChanges(const std::vector<document_change>& aChanges);

/// @return Quantiles and a bar for each bucket that is not empty.
[[nodiscard]] std::string
FormatHistogram(const metric_histogram& aHistogram);

} // namespace arbutusferry
