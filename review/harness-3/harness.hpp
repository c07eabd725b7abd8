#pragma once

#include "arbutusferry/node/asio_net.hpp"

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform, of samplers and of clients, and processes of the
/// node under test. The stand-ins run on a thread of their own; the scenario of
/// a case runs on the main thread with blocking calls.
namespace review {

namespace node = arbutusferry::node;

/// Exit codes of a case.
enum class verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

using header_map = std::vector<std::pair<std::string, std::string>>;

/// @return Whether the environment asks for the disruption (TROUBLE is not 0).
[[nodiscard]] bool
Trouble();

void
SleepMs(std::int64_t aMilliseconds);

/// @return Milliseconds of the steady clock.
[[nodiscard]] std::int64_t
NowMs();

[[nodiscard]] std::string
ToJsonText(const Json::Value& aValue);

/// @return The value, or null if the text is no JSON.
[[nodiscard]] Json::Value
FromJsonText(const std::string& aText);

[[nodiscard]] std::string
Base64(const std::string& aText);

[[nodiscard]] std::uint16_t
FreePort();

/// Writes `record.txt`, one line for each message, from any thread.
class recorder
{
public:
  explicit recorder(const std::string& aPath)
    : mFile(aPath)
    , mStart(NowMs())
  {
  }
  void Note(const std::string& aLine);

private:
  std::mutex mMutex;
  std::ofstream mFile;
  std::int64_t mStart;
};

/// Response to a client; `status` is 0 if the connection ended without a
/// complete one.
struct answer
{
  int status = 0;
  std::map<std::string, std::string> headers; ///< Names in lowercase.
  std::string body;
};

/// Sends one request on a new connection and waits for the whole response.
[[nodiscard]] answer
Call(std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const header_map& aHeaders,
     const std::string& aBody,
     int aTimeoutMs);

/// A connection that a client keeps for several requests.
class kept_channel
{
public:
  explicit kept_channel(std::uint16_t aPort);
  ~kept_channel();
  kept_channel(const kept_channel&) = delete;
  kept_channel& operator=(const kept_channel&) = delete;

  [[nodiscard]] answer Call(const std::string& aMethod,
                            const std::string& aTarget,
                            const header_map& aHeaders,
                            const std::string& aBody,
                            int aTimeoutMs);
  /// @return Whether the last call got a complete response.
  [[nodiscard]] bool Open() const noexcept { return mOpen; }

private:
  int mSocket;
  bool mOpen;
};

/// The platform's store: keyed topics, conditional appends and producers.
class platform_store final : public node::request_handler
{
public:
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;

  explicit platform_store(node::event_loop& aLoop)
    : mLoop(aLoop)
  {
  }
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
  /// Appends a record to partition 0 of a keyed topic.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// @return Value of the newest record with a key; empty if there is none.
  [[nodiscard]] std::string NewestOf(const std::string& aTopic,
                                     const std::string& aKey) const;

  /// Changes a record of a topic as it arrives, if set.
  std::function<std::string(const std::string&, std::string)> rewrite;
  /// Called with the target of each append that exceeds a limit of the store.
  std::function<void(const std::string&)> onInvalid;

private:
  struct producer
  {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::deque<std::pair<std::uint64_t, std::string>> replies;
  };
  struct partition
  {
    std::vector<std::string> records;
    std::map<std::string, producer> producers;
    std::vector<std::function<void()>> waiters;
    std::int64_t busyUntil = 0;
  };

  void Append(const node::http_request& aRequest,
              const std::shared_ptr<node::responder>& aResponder);
  [[nodiscard]] std::pair<int, std::string> Apply(
    const std::string& aTarget,
    const std::vector<std::string>& aRecords);
  void Read(const std::string& aTarget,
            std::int64_t aUntil,
            const std::shared_ptr<node::responder>& aResponder);
  void Newest(const std::string& aTarget, node::responder& aResponder);
  void After(std::int64_t aMilliseconds, std::function<void()> aFunction);

  node::event_loop& mLoop;
  std::map<std::string, partition> mPartitions;
  std::map<std::uint64_t, std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mLastTimer = 0;
};

/// The platform's endpoint for duties, which accepts all calls.
class platform_duties final : public node::request_handler
{
public:
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;
};

/// What a sampler does with a request that it runs.
struct run_plan
{
  int status = 200;
  std::int64_t delayMs = 0; ///< Until the response begins.
  /// Data of the events of a stream; without any, `body` is the response.
  std::vector<std::string> events;
  std::int64_t eventGapMs = 5;
  std::string body;
};

/// A sampler that registers itself and reports to the store.
class sampler final : public node::request_handler
{
public:
  sampler(node::asio_loop& aLoop,
          platform_store& aStore,
          recorder& aRecord,
          std::string aId,
          std::string aService,
          std::string aZone,
          int aSlots,
          std::vector<std::string> aModels);
  void Handle(node::http_request aRequest,
              std::shared_ptr<node::responder> aResponder) override;

  /// Decides on each request that reaches the sampler and names it.
  std::function<run_plan(const node::http_request&)> plan;

private:
  struct run
  {
    run_plan plan;
    std::string request;
    std::size_t next = 0; ///< Event that is due.
    std::shared_ptr<node::responder> responder;
  };

  void Report();
  void Respond(const std::shared_ptr<run>& aRun);
  void SendEvent(const std::shared_ptr<run>& aRun);
  void After(std::int64_t aMilliseconds, std::function<void()> aFunction);

  node::asio_loop& mLoop;
  platform_store& mStore;
  recorder& mRecord;
  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots;
  std::map<std::string, std::int64_t> mVersions;
  std::uint16_t mPort;
  std::int64_t mBornUnixMs;
  std::uint64_t mReports = 0;
  std::uint64_t mOrders = 0;
  std::unique_ptr<node::http_listener> mListener;
  std::unique_ptr<node::periodic_timer> mReportTimer;
  std::map<std::uint64_t, std::unique_ptr<node::timer>> mTimers;
  std::uint64_t mLastTimer = 0;
};

/// A proxy before a server that can let connections fall silent.
class silent_proxy
{
public:
  silent_proxy(node::asio_loop& aLoop, std::uint16_t aTo);
  [[nodiscard]] std::uint16_t Port() const noexcept { return mPort; }
  /// Like a partition: open connections carry no byte either way until `Heal`,
  /// and new ones are not established.
  void Cut();
  void Heal();
  /// Holds back all further bytes of the open connections whose newest request
  /// has a text in its first line. New connections work.
  /// @return How many there are, and how many are open.
  std::pair<std::size_t, std::size_t> Silence(const std::string& aText);

private:
  struct link;
  void Accept();
  static void Pump(const std::shared_ptr<link>& aLink, bool aToServer);
  static void Deliver(const std::shared_ptr<link>& aLink,
                      bool aToServer,
                      const std::shared_ptr<std::string>& aBytes);

  node::asio_loop& mLoop;
  std::uint16_t mTo;
  std::uint16_t mPort;
  std::shared_ptr<void> mAcceptor;
  std::vector<std::weak_ptr<link>> mLinks;
  bool mCut = false;
  std::vector<int> mFillers; ///< Fill the queue of new connections.
};

/// Settings of a node process.
struct node_options
{
  std::string vm;
  std::string zone;
  std::uint16_t store = 0;
  std::uint16_t duties = 0;
  int memoryMb = 140;
  int readableS = 120; ///< `status-s` of the platform.
  double cpuShare = 0.5;
};

/// A process of the program under test.
class node_process
{
public:
  node_process(node_options aOptions, std::string aFolder);
  ~node_process();
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// @return Whether the process has ended; reaps it.
  [[nodiscard]] bool Ended();
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] bool AwaitReady(int aTimeoutMs) const;
  [[nodiscard]] std::uint16_t Port() const noexcept { return mCallers; }
  [[nodiscard]] std::uint16_t PeerPort() const noexcept { return mPeers; }
  [[nodiscard]] const std::string& Vm() const noexcept { return mOptions.vm; }
  /// @return Resident memory in KiB now, 0 if the process has ended.
  [[nodiscard]] std::int64_t ResidentKb() const;
  /// @return Whether the process says of itself that it leads.
  [[nodiscard]] bool Leads() const;

private:
  node_options mOptions;
  std::string mFolder;
  std::uint16_t mCallers = FreePort();
  std::uint16_t mReady = FreePort();
  std::uint16_t mPeers = FreePort();
  std::uint16_t mMetrics = FreePort();
  pid_t mPid = -1;
};

/// The stand-ins of one deployment, and the thread that runs them.
class rig
{
public:
  /// @param aFolder Folder of the case, for `record.txt`.
  explicit rig(const std::string& aFolder);
  ~rig();
  rig(const rig&) = delete;
  rig& operator=(const rig&) = delete;

  /// Runs a function on the thread of the stand-ins and waits for it.
  void OnLoop(const std::function<void()>& aFunction);
  sampler& AddSampler(const std::string& aId,
                      const std::string& aService,
                      const std::string& aZone,
                      int aSlots,
                      const std::vector<std::string>& aModels);
  void PutRecord(const std::string& aTopic,
                 const std::string& aKey,
                 const std::string& aValue);
  node_process& AddNode(const std::string& aVm,
                        const std::string& aZone,
                        int aMemoryMb = 140);
  /// The same behind a proxy between the node and the store.
  node_process& AddNodeBehindProxy(const std::string& aVm,
                                   const std::string& aZone,
                                   silent_proxy*& aProxy);
  /// Puts a proxy between a node and all other nodes. Before any node starts.
  silent_proxy& AddPeerProxy(const node_process& aNode);
  /// Waits until all nodes are ready and one of them leads.
  /// @return The leader, or null.
  node_process* AwaitLeader(int aTimeoutMs);

  /// `status-s` for nodes that are added from now on.
  int readableS = 120;
  recorder record;
  node::asio_loop loop;
  platform_store store;
  platform_duties duties;
  std::vector<std::unique_ptr<node_process>> nodes;

private:
  std::string mFolder; ///< Temporary, for settings and logs.
  std::uint16_t mStorePort;
  std::uint16_t mDutyPort;
  std::vector<std::unique_ptr<node::http_listener>> mListeners;
  std::vector<std::unique_ptr<sampler>> mSamplers;
  std::vector<std::unique_ptr<silent_proxy>> mProxies;
  /// Address of a node and that of the proxy before it.
  std::vector<std::pair<std::string, std::string>> mPeerAddresses;
  std::thread mThread;
};

/// A batch submission of a client, and its calls.
class batch_client
{
public:
  batch_client(rig& aRig,
               std::string aHost,
               std::string aKey,
               std::string aPrefix,
               std::string aId)
    : mRig(aRig)
    , mHost(std::move(aHost))
    , mKey(std::move(aKey))
    , mPrefix(std::move(aPrefix))
    , mId(std::move(aId))
  {
  }
  [[nodiscard]] answer Submit(const node_process& aNode,
                              const Json::Value& aItems,
                              const std::string& aModel);
  [[nodiscard]] answer Results(const node_process& aNode, std::size_t aAfter);
  [[nodiscard]] answer Body(const node_process& aNode,
                            const std::string& aItem);
  [[nodiscard]] answer End(const node_process& aNode);
  [[nodiscard]] const std::string& Id() const noexcept { return mId; }

private:
  [[nodiscard]] header_map Headers() const;

  rig& mRig;
  std::string mHost;
  std::string mKey;
  std::string mPrefix;
  std::string mId;
};

/// @return An item of a batch submission.
[[nodiscard]] Json::Value
MakeItem(const std::string& aId,
         const std::string& aPath,
         const std::string& aModel,
         const std::string& aBody);

/// @return A route of the operator's manifest.
[[nodiscard]] Json::Value
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aKind,
          const std::string& aService);

/// @return A manifest with services `models` (model `m0`) and `desk`, and the
/// teams `acme` (key `key-acme`) and `birch` (key `key-birch`).
[[nodiscard]] Json::Value
MakeManifest(int aVersion, const Json::Value& aRoutes);

/// Host of all routes.
inline constexpr const char* kHost = "lab.example";

/// Runs a case and maps exceptions to "could not run".
int
RunCase(int aCount,
        char** aArguments,
        const std::function<verdict(rig&)>& aScenario);

} // namespace review
