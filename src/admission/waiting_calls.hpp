#pragma once

#include "admission/call_admission.hpp"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace arbutusferry::node {

/// Limits of the requests that wait at a node.
struct waiting_limits
{
  std::size_t calls = 512;
  /// A small part of the smallest machine's memory (120 MB).
  std::size_t bytes = std::size_t{ 8 } << 20;
};

/// Requests that wait for a target, in the order in which they are to be sent:
/// by priority, those that can be answered within their latency target first,
/// then by deadline and expected work.
class waiting_calls
{
public:
  struct entry
  {
    offered_call call;
    call_admission::decided decided;
    /// Last time at which it can be sent to be answered within its target.
    time_point latestStart;
    /// Whether it has had the right to be sent, and found all targets full.
    bool admitted = false;
  };
  using key = std::tuple<int, bool, time_point, std::size_t, std::uint64_t>;

  explicit waiting_calls(const waiting_limits& aLimits)
    : mLimits(aLimits)
  {
  }

  /// Adds a request.
  /// @return The requests that no longer fit: the last ones in order, which may
  /// include the added one.
  [[nodiscard]] std::vector<entry> Add(entry aEntry, time_point aNow);
  /// Removes a request.
  /// @return It, if it waited.
  std::optional<entry> Remove(std::uint64_t aTicket);
  /// Puts the requests that have become late behind the others of their
  /// priority.
  void Reorder(time_point aNow);
  /// @return How many requests of the same priority and team go before one.
  [[nodiscard]] std::size_t Before(const offered_call& aCall) const;
  /// @return The requests in order.
  [[nodiscard]] const std::map<key, entry>& InOrder() const noexcept
  {
    return mEntries;
  }
  [[nodiscard]] bool Empty() const noexcept { return mEntries.empty(); }

private:
  [[nodiscard]] static key KeyOf(const entry& aEntry, time_point aNow);

  waiting_limits mLimits;
  std::size_t mBytes = 0;
  std::map<key, entry> mEntries;
  std::map<std::uint64_t, key> mKeys; ///< By ticket.
};

} // namespace arbutusferry::node
