#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/keyed_follower.hpp"

#include "support/node_fakes.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kNodes = 330;
constexpr std::size_t kTopics = 6; ///< That each node follows.
/// Reading calls a second that the store of the grown deployments takes.
constexpr int kStoreReadsPerSecond = 6'000;

/// Store that refuses every call while it is away, and counts them by second.
struct failing_log final : record_log
{
  explicit failing_log(manual_loop& aLoop)
    : loop(aLoop)
  {
  }
  void Append(append_request,
              std::function<void(const append_result&)>) override
  {
  }
  void Read(const log_partition&,
            std::uint64_t,
            std::int64_t aWaitMilliseconds,
            std::function<void(const read_result&)> aDone) override
  {
    Count();
    read_result answer;
    answer.status = away ? read_status::Failed : read_status::Done;
    loop.Post(milliseconds(away ? 4 : 4 + aWaitMilliseconds),
              [answer, done = std::move(aDone)] { done(answer); });
  }
  void Newest(const log_partition&,
              const std::string&,
              std::function<void(const newest_result&)> aDone) override
  {
    Count();
    newest_result answer;
    answer.done = !away;
    loop.Post(milliseconds(4),
              [answer, done = std::move(aDone)] { done(answer); });
  }
  std::size_t MaxRecordBytes() const override { return 1 << 18; }
  std::size_t MaxCallBytes() const override { return 1 << 20; }

  void Count()
  {
    ++calls[ToMilliseconds(loop.Now().time_since_epoch()) / 1'000];
  }

  manual_loop& loop;
  bool away = false;
  std::map<std::int64_t, int> calls; ///< By second.
};

struct silent_observer final : record_observer
{
  void OnRecord(const std::string&, const std::string*, std::uint64_t) override
  {
  }
  void OnCaughtUp() override {}
  void OnReconnected() override { ++reconnected; }
  int reconnected = 0;
};

/// All nodes of a large fleet follow the store while it is away for 6 s.
struct outage
{
  /// @param aSteady Whether all topics are retried at one short interval.
  explicit outage(bool aSteady)
  {
    for (std::size_t index = 0; index < kNodes * kTopics; ++index) {
      // One topic tells who leads.
      keyed_follower::timing timing =
        index % kTopics == 0 ? keyed_follower::timing::Prompt(milliseconds(300))
                             : keyed_follower::timing{};
      if (aSteady) {
        timing.retryDelay = timing.longestRetryDelay = milliseconds(200);
      }
      timing.retrySeed = index;
      followers.push_back(std::make_unique<keyed_follower>(
        loop, log, log_partition{ "t", 0, true }, timing, observer));
      followers.back()->Start();
    }
    loop.Advance(milliseconds(3'000));
    log.away = true;
    log.calls.clear();
    loop.Advance(milliseconds(6'000));
    log.away = false;
    // The longest delay and the longest wait of a read.
    loop.Advance(milliseconds(800 + 1'000 + 50));
    for (const auto& [second, count] : log.calls) {
      mostCalls = std::max(mostCalls, count);
    }
  }

  manual_loop loop;
  failing_log log{ loop };
  silent_observer observer;
  std::vector<std::unique_ptr<keyed_follower>> followers;
  int mostCalls = 0;
};

} // namespace

// Load pattern: the store refuses all calls for some seconds, and 330 nodes
// wait for it to return. Guards against retries that keep the store over its
// limit, and against nodes that find out late that it is back.
TEST_CASE("retries of a whole fleet stay within the store's calls")
{
  // Without the lines of 1,980 followers.
  InitLogging("store_return_test", log_level::Error);
  const outage spread(false);
  CHECK(spread.mostCalls <= kStoreReadsPerSecond);
  CHECK(spread.observer.reconnected == int{ kNodes * kTopics });
  // The policy of before.
  const outage steady(true);
  CHECK(steady.mostCalls > kStoreReadsPerSecond);
}

TEST_CASE("delays of callers that fail together spread, and begin anew")
{
  retry_delay one(milliseconds(200), milliseconds(800), 1);
  retry_delay other(milliseconds(200), milliseconds(800), 2);
  bool differ = false;
  for (const int longest : { 200, 400, 800, 800 }) {
    const duration first = one.Next();
    const duration second = other.Next();
    differ = differ || first != second;
    for (const duration delay : { first, second }) {
      CHECK(delay >= milliseconds(longest / 2));
      CHECK(delay <= milliseconds(longest));
    }
  }
  CHECK(differ);
  one.Reset();
  CHECK(one.Next() <= milliseconds(200));
}
