#pragma once

#include "arbutusferry/node/target_view.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Keeps requests that make targets end away from targets.
class crash_guard
{
public:
  virtual ~crash_guard() = default;
  /// @return How long a request may not be sent to any target; nothing if it
  /// may.
  [[nodiscard]] virtual std::optional<std::chrono::milliseconds> BlockedFor(
    const std::string& aFingerprint) const = 0;
  /// Notes that a connection broke while the target had the request.
  virtual void NoteBroken(const std::string& aFingerprint,
                          const target_entry& aTarget) = 0;
  /// Notes that a target ran the request to its end.
  virtual void NoteServed(const std::string& aFingerprint) = 0;
};

} // namespace arbutusferry::node
