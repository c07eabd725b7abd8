#pragma once

#include "arbutusferry/time.hpp"
#include "placement/length_estimate.hpp"

#include <map>
#include <string>

namespace arbutusferry::node {

/// What a leader has seen of runs in its term: lengths of items by route, and
/// the time that a sampler takes to read a prompt. Kept in memory only; a new
/// leader learns it from the first completed items.
class run_history
{
public:
  void NoteCompleted(const std::string& aRoute,
                     std::int64_t aHint,
                     std::size_t aEvents)
  {
    mLengths[aRoute].Note(aHint, aEvents);
  }
  /// Adds the time from the start of an item's first run to its first event.
  void NoteFirstEvent(duration aTime);
  [[nodiscard]] const length_estimate& Lengths(const std::string& aRoute) const;
  [[nodiscard]] double FirstEventMs() const noexcept { return mFirstEventMs; }

private:
  /// Until runs were seen: half of the shortest silence after which a run is
  /// moved.
  static constexpr double kDefaultFirstEventMs = 200.0;

  std::map<std::string, length_estimate> mLengths;
  double mFirstEventMs = kDefaultFirstEventMs;
};

} // namespace arbutusferry::node
