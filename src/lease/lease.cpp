#include "arbutusferry/lease.hpp"

#include "arbutusferry/json.hpp"
#include "environment/json_support.hpp"

namespace arbutusferry {

namespace {

/// An unanswered attempt is repeated after `renew` divided by this number.
constexpr int kAttemptsPerRenewal = 3;

} // namespace

bool
role_table::Apply(log_offset aOffset,
                  std::string_view aId,
                  const log_record& aRecord,
                  time_point aReadAt)
{
  // The role's state if the record refers to its newest valid record.
  const auto findPredecessor = [&](const auto& aLease) -> role_state* {
    const auto found = mRoles.find(aLease.role);
    const log_offset known =
      found == mRoles.end() ? kNoOffset : found->second.newest;
    if (aLease.previous != known || aOffset <= known) {
      return nullptr;
    }
    return &mRoles[aLease.role];
  };
  const auto accept = [&](role_state& aState) {
    aState.newest = aOffset;
    aState.newestId = std::string(aId);
    aState.readAt = aReadAt;
    return true;
  };
  if (const auto* claimed = std::get_if<lease_claimed>(&aRecord)) {
    role_state* state = findPredecessor(*claimed);
    if (state == nullptr) {
      return false;
    }
    state->holder = claimed->holder;
    state->claim = aOffset;
    return accept(*state);
  }
  if (const auto* renewed = std::get_if<lease_renewed>(&aRecord)) {
    role_state* state = findPredecessor(*renewed);
    return state != nullptr && state->holder == renewed->holder &&
           !state->holder.empty() && accept(*state);
  }
  if (const auto* released = std::get_if<lease_released>(&aRecord)) {
    role_state* state = findPredecessor(*released);
    if (state == nullptr || state->holder != released->holder ||
        state->holder.empty()) {
      return false;
    }
    state->holder.clear();
    state->claim = kNoOffset;
    return accept(*state);
  }
  return false;
}

role_state
role_table::Find(std::string_view aRole) const
{
  const auto found = mRoles.find(aRole);
  return found == mRoles.end() ? role_state{} : found->second;
}

Json::Value
role_table::Save() const
{
  Json::Value saved(Json::objectValue);
  for (const auto& [role, state] : mRoles) {
    Json::Value item(Json::objectValue);
    item["newest"] = Json::Int64(state.newest);
    item["newest_id"] = state.newestId;
    item["claim"] = Json::Int64(state.claim);
    item["holder"] = state.holder;
    saved[role] = std::move(item);
  }
  return saved;
}

result<void>
role_table::Restore(const Json::Value& aState, time_point aReadAt)
{
  if (!aState.isObject()) {
    return MakeError(error_code::InvalidArgument,
                     "restore roles",
                     "checkpoint",
                     "roles: expected an object");
  }
  std::map<std::string, role_state, std::less<>> roles;
  constexpr std::int64_t kLargest = std::int64_t{ 1 } << 62;
  for (const std::string& role : aState.getMemberNames()) {
    object_reader reader(aState[role], "checkpoint", "roles." + role);
    role_state state;
    state.newest = reader.Integer("newest", 0, kLargest);
    state.newestId = reader.String("newest_id", std::string());
    state.claim = reader.Integer("claim", kNoOffset, kLargest);
    state.holder = reader.String("holder", std::string());
    state.readAt = aReadAt;
    ARBUTUSFERRY_CHECK(reader.Finish());
    roles[role] = std::move(state);
  }
  mRoles = std::move(roles);
  return {};
}

lease_session::lease_session(std::string aRole,
                             std::string aHolder,
                             const lease_timing& aTiming)
  : mRole(std::move(aRole))
  , mHolder(std::move(aHolder))
  , mTiming(aTiming)
{
}

void
lease_session::Observe(const role_state& aState)
{
  if (aState.newest <= mState.newest) {
    return;
  }
  mState = aState;
  if (mState.holder != mHolder) {
    mLeaseStart.reset();
    mAttemptTimes.clear();
    mLastAttempt.reset();
    return;
  }
  // The record is matched by its append id: a repeated renewal must not be
  // mistaken for an earlier one whose answer was lost, or the lease would be
  // measured from too late a time.
  const auto attempt = mAttemptTimes.find(mState.newestId);
  if (attempt == mAttemptTimes.end()) {
    return;
  }
  mLeaseStart = attempt->second;
  mAttemptTimes.clear();
  mLastAttempt.reset();
}

std::optional<lease_append>
lease_session::Next(std::string aId, time_point aNow)
{
  if (mLastAttempt &&
      aNow - *mLastAttempt < mTiming.renew / kAttemptsPerRenewal) {
    return std::nullopt;
  }
  lease_append next;
  if (mState.holder == mHolder && mLeaseStart) {
    if (aNow - *mLeaseStart < mTiming.renew) {
      return std::nullopt;
    }
    next.record = lease_renewed{ mRole, mHolder, mState.newest };
  } else {
    const bool unclaimed = mState.newest == kNoOffset || mState.holder.empty();
    if (!unclaimed && aNow - mState.readAt < mTiming.term + mTiming.guard) {
      return std::nullopt;
    }
    next.record = lease_claimed{ mRole, mHolder, mState.newest };
  }
  next.id = std::move(aId);
  // An attempt that was not read back within a term can no longer start a
  // lease.
  std::erase_if(mAttemptTimes, [&](const auto& aAttempt) {
    return aNow - aAttempt.second > mTiming.term;
  });
  mAttemptTimes[next.id] = aNow;
  mLastAttempt = aNow;
  return next;
}

std::optional<lease_append>
lease_session::Release(std::string aId)
{
  const bool held = mState.holder == mHolder && mLeaseStart;
  mLeaseStart.reset();
  mAttemptTimes.clear();
  if (!held) {
    return std::nullopt;
  }
  return lease_append{ std::move(aId),
                       lease_released{ mRole, mHolder, mState.newest } };
}

bool
lease_session::Holds(time_point aNow) const noexcept
{
  return mLeaseStart && mState.holder == mHolder &&
         aNow < *mLeaseStart + mTiming.term - mTiming.guard;
}

log_offset
lease_session::FencingToken() const noexcept
{
  return mState.holder == mHolder ? mState.claim : kNoOffset;
}

} // namespace arbutusferry
