#pragma once

#include "arbutusferry/node/batch_table.hpp"
#include "common/tcp_proxy.hpp"
#include "soak_servers.hpp"
#include "soak_targets.hpp"
#include "socket_owner.hpp"
#include "upload_target.hpp"
#include "zone_target.hpp"

#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <sys/wait.h>
#include <vector>

namespace arbutusferry::node_soak {

struct soak_options
{
  std::uint64_t seed = 1; ///< Seeds faults and load.
  std::chrono::seconds loadDuration{ 8 };
  int nodes = 4;
  bool limits = false;       ///< Whether targets name limits.
  bool fencesChecked = true; ///< Whether targets and duties check fences.
  /// Whether planned stops of nodes, one after the other, are the only faults.
  bool stopsOnly = false;
  /// Whether a zone is evacuated at times, and targets return cold.
  bool zones = false;
  /// Whether two nodes read the registry of targets for the others.
  bool zoneReaders = false;
  std::string nodeProgram;
  std::string logDirectory; ///< Existing directory; empty discards the logs.
};

/// @return A free port that this process has not returned before.
[[nodiscard]] std::uint16_t
FreePort();

[[nodiscard]] inline socket_address
LoopbackAddress(std::uint16_t aPort)
{
  return { "127.0.0.1", aPort };
}

/// A node process, its ports and the proxy between it and the store.
struct node_process
{
  int index = 0;
  std::uint16_t callerPort = FreePort();
  std::uint16_t readyPort = FreePort();
  std::uint16_t peerPort = FreePort();
  std::uint16_t metricsPort = FreePort();
  standin::tcp_proxy storeProxy;
  std::string settingsPath;
  pid_t pid = -1;
  /// The node is disturbed, or was a short time ago.
  time_point excusedUntil;
  /// What it sends may have been held up by a pause or a cut until then.
  time_point heldUpUntil;
  bool paused = false;
  bool stopping = false; ///< It was told to stop, and nothing else happened.

  void Spawn(const soak_options& aOptions);
  void Signal(int aSignal) const;
  /// @return Whether the process has ended.
  bool ReapIfExited();
};

/// A target that ends when it begins to run a request with `kCrashingBody`, and
/// starts again at the same address under another id.
class fragile_target final : public node::request_handler
{
public:
  static constexpr const char* kCrashingBody = "crash";

  fragile_target(node::asio_loop& aLoop, fake_store& aStore, std::string aName)
    : mLoop(aLoop)
    , mStore(aStore)
    , mName(std::move(aName))
  {
  }
  void Start();
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
  [[nodiscard]] std::size_t Ends() const noexcept { return mEnds; }

  /// Called when the target ends, with the sender's port.
  std::function<void(std::uint16_t)> onEnd;

private:
  void End();

  node::asio_loop& mLoop;
  fake_store& mStore;
  std::string mName;
  std::string mId; ///< Of the current process.
  std::uint16_t mPort = FreePort();
  std::size_t mEnds = 0;
  std::unique_ptr<node::http_listener> mListener;
  std::unique_ptr<node::timer> mTimer;
  std::vector<std::unique_ptr<node::timer>> mResponses;
};

/// State of a batch from the trainer's point of view.
struct trainer_batch
{
  std::string id;
  std::string path; ///< Of its route.
  std::size_t model = 0;
  std::int64_t minVersion = 1;
  std::size_t itemCount = 0;
  bool accepted = false;
  bool submitted = false;
  bool endRequested = false;
  bool ended = false;
  time_point endedAt;
  bool requestPending = false;
  time_point startTime;
  std::vector<std::string> results; ///< As first read, by position.
};

/// A stream from the point of view of its caller, who takes it up again after a
/// break.
struct caller_stream
{
  std::string origin; ///< Request that brought the first event.
  std::string software;
  std::size_t events = 0;
  int attempts = 0;
};

/// How a response to a stream's request ended.
struct stream_outcome
{
  int status = 0;        ///< 0 without a response.
  bool complete = false; ///< Whether it ended as a whole one does.
  bool served = false;   ///< Whether events came.
  std::string body;      ///< Of a response that is no stream.
};

/// How often streams began, or went on, of those that undisturbed nodes got.
struct stream_counts
{
  std::size_t sent = 0;
  std::size_t served = 0;
};

/// Runs node processes under load and random faults, and checks the responses
/// to callers and the requests to targets.
class soak_test
{
public:
  explicit soak_test(soak_options aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.seed)
    , mStore(mLoop)
    , mDutyService(mLoop, mFindings)
    , mClient(node::MakeHttpClient(mLoop))
  {
  }
  ~soak_test()
  {
    for (const auto& process : mNodes) {
      process->Signal(SIGKILL);
      if (process->pid > 0) {
        waitpid(process->pid, nullptr, 0);
      }
    }
  }
  soak_test(const soak_test&) = delete;
  soak_test& operator=(const soak_test&) = delete;

  int Run();

private:
  std::uint64_t RandomBelow(std::uint64_t aLimit) { return mRandom() % aLimit; }
  std::uint16_t StartListener(node::request_handler& aHandler);
  void StartTargets();
  void StartNodes();
  void PutConfig();
  /// @return Whether texts on the route `/v/` must each have one version, so
  /// that weight orders let runs finish first.
  [[nodiscard]] bool SingleVersions() const { return mOptions.seed % 2 == 1; }
  /// Makes most targets name limits below the load.
  void NameLimits();
  /// Excuses a node from some checks during a fault and for some time after it.
  void Excuse(node_process& aProcess, duration aFor);
  void InjectFault();
  /// Stops the next node in turn, unless the last one has not started again.
  void StopNextNode();
  void ClearFaults();
  void RunAfter(duration aDelay, std::function<void()> aFunction);
  void RestartExitedNodes();
  void StartBatch();
  void AdvanceBatch(trainer_batch& aBatch);
  void SubmitBatch(trainer_batch& aBatch);
  void ReadResults(trainer_batch& aBatch);
  void EndBatch(trainer_batch& aBatch);
  void CheckResult(const trainer_batch& aBatch, const Json::Value& aResult);
  void CallService();
  /// @return The node that has a connection with a local port, if one has.
  [[nodiscard]] node_process* SenderOf(const node::responder& aResponder);
  /// @return Whether what a node sends may have been held up.
  [[nodiscard]] bool HeldUp(const node::responder& aResponder);
  void OnRewardCall(const std::string& aItem,
                    const node::responder& aResponder);
  void OnScored(const std::string& aItem, const std::string& aScore);
  void CheckScore(const std::string& aItem, const Json::Value& aResult);
  /// Sends a long request to a target that responds before it has read it.
  void SendUpload();
  /// Sends the crashing request, and another one for the same targets.
  void CallFragileTargets();
  /// Counts a run of the crashing request, unless the sender is excused.
  void OnFragileEnd(std::uint16_t aSenderPort);
  void CheckCrashes();
  void StartZones();
  /// Checks a request that a target of a zone has taken.
  void OnZoneRequest(const std::string& aZone,
                     const node::responder& aResponder);
  /// Orders an evacuation, revokes it, and so on.
  void OrderEvacuation();
  void RestartZoneTargets();
  void CallZoneTargets();
  void PrintZones();
  void StartStream();
  /// Resets the connections of a sampler of streams from time to time.
  void BreakStreams();
  void SendStream(const std::shared_ptr<caller_stream>& aStream);
  void OnStreamEvent(caller_stream& aStream,
                     const std::string& aRequest,
                     const node::event_stream_parser::event& aEvent);
  void OnStreamEnd(const std::shared_ptr<caller_stream>& aStream,
                   const std::string& aRequest,
                   stream_counts* aCounts,
                   const stream_outcome& aOutcome);
  void CheckResumedStreams();
  /// @return Online samplers of the streams' service with a software version.
  [[nodiscard]] std::size_t StreamSamplers(const std::string& aSoftware) const;
  void SendToNode(node::http_request aRequest,
                  node::response_collector::callback aDone)
  {
    SendTo(RandomNode(), std::move(aRequest), std::move(aDone));
  }
  void SendTo(const node_process& aNode,
              node::http_request aRequest,
              node::response_collector::callback aDone);
  [[nodiscard]] const node_process& RandomNode()
  {
    return *mNodes[RandomBelow(mNodes.size())];
  }
  void AddFinding(std::string aText) { mFindings.push_back(std::move(aText)); }
  [[nodiscard]] bool AllBatchesEnded() const;

  soak_options mOptions;
  std::mt19937_64 mRandom;
  finding_list mFindings;
  node::asio_loop mLoop;
  fake_store mStore;
  fake_duty_service mDutyService;
  std::unique_ptr<node::http_client> mClient;
  std::vector<std::unique_ptr<fake_sampler>> mSamplers;
  std::vector<std::string> mSamplerAddresses;
  std::vector<std::unique_ptr<fake_plain_service>> mServices;
  std::vector<std::unique_ptr<fragile_target>> mFragile;
  std::unique_ptr<upload_target> mUploads;
  std::uint64_t mUploadCount = 0;
  std::uint64_t mWholeUploads = 0;     ///< Brought a whole response.
  std::optional<time_point> mThirdEnd; ///< Of a fragile target.
  std::size_t mFragileEnds = 0;
  std::size_t mLateEnds = 0; ///< That undisturbed nodes had to prevent.
  std::uint64_t mFragileCalls = 0;
  std::uint64_t mFragileServed = 0;
  std::vector<std::unique_ptr<zone_target>> mZoneTargets;
  std::optional<time_point> mEvacuatedAt; ///< When the order was stored.
  std::uint64_t mEvacuations = 0;
  std::uint64_t mExcusedZoneRequests = 0;
  std::uint64_t mZoneCalls = 0;
  std::uint64_t mZoneServed = 0;
  /// Nodes may not learn what others wrote to the store until then.
  time_point mStoreExcusedUntil;
  std::vector<limited_requests*> mLimits; ///< Of targets that name one.
  std::size_t mLargestPeak = 0;
  stream_counts mNewStreams;
  stream_counts mResumedStreams;
  std::uint64_t mStreamCount = 0;
  std::uint64_t mRejectedStreams = 0; ///< By samplers.
  std::vector<std::unique_ptr<node::http_listener>> mListeners;
  std::vector<std::unique_ptr<node_process>> mNodes;
  std::vector<std::unique_ptr<trainer_batch>> mBatches;
  std::map<std::string, int> mServiceRunCounts;
  std::set<std::string> mRejected;      ///< Requests reported as not run.
  std::set<std::string> mNonIdempotent; ///< Requests to run at most once.
  std::set<std::string> mStartedItems;
  std::set<std::string> mFinishedItems; ///< Their last event was made.
  std::map<std::string, std::set<std::string>> mScores; ///< By item.
  std::map<std::string, int> mRewardFailures;           ///< By item.
  std::map<std::string, const trainer_batch*> mBatchOfItem;
  std::uint64_t mRewardCalls = 0;
  std::int64_t mPublishedVersions[2] = { 1, 1 };
  std::uint64_t mSentCount = 0; ///< Requests of callers, of all kinds.
  std::uint64_t mCallCount = 0;
  std::uint64_t mAnsweredCount = 0;
  std::uint64_t mFaultCount = 0;
  std::uint64_t mCallsAtStopping = 0; ///< Calls to nodes that are stopping.
  bool mFaultsCleared = false;
  std::vector<std::unique_ptr<node::timer>> mTimers;
};

} // namespace arbutusferry::node_soak
