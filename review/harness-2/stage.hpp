#pragma once

#include "world.hpp"

#include <json/json.h>
#include <list>

/// Stand-ins of the second review, beside those of the first (`harness/`):
/// nodes whose channels to the store can go silent, samplers that take weight
/// orders late or break off their answers, and manifests with several tenants.
namespace review {

inline constexpr const char* kModels = "huvo11a";
inline constexpr const char* kDesk = "wuno96b";
inline constexpr const char* kTenant = "huka270";
inline constexpr const char* kOtherTenant = "puhu251";
inline constexpr const char* kOtherKey = "s989anu6wsjnbanfqasn";

/// @return A new request id.
[[nodiscard]] std::string
NewId();

/// The link of one node to the store.
class store_link
{
public:
  explicit store_link(int aStorePort);
  store_link(const store_link&) = delete;
  store_link& operator=(const store_link&) = delete;

  [[nodiscard]] int Port() const noexcept { return mPort; }
  /// Open channels on which the node reads a topic go silent for good.
  /// @return How many there are.
  [[nodiscard]] int SilenceReads(const std::string& aTopic);
  /// @return When the node last appended under a condition; -1 if never.
  [[nodiscard]] std::int64_t LastConditionMs() const { return mLastCondition; }

private:
  struct connection
  {
    std::string request; ///< Begin of the last request.
    bool silent = false;
  };

  void Accept();
  void Pass(int aSocket);

  int mStorePort;
  int mSocket = -1;
  int mPort = 0;
  std::mutex mMutex;
  std::list<connection> mConnections;
  std::atomic<std::int64_t> mLastCondition = -1;
};

/// One run of a request at a sampler.
struct sampler_run
{
  std::string id;
  std::string tenant;
};

struct stage_sampler_settings
{
  std::string service = kModels;
  std::string zone;
  int slots = 12;
  int events = 20;
  std::int64_t eventMs = 20;
  /// The first weight order gets no answer and is carried out this much later.
  std::int64_t firstOrderLateMs = -1;
  /// One answer in this many is broken off; none if 0.
  int answersPerBroken = 0;
};

/// A model sampler, or a plain server.
class stage_sampler
{
public:
  stage_sampler(stage_sampler_settings aSettings, platform_store& aStore);

  [[nodiscard]] const std::string& Id() const noexcept { return mId; }
  [[nodiscard]] std::vector<sampler_run> Runs();
  /// @return The whole answers to plain requests, by request.
  [[nodiscard]] std::map<std::string, std::string> WholeAnswers();
  /// Set before the nodes start.
  void SetFirstOrderLate(std::int64_t aMs) { mSettings.firstOrderLateMs = aMs; }

private:
  void Serve(const request& aRequest, channel& aChannel);
  void ServeOrder(const request& aRequest, channel& aChannel);
  /// @return The status of the answer.
  int TakeOrder(const Json::Value& aOrder);
  void Load(std::int64_t aVersion, bool aKeepRuns);
  void RunItem(const request& aRequest,
               const std::string& aId,
               channel& aChannel);
  void RunPlain(const std::string& aId, channel& aChannel);
  void Note(const std::string& aText) const;
  [[nodiscard]] Json::Value Models() const;
  void Beat();

  stage_sampler_settings mSettings;
  platform_store& mStore;
  std::string mId;
  std::mutex mMutex;
  int mRunning = 0;
  bool mBusy = false;
  std::int64_t mVersion = 1;
  std::uint64_t mOrders = 0;
  std::uint64_t mFence = 0;
  int mPlainAnswers = 0;
  std::vector<sampler_run> mRuns;
  std::map<std::string, std::string> mWhole;
  http_server mServer;
};

/// One route of the manifest.
struct stage_route
{
  std::string name;
  std::string prefix;
  std::string kind = "rollout";
  std::string service = kModels;
  bool open = false;
  bool singleVersion = false;
};

/// The store, samplers and nodes of a case: one node and zone each.
class stage
{
public:
  stage();
  stage(const stage&) = delete;
  stage& operator=(const stage&) = delete;

  stage_sampler& AddSampler(stage_sampler_settings aSettings);
  void PutManifest(int aVersion, const std::vector<stage_route>& aRoutes);
  void NameVersion(std::int64_t aVersion);
  /// Starts the nodes.
  /// @return Whether all are ready and one has written under a condition.
  [[nodiscard]] bool Start(const std::string& aProgram);
  void EndAll();
  [[nodiscard]] static int Count() { return kNodes; }
  /// @return The node that last wrote to the store under a condition.
  [[nodiscard]] int Leader() const;
  [[nodiscard]] store_link& Link(int aNode)
  {
    return *mNodes[Index(aNode)].link;
  }
  /// Sends a call to a node, and notes it.
  [[nodiscard]] call_result Ask(int aNode, const request& aRequest);
  /// Submits a batch until it is accepted.
  /// @return Whether it was.
  [[nodiscard]] bool Submit(int aNode, const request& aSubmission);
  /// Reads all results of a batch from its start.
  /// @return Whether each page was answered with 200.
  [[nodiscard]] bool ReadAll(int aNode,
                             const std::string& aBatch,
                             const std::string& aKey,
                             const field_list& aFields,
                             std::vector<Json::Value>& aResults);
  /// Reads a batch until it has that many results, or for a time.
  [[nodiscard]] std::vector<Json::Value> AwaitResults(int aNode,
                                                      const std::string& aBatch,
                                                      const std::string& aKey,
                                                      std::size_t aCount,
                                                      std::int64_t aTimeoutMs);
  [[nodiscard]] std::vector<sampler_run> Runs();

private:
  static constexpr int kNodes = 3;
  struct node
  {
    std::unique_ptr<store_link> link;
    int callers = 0;
    int ready = 0;
    pid_t process = -1;
  };

  [[nodiscard]] static std::size_t Index(int aNode)
  {
    return static_cast<std::size_t>(aNode);
  }
  void StartNode(const std::string& aProgram, int aNode);

  platform_store mStore;
  platform_duties mDuties;
  std::vector<std::unique_ptr<stage_sampler>> mSamplers;
  std::vector<node> mNodes;
  std::string mFolder;
};

[[nodiscard]] std::string
ZoneOf(int aNode);

/// @return A call with a tenant's key and further fields.
[[nodiscard]] request
KeyCall(const std::string& aMethod,
        const std::string& aTarget,
        const std::string& aKey,
        const field_list& aFields = {});

/// @return The submission of a batch, with groups of four items each.
[[nodiscard]] request
BatchCall(const std::string& aPrefix,
          const std::string& aBatch,
          const std::vector<std::string>& aItems,
          const std::string& aKey,
          const field_list& aFields = {});

/// Runs a case on a stage, whose nodes end with it.
/// @param aCase Returns the broken promises, or nothing if it couldn't run.
[[nodiscard]] int
RunCase(int aCount,
        char** aArguments,
        const std::function<std::optional<std::vector<std::string>>(
          stage& aStage,
          const std::string& aProgram)>& aCase);

} // namespace review
