#include "control/node_state.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

/// An entry that did not sync for this time is no longer listed as live.
constexpr std::chrono::seconds kEntryTimeout{ 3 };
/// Longest time a `node.sync` is held, whatever the entry asks for.
constexpr std::chrono::milliseconds kMaxHold{ 1000 };

bool
SameTarget(const target_info& aLeft, const target_info& aRight)
{
  return aLeft.id == aRight.id && aLeft.zone == aRight.zone &&
         aLeft.targetClass == aRight.targetClass &&
         aLeft.address == aRight.address && aLeft.pool == aRight.pool &&
         aLeft.kind == aRight.kind && aLeft.state == aRight.state &&
         aLeft.slots == aRight.slots &&
         aLeft.checksFencing == aRight.checksFencing;
}

} // namespace

node_state::node_state(const control_options& aOptions,
                       const clock_source& aClock)
  : mOptions(aOptions)
  , mClock(aClock)
  , mInstance(aOptions.vm + "/" + RandomHex(6))
  , mMembership(aOptions.vm, aOptions.zone)
{
}

void
node_state::Stop()
{
  const std::lock_guard lock(mMutex);
  mStopping = true;
  mChanged.notify_all();
}

bool
node_state::Stopping() const
{
  const std::lock_guard lock(mMutex);
  return mStopping;
}

void
node_state::Sleep(duration aTime) const
{
  lock_type lock(mMutex);
  mChanged.wait_for(lock, aTime, [&] { return mStopping; });
}

void
node_state::Wait(lock_type& aLock, duration aTime)
{
  if (aTime > duration::zero()) {
    mChanged.wait_for(aLock, aTime);
  }
}

void
node_state::SetLogReach(bool aReaches)
{
  const std::lock_guard lock(mMutex);
  mLogReach = aReaches;
}

bool
node_state::LogReach() const
{
  const std::lock_guard lock(mMutex);
  return mLogReach;
}

void
node_state::SetVms(std::vector<vm_info> aVms)
{
  const std::lock_guard lock(mMutex);
  mVms = std::move(aVms);
  mMembership.UpdateCandidates(mVms);
}

void
node_state::SetTargets(std::vector<target_info> aTargets)
{
  const std::lock_guard lock(mMutex);
  std::sort(
    aTargets.begin(),
    aTargets.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.id < aRight.id; });
  const bool same = std::equal(mTargets.begin(),
                               mTargets.end(),
                               aTargets.begin(),
                               aTargets.end(),
                               SameTarget);
  if (same) {
    return;
  }
  // The platform's list carries no load; known reports are kept.
  for (target_info& target : aTargets) {
    const auto known =
      std::find_if(mTargets.begin(), mTargets.end(), [&](const auto& aKnown) {
        return aKnown.id == target.id && aKnown.address == target.address;
      });
    if (known != mTargets.end()) {
      target.running = known->running;
      target.waiting = known->waiting;
      target.weightVersion = known->weightVersion;
    }
  }
  mTargets = std::move(aTargets);
  ++mListVersion;
  mChanged.notify_all();
}

void
node_state::SetLoad(const std::string& aTarget,
                    std::int64_t aRunning,
                    std::int64_t aWaiting,
                    std::int64_t aWeightVersion)
{
  const std::lock_guard lock(mMutex);
  for (target_info& target : mTargets) {
    if (target.id == aTarget) {
      // Entries filter by version, so a new one is told at once; the load may
      // wait for the next answer.
      if (target.weightVersion != aWeightVersion) {
        ++mListVersion;
        mChanged.notify_all();
      }
      target.running = aRunning;
      target.waiting = aWaiting;
      target.weightVersion = aWeightVersion;
    }
  }
}

std::vector<target_info>
node_state::Targets() const
{
  const std::lock_guard lock(mMutex);
  return mTargets;
}

std::vector<target_info>
node_state::PolledTargets() const
{
  const std::lock_guard lock(mMutex);
  const auto live = mMembership.Live(
    mClock.Now(), 2 * SyncInterval(mMembership.Size(), mOptions.syncInterval));
  std::vector<target_info> polled;
  for (const target_info& target : mTargets) {
    if (target.zone == mOptions.zone && target.kind == target_kind::Engine &&
        target.state != target_state::Starting &&
        PollsTarget(mOptions.vm, live, target.id)) {
      polled.push_back(target);
    }
  }
  return polled;
}

node_sync_response
node_state::NodeSync(const node_sync_request& aRequest)
{
  lock_type lock(mMutex);
  const time_point received = mClock.Now();
  const std::string& instance = aRequest.entry.instance;
  entry_status& entry = mEntries[instance];
  if (entry.report.entry.address != aRequest.entry.address ||
      entry.report.entry.draining != aRequest.entry.draining ||
      entry.report.entry.adopted != aRequest.entry.adopted) {
    ++mListVersion;
    mChanged.notify_all();
  }
  entry.report = aRequest;
  entry.heard = received;
  for (const usage_counter& counter : aRequest.usage) {
    auto& known = entry.usage[counter.tenant];
    const auto same =
      std::find_if(known.begin(), known.end(), [&](const auto& aKnown) {
        return aKnown.window == counter.window &&
               aKnown.instance == counter.instance;
      });
    if (same == known.end()) {
      known.push_back(counter);
    } else {
      *same = counter;
    }
  }
  std::erase_if(mEntries, [&](const auto& aEntry) {
    const bool gone = received - aEntry.second.heard > kEntryTimeout;
    mListVersion += gone ? 1 : 0;
    return gone;
  });
  const auto hold =
    std::min<duration>(std::chrono::milliseconds(aRequest.holdMs), kMaxHold);
  const std::uint64_t seen = mSeenVersion[instance];
  while (!mStopping && mFeed.NewestChange() <= aRequest.offset &&
         mListVersion == seen) {
    const duration left = received + hold - mClock.Now();
    if (left <= duration::zero()) {
      break;
    }
    Wait(lock, left);
  }
  const time_point now = mClock.Now();
  if (const auto known = mEntries.find(instance); known != mEntries.end()) {
    known->second.heard = now;
  }
  mSeenVersion[instance] = mListVersion;
  std::erase_if(mSeenVersion, [&](const auto& aSeen) {
    return mEntries.count(aSeen.first) == 0;
  });
  return Answer(aRequest, now);
}

node_sync_response
node_state::Answer(const node_sync_request& aRequest, time_point aNow) const
{
  node_sync_response answer;
  config_update update = mFeed.Collect(aRequest.offset);
  answer.state = std::move(update.state);
  answer.records = std::move(update.records);
  answer.offset = update.offset;
  if (const auto age = mFeed.Freshness().Age(aNow)) {
    answer.viewAgeMs = ToMilliseconds(*age) + 1;
  }
  answer.staleAfterMs = ToMilliseconds(mOptions.staleAfter);
  for (const auto& [instance, entry] : mEntries) {
    answer.entries.push_back(entry.report.entry);
  }
  for (const target_info& target : mTargets) {
    if (target.zone == mOptions.zone) {
      answer.targets.push_back(target);
    }
  }
  return answer;
}

std::optional<std::pair<log_offset, fold_outcome>>
node_state::WaitForRecord(const std::string& aId,
                          log_offset aOffset,
                          duration aTimeout)
{
  lock_type lock(mMutex);
  const time_point end = mClock.Now() + aTimeout;
  while (true) {
    if (auto found = mFeed.State().FindRecord(aId)) {
      return found;
    }
    if (aOffset != kNoOffset && mFeed.State().Offset() >= aOffset) {
      // Folded, but no longer among the remembered ids.
      return std::nullopt;
    }
    const duration left = end - mClock.Now();
    if (mStopping || left <= duration::zero()) {
      return std::nullopt;
    }
    Wait(lock, left);
  }
}

bool
node_state::Ready() const
{
  const std::lock_guard lock(mMutex);
  return !mStopping && mFeed.Freshness().Age(mClock.Now()).has_value();
}

Json::Value
node_state::Status() const
{
  const std::lock_guard lock(mMutex);
  const time_point now = mClock.Now();
  Json::Value status(Json::objectValue);
  status["vm"] = mOptions.vm;
  status["zone"] = mOptions.zone;
  status["instance"] = mInstance;
  status["relay"] = mMembership.Relay(now);
  status["offset"] = Json::Int64(mFeed.State().Offset());
  const auto age = mFeed.Freshness().Age(now);
  status["view_age_ms"] = Json::Int64(age ? ToMilliseconds(*age) : -1);
  status["log_reach"] = mLogReach;
  status["void_records"] = Json::Int64(mFeed.State().VoidCount());
  status["members"] = Json::Value(Json::arrayValue);
  for (const auto& member : mMembership.Live(
         now, 2 * SyncInterval(mMembership.Size(), mOptions.syncInterval))) {
    status["members"].append(member);
  }
  status["entries"] = Json::Value(Json::arrayValue);
  for (const auto& [instance, entry] : mEntries) {
    status["entries"].append(instance);
  }
  status["targets"] = Json::UInt64(mTargets.size());
  status["roles"] = Json::Value(Json::objectValue);
  for (const auto& [role, state] : mFeed.Roles().Roles()) {
    status["roles"][role] = state.holder;
  }
  const stage_config* production =
    mFeed.State().Find(mOptions.environment, stage::Production);
  status["revision"] =
    Json::Int64(production == nullptr ? kNoOffset : production->revision);
  return status;
}

} // namespace arbutusferry
