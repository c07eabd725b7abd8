#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Record of the leadership topic: a claim, a renewal or a release.
struct leader_record
{
  std::string holder;     ///< Leading process: VM and incarnation.
  std::string vm;         ///< VM on which it runs.
  socket_address address; ///< Where it listens for other nodes.
  std::string zone;
  /// Fencing token of the term; rises with every change of holder.
  std::uint64_t fence = 0;
  bool released = false; ///< The holder gave up leadership.
  /// VMs that led before this one, if that was less than a lease ago.
  std::vector<std::string> ledBefore{};
};

[[nodiscard]] std::string
EncodeLeader(const leader_record& aRecord);
/// @return The record, or nothing if the text is malformed.
[[nodiscard]] std::optional<leader_record>
DecodeLeader(const std::string& aText);

/// Leader election over the shared log, as seen by one process: decides when
/// the process claims, renews and gives up leadership.
class leader_election
{
public:
  struct timing
  {
    std::chrono::milliseconds renewInterval{ 250 };
    /// Shortest silence of the holder after which others claim leadership.
    std::chrono::milliseconds minElectionTimeout{ 900 };
    /// Upper bound of that silence where renewals arrive slowly.
    std::chrono::milliseconds maxElectionTimeout{ 3'000 };
    /// Age of the last renewal up to which the holder may act; unset where
    /// targets and the platform check fencing tokens themselves.
    std::optional<std::chrono::milliseconds> leaseValidity;
    /// Time after the newest record of a holder for which its successor on
    /// another VM doesn't act, since that holder still may: longer than
    /// `leaseValidity`, and 0 where fencing tokens are checked.
    std::chrono::milliseconds leaseWait{ 0 };
    /// Time for which a VM that lost leadership makes no claims.
    std::chrono::milliseconds cooldown{ 4'000 };
    /// Additional delay of this process's claims, so that not all processes
    /// claim at once.
    std::chrono::milliseconds claimDelay{ 0 };
  };

  leader_election(leader_record aSelf, timing aTiming, time_point aNow);

  /// Applies a record of the topic; records that were applied are ignored.
  void Observe(std::uint64_t aOffset,
               const leader_record& aRecord,
               time_point aNow);
  /// Counts the holder's silence from now on, after an outage of the topic in
  /// which the holder could not renew either.
  void ResetSilence(time_point aNow);
  /// Notes that a process has ended, so that no timeout is awaited.
  /// @param aHolder Ignored unless it is the current holder.
  void HolderEnded(const std::string& aHolder, time_point aNow);
  /// @return The silence after which the current holder is replaced: a
  /// multiple of the longest recent interval between its renewals.
  [[nodiscard]] duration ElectionTimeout() const;
  /// @return The time for which the holder counts as silent.
  [[nodiscard]] duration HolderSilence(time_point aNow) const
  {
    return aNow - mSilentSince;
  }
  /// @return Whether to append a claim or renewal now.
  [[nodiscard]] bool ShouldWrite(time_point aNow) const;
  /// @return The record to append on condition that the topic ends at `aEnd`.
  [[nodiscard]] leader_record NextRecord(std::uint64_t aEnd,
                                         time_point aNow) const;
  /// Notes that a record was sent.
  void Sent(time_point aNow) { mLastSent = aNow; }
  /// Notes that the store confirmed a record sent at `aSentAt`.
  void Confirmed(time_point aSentAt);
  /// Ends this process's leadership and starts its cooldown: its fencing token
  /// was refused, another process leads, or it resigns.
  void StepDown(time_point aNow);

  [[nodiscard]] bool Leads() const noexcept { return mLeads; }
  /// @return Whether orders and reports may be sent.
  [[nodiscard]] bool MayAct(time_point aNow) const;
  /// @return Whether this process leads and no other can have claimed
  /// leadership yet, so that absence from its state proves absence.
  [[nodiscard]] bool IsSoleLeader(time_point aNow) const;
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
  /// @return Whether the holder is an earlier process of this VM. It has ended,
  /// since it used the same address, and calls of one VM are those of one
  /// holder: nothing is to be awaited before a claim.
  [[nodiscard]] bool SucceedsHolder() const
  {
    return mHolder && mHolder->vm == mOwnRecord.vm &&
           mHolder->holder != mOwnRecord.holder;
  }

  /// Notes until when the holder of a record may act.
  void NoteLease(const leader_record& aRecord, time_point aNow);

  leader_record mOwnRecord;
  timing mTiming;
  std::optional<leader_record> mHolder;
  leader_record mLastRecord; ///< Newest of the topic; empty before the first.
  time_point mTermSeen;      ///< When the first record of its term was read.
  bool mLeads = false;
  std::uint64_t mFence = 0;
  std::uint64_t mHighestFence = 0;
  std::optional<std::uint64_t> mLastOffset; ///< Of the last record observed.
  /// Longest interval seen between the holder's renewals; decays with each
  /// shorter one.
  duration mObservedRenewInterval{};
  /// Start of the holder's silence: its last record, unless adjusted.
  time_point mSilentSince;
  time_point mLastSent;  ///< Last own append.
  time_point mConfirmed; ///< Sending time of the last confirmed append.
  time_point mNoClaimBefore;
  /// By VM, until when its processes may act that held leadership. Without own
  /// processes: those before this one have ended.
  std::map<std::string, time_point> mLeases;
};

} // namespace arbutusferry::node
