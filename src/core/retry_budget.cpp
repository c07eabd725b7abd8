#include "arbutusferry/retry_budget.hpp"

namespace arbutusferry {

std::int64_t
retry_budget::SliceIndex(time_point aNow) const noexcept
{
  return aNow.time_since_epoch() /
         (mOptions.window / static_cast<std::int64_t>(kSliceCount));
}

retry_budget::slice&
retry_budget::SliceAt(std::int64_t aIndex) noexcept
{
  auto& slice = mSlices[static_cast<std::size_t>(aIndex) % kSliceCount];
  if (slice.index != aIndex) {
    slice = { aIndex, 0, 0 };
  }
  return slice;
}

void
retry_budget::OnSuccess(time_point aNow) noexcept
{
  ++SliceAt(SliceIndex(aNow)).successes;
}

bool
retry_budget::TryTake(time_point aNow) noexcept
{
  const auto index = SliceIndex(aNow);
  std::int64_t successes = 0;
  std::int64_t retries = 0;
  for (const auto& slice : mSlices) {
    if (slice.index > index - static_cast<std::int64_t>(kSliceCount)) {
      successes += slice.successes;
      retries += slice.retries;
    }
  }
  const double allowed = static_cast<double>(mOptions.minRetries) +
                         mOptions.ratio * static_cast<double>(successes);
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  ++SliceAt(index).retries;
  return true;
}

} // namespace arbutusferry
