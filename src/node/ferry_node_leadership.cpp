#include "arbutusferry/node/ferry_node.hpp"
#include "ferry_node_observers.hpp"
#include "leadership_topics.hpp"

#include "arbutusferry/logging.hpp"

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Silence of the holder after which a node that reaches no target claims
/// leadership: others claim after 3.9 s at the latest.
constexpr milliseconds kCutOffClaimDelay{ 5'000 };
/// Longest time from starting a run to its sampler: `kMaxTransitTime` (1 s, in
/// run_relay.cpp) plus `kRunConnectTimeout` (0.4 s). Items may start up to
/// `cancelWithin` (3 s) after the end of their batch, so a leader starts runs
/// up to 1.6 s after its leadership was last confirmed.
constexpr milliseconds kRunStartMargin{ 1'400 };
/// Longest wait of a stopping leader for its last write to the journal.
constexpr milliseconds kHandOverTimeout{ 500 };
/// The only key of the leadership topic.
constexpr const char* kLeaderKey = "leader";

} // namespace

void
ferry_node::WriteLeaderRecord(leader_record aRecord)
{
  mWritingLeaderRecord = true;
  append_request request;
  request.where = kLeaderPartition;
  request.expectedEnd = mLeaderFollower->NextOffset();
  request.records.push_back({ kLeaderKey, EncodeLeader(aRecord) });
  const time_point sentAt = mParts.loop.Now();
  if (!mElection.Leads() || aRecord.released) {
    Log(
      log_level::Info,
      aRecord.released ? "leader_release" : "leader_claim",
      { { "fence", std::to_string(aRecord.fence) },
        { "at", std::to_string(*request.expectedEnd) },
        { "silent_ms",
          std::to_string(ToMilliseconds(mElection.HolderSilence(sentAt))) },
        { "holder",
          mElection.Holder() ? mElection.Holder()->holder : std::string() } });
  }
  mElection.Sent(sentAt);
  mParts.log.Append(
    std::move(request),
    [this, aRecord = std::move(aRecord), sentAt](const append_result& aResult) {
      mWritingLeaderRecord = false;
      if (aResult.status != append_status::Done) {
        Log(log_level::Info,
            "leader_record_not_written",
            { { "status", std::to_string(static_cast<int>(aResult.status)) },
              { "end", std::to_string(aResult.end) },
              { "fence", std::to_string(aRecord.fence) } });
      }
      const time_point now = mParts.loop.Now();
      if (aResult.status == append_status::Done) {
        // A waiting read may miss an append that was in progress when it
        // arrived, so the own record is applied here.
        mElection.Observe(aResult.offset, aRecord, now);
        if (!aRecord.released) {
          mElection.Confirmed(sentAt);
        }
      } else if (aResult.status == append_status::WrongEnd) {
        mLeaderFollower->ReadNow();
      }
      if (aResult.status != append_status::Done && aRecord.released &&
          mElection.Holder() && mElection.Holder()->holder == mInstance) {
        mReleaseTimer = mParts.loop.After(
          kElectionTick, [this, aRecord] { WriteLeaderRecord(aRecord); });
      }
      // Acts on the records read by now, whichever process wrote them.
      ApplyElection();
    });
}

void
ferry_node::StepElection()
{
  ApplyElection();
  if (mResigned || mWritingLeaderRecord ||
      !mLeaderFollower->InitialReadDone() ||
      (mLeaderFollower->Disconnected() && !mElection.Leads()) ||
      !mElection.ShouldWrite(mParts.loop.Now())) {
    return;
  }
  if (!mElection.Leads() && mTargetClient.CutOff() &&
      mElection.HolderSilence(mParts.loop.Now()) < kCutOffClaimDelay) {
    return;
  }
  WriteLeaderRecord(
    mElection.NextRecord(mLeaderFollower->NextOffset(), mParts.loop.Now()));
}

void
ferry_node::ApplyElection()
{
  if (!mElection.Leads() && mLeader) {
    EndTerm("superseded");
    return;
  }
  if (!mElection.Leads() || mLeader || mEndTermTimer || mResigned) {
    return;
  }
  Log(log_level::Info,
      "leadership_began",
      { { "fence", std::to_string(mElection.Fence()) } });
  mTargets.SpendLimitBursts(mParts.loop.Now());
  mTargetClient.CheckReach();
  // The leader may learn in its own callbacks that its term is over, so it is
  // destroyed from the event loop.
  const auto superseded = [this] {
    mElection.StepDown(mParts.loop.Now());
    mEndTermTimer = mParts.loop.After(duration::zero(), [this] {
      mEndTermTimer.reset();
      EndTerm("fenced");
    });
  };
  const auto mayAct = [this] { return mElection.MayAct(mParts.loop.Now()); };
  const auto mayStartRuns = [this] {
    return mElection.ConfirmedWithin(mSettings.cancelWithin - kRunStartMargin,
                                     mParts.loop.Now());
  };
  const auto mayStartCold = [this] { return mLimits.MayGrant(); };
  mLeader =
    std::make_unique<batch_leader>(batch_leader::parts{ mParts.loop,
                                                        mParts.client,
                                                        mTargetClient,
                                                        mParts.log,
                                                        mTargets,
                                                        mNodes,
                                                        mParts.protocol,
                                                        *this,
                                                        mRewards,
                                                        mMetrics,
                                                        mInstance,
                                                        mSettings.batchReadable,
                                                        superseded,
                                                        mayAct,
                                                        mayStartRuns,
                                                        mayStartCold },
                                   mElection.Fence());
  for (const auto& [model, version] : mNewestVersions) {
    mLeader->SetNewestVersion(model, version);
  }
  mLeader->Start([this, superseded, mayAct](
                   const std::map<std::int64_t, std::string>& aPersisted) {
    usage_reporter::parts reporterParts{ mParts.loop,
                                         mParts.duties,
                                         mElection.Fence(),
                                         mSettings.usageWindow,
                                         mSettings.usageDue,
                                         {},
                                         mayAct,
                                         superseded };
    reporterParts.persist = [this](std::int64_t aWindow,
                                   const team_counts& aCounts,
                                   std::function<void()> aDone) {
      mLeader->AppendRecords({ { UsageKey(aWindow), EncodeCounts(aCounts) } },
                             std::move(aDone));
    };
    mUsageReporter =
      std::make_unique<usage_reporter>(std::move(reporterParts), aPersisted);
    mUsageObserver = std::make_unique<usage_observer>(*this);
    mUsageFollower = std::make_unique<keyed_follower>(
      mParts.loop,
      mParts.log,
      kUsagePartition,
      keyed_follower::timing{ milliseconds(1'000), kSlowTick },
      *mUsageObserver);
    mUsageFollower->Start();
    mScalePlan = {};
  });
}

void
ferry_node::EndTerm(const char* aReason)
{
  if (!mLeader) {
    return;
  }
  Log(
    log_level::Warning,
    "leadership_ended",
    { { "reason", aReason }, { "fence", std::to_string(mElection.Fence()) } });
  mUsageFollower.reset();
  mUsageObserver.reset();
  mUsageReporter.reset();
  const auto leader = std::move(mLeader);
}

void
ferry_node::Resign()
{
  if (mResigned) {
    return;
  }
  mResigned = true;
  WriteNodeRecord(false);
  HandOverLeadership("resigned");
}

void
ferry_node::HandOverLeadership(const char* aReason)
{
  if (batch_leader* leader = Leader()) {
    // Hands over what was generated so far through the journal.
    leader->HandOver([this, aReason] { ReleaseLeadership(aReason); });
    mReleaseTimer = mParts.loop.After(
      kHandOverTimeout, [this, aReason] { ReleaseLeadership(aReason); });
  } else if (mElection.Leads()) {
    ReleaseLeadership(aReason);
  }
}

void
ferry_node::HandOverIfCutOff()
{
  if (!Leader() || !mTargetClient.CutOff() || mReleaseTimer) {
    return;
  }
  mTargetClient.FindReach([this, fence = mElection.Fence()] {
    if (Leader() && mElection.Fence() == fence && mTargetClient.CutOff() &&
        !mReleaseTimer) {
      HandOverLeadership("targets_out_of_reach");
    }
  });
}

void
ferry_node::ReleaseLeadership(const char* aReason)
{
  mReleaseTimer.reset();
  if (!mElection.Leads()) {
    return;
  }
  leader_record record =
    mElection.NextRecord(mLeaderFollower->NextOffset(), mParts.loop.Now());
  record.released = true;
  mElection.StepDown(mParts.loop.Now());
  mEndTermTimer = mParts.loop.After(duration::zero(), [this, aReason] {
    mEndTermTimer.reset();
    EndTerm(aReason);
  });
  WriteLeaderRecord(std::move(record));
}

void
ferry_node::RunLeaderDuties()
{
  if (!Leader() || !mUsageReporter || !mElection.MayAct(mParts.loop.Now())) {
    return;
  }
  if (mUsageFollower->InitialReadDone()) {
    mUsageReporter->Tick();
  }
  for (const scale_plan::order& order : mScalePlan.Due(
         mEnvironment, mTargets, mSettings.zones, mParts.loop.Now())) {
    mParts.duties.OrderTargets(
      order.service,
      order.zone,
      order.count,
      mElection.Fence(),
      [this, order](duty_status aStatus) {
        Log(log_level::Info,
            "targets_ordered",
            { { "service", order.service },
              { "zone", order.zone },
              { "count", std::to_string(order.count) },
              { "outcome",
                aStatus == duty_status::Done ? "done" : "not_done" } });
        mScalePlan.Note(order, aStatus, mParts.loop.Now());
      });
  }
}

} // namespace arbutusferry::node
