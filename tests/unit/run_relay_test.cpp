#include "arbutusferry/node/run_relay.hpp"

#include "http_protocols.hpp"
#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

class counting_handler final : public request_handler
{
public:
  void Handle(http_request, std::shared_ptr<responder>) override { ++calls; }
  int calls = 0;
};

struct relay_fixture
{
  http_request Item()
  {
    http_request request;
    request.method = "POST";
    request.target = "/p/x?y=1";
    request.headers = { { "Host", "h.example" }, { "A-Header", "v: w" } };
    request.body = std::string("body\n\nwith \0 bytes", 17);
    return request;
  }
  std::shared_ptr<recording_responder> Call(http_request aRequest)
  {
    auto answer = std::make_shared<recording_responder>();
    relay.Handle(std::move(aRequest), answer);
    return answer;
  }
  [[nodiscard]] std::int64_t Clock() const
  {
    return ToMilliseconds(loop.Now().time_since_epoch());
  }
  std::shared_ptr<recording_responder> Run(const std::string& aRun,
                                           std::uint64_t aFence = 5)
  {
    return Call(
      MakeRelayedRun(aRun, aFence, Clock(), { "10.0.0.9", 80 }, Item()));
  }

  manual_loop loop;
  scripted_client client;
  platform::http_target_protocol protocol;
  counting_handler fallback;
  std::uint64_t highest = 5;
  int disconnects = 0;
  run_relay relay{ { loop,
                     client,
                     protocol,
                     [this] { return highest; },
                     [this] { ++disconnects; },
                     fallback } };
};

} // namespace

TEST_CASE("the sampler gets the request as the leader made it")
{
  relay_fixture test;
  const auto answer = test.Run("5-1");
  REQUIRE(test.client.requests.size() == 1);
  const auto sent = test.client.requests.front();
  CHECK(sent->peer == socket_address{ "10.0.0.9", 80 });
  CHECK(sent->request.method == "POST");
  CHECK(sent->request.target == "/p/x?y=1");
  CHECK(sent->request.body.Text() == test.Item().body.Text());
  CHECK(sent->request.headers.Get("A-Header") == "v: w");
  CHECK_FALSE(sent->request.headers.Find("Ferry-Target"));
  sent->Answer(200, { { "Stamp", "s" }, { "Connection", "close" } }, "whole");
  CHECK(answer->response.status == 200);
  CHECK(answer->response.headers.Get("Stamp") == "s");
  CHECK_FALSE(answer->response.headers.Find("Connection"));
  CHECK(answer->response.body == "whole");
  CHECK(answer->answers == 1);
}

// Guards against a sampler whose response is taken for a relaying node's, such
// as that there is a later leader.
TEST_CASE("a sampler's headers don't pass for those of a relay")
{
  relay_fixture test;
  const auto answer = test.Run("5-1");
  test.client.requests.front()->Answer(
    200, { { "ferry-relay-error", "stale" }, { "Stamp", "s" } }, "whole");
  CHECK(answer->response.headers.Get("Stamp") == "s");
  CHECK_FALSE(ReadRelayError(answer->response.headers));
}

// Load pattern: the leader is lost while its items run. Guards against items
// that stop during a change of leaders, which takes more than a second.
TEST_CASE("a stream outlives its leader, and the next one gets all of it")
{
  relay_fixture test;
  const auto first = test.Run("5-1");
  const auto sent = test.client.requests.front();
  sent->sink->OnHead(200, { { "Stamp", "s" } });
  sent->sink->OnBody("one ");
  first->Leave();
  CHECK(test.disconnects == 1);
  sent->sink->OnBody("two ");
  test.loop.Advance(milliseconds(4'000));
  CHECK_FALSE(sent->cancelled);
  test.highest = 6;
  const auto second = test.Call(MakeRelayedAttach("5-1", 6));
  CHECK(second->response.headers.Get("Stamp") == "s");
  CHECK(second->response.body == "one two ");
  const auto sink = std::exchange(sent->sink, nullptr);
  sink->OnBody("three");
  sink->OnEnd();
  CHECK(second->response.body == "one two three");
  CHECK(second->answers == 1);
  CHECK(first->response.body == "one ");
}

TEST_CASE("a stream that ended without a leader is kept for the next one")
{
  relay_fixture test;
  const auto first = test.Run("5-1");
  first->Leave();
  test.client.requests.front()->Answer(200, {}, "whole");
  test.loop.Advance(milliseconds(2'000));
  const auto second = test.Call(MakeRelayedAttach("5-1", 5));
  CHECK(second->response.body == "whole");
  CHECK(second->answers == 1);
  test.loop.Advance(milliseconds(4'000));
  CHECK(test.relay.Runs() == 0);
}

// Guards against samplers that go on with items that nobody reads.
TEST_CASE("a stream that no leader reads is cancelled")
{
  relay_fixture test;
  const auto first = test.Run("5-1");
  const auto second = test.Run("5-2");
  first->Leave();
  test.loop.Advance(milliseconds(6'000));
  CHECK(test.client.requests[0]->cancelled);
  CHECK_FALSE(test.client.requests[1]->cancelled);
  CHECK(test.Call(MakeRelayedCancel("5-2"))->response.status == 204);
  CHECK(test.client.requests[1]->cancelled);
  CHECK(second->aborted);
  CHECK(test.relay.Runs() == 0);
  CHECK(
    ReadRelayError(test.Call(MakeRelayedAttach("5-2", 5))->response.headers) ==
    relay_error::Unknown);
}

// Guards against the delayed request of a replaced leader, which may arrive
// after the next leader has ended the item's batch.
TEST_CASE("a replaced leader can't start a run")
{
  relay_fixture test;
  test.highest = 6;
  const auto answer = test.Run("5-1", 5);
  CHECK(test.client.requests.empty());
  CHECK(ReadRelayError(answer->response.headers) == relay_error::Stale);
}

// Load pattern: a network partition separates the leader from the node. The
// leader ends the item's batch, and its request arrives when the partition
// heals. Guards against items that start long after their batch has ended.
TEST_CASE("a run that was in transit for too long is refused")
{
  relay_fixture test;
  const socket_address target{ "10.0.0.9", 80 };
  const auto late = test.Call(
    MakeRelayedRun("5-1", 5, test.Clock() - 1'500, target, test.Item()));
  CHECK(ReadRelayError(late->response.headers) == relay_error::Late);
  // The leader learns a node's clock from the refusal of its first request.
  const auto first =
    test.Call(MakeRelayedRun("5-2", 5, {}, target, test.Item()));
  CHECK(ReadRelayError(first->response.headers) == relay_error::Late);
  CHECK(ReadRelayClock(first->response.headers) == test.Clock());
  CHECK(test.client.requests.empty());
  test.Call(MakeRelayedRun("5-3", 5, test.Clock() - 200, target, test.Item()));
  CHECK(test.client.requests.size() == 1);
}

TEST_CASE(
  "a sampler's failure is reported before and aborts after its response began")
{
  relay_fixture test;
  const auto unreachable = test.Run("5-1");
  test.client.requests[0]->Fail(exchange_failure::Refused);
  CHECK(ReadRelayError(unreachable->response.headers) ==
        relay_error::Unreachable);
  const auto broken = test.Run("5-2");
  test.client.requests[1]->sink->OnHead(200, {});
  test.client.requests[1]->Fail(exchange_failure::Broken);
  CHECK(broken->aborted);
}

TEST_CASE("requests for other paths go to the fallback handler")
{
  relay_fixture test;
  http_request request;
  request.method = "GET";
  request.target = "/lots/1";
  test.Call(request);
  CHECK(test.fallback.calls == 1);
  request.method = "POST";
  request.target = "/runs/1";
  request.body = "no request";
  CHECK(ReadRelayError(test.Call(request)->response.headers));
  CHECK(test.client.requests.empty());
}
