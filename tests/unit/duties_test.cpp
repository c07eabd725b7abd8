#include "arbutusferry/bounded_queue.hpp"
#include "entry/duty_supervisor.hpp"
#include "entry/sync_loop.hpp"
#include "entry/thread_pool.hpp"
#include "support/dispatch_fakes.hpp"

#include <catch2/catch.hpp>
#include <future>
#include <numeric>

using namespace arbutusferry;
using namespace arbutusferry::test;
using namespace std::chrono_literals;

// Guards against a background duty that is not restarted after a failure.
TEST_CASE("A failed duty is restarted and the others continue")
{
  duty_supervisor supervisor;
  std::promise<void> restarted;
  std::promise<void> stopped;
  std::atomic<int> starts{ 0 };
  std::atomic<int> otherStarts{ 0 };
  supervisor.Start("other", [&](const std::stop_token& aStop) {
    ++otherStarts;
    std::promise<void> asked;
    const std::stop_callback wake(aStop, [&] { asked.set_value(); });
    asked.get_future().wait();
    stopped.set_value();
  });
  supervisor.Start("failing", [&](const std::stop_token&) {
    if (++starts < 3) {
      throw std::runtime_error("failed");
    }
    restarted.set_value();
  });
  restarted.get_future().wait();
  supervisor.Stop();
  stopped.get_future().wait();
  CHECK(starts == 3);
  CHECK(otherStarts == 1);
  CHECK(supervisor.Restarts() == 2);
}

// Guards against elements that are lost or read twice between threads.
TEST_CASE(
  "A bounded queue delivers every element once and refuses more when full")
{
  bounded_queue<int> ring(4);
  constexpr int kElements = 1000;
  std::atomic<int> sum{ 0 };
  std::vector<std::thread> readers;
  readers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      while (!ring.Drained()) {
        sum += ring.Pop(1s).value_or(0);
      }
    });
  }
  for (int i = 1; i <= kElements; ++i) {
    CHECK(ring.Push(i));
  }
  ring.Close();
  for (std::thread& reader : readers) {
    reader.join();
  }
  CHECK(sum == kElements * (kElements + 1) / 2);
  CHECK_FALSE(ring.Push(1));
  bounded_queue<int> full(1);
  CHECK(full.TryPush(1));
  CHECK_FALSE(full.TryPush(2));
  CHECK(full.Pop(0s) == 1);
  CHECK_FALSE(full.Pop(0s).has_value());
}

// Guards against a thread pool that starts threads or queues tasks without
// limit.
TEST_CASE("A thread pool refuses tasks beyond its limits and finishes the rest")
{
  thread_pool pool(2, 1);
  std::promise<void> release;
  const auto wait = release.get_future().share();
  std::atomic<int> done{ 0 };
  int accepted = 0;
  for (int i = 0; i < 10; ++i) {
    thread_pool::task task = [&] {
      wait.wait();
      ++done;
    };
    accepted += pool.Run(task) ? 1 : 0;
  }
  CHECK(accepted == 3);
  release.set_value();
  pool.Stop();
  CHECK(done == 3);
}

namespace {

/// RPC client that answers with a function, which may throw.
class scripted_rpc final : public rpc_client
{
public:
  explicit scripted_rpc(std::function<Json::Value(const Json::Value&)> aAnswer)
    : mAnswer(std::move(aAnswer))
  {
  }
  Json::Value Call(const std::string&, const Json::Value& aParams) override
  {
    return mAnswer(aParams);
  }

private:
  std::function<Json::Value(const Json::Value&)> mAnswer;
};

} // namespace

// Guards against an entry that stops following the configuration when its
// control process fails, and against usage that is lost or not confirmed.
TEST_CASE("A failed sync is retried at the next control process with its usage")
{
  manual_clock_source clock;
  config_view view;
  immediate_dispatcher work;
  std::vector<std::string> asked;
  std::size_t confirmed = 0;
  node_sync_response answer;
  answer.viewAgeMs = 100;
  answer.offset = 3;
  sync_parts parts;
  parts.clock = &clock;
  parts.view = &view;
  parts.work = &work;
  parts.controls = { "one", "two" };
  parts.describe = [] {
    return entry_info{ "i", "a", "1.1.1.1:1", false, {} };
  };
  parts.takeUsage = [] {
    return std::vector<usage_counter>{ { "t", 60, "i", 1, 2, 3 } };
  };
  parts.confirmUsage = [&](const auto& aUsage) { confirmed += aUsage.size(); };
  parts.makeClient = [&](const std::string& aAddress) {
    return std::make_unique<scripted_rpc>([&, aAddress](const Json::Value&) {
      asked.push_back(aAddress);
      if (aAddress == "one") {
        throw rpc_failure("gone", true, 0);
      }
      return WriteNodeSyncResponse(answer);
    });
  };
  sync_loop loop(parts);
  CHECK_FALSE(loop.SyncOnce(0));
  CHECK(confirmed == 0);
  CHECK_FALSE(view.State());
  CHECK(loop.SyncOnce(0));
  CHECK(loop.SyncOnce(0));
  CHECK(asked == std::vector<std::string>{ "one", "two", "two" });
  CHECK(confirmed == 2);
  CHECK(view.Offset() == 3);

  // The age counts from before the call; beyond the bound no key is accepted.
  const duration usable = 4000ms + config_view::kSyncAllowance - 100ms;
  CHECK(view.KeysUsable(0s, clock.Now() + usable));
  CHECK_FALSE(view.KeysUsable(0s, clock.Now() + usable + 1ns));
  CHECK(view.KeysUsable(1s, clock.Now() + usable + 1s));
  // An answer from a control process that lags behind does not renew the
  // freshness of the view.
  clock.Advance(10s);
  answer.offset = 2;
  CHECK(loop.SyncOnce(0));
  CHECK(view.Offset() == 3);
  CHECK_FALSE(view.KeysUsable(0s, clock.Now()));
  answer.offset = 3;
  answer.viewAgeMs = -1;
  CHECK(loop.SyncOnce(0));
  CHECK_FALSE(view.KeysUsable(0s, clock.Now()));
  answer.viewAgeMs = 0;
  CHECK(loop.SyncOnce(0));
  CHECK(view.KeysUsable(0s, clock.Now()));
}
