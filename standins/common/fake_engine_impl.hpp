#pragma once

// Implementation of fake_engine, shared by its source files.

#include "common/fake_engine.hpp"
#include "common/recorder.hpp"
#include "common/standin_server.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::standin {

using steady = std::chrono::steady_clock;

/// Injected faults. Limits that default to -1 are off while negative.
struct engine_faults
{
  bool dropVersionLabels = false;
  bool wrongId = false;
  std::int64_t truncateAfter = -1;
  std::int64_t hangAfter = -1;
  std::int64_t failStatus = 0;
  std::int64_t faultCount = -1;
  std::int64_t crashAfterTokens = -1;
  std::int64_t swapAfterTokens = -1;
  std::int64_t failSwaps = 0;

  /// @return Whether a fault is set that `faultCount` limits.
  [[nodiscard]] bool PerRequest() const
  {
    return dropVersionLabels || wrongId || truncateAfter >= 0 ||
           hangAfter >= 0 || failStatus != 0;
  }
};

struct load_snapshot
{
  steady::time_point at;
  std::int64_t unixMs = 0;
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t version = 0;
};

struct cache_event
{
  steady::time_point visibleAt;
  std::int64_t sequence = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

/// State of one completion request.
struct generation
{
  std::string id;
  std::string prompt;
  std::int64_t seed = 0;
  std::int64_t maxTokens = 1;
  std::int64_t sent = 0;
  std::uint64_t ticket = 0;
  std::uint64_t record = 0;
  bool admitted = false;
  bool released = false;
  steady::time_point start;
  double prefillSeconds = 0;
  engine_faults faults;
};

struct fake_engine::impl
{
  explicit impl(const engine_options& aOptions)
    : options(aOptions)
    , version(aOptions.version)
  {
    RecordLoad();
  }

  void Register();
  void Complete(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool WriteEvent(generation& aStream, httplib::DataSink& aSink);
  bool Admit(generation& aStream, const std::function<bool()>& aAlive);
  void Release(generation& aStream);
  Json::Value NextEvent(generation& aStream, bool& aCrash);
  void UpdatePrefixCache(generation& aStream);
  bool WaitForTokens(const generation& aStream, std::int64_t aTokens);
  void SwapWeights(const httplib::Request& aRequest,
                   httplib::Response& aResponse);
  bool SetBehavior(const Json::Value& aValue, std::string& aError);
  Json::Value Load();
  Json::Value CacheEvents(std::int64_t aFrom);
  void RecordLoad();
  void Crash();

  engine_options options;
  std::function<void()> onCrash;
  recorder seen;
  std::atomic<bool> halted{ false };

  mutable std::mutex mutex;
  std::condition_variable changed;
  engine_faults faults;
  std::int64_t version;
  std::int64_t fencing = -1;
  std::int64_t running = 0;
  std::uint64_t nextTicket = 0;
  std::deque<std::uint64_t> queue;
  std::string previousId = "none";
  std::deque<load_snapshot> snapshots;
  std::deque<std::uint64_t> cacheOrder;
  std::set<std::uint64_t> cache;
  std::deque<cache_event> cacheEvents;
  std::int64_t cacheSequence = 0;

  // Declared last: its threads use all other members.
  standin_server server;
};

} // namespace arbutusferry::standin
