#pragma once

#include "arbutusferry/time.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace arbutusferry::node_soak {

/// What the platform demands of the holders of a duty where nobody checks their
/// fencing tokens: tokens never fall, and no holder acts again within a lease
/// after another one has acted.
class holder_rule
{
public:
  explicit holder_rule(duration aLease)
    : mLease(aLease)
  {
  }

  /// Notes a call or order of a holder.
  /// @return What it violates, if anything.
  [[nodiscard]] std::optional<std::string> Note(const std::string& aHolder,
                                                std::uint64_t aFence,
                                                time_point aNow)
  {
    std::optional<std::string> violated;
    if (aFence < mHighestFence) {
      violated = "fencing token " + std::to_string(aFence) + " after " +
                 std::to_string(mHighestFence);
    }
    mHighestFence = std::max(mHighestFence, aFence);
    if (aHolder != mHolder) {
      if (aHolder == mHolderBefore && aNow - mHolderBeforeActedAt < mLease) {
        violated = aHolder + " acts again within a lease after " + mHolder;
      }
      mHolderBefore = mHolder;
      mHolderBeforeActedAt = mActedAt;
      mHolder = aHolder;
    }
    mActedAt = aNow;
    return violated;
  }

private:
  duration mLease;
  std::uint64_t mHighestFence = 0;
  std::string mHolder;
  time_point mActedAt;
  std::string mHolderBefore;
  time_point mHolderBeforeActedAt;
};

} // namespace arbutusferry::node_soak
