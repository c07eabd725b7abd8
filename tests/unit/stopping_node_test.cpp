#include "arbutusferry/node/ferry_node.hpp"
#include "arbutusferry/node/recent_maximum.hpp"
#include "arbutusferry/node/shutdown_schedule.hpp"

#include "batch_handler.hpp"
#include "http_protocols.hpp"
#include "support/ignored_duties.hpp"
#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStopped{ std::chrono::hours(1) };
/// Grace period of the platform.
constexpr milliseconds kGrace{ 8'000 };

/// A node whose leader is another process.
struct following_node
{
  following_node()
  {
    append_request record;
    record.where = { "af.leader", 0, true };
    record.records.push_back(
      { "leader",
        EncodeLeader({ "vm9/1", "vm9", leader, "z", 1, false, {} }) });
    (void)store.Append(record);
    node.Start();
    loop.Advance(milliseconds(50));
    client.requests.clear();
  }

  static node_settings Settings()
  {
    node_settings settings;
    settings.vm = "vm1";
    settings.zone = "z";
    settings.zones = { "z" };
    return settings;
  }

  std::shared_ptr<recording_responder> Call(const char* aMethod,
                                            const char* aTarget)
  {
    platform::batch_call call;
    call.request.method = aMethod;
    call.request.target = aTarget;
    call.request.headers = { { "Arbutusferry-Request-Id", "b" },
                             { "Arbutusferry-Wait-Ms", "1000" } };
    call.deadline = loop.Now() + milliseconds(12'000);
    auto answer = std::make_shared<recording_responder>();
    batches.Serve(std::move(call), answer);
    return answer;
  }

  socket_address leader{ "10.0.1.9", 9'000 };
  manual_loop loop;
  scripted_client client;
  memory_store store;
  memory_log log{ loop, store };
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_duties duties;
  ferry_node node{ { loop, client, log, protocol, callers, duties },
                   Settings() };
  platform::batch_handler batches{ node, client };
};

} // namespace

// Guards against requests that a stopping node takes and then cuts off, and
// against refusals while the load balancer still relies on it.
TEST_CASE("a stopping node takes what it answers before it exits")
{
  const shutdown_schedule schedule(kStopped, kGrace);
  const time_point answerBy = schedule.AnswerBy();
  CHECK(answerBy < kStopped + kGrace);
  // Until it is out of rotation, it takes everything.
  CHECK(schedule.Takes(kStopped, kStopped + kGrace));
  CHECK(schedule.Takes(kStopped + milliseconds(2'400), kStopped + kGrace));
  CHECK(schedule.Takes(kStopped + milliseconds(5'000), answerBy));
  CHECK_FALSE(
    schedule.Takes(kStopped + milliseconds(3'000), answerBy + milliseconds(1)));
  CHECK_FALSE(schedule.Takes(answerBy, answerBy));
}

// Guards against a node that exits while its last responses are being written,
// or is killed while it waits for idle callers.
TEST_CASE("a stopping node exits when it is idle, or before it is killed")
{
  const shutdown_schedule schedule(kStopped, kGrace);
  CHECK_FALSE(schedule.MayExit(kStopped + milliseconds(2'500), true));
  CHECK(schedule.MayExit(kStopped + milliseconds(3'500), true));
  CHECK_FALSE(schedule.MayExit(kStopped + milliseconds(3'500), false));
  CHECK_FALSE(schedule.MayExit(schedule.AnswerBy(), false));
  CHECK(schedule.MayExit(kStopped + kGrace - milliseconds(500), false));
}

TEST_CASE("the longest recent duration is forgotten after two periods")
{
  recent_maximum longest{ std::chrono::seconds(10) };
  CHECK_FALSE(longest.Longest(kStopped));
  longest.Note(milliseconds(800), kStopped);
  longest.Note(milliseconds(300), kStopped + std::chrono::seconds(5));
  CHECK(longest.Longest(kStopped + std::chrono::seconds(9)) ==
        milliseconds(800));
  longest.Note(milliseconds(500), kStopped + std::chrono::seconds(11));
  CHECK(longest.Longest(kStopped + std::chrono::seconds(12)) ==
        milliseconds(800));
  longest.Note(milliseconds(100), kStopped + std::chrono::seconds(22));
  CHECK(longest.Longest(kStopped + std::chrono::seconds(22)) ==
        milliseconds(500));
  CHECK_FALSE(longest.Longest(kStopped + std::chrono::seconds(43)));
}

// Guards against calls on batches that end without a response when their node
// stops, and against a refusal of a write that the leader may apply.
TEST_CASE("calls on batches are answered before their node exits")
{
  following_node test;
  const auto submission = test.Call("POST", "/p/b");
  const auto read = test.Call("GET", "/lots/b?after=0");
  const auto end = test.Call("DELETE", "/lots/b");
  REQUIRE(test.client.Open().size() == 3);
  CHECK(submission->answers + read->answers + end->answers == 0);
  test.batches.EndCalls();
  CHECK(submission->response.status == 504);
  CHECK(read->response.status == 503);
  CHECK(end->response.status == 504);
  // Late responses of the leader change nothing.
  for (const auto& sent : test.client.Open()) {
    sent->Answer(200);
  }
  test.batches.EndCalls();
  test.loop.Advance(milliseconds(2'000));
  CHECK(submission->answers == 1);
  CHECK(read->answers == 1);
  CHECK(end->answers == 1);
}

TEST_CASE("calls on batches that could be cut off are refused at once")
{
  following_node test;
  test.batches.Stop(shutdown_schedule(test.loop.Now(), kGrace));
  const auto early = test.Call("POST", "/p/b");
  CHECK(test.client.Open().size() == 1);
  test.loop.Advance(milliseconds(5'500));
  test.client.requests.clear();
  for (const auto& answer : { test.Call("POST", "/p/b"),
                              test.Call("GET", "/lots/b?after=0"),
                              test.Call("DELETE", "/lots/b") }) {
    CHECK(answer->response.status == 503);
    CHECK(answer->response.headers.Find("Retry-After"));
  }
  // Whoever asks gets there in time at another node.
  CHECK(test.client.requests.empty());
}
