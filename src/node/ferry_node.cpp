#include "arbutusferry/node/ferry_node.hpp"
#include "ferry_node_observers.hpp"
#include "leadership_topics.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Share of a core from which a node claims leadership without delay, and the
/// longest delay of weaker nodes, which would read the journal slowly.
constexpr double kFullCpuShare = 0.5;
constexpr double kMaxClaimDelayMs = 800.0;
/// Spreads the claims of equal nodes.
constexpr double kClaimJitterMs = 60.0;
/// Margin of a lease for differences between clocks.
constexpr milliseconds kClockMargin{ 500 };

/// Addresses of running nodes, by VM.
const log_partition kNodePartition{ "af.nodes", 0, true };
/// Longest wait of a read of the nodes, which change seldom.
constexpr milliseconds kNodePollWait{ 3'000 };
constexpr milliseconds kNodeRecordRetryDelay{ 1'000 };
/// Shortest interval between probes of the leader's process, and time limit of
/// a probe.
constexpr milliseconds kProbeInterval{ 200 };
constexpr milliseconds kProbeTimeout{ 300 };
/// Longest wait of a read of the leadership topic: shorter than the
/// election timeout, since a waiting read may miss a record.
constexpr milliseconds kLeaderPollWait{ 300 };
/// Age of a leader's last confirmation up to which it grants requests to
/// targets with a limit: shorter than the silence after which another may lead
/// (0.9 s), so that two leaders never grant the same rate.
constexpr milliseconds kGrantValidity{ 700 };

leader_election::timing
ElectionTiming(const node_settings& aSettings)
{
  leader_election::timing timing;
  if (!aSettings.fencesChecked) {
    timing.leaseWait = aSettings.lease + kClockMargin;
    timing.leaseValidity = aSettings.lease - kClockMargin;
  }
  timing.cooldown = aSettings.lease + milliseconds(1'000);
  const double lackingCpu =
    1.0 - std::clamp(aSettings.cpuShare / kFullCpuShare, 0.0, 1.0);
  const double jitter =
    static_cast<double>(Hash64(aSettings.vm) % 1000) / 1000.0;
  timing.claimDelay = milliseconds(static_cast<std::int64_t>(
    kMaxClaimDelayMs * lackingCpu + kClaimJitterMs * jitter));
  return timing;
}

} // namespace

ferry_node::ferry_node(parts aParts, node_settings aSettings)
  : mParts(aParts)
  , mSettings(std::move(aSettings))
  , mInstance(mSettings.vm + "/" + RandomHex(6))
  , mNodes(mInstance)
  , mIsolation(
      { mParts.loop, mParts.client, mNodes, mSettings.vm, mSettings.zone })
  , mTargetClient(
      { mParts.loop, mParts.client, mNodes, mTargets, mSettings.zone })
  , mGateway(mParts.loop, mTargetClient)
  , mLimits({ mParts.loop,
              mParts.client,
              mTargets,
              [this] {
                return mElection.ConfirmedWithin(kGrantValidity,
                                                 mParts.loop.Now());
              },
              [this]() -> std::optional<socket_address> {
                const auto leader = OtherLeader();
                return leader ? std::optional(leader->address) : std::nullopt;
              } })
  , mSoftware({ mParts.loop, mParts.log, mTargets })
  , mOrigins({ mParts.loop, mParts.client, mNodes, mSoftware, mSettings.vm })
  , mCrashes({ mParts.loop, mTargetClient, mParts.log })
  , mForwarder({ mParts.loop,
                 mTargetClient,
                 mTargets,
                 mParts.protocol,
                 mParts.callers,
                 mLimits,
                 mOrigins,
                 mCrashes,
                 *this,
                 mMetrics,
                 mSettings.zone })
  , mRewards({ mParts.loop, mForwarder, mParts.protocol, *this })
  , mUsageMeter(mSettings.usageWindow.count())
  , mNodeObserver(std::make_unique<node_observer>(*this))
  , mNodeFollower(
      std::make_unique<keyed_follower>(mParts.loop,
                                       mParts.log,
                                       kNodePartition,
                                       keyed_follower::timing{ kNodePollWait },
                                       *mNodeObserver))
  , mLeaderObserver(std::make_unique<leader_observer>(*this))
  , mLeaderFollower(std::make_unique<keyed_follower>(
      mParts.loop,
      mParts.log,
      kLeaderPartition,
      keyed_follower::timing::Prompt(kLeaderPollWait),
      *mLeaderObserver))
  , mElection({ mInstance,
                mSettings.vm,
                mSettings.peerAddress,
                mSettings.zone,
                0,
                false },
              ElectionTiming(mSettings),
              mParts.loop.Now())
{
  mTargets.Evacuations().AwaitOrders();
  mTargets.SetRegions(region_map(mSettings.regions));
}

ferry_node::~ferry_node() = default;

void
ferry_node::Start()
{
  WriteNodeRecord(true);
  mNodeFollower->Start();
  mLeaderFollower->Start();
  mCrashes.Start();
  mSoftware.Start();
  mElectionTicker =
    std::make_unique<periodic_timer>(mParts.loop, kElectionTick, [this] {
      StepElection();
      mIsolation.Step(mLeaderFollower->LastContact());
    });
  mSlowTicker =
    std::make_unique<periodic_timer>(mParts.loop, kSlowTick, [this] {
      SaveUsage();
      mTargets.Expire(mParts.loop.Now());
      mCrashes.Expire(Leader() != nullptr);
      mSoftware.Observe();
      if (Leader()) {
        mSoftware.Save();
      }
      mMetrics.SetGauge("ferry_leads", {}, Leader() ? 1.0 : 0.0);
      mMetrics.SetGauge(
        "ferry_targets", {}, static_cast<double>(mTargets.All().size()));
      mMetrics.SetGauge(
        "ferry_targets_out_of_reach", {}, mTargetClient.CutOff() ? 1.0 : 0.0);
      mMetrics.SetGauge(
        "ferry_isolated", {}, mIsolation.Isolated() ? 1.0 : 0.0);
      mMetrics.SetGauge("ferry_blocked_requests",
                        {},
                        static_cast<double>(mCrashes.CountBlocked()));
      mMetrics.SetGauge("ferry_environment_version",
                        {},
                        static_cast<double>(mEnvironment.Version()));
      SetZoneMetrics();
      RunLeaderDuties();
      HandOverIfCutOff();
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
  ApplyColdRates();
  if (mOnEnvironment) {
    mOnEnvironment(mEnvironment);
  }
}

void
ferry_node::SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
{
  std::int64_t& known = mNewestVersions[aModel];
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
  if (!before || before->entry.draining != aTarget.draining ||
      before->entry.software != aTarget.software) {
    Log(log_level::Info,
        "target_changed",
        { { "target", aTarget.id },
          { "service", aTarget.service },
          { "zone", aTarget.zone },
          { "software", aTarget.software },
          { "state", aTarget.draining ? "draining" : "ready" } });
  }
  const bool added = !before;
  const bool softwareChanged =
    before && before->entry.software != aTarget.software;
  mTargets.Update(aTarget, mParts.loop.Now());
  mCrashes.NoteRecord(aTarget);
  if (softwareChanged) {
    mSoftware.Observe();
  } else if (added) {
    mSoftware.NoteAdded(aTarget);
  }
  if (mLeader) {
    if (softwareChanged) {
      mLeader->OnSoftwareChanged(aTarget.id);
    }
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
  return mLeader && mLeader->Ready() && mElection.Leads() ? mLeader.get()
                                                          : nullptr;
}

bool
ferry_node::StateIsAuthoritative() const
{
  return mElection.IsSoleLeader(mParts.loop.Now());
}

std::optional<leader_record>
ferry_node::OtherLeader() const
{
  const auto& holder = mElection.Holder();
  return holder && holder->holder != mInstance ? holder : std::nullopt;
}

void
ferry_node::LeaderEnded(const std::string& aHolder)
{
  mElection.HolderEnded(aHolder, mParts.loop.Now());
}

void
ferry_node::ProbeLeader()
{
  const auto leader = OtherLeader();
  const time_point now = mParts.loop.Now();
  if (!leader || now - mLastLeaderProbe < kProbeInterval) {
    return;
  }
  mLastLeaderProbe = now;
  exchange_options options;
  options.connectTimeout = kProbeTimeout;
  options.readTimeout = kProbeTimeout;
  mParts.client.Send(
    leader->address,
    // Any response shows that the process runs; no run has an empty id.
    MakeRelayedAttach({}, HighestFence()),
    options,
    std::make_shared<response_collector>(
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
  const auto& holder = mElection.Holder();
  return std::max(mElection.Leads() ? mElection.Fence() : 0,
                  holder ? holder->fence : 0);
}

void
ferry_node::WriteNodeRecord(bool aPresent)
{
  append_request request;
  request.where = kNodePartition;
  request.records.push_back({ mSettings.vm,
                              aPresent ? EncodeNode({ mSettings.vm,
                                                      mInstance,
                                                      mSettings.zone,
                                                      mSettings.peerAddress,
                                                      mSettings.cpuShare })
                                       : std::string() });
  mParts.log.Append(
    std::move(request), [this, aPresent](const append_result& aResult) {
      if (aResult.status != append_status::Done && aPresent != mResigned) {
        mNodeRecordTimer =
          mParts.loop.After(kNodeRecordRetryDelay,
                            [this, aPresent] { WriteNodeRecord(aPresent); });
      }
    });
}

void
ferry_node::CountRun(const std::string& aTeam, std::int64_t aUnixMilliseconds)
{
  if (!aTeam.empty()) {
    mUsageMeter.Count(aTeam, aUnixMilliseconds);
  }
}

void
ferry_node::SaveUsage()
{
  if (mSavingUsage || !mUsageMeter.Changed()) {
    return;
  }
  mSavingUsage = true;
  append_request request;
  request.where = kUsagePartition;
  request.records.push_back({ mInstance, EncodeUsage(mUsageMeter.Snapshot()) });
  mParts.log.Append(std::move(request), [this](const append_result& aResult) {
    mSavingUsage = false;
    if (aResult.status != append_status::Done) {
      // Counts only grow, so saving them again later is safe.
      mUsageMeter.MarkChanged();
    }
  });
}

} // namespace arbutusferry::node
