#include "arbutusferry/node/ferry_node.hpp"
#include "ferry_node_observers.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// How often the leadership is looked at.
constexpr milliseconds kRoleTick{ 100 };
/// How often counts are saved, duties looked at and old targets forgotten.
constexpr milliseconds kSlowTick{ 500 };
/// Share of a core from which a node claims the leadership without delay, and
/// the longest delay of weaker ones, which would read the journal slowly.
constexpr double kStrongShare = 0.5;
constexpr double kWeakMilliseconds = 800.0;
/// Spread of the claims of equal nodes.
constexpr double kSpreadMilliseconds = 60.0;
/// Margin of a lease for differences between clocks.
constexpr milliseconds kLeaseMargin{ 500 };

const log_partition kRolePartition{ "af.leader", 0, true };
const log_partition kUsagePartition{ "af.usage", 0, true };
/// Addresses of running nodes, by VM; read by the leader.
const log_partition kNodePartition{ "af.nodes", 0, true };
/// Pause before a node's record is written again after a failure.
constexpr milliseconds kNodeRetry{ 1'000 };
/// Shortest interval of questions whether the leader's process runs, and the
/// longest wait for its answer.
constexpr milliseconds kProbeInterval{ 200 };
constexpr milliseconds kProbeTimeout{ 300 };
/// Longest wait of a read of the leadership topic: shorter than the silence
/// after which a holder is replaced, since a wait may miss a record.
constexpr milliseconds kRolePoll{ 300 };
/// Part of the time in which an ended batch's items may begin that a run may
/// need on its way through another node to its sampler.
constexpr milliseconds kRunMargin{ 1'400 };
/// Longest wait of a stopping leader for its last save.
constexpr milliseconds kHandOver{ 500 };
/// The only key of the leadership topic.
constexpr const char* kRoleKey = "leader";

role_claim::timing
RoleTiming(const node_settings& aSettings)
{
  role_claim::timing timing;
  if (!aSettings.fencesChecked) {
    timing.silence = aSettings.lease + kLeaseMargin;
    timing.longestSilence = timing.silence;
    timing.mayActFor = aSettings.lease - kLeaseMargin;
  }
  timing.stayAway = aSettings.lease + milliseconds(1'000);
  const double slow =
    1.0 - std::clamp(aSettings.cpuShare / kStrongShare, 0.0, 1.0);
  const double spread =
    static_cast<double>(Hash64(aSettings.vm) % 1000) / 1000.0;
  timing.rank = milliseconds(static_cast<std::int64_t>(
    kWeakMilliseconds * slow + kSpreadMilliseconds * spread));
  return timing;
}

} // namespace

ferry_node::ferry_node(parts aParts, node_settings aSettings)
  : mParts(aParts)
  , mSettings(std::move(aSettings))
  , mInstance(mSettings.vm + "/" + RandomHex(6))
  , mNodes(mInstance)
  , mForwarder({ mParts.loop,
                 mParts.client,
                 mTargets,
                 mParts.protocol,
                 mParts.callers,
                 *this,
                 mMetrics,
                 mSettings.zone })
  , mMeter(mSettings.usageWindow.count())
  , mRoleObserver(std::make_unique<role_observer>(*this))
  , mRoleFollower(
      std::make_unique<keyed_follower>(mParts.loop,
                                       mParts.log,
                                       kRolePartition,
                                       keyed_follower::timing{ kRolePoll },
                                       *mRoleObserver))
  , mClaim({ mInstance,
             mSettings.vm,
             mSettings.peerAddress,
             mSettings.zone,
             0,
             false },
           RoleTiming(mSettings),
           mParts.loop.Now())
{
}

ferry_node::~ferry_node() = default;

void
ferry_node::Start()
{
  WriteNode(true);
  mRoleFollower->Start();
  mRoleTicker =
    std::make_unique<periodic>(mParts.loop, kRoleTick, [this] { StepRole(); });
  mSlowTicker = std::make_unique<periodic>(mParts.loop, kSlowTick, [this] {
    SaveUsage();
    mTargets.Expire(mParts.loop.Now());
    mMetrics.SetGauge("ferry_leads", {}, Leader() ? 1.0 : 0.0);
    mMetrics.SetGauge(
      "ferry_targets", {}, static_cast<double>(mTargets.All().size()));
    mMetrics.SetGauge("ferry_environment_version",
                      {},
                      static_cast<double>(mEnvironment.Version()));
    TickDuties();
  });
}

void
ferry_node::SetEnvironment(environment_view aEnvironment)
{
  if (aEnvironment.Version() <= mEnvironment.Version()) {
    return;
  }
  Log(log_level::Info,
      "environment_in_force",
      { { "version", std::to_string(aEnvironment.Version()) },
        { "before", std::to_string(mEnvironment.Version()) } });
  mEnvironment = std::move(aEnvironment);
  if (mOnEnvironment) {
    mOnEnvironment(mEnvironment);
  }
}

void
ferry_node::SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
{
  std::int64_t& known = mNamedVersions[aModel];
  if (aVersion <= known) {
    return;
  }
  known = aVersion;
  if (mLeader) {
    mLeader->SetNewestVersion(aModel, aVersion);
  }
}

void
ferry_node::UpdateTarget(const target_entry& aTarget)
{
  const auto* before = mTargets.Find(aTarget.id);
  if (!before || before->entry.draining != aTarget.draining) {
    Log(log_level::Info,
        "target_changed",
        { { "target", aTarget.id },
          { "service", aTarget.service },
          { "zone", aTarget.zone },
          { "state", aTarget.draining ? "draining" : "ready" } });
  }
  mTargets.Update(aTarget, mParts.loop.Now());
  if (mLeader) {
    mLeader->OnTargetsChanged();
  }
}

void
ferry_node::RemoveTarget(const std::string& aId)
{
  Log(log_level::Info, "target_gone", { { "target", aId } });
  mTargets.Remove(aId, mParts.loop.Now());
}

batch_leader*
ferry_node::Leader() noexcept
{
  return mLeader && mLeader->Ready() && mClaim.Leads() ? mLeader.get()
                                                       : nullptr;
}

bool
ferry_node::StateIsAuthoritative() const
{
  return mClaim.Certain(mParts.loop.Now());
}

std::optional<leader_record>
ferry_node::OtherLeader() const
{
  const auto& holder = mClaim.Holder();
  return holder && holder->holder != mInstance ? holder : std::nullopt;
}

void
ferry_node::LeaderEnded(const std::string& aHolder)
{
  if (mSettings.fencesChecked) {
    mClaim.HolderEnded(aHolder, mParts.loop.Now());
  }
}

void
ferry_node::ProbeLeader()
{
  const auto leader = OtherLeader();
  const time_point now = mParts.loop.Now();
  if (!leader || now - mLeaderProbed < kProbeInterval) {
    return;
  }
  mLeaderProbed = now;
  exchange_options options;
  options.connect = kProbeTimeout;
  options.silence = kProbeTimeout;
  mParts.client.Send(
    leader->address,
    MakeRelayedAttach({}, HighestFence()),
    options,
    std::make_shared<whole_response>(
      [this, holder = leader->holder](const http_response* aResponse,
                                      exchange_failure aFailure) {
        if (!aResponse && aFailure == exchange_failure::Refused) {
          LeaderEnded(holder);
        }
      }));
}

std::uint64_t
ferry_node::HighestFence() const
{
  const auto& holder = mClaim.Holder();
  return std::max(mClaim.Leads() ? mClaim.Fence() : 0,
                  holder ? holder->fence : 0);
}

void
ferry_node::WriteNode(bool aPresent)
{
  append_request request;
  request.where = kNodePartition;
  request.records.push_back(
    { mSettings.vm,
      aPresent
        ? EncodeNode(
            { mSettings.vm, mInstance, mSettings.zone, mSettings.peerAddress })
        : std::string() });
  mParts.log.Append(
    std::move(request), [this, aPresent](const append_result& aResult) {
      if (aResult.status != append_status::Done && aPresent != mResigned) {
        mNodeRetry = mParts.loop.After(
          kNodeRetry, [this, aPresent] { WriteNode(aPresent); });
      }
    });
}

void
ferry_node::CountRun(const std::string& aTeam, std::int64_t aUnixMilliseconds)
{
  if (!aTeam.empty()) {
    mMeter.Count(aTeam, aUnixMilliseconds);
  }
}

void
ferry_node::SaveUsage()
{
  if (mSavingUsage || !mMeter.Changed()) {
    return;
  }
  mSavingUsage = true;
  append_request request;
  request.where = kUsagePartition;
  request.records.push_back({ mInstance, EncodeUsage(mMeter.Take()) });
  mParts.log.Append(std::move(request), [this](const append_result& aResult) {
    mSavingUsage = false;
    if (aResult.status != append_status::Done) {
      // Counts only grow, so saving them again later is safe.
      mMeter.Restore();
    }
  });
}

void
ferry_node::WriteRole(leader_record aRecord)
{
  mWritingRole = true;
  append_request request;
  request.where = kRolePartition;
  request.expectedEnd = mRoleFollower->Next();
  request.records.push_back({ kRoleKey, EncodeRole(aRecord) });
  const time_point sentAt = mParts.loop.Now();
  if (!mClaim.Leads() || aRecord.released) {
    Log(
      log_level::Info,
      aRecord.released ? "leader_release" : "leader_claim",
      { { "fence", std::to_string(aRecord.fence) },
        { "at", std::to_string(*request.expectedEnd) },
        { "silent_ms", std::to_string(ToMilliseconds(mClaim.Silent(sentAt))) },
        { "holder",
          mClaim.Holder() ? mClaim.Holder()->holder : std::string() } });
  }
  mClaim.Sent(sentAt);
  mParts.log.Append(
    std::move(request),
    [this, aRecord = std::move(aRecord), sentAt](const append_result& aResult) {
      mWritingRole = false;
      if (aResult.status != append_status::Done) {
        Log(log_level::Info,
            "leader_record_not_written",
            { { "status", std::to_string(static_cast<int>(aResult.status)) },
              { "end", std::to_string(aResult.end) },
              { "fence", std::to_string(aRecord.fence) } });
      }
      const time_point now = mParts.loop.Now();
      if (aResult.status == append_status::Done) {
        // A read that waits may miss an append that was in progress when it
        // arrived, so the own record is not left to the topic.
        mClaim.Observe(aResult.offset, aRecord, now);
        if (!aRecord.released) {
          mClaim.Confirmed(sentAt);
        }
      } else if (aResult.status == append_status::WrongEnd) {
        mRoleFollower->ReadNow();
      }
      if (aResult.status != append_status::Done && aRecord.released &&
          mClaim.Holder() && mClaim.Holder()->holder == mInstance) {
        mRelease =
          mParts.loop.After(kRoleTick, [this, aRecord] { WriteRole(aRecord); });
      }
      // What was written, by this or another process, is read from the topic.
      FollowLeadership();
    });
}

void
ferry_node::StepRole()
{
  FollowLeadership();
  if (mResigned || mWritingRole || !mRoleFollower->Listed() ||
      (mRoleFollower->Lost() && !mClaim.Leads()) ||
      !mClaim.ShouldWrite(mParts.loop.Now())) {
    return;
  }
  WriteRole(mClaim.NextRecord(mRoleFollower->Next()));
}

void
ferry_node::FollowLeadership()
{
  if (!mClaim.Leads() && mLeader) {
    Depose("superseded");
    return;
  }
  if (!mClaim.Leads() || mLeader || mDeposing || mResigned) {
    return;
  }
  Log(log_level::Info,
      "leadership_began",
      { { "fence", std::to_string(mClaim.Fence()) } });
  // The leader may notice from within its own callbacks that its term is
  // over; it is destroyed from the event loop.
  const auto superseded = [this] {
    mClaim.Superseded(mParts.loop.Now());
    mDeposing = mParts.loop.After(duration::zero(), [this] {
      mDeposing.reset();
      Depose("fenced");
    });
  };
  const auto mayAct = [this] { return mClaim.MayAct(mParts.loop.Now()); };
  const auto mayRun = [this] {
    return mClaim.ConfirmedWithin(mSettings.cancelWithin - kRunMargin,
                                  mParts.loop.Now());
  };
  mLeader =
    std::make_unique<batch_leader>(batch_leader::parts{ mParts.loop,
                                                        mParts.client,
                                                        mParts.log,
                                                        mTargets,
                                                        mNodes,
                                                        mParts.protocol,
                                                        *this,
                                                        mMetrics,
                                                        mInstance,
                                                        mSettings.batchReadable,
                                                        superseded,
                                                        mayAct,
                                                        mayRun },
                                   mClaim.Fence());
  for (const auto& [model, version] : mNamedVersions) {
    mLeader->SetNewestVersion(model, version);
  }
  mNodeObserver = std::make_unique<node_observer>(*this);
  mNodeFollower = std::make_unique<keyed_follower>(mParts.loop,
                                                   mParts.log,
                                                   kNodePartition,
                                                   keyed_follower::timing{},
                                                   *mNodeObserver);
  mNodeFollower->Start();
  mLeader->Start([this, superseded, mayAct](
                   const std::map<std::int64_t, std::string>& aFixed) {
    usage_desk::parts desk{ mParts.loop,
                            mParts.duties,
                            mClaim.Fence(),
                            mSettings.usageWindow,
                            mSettings.usageDue,
                            {},
                            mayAct,
                            superseded };
    desk.fix = [this](std::int64_t aWindow,
                      const team_counts& aCounts,
                      std::function<void()> aDone) {
      mLeader->AppendRecords({ { UsageKey(aWindow), EncodeCounts(aCounts) } },
                             std::move(aDone));
    };
    mUsage = std::make_unique<usage_desk>(std::move(desk), aFixed);
    mUsageObserver = std::make_unique<usage_observer>(*this);
    mUsageFollower = std::make_unique<keyed_follower>(
      mParts.loop,
      mParts.log,
      kUsagePartition,
      keyed_follower::timing{ milliseconds(1'000), kSlowTick },
      *mUsageObserver);
    mUsageFollower->Start();
    mScale = {};
  });
}

void
ferry_node::Depose(const char* aReason)
{
  if (!mLeader) {
    return;
  }
  Log(log_level::Warning,
      "leadership_ended",
      { { "reason", aReason }, { "fence", std::to_string(mClaim.Fence()) } });
  mNodeFollower.reset();
  mNodeObserver.reset();
  mUsageFollower.reset();
  mUsageObserver.reset();
  mUsage.reset();
  const auto leader = std::move(mLeader);
}

void
ferry_node::Resign()
{
  if (mResigned) {
    return;
  }
  mResigned = true;
  WriteNode(false);
  if (batch_leader* leader = Leader()) {
    // What was generated so far is handed on through the journal.
    leader->HandOver([this] { Release(); });
    mRelease = mParts.loop.After(kHandOver, [this] { Release(); });
  } else if (mClaim.Leads()) {
    Release();
  }
}

void
ferry_node::Release()
{
  mRelease.reset();
  if (!mClaim.Leads()) {
    return;
  }
  leader_record record = mClaim.NextRecord(mRoleFollower->Next());
  record.released = true;
  mClaim.Superseded(mParts.loop.Now());
  mDeposing = mParts.loop.After(duration::zero(), [this] {
    mDeposing.reset();
    Depose("resigned");
  });
  WriteRole(std::move(record));
}

void
ferry_node::TickDuties()
{
  if (!Leader() || !mUsage || !mClaim.MayAct(mParts.loop.Now())) {
    return;
  }
  if (mUsageFollower->Listed()) {
    mUsage->Tick();
  }
  for (const scale_plan::order& order :
       mScale.Due(mEnvironment, mTargets, mSettings.zones, mParts.loop.Now())) {
    mParts.duties.OrderTargets(
      order.service,
      order.zone,
      order.count,
      mClaim.Fence(),
      [this, order](duty_status aStatus) {
        Log(log_level::Info,
            "targets_ordered",
            { { "service", order.service },
              { "zone", order.zone },
              { "count", std::to_string(order.count) },
              { "outcome",
                aStatus == duty_status::Done ? "done" : "not_done" } });
        mScale.Note(order, aStatus, mParts.loop.Now());
      });
  }
}

} // namespace arbutusferry::node
