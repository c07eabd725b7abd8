#pragma once

#include "arbutusferry/time.hpp"

#include <array>
#include <cstdint>

namespace arbutusferry {

/// Settings of a retry budget.
struct retry_options
{
  double ratio = 0.1;     ///< Retries for each recent success.
  std::int64_t floor = 3; ///< Retries in a window without any success.
  duration window = std::chrono::seconds(10);
};

/// Bounds retries by recent successes, so that retries cannot multiply the
/// load on targets that fail.
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
  static constexpr std::size_t kSlices = 10;

  struct slice
  {
    std::int64_t index = -1;
    std::int64_t successes = 0;
    std::int64_t retries = 0;
  };

  [[nodiscard]] std::int64_t Index(time_point aNow) const noexcept;
  slice& Slice(std::int64_t aIndex) noexcept;

  retry_options mOptions;
  std::array<slice, kSlices> mSlices{};
};

} // namespace arbutusferry
