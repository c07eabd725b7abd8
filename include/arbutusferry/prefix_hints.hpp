#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Change of a target's prefix cache. Events may arrive late or be lost.
struct cache_event
{
  std::int64_t seq = 0;
  std::vector<std::uint64_t> added; ///< Block hashes.
  std::vector<std::uint64_t> removed;
};

/// Approximate contents of the targets' prefix caches. Wrong hints cost time
/// but never correctness.
class prefix_hints
{
public:
  /// @param aMaxPerTarget Blocks kept per target; beyond it the least recently
  /// used block is evicted.
  explicit prefix_hints(std::size_t aMaxPerTarget = 512);
  prefix_hints(prefix_hints&&) noexcept;
  prefix_hints& operator=(prefix_hints&&) noexcept;
  ~prefix_hints();

  /// Applies events, which must be sorted by sequence number. Repeated events
  /// are ignored; a gap discards all earlier hints of the target.
  void Apply(const std::string& aTarget,
             const std::vector<cache_event>& aEvents);

  /// Adds the blocks of work that was sent to a target, ahead of the target's
  /// own events.
  void AddExpected(const std::string& aTarget,
                   const std::vector<std::uint64_t>& aPrefix);

  void Erase(const std::string& aTarget);

  /// @return Number of leading blocks of the prefix that the target holds.
  [[nodiscard]] std::size_t Hits(
    const std::string& aTarget,
    const std::vector<std::uint64_t>& aPrefix) const;

  /// @return Number of blocks kept for a target.
  [[nodiscard]] std::size_t Size(const std::string& aTarget) const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry
