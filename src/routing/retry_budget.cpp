#include "arbutusferry/retry_budget.hpp"

namespace arbutusferry {

std::int64_t
retry_budget::Index(time_point aNow) const noexcept
{
  return aNow.time_since_epoch() /
         (mOptions.window / static_cast<std::int64_t>(kSlices));
}

retry_budget::slice&
retry_budget::Slice(std::int64_t aIndex) noexcept
{
  auto& slice = mSlices[static_cast<std::size_t>(aIndex) % kSlices];
  if (slice.index != aIndex) {
    slice = { aIndex, 0, 0 };
  }
  return slice;
}

void
retry_budget::OnSuccess(time_point aNow) noexcept
{
  ++Slice(Index(aNow)).successes;
}

bool
retry_budget::TryTake(time_point aNow) noexcept
{
  const auto index = Index(aNow);
  std::int64_t successes = 0;
  std::int64_t retries = 0;
  for (const auto& slice : mSlices) {
    if (slice.index > index - static_cast<std::int64_t>(kSlices)) {
      successes += slice.successes;
      retries += slice.retries;
    }
  }
  const double allowed = static_cast<double>(mOptions.floor) +
                         mOptions.ratio * static_cast<double>(successes);
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  ++Slice(index).retries;
  return true;
}

} // namespace arbutusferry
