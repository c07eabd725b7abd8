#pragma once

#include "arbutusferry/time.hpp"

#include <cstddef>

namespace arbutusferry::node {

/// Tells a stalled transfer of bytes from a slow one: it is stalled when it
/// moved next to nothing for a whole window of time. A byte now and then
/// doesn't keep it alive.
class transfer_watch
{
public:
  /// Begins to watch a transfer.
  void Restart(time_point aNow) noexcept;
  /// Counts bytes that were moved.
  void Note(std::size_t aBytes) noexcept { mBytes += aBytes; }
  /// @param aWindow Time in which a sound transfer moves some hundred bytes.
  /// @param aMinBytes Bytes that it moves at least, if more than that.
  /// @return Whether the transfer is stalled. To be asked several times in each
  /// window.
  [[nodiscard]] bool Stalled(duration aWindow,
                             time_point aNow,
                             std::size_t aMinBytes = 0) noexcept;

private:
  time_point mWindowStart;
  std::size_t mBytes = 0; ///< Moved since the start of the window.
};

} // namespace arbutusferry::node
