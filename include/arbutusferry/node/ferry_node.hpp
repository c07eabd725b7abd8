#pragma once

#include "arbutusferry/node/batch_leader.hpp"
#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/crash_watch.hpp"
#include "arbutusferry/node/forwarded_rewards.hpp"
#include "arbutusferry/node/keyed_follower.hpp"
#include "arbutusferry/node/leader_election.hpp"
#include "arbutusferry/node/platform_duties.hpp"
#include "arbutusferry/node/software_watch.hpp"
#include "arbutusferry/node/target_gateway.hpp"
#include "arbutusferry/node/usage_windows.hpp"
#include "recovery/isolation_check.hpp"

#include <memory>
#include <string>

namespace arbutusferry::node {

/// Settings of a node and of its deployment.
struct node_settings
{
  std::string vm;
  std::string zone;
  socket_address peerAddress; ///< Where other nodes reach this one.
  std::vector<std::string> zones;
  /// CPU share in cores; nodes with more claim leadership sooner.
  double cpuShare = 1.0;
  /// Lease of the leadership where targets don't check fencing tokens.
  std::chrono::milliseconds lease{ 3'000 };
  bool fencesChecked = true;
  std::chrono::milliseconds usageWindow{ 5'000 };
  std::chrono::milliseconds usageDue{ 10'000 };
  std::chrono::milliseconds batchReadable{ 120'000 };
  /// Time after the end of a batch from which none of its items may begin.
  std::chrono::milliseconds cancelWithin{ 3'000 };
  std::map<std::string, std::string> regions = {}; ///< By zone.
};

/// A node: its view of the deployment, the forwarding of plain requests, and
/// the leader's work while it leads.
class ferry_node final
  : public environment_source
  , private run_counter
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    record_log& log;
    const target_protocol& protocol;
    const caller_protocol& callers;
    duty_client& duties;
  };

  ferry_node(parts aParts, node_settings aSettings);
  ~ferry_node() override;

  void Start();
  /// Sets the function to call with each environment that takes effect.
  void OnEnvironment(std::function<void(const environment_view&)> aFunction)
  {
    mOnEnvironment = std::move(aFunction);
  }
  /// Gives up leadership and makes no further claims.
  void Resign();

  /// Applies a version of the environment if it is newer than the current one.
  void SetEnvironment(environment_view aEnvironment);
  void SetNewestVersion(const std::string& aModel, std::int64_t aVersion);
  void UpdateTarget(const target_entry& aTarget);
  void RemoveTarget(const std::string& aId);
  /// Sends nothing more to the targets of a zone.
  void EvacuateZone(const std::string& aZone, std::uint64_t aOffset);
  void LiftEvacuation(const std::string& aZone, std::uint64_t aOffset);
  /// Notes that the operator's records have been read to their present end.
  void NoteOrdersRead();
  /// @return Whether the operator's records were read to their end since the
  /// start. Until then, that a route, key or order is missing says nothing.
  [[nodiscard]] bool OrdersRead() const noexcept
  {
    return mTargets.Evacuations().OrdersRead();
  }
  /// @return Whether the body of a request that a caller sent to this node may
  /// be sent to a node of a zone.
  [[nodiscard]] bool MayCarry(const home_regions& aHomes,
                              const std::string& aZone) const;
  /// Notes that the registry of targets has been read to the end that it had
  /// some time ago.
  void NoteTargetsRead(duration aAge = {}) { mSoftware.NoteTargetsRead(aAge); }

  [[nodiscard]] const environment_view& Environment() const override
  {
    return mEnvironment;
  }
  [[nodiscard]] call_forwarder& Forwarder() noexcept { return mForwarder; }
  [[nodiscard]] shared_stream_origins& Origins() noexcept { return mOrigins; }
  [[nodiscard]] limit_coordinator& Limits() noexcept { return mLimits; }
  [[nodiscard]] target_gateway& Gateway() noexcept { return mGateway; }
  /// @return The client for all requests to targets.
  [[nodiscard]] http_client& TargetClient() noexcept { return mTargetClient; }
  [[nodiscard]] const node_directory& Nodes() const noexcept { return mNodes; }
  /// @return Whether the addresses of nodes have been read once.
  [[nodiscard]] bool NodesRead() const
  {
    return mNodeFollower->InitialReadDone();
  }
  [[nodiscard]] const target_view& Targets() const noexcept { return mTargets; }
  /// @return Whether there is a report on a target's end: its next record then
  /// matters, here or at another node, even if it repeats the one before.
  [[nodiscard]] bool EndReported(const std::string& aTarget) const
  {
    return mCrashes.EndReported(aTarget);
  }
  [[nodiscard]] event_loop& Loop() noexcept { return mParts.loop; }
  /// @return The leader of batches, or null unless this node leads and has read
  /// the journal.
  [[nodiscard]] batch_leader* Leader() noexcept;
  /// @return Whether absence from the leader's state proves absence.
  [[nodiscard]] bool StateIsAuthoritative() const;
  /// @return The leader as last read, if it is another process.
  [[nodiscard]] std::optional<leader_record> OtherLeader() const;
  /// Notes that a leader's process is known to have ended. Has no effect if
  /// fencing tokens aren't checked: claims then wait for the end of the lease.
  void LeaderEnded(const std::string& aHolder);
  /// Checks whether the leader's process still runs.
  void ProbeLeader();
  /// @return The highest fencing token of a leader that this node knows.
  [[nodiscard]] std::uint64_t HighestFence() const;
  /// @return The metrics of this process.
  [[nodiscard]] metrics_registry& Metrics() noexcept { return mMetrics; }
  /// @return Name of this process: node and incarnation.
  [[nodiscard]] const std::string& Instance() const noexcept
  {
    return mInstance;
  }
  /// @return Whether routes and targets are known, and no network partition
  /// separates this node from the store and from all other zones.
  [[nodiscard]] bool Serving() const noexcept
  {
    return mEnvironment.Version() > 0 && !mTargets.All().empty() &&
           OrdersRead() && !mIsolation.Isolated();
  }

private:
  class leader_observer;
  class usage_observer;
  class node_observer;

  void CountRun(const std::string& aTeam,
                std::int64_t aUnixMilliseconds) override;
  void SaveUsage();
  /// Writes this node's record, or deletes it; retries until that is stored.
  void WriteNodeRecord(bool aPresent);
  void StepElection();
  void WriteLeaderRecord(leader_record aRecord);
  void ApplyElection();
  void EndTerm(const char* aReason);
  /// Saves the state of the leader and releases leadership.
  void HandOverLeadership(const char* aReason);
  void ReleaseLeadership(const char* aReason);
  /// Hands over leadership if only other nodes reach targets: orders must come
  /// from the leader itself.
  void HandOverIfCutOff();
  void RunLeaderDuties();
  void SetZoneMetrics();
  /// Applies the cold rates of the environment's services.
  void ApplyColdRates();

  parts mParts;
  node_settings mSettings;
  std::string mInstance; ///< Node and incarnation.
  metrics_registry mMetrics;
  environment_view mEnvironment;
  std::function<void(const environment_view&)> mOnEnvironment;
  target_view mTargets;
  node_directory mNodes;
  isolation_check mIsolation;
  target_client mTargetClient;
  target_gateway mGateway;
  std::map<std::string, std::int64_t> mNewestVersions;
  limit_coordinator mLimits;
  software_watch mSoftware;
  shared_stream_origins mOrigins;
  crash_watch mCrashes;
  call_forwarder mForwarder;
  forwarded_rewards mRewards;
  usage_meter mUsageMeter;
  bool mSavingUsage = false;
  std::unique_ptr<node_observer> mNodeObserver;
  std::unique_ptr<keyed_follower> mNodeFollower;
  std::unique_ptr<leader_observer> mLeaderObserver;
  std::unique_ptr<keyed_follower> mLeaderFollower;
  leader_election mElection;
  bool mWritingLeaderRecord = false;
  bool mResigned = false;
  std::unique_ptr<batch_leader> mLeader;
  std::unique_ptr<usage_observer> mUsageObserver;
  std::unique_ptr<keyed_follower> mUsageFollower;
  std::unique_ptr<usage_reporter> mUsageReporter;
  std::unique_ptr<timer> mNodeRecordTimer;
  time_point mLastLeaderProbe;
  scale_plan mScalePlan;
  std::unique_ptr<periodic_timer> mElectionTicker;
  std::unique_ptr<periodic_timer> mSlowTicker;
  std::unique_ptr<timer> mEndTermTimer;
  std::unique_ptr<timer> mReleaseTimer;
};

} // namespace arbutusferry::node
