#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Decides which log lines are written: so many of each event in a second.
class log_limiter
{
public:
  struct dropped_lines
  {
    std::string event;
    std::uint64_t lines = 0;
  };

  /// @param aLinesPerSecond Lines of one event.
  explicit log_limiter(int aLinesPerSecond)
    : mLinesPerSecond(aLinesPerSecond)
  {
  }
  /// @return Whether a line of an event may be written now.
  [[nodiscard]] bool Allow(std::string_view aEvent, time_point aNow);
  /// Counts a line that could not be written.
  void NoteDropped(std::string_view aEvent);
  /// @return What was dropped, once a second at most; it is forgotten then.
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
