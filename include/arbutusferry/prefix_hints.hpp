#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Change of a target's prefix cache. Events arrive late and may be missing.
struct cache_event
{
  std::int64_t seq = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

/// What is believed to be in the prefix caches of the targets. Wrong hints
/// cost only time, never correctness.
class prefix_hints
{
public:
  /// @param aMaxPerTarget Blocks kept per target; the least recently used one
  /// is dropped first.
  explicit prefix_hints(std::size_t aMaxPerTarget = 512);
  prefix_hints(prefix_hints&&) noexcept;
  prefix_hints& operator=(prefix_hints&&) noexcept;
  ~prefix_hints();

  /// Applies events in order of their sequence numbers. Repeated events are
  /// ignored; a gap discards all earlier hints of the target.
  void Apply(const std::string& aTarget,
             const std::vector<cache_event>& aEvents);

  /// Notes blocks that a target will hold because work was sent to it, before
  /// its event arrives.
  void Expect(const std::string& aTarget,
              const std::vector<std::uint64_t>& aPrefix);

  /// Removes a target.
  void Erase(const std::string& aTarget);

  /// @return Leading blocks of the prefix that the target holds.
  [[nodiscard]] std::size_t Hits(
    const std::string& aTarget,
    const std::vector<std::uint64_t>& aPrefix) const;

  /// @return Blocks kept for a target.
  [[nodiscard]] std::size_t Size(const std::string& aTarget) const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry
