#pragma once

#include "arbutusferry/time.hpp"

#include <optional>

namespace arbutusferry::node {

/// What one response of a target says about the rate of requests that the
/// target takes from all nodes together.
struct limit_notice
{
  bool present = false;
  /// Requests per second; empty if the response names no readable rate.
  std::optional<double> perSecond;
};

/// A rate that a target has named.
struct request_limit
{
  double perSecond = 0;
  time_point namedAt; ///< Arrival of the last response that named it.
};

} // namespace arbutusferry::node
