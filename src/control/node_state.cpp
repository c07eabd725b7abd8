#include "control/node_state.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "environment/json_support.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

/// Upper limit of the hold time that an entry may ask for in `node.sync`.
constexpr std::chrono::milliseconds kMaxHold{ 1000 };
/// Validity of slot grants.
constexpr std::chrono::seconds kGrantTtl{ 5 };
/// Time for which a VM may run on after the platform has stopped listing it.
constexpr std::chrono::seconds kListLag{ 10 };

} // namespace

node_state::node_state(const control_options& aOptions,
                       const clock_source& aClock)
  : mOptions(aOptions)
  , mClock(aClock)
  , mInstance(aOptions.vm + "/" + RandomHex(6))
  , mStarted(aClock.Now())
  , mZoneView(aOptions.vm, aOptions.zone, mInstance)
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

bool
node_state::ReadsLog() const
{
  const std::lock_guard lock(mMutex);
  return mReadsLog;
}

bool
node_state::WaitToReadLog(duration aTime)
{
  lock_type lock(mMutex);
  mChanged.wait_for(lock, aTime, [&] { return mStopping || mReadsLog; });
  return mReadsLog && !mStopping;
}

bool
node_state::IsRelay() const
{
  const std::lock_guard lock(mMutex);
  return mZoneView.Membership().Relay(mClock.Now()) == mOptions.vm;
}

duration
node_state::Interval() const
{
  return SyncInterval(mZoneView.Membership().Size(), mOptions.syncInterval);
}

void
node_state::UpdateReadsLog(bool aHoldsRoles)
{
  const std::lock_guard lock(mMutex);
  const notify_on_change notify(*this);
  const time_point now = mClock.Now();
  mZoneView.Expire(now);
  const bool relay = mZoneView.Membership().Relay(now) == mOptions.vm;
  mFollowsRelay = !relay && mRelayAnswered != time_point{} &&
                  now - mRelayAnswered <= 2 * Interval() &&
                  mRelayViewAge <= 2 * Interval();
  if (!mFollowsRelay) {
    mZoneView.StopFollowingRelay();
  }
  const bool reads = !mFollowsRelay || aHoldsRoles;
  if (mReadsLog && !reads) {
    mFeed.PauseReading();
  }
  if (reads != mReadsLog) {
    Log(log_level::Info, reads ? "reading_log" : "following_relay");
    mReadsLog = reads;
    mChanged.notify_all();
  }
}

void
node_state::SetLogReachable(bool aReachable)
{
  const std::lock_guard lock(mMutex);
  mLogReachable = aReachable;
}

std::vector<target_info>
node_state::PolledTargets()
{
  const std::lock_guard lock(mMutex);
  const auto live = mZoneView.Membership().Live(mClock.Now(), 3 * Interval());
  std::vector<target_info> polled;
  for (const target_info& target : mZoneView.Targets()) {
    if (target.zone == mOptions.zone && target.kind == target_kind::Engine &&
        target.state != target_state::Starting &&
        PollsTarget(mOptions.vm, live, target.id)) {
      polled.push_back(target);
    }
  }
  mZoneView.RetainOwnLoads(polled);
  return polled;
}

bool
node_state::CompleteSinceStart(time_point aNow) const
{
  const auto age = mFeed.Freshness().Age(aNow);
  return age && aNow - *age >= mStarted;
}

void
node_state::UpdateIsolation(time_point aNow)
{
  for (const vm_info& vm : mZoneView.Vms()) {
    mLastListed[vm.id] = aNow;
  }
  const auto age = mFeed.Freshness().Age(aNow);
  if (!age || aNow - *age < mStarted) {
    return;
  }
  // A VM may have accepted a change until shortly after it was last listed.
  std::erase_if(mLastListed, [&](const auto& aListed) {
    return aNow - *age > aListed.second + kListLag;
  });
  // A list that lacks this process is too old to contain all members.
  if (mLastListed.count(mOptions.vm) == 0) {
    return;
  }
  mZoneView.Isolation().OnReport(
    { { mOptions.vm }, mFeed.State().Offset(), {} }, aNow);
  std::vector<std::string> members;
  members.reserve(mLastListed.size());
  for (const auto& [id, listed] : mLastListed) {
    members.push_back(id);
  }
  if (const auto complete =
        mZoneView.Isolation().CompleteAsOf(members, mFeed.State().Offset())) {
    mFeed.Freshness().CompleteAsOf(*complete);
  }
}

std::optional<isolation_report>
node_state::MakeIsolationReport(time_point aNow, bool aOwnZoneOnly)
{
  const auto age = mFeed.Freshness().Age(aNow);
  if (!age || *age <= Interval()) {
    return std::nullopt;
  }
  UpdateIsolation(aNow);
  std::vector<std::string> members;
  for (const vm_info& vm : mZoneView.Vms()) {
    if (!aOwnZoneOnly || vm.zone == mOptions.zone) {
      members.push_back(vm.id);
    }
  }
  isolation_report report = mZoneView.Isolation().Summarize(members, aNow);
  return report.members.empty() ? std::nullopt
                                : std::optional(std::move(report));
}

std::int64_t
node_state::ViewAgeMs(time_point aNow) const
{
  const auto age = mFeed.Freshness().Age(aNow);
  // Rounded up, so that a view never looks newer than it is.
  return age ? ToMilliseconds(*age) + 1 : -1;
}

std::int64_t
node_state::GrantVersion(const std::string& aInstance) const
{
  const auto found = mGrants.find(aInstance);
  return found == mGrants.end() ? 0 : found->second.version;
}

void
node_state::StoreGrants(const std::string& aInstance,
                        entry_plan aPlan,
                        time_point aPlanned)
{
  stored_grants& known = mGrants[aInstance];
  const bool same = std::equal(known.plan.grants.begin(),
                               known.plan.grants.end(),
                               aPlan.grants.begin(),
                               aPlan.grants.end(),
                               [](const auto& aLeft, const auto& aRight) {
                                 return aLeft.target == aRight.target &&
                                        aLeft.slots == aRight.slots;
                               });
  known.planned = std::max(known.planned, aPlanned);
  known.plan = std::move(aPlan);
  if (!same) {
    ++known.version;
    mChanged.notify_all();
  }
}

void
node_state::SetGrants(std::map<std::string, entry_plan> aPlans)
{
  const std::lock_guard lock(mMutex);
  const time_point now = mClock.Now();
  for (auto& item : aPlans) {
    StoreGrants(item.first, std::move(item.second), now);
  }
  std::erase_if(mGrants, [&](const auto& aGrant) {
    return now - aGrant.second.planned > 2 * kGrantTtl;
  });
}

void
node_state::FillGrants(const std::string& aInstance,
                       time_point aNow,
                       node_sync_response& aAnswer) const
{
  const auto found = mGrants.find(aInstance);
  if (found == mGrants.end() || aNow - found->second.planned >= kGrantTtl) {
    return;
  }
  aAnswer.hasGrants = true;
  aAnswer.grants = found->second.plan.grants;
  aAnswer.teamGrants = found->second.plan.teams;
  aAnswer.grantRound = found->second.plan.round;
  aAnswer.grantTtlMs =
    ToMilliseconds(kGrantTtl - (aNow - found->second.planned));
}

node_sync_response
node_state::NodeSync(const node_sync_request& aRequest)
{
  lock_type lock(mMutex);
  const time_point received = mClock.Now();
  const std::string& instance = aRequest.entry.instance;
  {
    const notify_on_change notify(*this);
    mZoneView.OnEntrySync(aRequest, received);
    mZoneView.Expire(received);
  }
  const auto hold =
    std::min<duration>(std::chrono::milliseconds(aRequest.holdMs), kMaxHold);
  const seen_lists seen = mSeenByEntry[instance];
  const auto version = [&] {
    return mZoneView.EntryAnswerVersion() + GrantVersion(instance);
  };
  while (!mStopping && mFeed.NewestChange() <= aRequest.offset &&
         version() == seen.version) {
    const duration left = received + hold - mClock.Now();
    if (left <= duration::zero()) {
      break;
    }
    mChanged.wait_for(lock, left);
  }
  const time_point now = mClock.Now();
  UpdateIsolation(now);
  node_sync_response answer;
  config_update update = mFeed.Collect(aRequest.offset);
  answer.state = std::move(update.state);
  answer.records = std::move(update.records);
  answer.offset = update.offset;
  answer.viewAgeMs = ViewAgeMs(now);
  answer.staleAfterMs = ToMilliseconds(mOptions.staleAfter);
  const bool known = !seen.view.empty() && seen.view == aRequest.listsVersion;
  mZoneView.FillEntryAnswer(answer,
                            known ? std::optional(seen.lists) : std::nullopt);
  mSeenByEntry[instance] = { version(),
                             answer.listsVersion,
                             mZoneView.Versions() };
  std::erase_if(mSeenByEntry, [&](const auto& aSeen) {
    return !mZoneView.IsOwnEntry(aSeen.first);
  });
  FillGrants(instance, now, answer);
  return answer;
}

zone_sync_response
node_state::ZoneSync(const zone_sync_request& aRequest)
{
  lock_type lock(mMutex);
  const time_point received = mClock.Now();
  {
    const notify_on_change notify(*this);
    mZoneView.OnMemberSync(aRequest, received);
  }
  last_answer& last = mAnswers[aRequest.member];
  if (aRequest.complete && aRequest.lastAnswer == last.number &&
      last.number > 0) {
    // The member wrote this request after it had received the last answer.
    mZoneView.Isolation().OnReport({ { aRequest.member }, aRequest.newest, {} },
                                   last.sent);
  }
  const auto grantVersion = [&] {
    std::int64_t version = 0;
    for (const member_entry& entry : aRequest.entries) {
      version += GrantVersion(entry.entry.instance);
    }
    return version;
  };
  const auto unchanged = [&] {
    const list_versions& now = mZoneView.Versions();
    const list_versions& seen = aRequest.seen;
    return now.source == seen.source && now.vms == seen.vms &&
           now.targets == seen.targets && now.entries == seen.entries;
  };
  const duration hold =
    std::min<duration>(std::chrono::milliseconds(aRequest.holdMs), Interval());
  const std::int64_t grants = grantVersion();
  while (!mStopping && !aRequest.draining &&
         mFeed.NewestChange() <= aRequest.offset && unchanged()) {
    // New grants halve the hold. Answering every round immediately would double
    // the relay's messages with 28 members.
    const bool planned = grantVersion() != grants;
    const duration left = received + (planned ? hold / 2 : hold) - mClock.Now();
    if (left <= duration::zero()) {
      break;
    }
    mChanged.wait_for(lock, left);
  }
  const time_point now = mClock.Now();
  UpdateIsolation(now);
  zone_sync_response answer;
  answer.number = ++last.number;
  last.sent = now;
  answer.heldMs = ToMilliseconds(now - received);
  answer.viewAgeMs = ViewAgeMs(now);
  answer.update = mFeed.Collect(aRequest.offset);
  answer.checkpoint = mFeed.CheckpointOffset();
  answer.members = mZoneView.Membership().Live(now, 3 * Interval());
  mZoneView.FillAnswer(answer, aRequest.seen);
  for (const member_entry& entry : aRequest.entries) {
    const auto known = mGrants.find(entry.entry.instance);
    if (known != mGrants.end() && now - known->second.planned < kGrantTtl) {
      answer.grants.push_back({ entry.entry.instance,
                                ToMilliseconds(now - known->second.planned) + 1,
                                known->second.plan.round,
                                known->second.plan.grants,
                                known->second.plan.teams });
    }
  }
  answer.isolation = MakeIsolationReport(now, false);
  return answer;
}

zone_summary_response
node_state::ZoneSummary(const zone_summary_request& aRequest)
{
  const std::lock_guard lock(mMutex);
  const time_point now = mClock.Now();
  UpdateIsolation(now);
  zone_summary_response answer;
  answer.viewAgeMs = ViewAgeMs(now);
  answer.update = mFeed.Collect(aRequest.offset);
  mZoneView.FillSummary(answer, aRequest.seen);
  // A report has the age of its oldest statement. Statements from other zones
  // would age it, and relays would keep each other's reports old forever.
  answer.isolation = MakeIsolationReport(now, true);
  return answer;
}

zone_sync_request
node_state::MakeZoneSyncRequest(const list_versions& aSeen,
                                std::int64_t aAnswered)
{
  const std::lock_guard lock(mMutex);
  zone_sync_request request = mZoneView.MakeRequest();
  request.offset = mFeed.State().Offset();
  request.newest = mFeed.NewestChange();
  request.complete = CompleteSinceStart(mClock.Now());
  request.lastAnswer = aAnswered;
  request.holdMs = ToMilliseconds(Interval());
  request.seen = aSeen;
  request.draining = mStopping;
  return request;
}

result<void>
node_state::OnZoneSync(const zone_sync_request& aRequest,
                       const zone_sync_response& aAnswer,
                       time_point aSent)
{
  const std::lock_guard lock(mMutex);
  const notify_on_change notify(*this);
  const duration held = std::chrono::milliseconds(aAnswer.heldMs);
  std::optional<duration> age;
  if (aAnswer.viewAgeMs >= 0) {
    age = std::chrono::milliseconds(aAnswer.viewAgeMs);
  }
  BOOST_LEAF_AUTO(changed, mFeed.OnPeerUpdate(aAnswer.update));
  if (changed) {
    mChanged.notify_all();
  }
  mFeed.NoteCheckpoint(aAnswer.checkpoint);
  mFeed.Freshness().OnPeerAnswer(aSent, held, age);
  mZoneView.OnRelayAnswer(aAnswer, mClock.Now());
  mZoneView.OnRequestAnswered(aRequest);
  if (aAnswer.isolation) {
    mZoneView.Isolation().OnReport(*aAnswer.isolation, aSent + held);
  }
  for (const entry_grant& grant : aAnswer.grants) {
    StoreGrants(grant.instance,
                { grant.round, {}, grant.grants, grant.teams },
                aSent + held - std::chrono::milliseconds(grant.ageMs));
  }
  mRelayAnswered = mClock.Now();
  mRelayViewAge = age.value_or(duration::max());
  return {};
}

result<void>
node_state::OnZoneSummary(const zone_summary_response& aAnswer,
                          time_point aSent)
{
  const std::lock_guard lock(mMutex);
  const notify_on_change notify(*this);
  BOOST_LEAF_AUTO(changed, mFeed.OnPeerUpdate(aAnswer.update));
  if (changed) {
    mChanged.notify_all();
  }
  if (aAnswer.viewAgeMs >= 0) {
    mFeed.Freshness().OnPeerAnswer(
      aSent, {}, std::chrono::milliseconds(aAnswer.viewAgeMs));
  }
  mZoneView.OnSummary(aAnswer, mClock.Now());
  if (aAnswer.isolation) {
    mZoneView.Isolation().OnReport(*aAnswer.isolation, aSent);
  }
  return {};
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
      // Already applied, but its id is no longer remembered.
      return std::nullopt;
    }
    const duration left = end - mClock.Now();
    if (mStopping || left <= duration::zero()) {
      return std::nullopt;
    }
    mChanged.wait_for(lock, left);
  }
}

bool
node_state::Ready() const
{
  const std::lock_guard lock(mMutex);
  return !mStopping && mFeed.Freshness().Age(mClock.Now()).has_value();
}

void
node_state::UpdateGauges()
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  const std::lock_guard lock(mMutex);
  const std::int64_t age = ViewAgeMs(mClock.Now());
  mMetrics.SetGauge(
    "control_view_age_seconds",
    {},
    age < 0 ? -1.0 : static_cast<double>(age) / kMillisecondsPerSecond);
  mMetrics.SetGauge(
    "control_offset", {}, static_cast<double>(mFeed.State().Offset()));
  mMetrics.SetGauge(
    "control_void_records", {}, static_cast<double>(mFeed.State().VoidCount()));
  mMetrics.SetGauge("control_reads_log", {}, mReadsLog ? 1.0 : 0.0);
  mMetrics.SetGauge(
    "control_entries", {}, static_cast<double>(mZoneView.Entries().size()));
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
  status["relay"] = mZoneView.Membership().Relay(now);
  status["reads_log"] = mReadsLog;
  status["offset"] = Json::Int64(mFeed.State().Offset());
  status["view_age_ms"] = Json::Int64(ViewAgeMs(now));
  status["log_reach"] = mLogReachable;
  status["void_records"] = Json::Int64(mFeed.State().VoidCount());
  status["members"] = Json::Value(Json::arrayValue);
  for (const auto& member : mZoneView.Membership().Live(now, 3 * Interval())) {
    status["members"].append(member);
  }
  status["entries"] = Json::Value(Json::arrayValue);
  for (const entry_info& entry : mZoneView.Entries()) {
    status["entries"].append(entry.instance);
  }
  status["targets"] = Json::UInt64(mZoneView.Targets().size());
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
