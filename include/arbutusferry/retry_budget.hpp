#pragma once

#include "arbutusferry/time.hpp"

#include <array>
#include <cstdint>

namespace arbutusferry {

/// Settings of a retry budget. The budget of a window is
/// `minRetries + ratio * successes`.
struct retry_options
{
  double ratio = 0.1;          ///< Retries per success.
  std::int64_t minRetries = 3; ///< Retries per window without any success.
  duration window = std::chrono::seconds(10);
};

/// Limits retries to a fraction of the successes in a sliding window, so that
/// retries cannot multiply the load on failing targets. Not thread-safe.
class retry_budget
{
public:
  explicit retry_budget(const retry_options& aOptions = {})
    : mOptions(aOptions)
  {
  }

  void OnSuccess(time_point aNow) noexcept;

  /// Takes one retry from the budget.
  /// @return False if the budget is exhausted.
  [[nodiscard]] bool TryTake(time_point aNow) noexcept;

private:
  static constexpr std::size_t kSliceCount = 10;

  struct slice
  {
    std::int64_t index = -1;
    std::int64_t successes = 0;
    std::int64_t retries = 0;
  };

  [[nodiscard]] std::int64_t SliceIndex(time_point aNow) const noexcept;
  slice& SliceAt(std::int64_t aIndex) noexcept;

  retry_options mOptions;
  std::array<slice, kSliceCount> mSlices{};
};

} // namespace arbutusferry
