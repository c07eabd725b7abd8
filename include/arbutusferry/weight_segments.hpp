#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusferry {

/// Half-open range [`from`, `to`) of the tokens of a sample and the version of
/// the weights that generated them.
struct weight_segment
{
  std::int64_t version = 0;
  std::int64_t from = 0;
  std::int64_t to = 0;

  bool operator==(const weight_segment&) const = default;
};

/// Collects the segments of one answer as the engine reports them. Nothing is
/// inferred: a gap, an overlap or a missing version invalidates the answer.
class weight_segments
{
public:
  /// Adds the tokens of one event.
  /// @param aVersion Version that the engine reported; negative if none.
  /// @param aIndex Index of the event's first token.
  /// @param aCount Number of its tokens; 0 is allowed.
  /// @return False if the answer is invalid.
  bool Add(std::int64_t aVersion, std::int64_t aIndex, std::int64_t aCount);

  /// @return True if the segments cover exactly this many tokens, and at least
  /// one.
  [[nodiscard]] bool Covers(std::int64_t aTokens) const noexcept;

  /// @return The oldest version, or -1 without segments.
  [[nodiscard]] std::int64_t Oldest() const noexcept;

  /// @return Number of tokens so far.
  [[nodiscard]] std::int64_t Tokens() const noexcept;

  [[nodiscard]] const std::vector<weight_segment>& List() const noexcept
  {
    return mSegments;
  }

private:
  std::vector<weight_segment> mSegments;
  bool mInvalid = false;
};

/// @return True if a sample is within the staleness bound.
/// @param aOldest Oldest version that generated a token of the sample.
/// @param aTrainer Current version of the trainer.
/// @param aBound Number of versions that a sample may lag behind.
[[nodiscard]] constexpr bool
IsFresh(std::int64_t aOldest,
        std::int64_t aTrainer,
        std::int64_t aBound) noexcept
{
  return aOldest >= 0 && aTrainer - aOldest <= aBound;
}

} // namespace arbutusferry
