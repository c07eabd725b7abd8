#include "arbutusferry/node/transfer_watch.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// A transfer that moves fewer bytes in a window is stalled.
constexpr std::size_t kMinBytesPerWindow = 256;

} // namespace

void
transfer_watch::Restart(time_point aNow) noexcept
{
  mWindowStart = aNow;
  mBytes = 0;
}

bool
transfer_watch::Stalled(duration aWindow,
                        time_point aNow,
                        std::size_t aMinBytes) noexcept
{
  if (aNow - mWindowStart < aWindow) {
    return false;
  }
  const bool stalled = mBytes < std::max(aMinBytes, kMinBytesPerWindow);
  Restart(aNow);
  return stalled;
}

} // namespace arbutusferry::node
