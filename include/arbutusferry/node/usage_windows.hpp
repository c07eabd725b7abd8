#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Requests that began in a window, by team.
using team_counts = std::map<std::string, std::int64_t>;

/// Counts of one process in its latest windows, by window number.
using window_counts = std::map<std::int64_t, team_counts>;

[[nodiscard]] std::string
EncodeUsage(const window_counts& aWindows);
[[nodiscard]] std::optional<window_counts>
DecodeUsage(const std::string& aText);
[[nodiscard]] std::string
EncodeCounts(const team_counts& aCounts);
[[nodiscard]] std::optional<team_counts>
DecodeCounts(const std::string& aText);

/// Counts the requests of this process by window. Its newest saved record holds
/// all windows that may still be reported.
class usage_meter
{
public:
  explicit usage_meter(std::int64_t aWindowMilliseconds)
    : mWindowMilliseconds(aWindowMilliseconds)
  {
  }
  void Count(const std::string& aTeam, std::int64_t aUnixMilliseconds);
  /// @return Whether counts changed since the last snapshot.
  [[nodiscard]] bool Changed() const noexcept { return mChanged; }
  /// @return The counts to save; they count as unchanged from now on.
  [[nodiscard]] const window_counts& Snapshot();
  /// Notes that the last snapshot could not be saved.
  void MarkChanged() { mChanged = true; }

private:
  std::int64_t mWindowMilliseconds;
  window_counts mWindows;
  bool mChanged = false;
};

/// Sums the counts of all processes.
class usage_totals
{
public:
  void Add(const std::string& aProcess, const window_counts& aWindows);
  [[nodiscard]] team_counts Total(std::int64_t aWindow) const;
  void ExpireBefore(std::int64_t aWindow);

private:
  std::map<std::int64_t, std::map<std::string, team_counts>> mWindows;
};

} // namespace arbutusferry::node
