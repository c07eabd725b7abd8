#include "control/role_keeper.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"

namespace arbutusferry {

namespace {

constexpr std::chrono::milliseconds kRoleStepInterval{ 200 };
constexpr std::chrono::seconds kCheckpointStepInterval{ 1 };

class role_duty final : public duty
{
public:
  explicit role_duty(std::shared_ptr<role_keeper> aKeeper)
    : mKeeper(std::move(aKeeper))
  {
  }

  duration Step() override
  {
    mKeeper->Step();
    return kRoleStepInterval;
  }

private:
  std::shared_ptr<role_keeper> mKeeper;
};

class checkpoint_duty final : public duty
{
public:
  checkpoint_duty(node_state& aState,
                  std::shared_ptr<role_keeper> aKeeper,
                  std::shared_ptr<platform_log> aLog)
    : mState(aState)
    , mKeeper(std::move(aKeeper))
    , mLog(std::move(aLog))
    , mLastCheckpointAt(aState.Clock().Now())
  {
  }

  duration Step() override
  {
    const time_point now = mState.Clock().Now();
    const log_offset newest = mState.WithFeed(
      [](const config_feed& aFeed) { return aFeed.CheckpointOffset(); });
    if (newest != mNewestCheckpoint) {
      mNewestCheckpoint = newest;
      mLastCheckpointAt = now;
    }
    if (!mKeeper->Holds(kCheckpointRole) ||
        now - mLastCheckpointAt < mState.Options().checkpointInterval) {
      return kCheckpointStepInterval;
    }
    checkpoint record;
    mState.WithFeed([&](const config_feed& aFeed) {
      record.through = aFeed.ReadFrom() - 1;
      record.state = aFeed.SaveCheckpoint();
    });
    if (record.state.isNull() || !mKeeper->Holds(kCheckpointRole)) {
      return kCheckpointStepInterval;
    }
    const auto appended = Capture([&] {
      return mLog->Append("checkpoint-" + RandomHex(8), WriteLogRecord(record));
    });
    if (const auto* failure = std::get_if<error_info>(&appended)) {
      LogError(log_level::Warning, "checkpoint_failed", *failure);
    }
    mLastCheckpointAt = now;
    return kCheckpointStepInterval;
  }

private:
  node_state& mState;
  std::shared_ptr<role_keeper> mKeeper;
  std::shared_ptr<platform_log> mLog;
  log_offset mNewestCheckpoint = kNoOffset;
  time_point mLastCheckpointAt;
};

} // namespace

std::string
OrdersRole(const std::string& aZone)
{
  return "orders/" + aZone;
}

role_keeper::role_keeper(node_state& aState, std::shared_ptr<platform_log> aLog)
  : mState(aState)
  , mLog(std::move(aLog))
{
  for (const std::string& role : { OrdersRole(aState.Options().zone),
                                   std::string(kUsageRole),
                                   std::string(kCheckpointRole) }) {
    mSessions.try_emplace(
      role, role, aState.Instance(), aState.Options().lease);
  }
}

bool
role_keeper::Holds(const std::string& aRole) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mSessions.find(aRole);
  return found != mSessions.end() && found->second.Holds(mState.Clock().Now());
}

bool
role_keeper::HoldsAny() const
{
  const std::lock_guard lock(mMutex);
  const time_point now = mState.Clock().Now();
  return std::any_of(
    mSessions.begin(), mSessions.end(), [&](const auto& aSession) {
      return aSession.second.Holds(now);
    });
}

log_offset
role_keeper::FencingToken(const std::string& aRole) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mSessions.find(aRole);
  return found == mSessions.end() ? kNoOffset : found->second.FencingToken();
}

send_check
role_keeper::Check(const std::string& aRole) const
{
  const log_offset fencing = FencingToken(aRole);
  return [this, aRole, fencing] {
    const std::lock_guard lock(mMutex);
    const lease_session& session = mSessions.at(aRole);
    return fencing != kNoOffset && session.FencingToken() == fencing &&
           session.Holds(mState.Clock().Now());
  };
}

std::string
role_keeper::NextRecordId()
{
  return mState.Instance() + "-" + std::to_string(++mLastRecordNumber);
}

std::vector<lease_append>
role_keeper::DueAppends()
{
  const auto states = mState.WithFeed([&](const config_feed& aFeed) {
    std::map<std::string, role_state> found;
    if (aFeed.Anchored() && aFeed.CaughtUp()) {
      for (const auto& [role, session] : mSessions) {
        found[role] = aFeed.Roles().Find(role);
      }
    }
    return found;
  });
  const bool shouldHold = mState.IsRelay() && !mState.Stopping();
  const std::lock_guard lock(mMutex);
  const time_point now = mState.Clock().Now();
  std::vector<lease_append> due;
  for (auto& [role, session] : mSessions) {
    if (const auto state = states.find(role); state != states.end()) {
      session.Observe(state->second);
      auto next = shouldHold ? session.Next(NextRecordId(), now)
                             : session.Release(NextRecordId());
      if (next) {
        due.push_back(std::move(*next));
      }
    }
    const bool holds = session.Holds(now);
    if (holds != (mLoggedAsHeld.count(role) > 0)) {
      Log(log_level::Info,
          holds ? "role_held" : "role_ended",
          { { "role", role },
            { "fencing", std::to_string(session.FencingToken()) } });
      if (holds) {
        mLoggedAsHeld.insert(role);
      } else {
        mLoggedAsHeld.erase(role);
      }
    }
  }
  return due;
}

bool
role_keeper::Append(const lease_append& aAppend)
{
  const auto appended = Capture(
    [&] { return mLog->Append(aAppend.id, WriteLogRecord(aAppend.record)); });
  return std::holds_alternative<log_offset>(appended);
}

void
role_keeper::Step()
{
  // A lease counts from the time taken before its record was sent, so records
  // must be sent without delay. After a failed append the remaining ones
  // would be late and are dropped; a later step renews their leases.
  for (const lease_append& append : DueAppends()) {
    if (!Append(append)) {
      break;
    }
  }
}

void
role_keeper::ReleaseAll()
{
  std::vector<lease_append> releases;
  {
    const std::lock_guard lock(mMutex);
    for (auto& [role, session] : mSessions) {
      if (auto release = session.Release(NextRecordId())) {
        releases.push_back(std::move(*release));
      }
    }
  }
  for (const lease_append& release : releases) {
    if (!Append(release)) {
      break;
    }
  }
}

std::unique_ptr<duty>
MakeRoleDuty(std::shared_ptr<role_keeper> aKeeper)
{
  return std::make_unique<role_duty>(std::move(aKeeper));
}

std::unique_ptr<duty>
MakeCheckpointDuty(node_state& aState,
                   std::shared_ptr<role_keeper> aKeeper,
                   std::shared_ptr<platform_log> aLog)
{
  return std::make_unique<checkpoint_duty>(
    aState, std::move(aKeeper), std::move(aLog));
}

} // namespace arbutusferry
