#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Rate limiter for log lines: a fixed number of lines per event and second.
class log_limiter
{
public:
  struct dropped_lines
  {
    std::string event;
    std::uint64_t lines = 0;
  };

  /// @param aLinesPerSecond Maximum lines per second of one event.
  explicit log_limiter(int aLinesPerSecond)
    : mLinesPerSecond(aLinesPerSecond)
  {
  }
  /// @return Whether a line of the event may be written now; counts it as
  /// dropped if not.
  [[nodiscard]] bool Allow(std::string_view aEvent, time_point aNow);
  /// Counts a line that could not be written.
  void NoteDropped(std::string_view aEvent);
  /// @return Lines dropped since the last call that returned any, by event; at
  /// most once a second.
  [[nodiscard]] std::vector<dropped_lines> TakeDropped(time_point aNow);

private:
  struct window
  {
    time_point start;
    int lines = 0;
  };
  int mLinesPerSecond;
  std::map<std::string, window, std::less<>> mWindows;
  std::map<std::string, std::uint64_t, std::less<>> mDropped;
  time_point mLastReport;
};

} // namespace arbutusferry
