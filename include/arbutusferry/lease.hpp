#pragma once

#include "arbutusferry/log_record.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusferry {

/// Durations that apply to all leases. Every process must use the same values.
struct lease_timing
{
  duration term = std::chrono::seconds(9);  ///< Length of a lease.
  duration guard = std::chrono::seconds(2); ///< Safety margin at its end.
  duration renew = std::chrono::seconds(3); ///< Time between renewals.
};

/// State of one role after its newest valid record.
struct role_state
{
  log_offset newest = kNoOffset; ///< Offset of the newest valid record.
  std::string newestId;          ///< Append id of that record.
  log_offset claim = kNoOffset;  ///< Holder's claim: its fencing token.
  std::string holder;            ///< Empty when the role was released.
  time_point readAt{};           ///< Time at which this process read `newest`.
};

/// State of all roles, folded from the lease records. A record is valid only if
/// it refers to the role's newest valid record; log order alone decides between
/// processes.
class role_table
{
public:
  /// Applies one record; offsets must increase.
  /// @param aReadAt Time after the read that returned the record.
  /// @return False for records of other types and for invalid ones.
  bool Apply(log_offset aOffset,
             std::string_view aId,
             const log_record& aRecord,
             time_point aReadAt);

  /// @return State of a role; the default state if it has no records.
  [[nodiscard]] role_state Find(std::string_view aRole) const;
  [[nodiscard]] const std::map<std::string, role_state, std::less<>>& Roles()
    const noexcept
  {
    return mRoles;
  }

  /// @return The table as JSON, for checkpoints.
  [[nodiscard]] Json::Value Save() const;
  /// Replaces the table by a saved one.
  /// @param aReadAt Time at which it was read; leases are measured from it.
  [[nodiscard]] result<void> Restore(const Json::Value& aState,
                                     time_point aReadAt);

private:
  std::map<std::string, role_state, std::less<>> mRoles;
};

/// A lease record to append.
struct lease_append
{
  std::string id;
  log_record record;
};

/// State machine of one holder or contender of one role. It neither reads nor
/// writes the log: the owner appends what `Next` returns and passes the folded
/// state of the role to `Observe`.
class lease_session
{
public:
  /// @param aHolder Name of the process, unique for each of its starts.
  lease_session(std::string aRole,
                std::string aHolder,
                const lease_timing& aTiming);

  /// Updates the session with the folded state of the role. A lease starts when
  /// the session's own record is seen here as the newest valid one, and is
  /// measured from the time before that record was sent.
  void Observe(const role_state& aState);

  /// @param aId Unique id for a record that may be appended.
  /// @return Claim or renewal to append now, if any. The caller must send it
  /// right away or not at all.
  [[nodiscard]] std::optional<lease_append> Next(std::string aId,
                                                 time_point aNow);

  /// Gives up the lease. The session no longer holds the role, whether or not
  /// the record reaches the log.
  /// @return Release to append, if the lease was held.
  [[nodiscard]] std::optional<lease_append> Release(std::string aId);

  /// @return True while the process may act in the role: the lease was read
  /// back from the log and more than the guard time remains.
  [[nodiscard]] bool Holds(time_point aNow) const noexcept;

  /// @return Offset of this session's claim, or `kNoOffset` without one.
  [[nodiscard]] log_offset FencingToken() const noexcept;

private:
  std::string mRole;
  std::string mHolder;
  lease_timing mTiming;
  role_state mState;
  /// Send times by append id.
  std::map<std::string, time_point, std::less<>> mAttemptTimes;
  std::optional<time_point> mLeaseStart;  ///< Start of the lease read back.
  std::optional<time_point> mLastAttempt; ///< Send time of the last attempt.
};

} // namespace arbutusferry
