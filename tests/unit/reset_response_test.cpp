#include "support/response_readers.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using namespace arbutusferry::test;

namespace {

/// A response that ends with its connection. It could be a whole stream.
constexpr const char* kResponse = "HTTP/1.1 200 OK\r\n"
                                  "Arbutusferry-Request-Id: r1\r\n"
                                  "Arbutusferry-Server-Stamp: s\r\n"
                                  "Content-Type: text/event-stream\r\n\r\n"
                                  "id: 1\ndata: x\n\n";
constexpr std::string_view kBody = "id: 1\ndata: x\n\n";
/// More than a connection holds of what its peer doesn't read.
constexpr std::size_t kLongBody = std::size_t{ 16 } << 20;

enum class connection_end
{
  Reset,
  Orderly,
  OrderlyThenReset, ///< The reset answers what is still being sent.
};

constexpr std::string_view
NameOf(connection_end aEnd)
{
  switch (aEnd) {
    case connection_end::Reset:
      return "reset";
    case connection_end::Orderly:
      return "orderly";
    case connection_end::OrderlyThenReset:
      break;
  }
  return "orderly, then reset";
}

/// Responds before it has read the body of a request, and ends the connection.
void
RespondEarly(int aSocket,
             connection_end aEnd,
             const std::function<void()>& aBeforeEnd)
{
  SendAll(aSocket, kResponse);
  aBeforeEnd();
  switch (aEnd) {
    case connection_end::Reset:
      ResetOnClose(aSocket);
      break;
    case connection_end::Orderly:
      ::shutdown(aSocket, SHUT_WR);
      ReadAll(aSocket);
      break;
    case connection_end::OrderlyThenReset:
      // Closing a socket with unread bytes resets its connection.
      ::shutdown(aSocket, SHUT_WR);
      break;
  }
}

struct recording_sink final : response_sink
{
  void OnHead(int, const header_list&) override {}
  void OnBody(std::string_view aPart) override
  {
    body += aPart;
    allRead = body == kBody;
  }
  void OnEnd() override { whole = true; }
  void OnFailure(exchange_failure aFailure) override { failure = aFailure; }

  std::string body;
  std::atomic<bool> allRead = false; ///< Read by the server's thread, too.
  std::optional<bool> whole;
  std::optional<exchange_failure> failure;
};

} // namespace

// Guards against a part of a response that is taken for all of it, since the
// sending of the request was told of the reset and the reading was not.
TEST_CASE("a response that ends with its connection is whole without a reset")
{
  const auto end = GENERATE(connection_end::Reset,
                            connection_end::Orderly,
                            connection_end::OrderlyThenReset);
  const std::size_t bodySize = GENERATE(std::size_t{ 4 }, kLongBody);
  const bool readBeforeEnd = GENERATE(false, true);
  CAPTURE(NameOf(end), bodySize, readBeforeEnd);
  const auto sink = std::make_shared<recording_sink>();
  response_readers test(
    [&](const std::string&, int aSocket) {
      RespondEarly(aSocket, end, [&] {
        while (readBeforeEnd && !sink->allRead) {
          std::this_thread::yield();
        }
      });
    },
    request_part::Head,
    std::string(bodySize, 'x'));
  test.client->Send(test.target.address, test.Request(), {}, sink);
  REQUIRE(test.Reached([&] { return sink->whole || sink->failure; }));
  if (end == connection_end::Reset) {
    CHECK_FALSE(sink->whole);
    CHECK(sink->failure == exchange_failure::Broken);
  } else {
    CHECK(sink->whole);
    CHECK(sink->body == kBody);
  }
}

// Guards against the same when the reading finds the end of the data while the
// outcome of the write that met the reset still waits to be handled.
TEST_CASE("a reset between two writes of a request doesn't end its response")
{
  const int stepsBeforeReset = GENERATE(range(0, 6));
  CAPTURE(stepsBeforeReset);
  const auto sink = std::make_shared<recording_sink>();
  std::atomic<bool> mayReset = false;
  response_readers test(
    [&](const std::string&, int aSocket) {
      RespondEarly(aSocket, connection_end::Reset, [&] {
        while (!mayReset) {
          std::this_thread::yield();
        }
      });
    },
    request_part::Head,
    std::string(kLongBody, 'x'));
  test.client->Send(test.target.address, test.Request(), {}, sink);
  REQUIRE(test.Reached([&] { return sink->allRead || sink->failure; }));
  for (int step = 0; step < stepsBeforeReset; ++step) {
    test.loop.Context().poll_one();
  }
  mayReset = true;
  while (test.server.Closed() == 0) {
    std::this_thread::yield();
  }
  REQUIRE(test.Reached([&] { return sink->whole || sink->failure; }));
  CHECK_FALSE(sink->whole);
  CHECK(sink->failure == exchange_failure::Broken);
}

// Guards against a sound response that its caller doesn't get, since its target
// ended it with the connection before it had read the request.
TEST_CASE("an early response that ends in order is passed on whole")
{
  const auto end =
    GENERATE(connection_end::Orderly, connection_end::OrderlyThenReset);
  const std::size_t bodySize = GENERATE(std::size_t{ 4 }, kLongBody);
  CAPTURE(NameOf(end), bodySize);
  response_readers test(
    [end](const std::string&, int aSocket) {
      RespondEarly(aSocket, end, [] {});
    },
    request_part::Head,
    std::string(bodySize, 'x'));
  std::shared_ptr<recording_responder> answer;
  SECTION("a caller's request")
  {
    answer = test.SendCall(GENERATE(
      route_kind::NonIdempotent, route_kind::Idempotent, route_kind::Stream));
  }
  SECTION("a relayed run")
  {
    answer = test.SendThroughRelay();
  }
  SECTION("a request through a gateway")
  {
    answer = test.SendThroughGateway();
  }
  REQUIRE(test.Reached([&] { return answer->answers > 0 || answer->aborted; }));
  CHECK_FALSE(answer->aborted);
  CHECK(answer->response.status == 200);
  CHECK(answer->response.body == kBody);
}

// Guards against a reader of targets' responses that passes on or uses the part
// of a response that came before a reset as if it were whole.
TEST_CASE("no reader of targets' responses takes a part before a reset for all")
{
  response_readers test(
    [](const std::string&, int aSocket) {
      RespondEarly(aSocket, connection_end::Reset, [] {});
    },
    request_part::Head,
    std::string(kLongBody, 'x'));
  SECTION("a caller's request")
  {
    const route_kind kind =
      GENERATE(route_kind::NonIdempotent, route_kind::Idempotent);
    CAPTURE(EnumName(kind));
    const auto answer = test.SendCall(kind);
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(answer->response.status == 502);
    CHECK(answer->response.body.empty());
    CHECK_FALSE(answer->response.headers.Find("Arbutusferry-Server-Stamp"));
  }
  SECTION("a caller's stream")
  {
    const auto answer = test.SendCall(route_kind::Stream);
    REQUIRE(
      test.Reached([&] { return answer->answers > 0 || answer->aborted; }));
    // Without a head the failure is answered.
    CHECK((answer->aborted || answer->response.status == 502));
    CHECK((answer->aborted || answer->response.body.empty()));
  }
  SECTION("a reward call")
  {
    std::optional<reward_result> result;
    const auto call =
      test.SendRewardCall([&](const reward_result& aEnd) { result = aEnd; });
    REQUIRE(test.Reached([&] { return result.has_value(); }));
    CHECK(result->outcome == reward_outcome::Unanswered);
    CHECK(result->errors == 0);
  }
  SECTION("an item's run")
  {
    run_end observer;
    const auto run = test.StartItem(observer);
    REQUIRE(test.Reached([&] { return observer.end.has_value(); }));
    CHECK(*observer.end == run_outcome::Broken);
  }
  SECTION("a relayed run or a request through a gateway")
  {
    const auto answer = GENERATE(true, false) ? test.SendThroughRelay()
                                              : test.SendThroughGateway();
    REQUIRE(
      test.Reached([&] { return answer->answers > 0 || answer->aborted; }));
    CHECK((answer->aborted || answer->response.status == 502));
  }
  SECTION("a weight order, a request for a report, or a message to a node")
  {
    std::optional<exchange_failure> failure;
    bool answered = false;
    test.Collect(
      GENERATE(true, false),
      [&](const http_response* aResponse, exchange_failure aFailure) {
        answered = aResponse != nullptr;
        failure = aFailure;
      });
    REQUIRE(test.Reached([&] { return answered || failure; }));
    CHECK_FALSE(answered);
    CHECK(failure == exchange_failure::Broken);
  }
}
