#pragma once

#include "arbutusferry/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Set of the samples of one step that a trainer received. The trainer keeps
/// it as text; no process of the system does.
class delivery_cursor
{
public:
  /// Most samples of one step.
  static constexpr std::size_t kMaxSamples = 65'536;

  /// An empty set.
  /// @param aStepHash Hash that names the step.
  /// @param aSamples Number of samples of the step.
  delivery_cursor(std::uint64_t aStepHash, std::size_t aSamples);

  /// Reads a cursor.
  /// @return `InvalidArgument` if the text is damaged or belongs to another
  /// step.
  [[nodiscard]] static result<delivery_cursor> Decode(std::string_view aText,
                                                      std::uint64_t aStepHash,
                                                      std::size_t aSamples);

  /// @return Base64url text with hash, set and checksum.
  [[nodiscard]] std::string Encode() const;

  /// Adds a sample.
  /// @return False if it was in the set.
  bool Add(std::size_t aSample);

  [[nodiscard]] bool Contains(std::size_t aSample) const;
  /// @return Samples in the set.
  [[nodiscard]] std::size_t Count() const noexcept { return mCount; }
  /// @return Samples of the step.
  [[nodiscard]] std::size_t Samples() const noexcept { return mSamples; }

private:
  std::uint64_t mStepHash;
  std::size_t mSamples;
  std::size_t mCount = 0;
  std::vector<std::uint8_t> mBits;
};

} // namespace arbutusferry
