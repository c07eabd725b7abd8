#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <set>
#include <sys/types.h>

namespace review {

/// @return Milliseconds since the scenario began.
[[nodiscard]] std::int64_t
NowMs();
void
SleepUntilMs(std::int64_t aMs);
void
SleepMs(std::int64_t aMs);

/// Writes what was sent, answered and run, with times, to record.txt.
void
OpenRecord(const std::string& aFolder);
void
Note(const std::string& aText);

/// The platform's store: topics of records, long polls, the newest record of
/// each key.
class platform_store
{
public:
  platform_store();
  [[nodiscard]] int Port() const noexcept { return mServer.Port(); }
  /// Writes a record as the operator or a sampler does.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// @return The newest value of a key; empty if there is none.
  [[nodiscard]] std::string Newest(const std::string& aTopic,
                                   const std::string& aKey);
  /// While down, the store answers 503 and does nothing.
  void SetDown(bool aDown);

private:
  struct producer
  {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> next;
    /// The latest appends and their answers.
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct partition
  {
    std::vector<std::string> records;
    std::map<std::string, producer> producers;
    std::mutex appending;
  };

  void Serve(const request& aRequest, channel& aChannel);
  void Append(const request& aRequest, channel& aChannel);
  void Read(const request& aRequest, channel& aChannel);
  void List(const request& aRequest, channel& aChannel);
  [[nodiscard]] partition& Find(const std::string& aTarget);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, partition> mPartitions;
  bool mDown = false;
  http_server mServer;
};

/// The platform's duties: takes usage reports and orders.
class platform_duties
{
public:
  platform_duties();
  [[nodiscard]] int Port() const noexcept { return mServer.Port(); }

private:
  std::mutex mMutex;
  std::uint64_t mHighestFence = 0;
  http_server mServer;
};

/// What a sampler does with a request.
struct work
{
  int status = 200;
  /// Data of the events of an item's whole output.
  std::vector<std::string> events;
  std::int64_t eventMs = 50;
  /// Time that a plain request takes.
  std::int64_t plainMs = 25;
};

/// One start of a request at a sampler.
struct run_start
{
  std::string sampler;
  std::string item;
  std::int64_t atMs = 0;
  /// Node that sent it, from 0 on; -1 if it wasn't found.
  int sender = -1;
  int status = 0; ///< Of the answer; 0 until it was sent.
  std::int64_t answeredMs = -1;
};

struct sampler_settings
{
  std::string id;
  std::string service;
  std::string zone = "z0";
  std::string model; ///< Empty for a plain service.
  int slots = 4;
  int queue = 4;
};

/// A sampler: a model engine or a plain service.
class sampler
{
public:
  using planner = std::function<work(const std::string& aRequestId)>;

  sampler(sampler_settings aSettings, platform_store& aStore, planner aPlanner);
  [[nodiscard]] const std::string& Id() const noexcept { return mSettings.id; }
  [[nodiscard]] std::vector<run_start> Starts();
  /// Finds the node that sent a request, by the port it came from.
  std::function<int(int aPeerPort)> findSender;

private:
  void Serve(const request& aRequest, channel& aChannel);
  void ServeOrder(const request& aRequest, channel& aChannel);
  /// @param aRun Index of the run.
  void RunItem(const request& aRequest,
               const std::string& aId,
               const work& aWork,
               std::size_t aRun,
               channel& aChannel);
  void RunPlain(const std::string& aId, const work& aWork, channel& aChannel);
  [[nodiscard]] bool TakeSlot(channel& aChannel);
  [[nodiscard]] std::string Entry();
  void Beat();

  sampler_settings mSettings;
  platform_store& mStore;
  planner mPlanner;
  std::mutex mMutex;
  std::condition_variable mSlotFree;
  int mRunning = 0;
  int mQueued = 0;
  std::int64_t mVersion = 1;
  std::uint64_t mOrders = 0;
  std::uint64_t mHighestFence = 0;
  std::uint64_t mBeats = 0;
  std::vector<run_start> mStarts;
  http_server mServer;
};

/// The project's node programs, each a process of its own. The platform starts
/// a process again that was killed or stopped.
class node_fleet
{
public:
  node_fleet(std::string aProgram,
             const platform_store& aStore,
             const platform_duties& aDuties,
             int aCount,
             bool aFencesChecked);
  node_fleet(const node_fleet&) = delete;
  node_fleet& operator=(const node_fleet&) = delete;

  /// Starts a process, from the main thread: it ends with the thread.
  void Start(int aNode);
  /// Kills all processes and removes their settings.
  void EndAll();
  void Signal(int aNode, int aSignal);
  /// Waits for the end of a process.
  /// @return Whether it ended in time.
  [[nodiscard]] bool AwaitEnd(int aNode, std::int64_t aTimeoutMs);
  /// @return Whether all processes count as ready within the time.
  [[nodiscard]] bool AwaitReady(std::int64_t aTimeoutMs);
  [[nodiscard]] bool Ready(int aNode) const;
  [[nodiscard]] int Count() const noexcept
  {
    return static_cast<int>(mNodes.size());
  }
  [[nodiscard]] int CallerPort(int aNode) const
  {
    return mNodes[static_cast<std::size_t>(aNode)].callers;
  }
  /// @return The node that a connection comes from, or -1.
  [[nodiscard]] int Sender(int aPeerPort) const;
  /// @return The node that wrote to the leadership topic last, or -1.
  [[nodiscard]] int Leader(platform_store& aStore) const;
  /// Partitions a node from the store, or ends that.
  void CutFromStore(int aNode, bool aCut);

private:
  struct node
  {
    std::string name;
    std::string settings;
    int callers = 0;
    int ready = 0;
    std::unique_ptr<proxy_link> storeLink;
    pid_t process = -1;
  };

  std::string mProgram;
  std::string mFolder;
  std::vector<node> mNodes;
};

/// What a scenario runs against. Its threads serve until the process ends, so
/// it is never destroyed.
struct world
{
  platform_store store;
  platform_duties duties;
  std::vector<std::unique_ptr<sampler>> samplers;
  std::unique_ptr<node_fleet> nodes;

  /// Starts the nodes and waits until all are ready and in touch.
  /// @param aFencesChecked Whether samplers and the platform check fencing
  /// tokens (`require-fencing`).
  /// @return Whether they are.
  [[nodiscard]] bool StartNodes(const std::string& aProgram,
                                int aCount,
                                bool aFencesChecked = true);
  /// @return All starts at samplers so far.
  [[nodiscard]] std::vector<run_start> Starts() const;
};

/// One route of the manifest.
struct route
{
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int maxAttempts = 3;
  int timeoutMs = 10'000;
};

inline constexpr const char* kHost = "ficu95.example";
inline constexpr const char* kKey = "2b9wu3fexd9dnn2ctnfz";
inline constexpr const char* kModel = "daka510000";

/// Writes a manifest with one tenant and its key.
void
PutManifest(platform_store& aStore,
            int aVersion,
            const std::vector<route>& aRoutes);

/// @return A call of the tenant's with its key.
[[nodiscard]] request
TenantCall(const std::string& aMethod,
           const std::string& aTarget,
           int aDeadlineMs);
/// One item of a submission.
struct submitted_item
{
  std::string id;
  /// Most tokens of its output.
  int outputTokens = 26;
  /// Path of its reward call, whose id is "w-" and the item's; none if empty.
  std::string rewardPath = {};
};
/// @return The submission of a batch, with groups of four items each.
[[nodiscard]] request
Submission(const std::string& aPrefix,
           const std::string& aId,
           const std::vector<submitted_item>& aItems,
           int aDeadlineMs);
[[nodiscard]] request
Submission(const std::string& aPrefix,
           const std::string& aId,
           const std::vector<std::string>& aItems,
           int aDeadlineMs);

/// A page of a batch's results, by item id.
struct result_page
{
  int status = 0; ///< 0 if there was no answer.
  std::size_t next = 0;
  std::vector<std::string> items;
  std::vector<std::string> texts;
  std::vector<std::string> states;
};
[[nodiscard]] result_page
ReadResults(int aPort, const std::string& aBatch, std::size_t aAfter);

/// Sends a call to one node after another until it is answered with a status
/// that isn't 5xx.
/// @return The last result.
[[nodiscard]] call_result
CallWithRetries(const node_fleet& aNodes,
                int aFirstNode,
                const request& aRequest,
                int aTimeoutMs,
                int aTries);

/// Ends the process with exit code 2 if the scenario takes too long.
void
LimitTime(int aSeconds);
/// @return Whether the scenario runs with its disruption.
[[nodiscard]] bool
WithTrouble();
[[nodiscard]] std::string
DescribeEnd(const call_result& aResult);

enum class verdict
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

/// A scenario of a case, with its programs' paths.
struct scenario_paths
{
  std::string node;   ///< The node program.
  std::string folder; ///< Where record.txt goes.
};
/// Runs a scenario, ends its nodes and exits with its verdict.
[[nodiscard]] int
RunScenario(int aCount,
            char** aArguments,
            const std::function<verdict(const scenario_paths&)>& aScenario);

} // namespace review
