#pragma once

#include "control/duty.hpp"
#include "control/node_state.hpp"

#include <set>

namespace arbutusferry {

/// Claims, renews and releases the leases for the roles of one process.
/// Thread-safe: the duty that appends lease records and the duties that act in
/// the roles share it.
class role_keeper
{
public:
  role_keeper(node_state& aState, std::shared_ptr<platform_log> aLog);

  /// @return True while this process may act in the role.
  [[nodiscard]] bool Holds(const std::string& aRole) const;
  [[nodiscard]] bool HoldsAny() const;
  /// @return Fencing token of the role, or `kNoOffset`.
  [[nodiscard]] log_offset FencingToken(const std::string& aRole) const;
  /// @return Check to run before the last byte of a fenced request is sent. It
  /// also fails if the lease was lost and claimed again in between.
  [[nodiscard]] send_check Check(const std::string& aRole) const;

  /// Updates the leases from the roles read from the log, then appends the
  /// records that are due.
  void Step();
  /// Appends release records for all held roles.
  void ReleaseAll();

private:
  [[nodiscard]] std::vector<lease_append> DueAppends();
  /// @return False if the append failed.
  bool Append(const lease_append& aAppend);
  [[nodiscard]] std::string NextRecordId();

  node_state& mState;
  std::shared_ptr<platform_log> mLog;
  mutable std::mutex mMutex;
  std::map<std::string, lease_session> mSessions;
  std::set<std::string> mLoggedAsHeld; ///< Roles logged as held.
  std::int64_t mLastRecordNumber = 0;
};

/// @return Role whose holder orders, drains and stops the targets of a zone.
[[nodiscard]] std::string
OrdersRole(const std::string& aZone);
inline constexpr const char* kUsageRole = "usage";
inline constexpr const char* kCheckpointRole = "checkpoint";

/// Duty that renews and claims leases.
[[nodiscard]] std::unique_ptr<duty>
MakeRoleDuty(std::shared_ptr<role_keeper> aKeeper);

/// Duty of the holder of the checkpoint role: appends checkpoints to the log.
[[nodiscard]] std::unique_ptr<duty>
MakeCheckpointDuty(node_state& aState,
                   std::shared_ptr<role_keeper> aKeeper,
                   std::shared_ptr<platform_log> aLog);

} // namespace arbutusferry
