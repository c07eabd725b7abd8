#pragma once

#include <cstddef>
#include <cstdint>

namespace arbutusferry::node {

/// Estimates how many events an item has, from the caller's hint in tokens and
/// the lengths of completed items.
class length_estimate
{
public:
  /// Adds the length of a completed item.
  /// @param aHint Its length hint in tokens; 0 if it had none.
  void Note(std::int64_t aHint, std::size_t aEvents);
  /// @return Whether enough items have completed for absolute estimates.
  [[nodiscard]] bool Known() const noexcept;
  /// @return Events of an item in all.
  /// @param aTypicalHint Mean hint of the items of its batch, which stands for
  /// a typical length while no lengths are known.
  [[nodiscard]] double Events(std::int64_t aHint, double aTypicalHint) const;

  /// @return Mean length of items relative to the estimate of `Events`: the
  /// heavy tail makes the work of many items more than the median says.
  [[nodiscard]] double MeanFactor() const noexcept { return mMeanFactor; }

private:
  double mEventsPerToken = 0.0; ///< Median over completed items with a hint.
  double mEvents = 0.0;         ///< Median over all completed items.
  double mMeanFactor = 1.0;
  int mHinted = 0;
  int mCompleted = 0;
};

/// @return Events that an item probably still needs.
/// @param aExpected Events it was expected to have in all.
[[nodiscard]] double
RemainingEvents(double aExpected, std::size_t aGenerated);

} // namespace arbutusferry::node
