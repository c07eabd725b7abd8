#pragma once

#include "arbutusferry/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Set of the samples of one step that a trainer has received. Only the trainer
/// stores it, in encoded form; the service keeps no copy.
class delivery_cursor
{
public:
  /// Maximum number of samples of one step.
  static constexpr std::size_t kMaxSamples = 65'536;

  /// Creates an empty set.
  /// @param aStepHash Hash that identifies the step, see `StepHash`.
  /// @param aSamples Number of samples of the step.
  delivery_cursor(std::uint64_t aStepHash, std::size_t aSamples);

  /// Decodes a cursor.
  /// @return `InvalidArgument` if the text is malformed, fails its checksum or
  /// belongs to another step.
  [[nodiscard]] static result<delivery_cursor> Decode(std::string_view aText,
                                                      std::uint64_t aStepHash,
                                                      std::size_t aSamples);

  /// @return Base64url text of step hash, set and checksum.
  [[nodiscard]] std::string Encode() const;

  /// Adds a sample.
  /// @return False if it is out of range or already in the set.
  bool Add(std::size_t aSample);

  [[nodiscard]] bool Contains(std::size_t aSample) const;
  /// @return Number of samples in the set.
  [[nodiscard]] std::size_t Count() const noexcept { return mCount; }
  /// @return Number of samples of the step.
  [[nodiscard]] std::size_t Samples() const noexcept { return mSamples; }

private:
  std::uint64_t mStepHash;
  std::size_t mSamples;
  std::size_t mCount = 0;
  std::vector<std::uint8_t> mBits;
};

} // namespace arbutusferry
