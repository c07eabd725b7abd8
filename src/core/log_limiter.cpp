#include "arbutusferry/log_limiter.hpp"

namespace arbutusferry {

namespace {

constexpr std::chrono::seconds kWindow{ 1 };

} // namespace

bool
log_limiter::Allow(std::string_view aEvent, time_point aNow)
{
  auto found = mWindows.find(aEvent);
  if (found == mWindows.end()) {
    found = mWindows.emplace(std::string(aEvent), window{ aNow, 0 }).first;
  }
  window& current = found->second;
  if (aNow - current.start >= kWindow) {
    current = { aNow, 0 };
  }
  if (current.lines >= mLinesPerSecond) {
    NoteDropped(aEvent);
    return false;
  }
  ++current.lines;
  return true;
}

void
log_limiter::NoteDropped(std::string_view aEvent)
{
  const auto found = mDropped.find(aEvent);
  if (found == mDropped.end()) {
    mDropped.emplace(std::string(aEvent), 1);
  } else {
    ++found->second;
  }
}

std::vector<log_limiter::dropped_lines>
log_limiter::TakeDropped(time_point aNow)
{
  std::vector<dropped_lines> dropped;
  if (mDropped.empty() || aNow - mLastReport < kWindow) {
    return dropped;
  }
  mLastReport = aNow;
  for (const auto& [event, lines] : mDropped) {
    dropped.push_back({ event, lines });
  }
  mDropped.clear();
  return dropped;
}

} // namespace arbutusferry
