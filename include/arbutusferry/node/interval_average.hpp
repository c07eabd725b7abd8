#pragma once

#include "arbutusferry/time.hpp"

#include <optional>

namespace arbutusferry::node {

/// Mean time between the events of a sampler's runs, over about the last
/// second. Intervals count by their length, so that events which are read
/// together, after their reader was busy, don't change the mean.
class interval_average
{
public:
  /// Adds the time between two events of one run.
  void Note(duration aInterval, time_point aNow);
  /// @return The mean in milliseconds; nothing while too few intervals or none
  /// recently were noted.
  [[nodiscard]] std::optional<double> Milliseconds(time_point aNow) const;

private:
  double mTotalMs = 0.0;
  double mCount = 0.0;
  int mIntervals = 0; ///< Noted since the mean was empty.
  time_point mFirst;  ///< First interval since the mean was empty.
  time_point mLast;
};

} // namespace arbutusferry::node
