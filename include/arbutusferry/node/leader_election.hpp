#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Record of the leadership topic: a claim, a renewal or a release.
struct leader_record
{
  std::string holder;     ///< Process that leads: node and incarnation.
  std::string vm;         ///< Its node.
  socket_address address; ///< Where it takes calls of other nodes.
  std::string zone;
  /// Fencing number of the term: rises with every change of the holder.
  std::uint64_t fence = 0;
  bool released = false; ///< The holder gave the role up.
};

[[nodiscard]] std::string
EncodeRole(const leader_record& aRecord);
/// @return The record, or nothing if the bytes are none.
[[nodiscard]] std::optional<leader_record>
DecodeRole(const std::string& aText);

/// Decides when a process claims, renews and leaves the leadership.
class role_claim
{
public:
  struct timing
  {
    /// Interval of renewals.
    std::chrono::milliseconds renew{ 250 };
    /// Shortest silence of the holder after which others claim the role.
    std::chrono::milliseconds silence{ 900 };
    /// Longest one, where renewals come slowly.
    std::chrono::milliseconds longestSilence{ 3'000 };
    /// Age of the last renewal up to which the holder may act; without a
    /// value, targets and platform check fences themselves.
    std::optional<std::chrono::milliseconds> mayActFor;
    /// How long a process that lost the role stays away.
    std::chrono::milliseconds stayAway{ 4'000 };
    /// Delay of this process's claims, so that not all claim at once.
    std::chrono::milliseconds rank{ 0 };
  };

  role_claim(leader_record aSelf, timing aTiming, time_point aNow);

  /// Takes a record of the topic into account; repeats change nothing.
  void Observe(std::uint64_t aOffset,
               const leader_record& aRecord,
               time_point aNow);
  /// Notes that the topic can be read again after a failure: the holder's
  /// silence counts from here, since it could not renew either.
  void Regained(time_point aNow);
  /// Notes that the process of a holder is known to have ended.
  /// @param aHolder Its name; others are left alone.
  void HolderEnded(const std::string& aHolder, time_point aNow);
  /// @return The silence after which the present holder is replaced: several
  /// of the longest interval that was seen between its renewals.
  [[nodiscard]] duration Silence() const;
  /// @return How long the holder has been silent.
  [[nodiscard]] duration Silent(time_point aNow) const
  {
    return aNow - mLastHeard;
  }
  /// @return Whether to append a claim or renewal now.
  [[nodiscard]] bool ShouldWrite(time_point aNow) const;
  /// @return The record to append on condition that the topic ends at `aEnd`.
  [[nodiscard]] leader_record NextRecord(std::uint64_t aEnd) const;
  /// Notes that a record was sent.
  void Sent(time_point aNow) { mLastSent = aNow; }
  /// Notes that the store confirmed a record sent at `aSentAt`.
  void Confirmed(time_point aSentAt);
  /// Notes that a store, target or the platform refused this process's fence.
  void Superseded(time_point aNow);

  [[nodiscard]] bool Leads() const noexcept { return mLeads; }
  /// @return Whether orders and reports may be sent.
  [[nodiscard]] bool MayAct(time_point aNow) const;
  /// @return Whether no other process can have claimed the role yet, so that
  /// absence from this process's state proves absence.
  [[nodiscard]] bool Certain(time_point aNow) const;
  /// @return Whether this process leads and its last confirmed record is
  /// younger than a limit.
  [[nodiscard]] bool ConfirmedWithin(duration aLimit, time_point aNow) const
  {
    return mLeads && aNow - mConfirmed < aLimit;
  }
  [[nodiscard]] std::uint64_t Fence() const noexcept { return mFence; }
  /// @return The holder as last read; nothing if released or never held.
  [[nodiscard]] const std::optional<leader_record>& Holder() const noexcept
  {
    return mHolder;
  }

private:
  leader_record mSelf;
  timing mTiming;
  std::optional<leader_record> mHolder;
  bool mLeads = false;
  std::uint64_t mFence = 0;
  std::uint64_t mHighestFence = 0;
  std::optional<std::uint64_t> mLastOffset; ///< Of the last record observed.
  /// Longest interval between renewals, which fades with each shorter one.
  duration mInterval{};
  time_point mLastHeard; ///< Last record of the holder.
  time_point mLastSent;  ///< Last own append.
  time_point mConfirmed; ///< Sending time of the last confirmed append.
  time_point mAwayUntil;
};

} // namespace arbutusferry::node
