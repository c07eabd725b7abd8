#pragma once

#include "common/tcp_proxy.hpp"
#include "lab.hpp"

#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <sys/wait.h>
#include <vector>

namespace arbutusferry::lab {

struct soak_options
{
  std::uint64_t seed = 1; ///< Of faults and load.
  std::chrono::seconds time{ 8 };
  int nodes = 4;
  std::string nodeProgram;
  std::string logs; ///< Existing directory for the nodes' logs, or empty.
};

/// @return A free port that this run has not had before.
[[nodiscard]] std::uint16_t
FreePort();

[[nodiscard]] inline socket_address
Local(std::uint16_t aPort)
{
  return { "127.0.0.1", aPort };
}

/// One node process, its ports and the proxy on its way to the store.
struct node_process
{
  int index = 0;
  std::uint16_t callers = FreePort();
  std::uint16_t ready = FreePort();
  std::uint16_t peers = FreePort();
  std::uint16_t metrics = FreePort();
  standin::tcp_proxy store;
  std::string settings;
  pid_t pid = -1;
  bool paused = false;

  void Spawn(const soak_options& aOptions);
  void Signal(int aSignal) const;
  /// @return Whether the process has ended.
  bool Reap();
};

/// A batch as its trainer sees it.
struct trained_batch
{
  std::string id;
  std::size_t model = 0;
  std::int64_t minimum = 1;
  std::size_t items = 0;
  bool accepted = false;
  bool tried = false;
  bool endSent = false;
  bool ended = false;
  bool busy = false;
  time_point started;
  std::vector<std::string> results; ///< As first read, by position.
};

/// Runs node processes under load and random faults, and checks what callers
/// and targets see.
class soak
{
public:
  explicit soak(soak_options aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.seed)
    , mStore(mLoop)
    , mDuties(mFindings)
    , mClient(node::MakeHttpClient(mLoop))
  {
  }
  ~soak()
  {
    for (const auto& entry : mNodes) {
      entry->Signal(SIGKILL);
      if (entry->pid > 0) {
        waitpid(entry->pid, nullptr, 0);
      }
    }
  }
  soak(const soak&) = delete;
  soak& operator=(const soak&) = delete;

  int Run();

private:
  std::uint64_t Roll(std::uint64_t aBelow) { return mRandom() % aBelow; }
  std::uint16_t Serve(node::request_handler& aHandler);
  void StartTargets();
  void StartNodes();
  void PutManifest();
  void Fault();
  void Heal();
  void Later(duration aDelay, std::function<void()> aFunction);
  void RestartEnded();
  void Train();
  void Step(trained_batch& aBatch);
  void Submit(trained_batch& aBatch);
  void Read(trained_batch& aBatch);
  void End(trained_batch& aBatch);
  void CheckResult(const trained_batch& aBatch, const Json::Value& aResult);
  void Call();
  void Send(node::http_request aRequest,
            node::response_collector::callback aDone);
  void Found(std::string aText) { mFindings.push_back(std::move(aText)); }
  [[nodiscard]] bool Settled() const;

  soak_options mOptions;
  std::mt19937_64 mRandom;
  findings mFindings;
  node::asio_loop mLoop;
  lab_store mStore;
  lab_duties mDuties;
  std::unique_ptr<node::http_client> mClient;
  std::vector<std::unique_ptr<lab_sampler>> mSamplers;
  std::vector<std::string> mSamplerAddresses;
  std::vector<std::unique_ptr<lab_desk>> mDesks;
  std::vector<std::unique_ptr<node::http_listener>> mListeners;
  std::vector<std::unique_ptr<node_process>> mNodes;
  std::vector<std::unique_ptr<trained_batch>> mBatches;
  std::map<std::string, int> mDeskRuns;
  std::set<std::string> mRefused; ///< Requests that were promised not to run.
  std::set<std::string> mOnce;    ///< Requests that must not run twice.
  std::set<std::string> mItemsRun;
  std::int64_t mNamed[2] = { 1, 1 };
  std::uint64_t mCalls = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mFaults = 0;
  bool mHealed = false;
  std::vector<std::unique_ptr<node::timer>> mTimers;
};

} // namespace arbutusferry::lab
