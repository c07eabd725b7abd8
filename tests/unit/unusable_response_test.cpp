#include "support/response_readers.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using namespace arbutusferry::test;

namespace {

std::string
ResponseOf(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         " Ok\r\nArbutusferry-Request-Id: r1\r\n"
         "Arbutusferry-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

// Guards against a reader of targets' responses that takes bytes that are no
// HTTP for a response, or waits behind them until its deadline.
TEST_CASE("no reader of targets' responses takes one whose status isn't HTTP's")
{
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  CAPTURE(status);
  response_readers test(
    [status](const std::string&, int aSocket) {
      SendAll(aSocket, ResponseOf(status));
      ReadAll(aSocket);
    },
    request_part::Whole,
    "body");
  SECTION("a caller's request")
  {
    const route_kind kind = GENERATE(
      route_kind::NonIdempotent, route_kind::Idempotent, route_kind::Stream);
    CAPTURE(EnumName(kind));
    const auto answer = test.SendCall(kind);
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(answer->response.status == 502);
    CHECK(answer->response.body.empty());
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
  SECTION("a relayed run")
  {
    const auto answer = test.SendThroughRelay();
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(ReadRelayError(answer->response.headers) == relay_error::Broken);
  }
  SECTION("a request through a gateway")
  {
    const auto answer = test.SendThroughGateway();
    REQUIRE(test.Reached([&] { return answer->answers > 0; }));
    CHECK(ReadGatewayError(answer->response.headers) ==
          gateway_error::Protocol);
  }
  SECTION("a weight order or a request for a report")
  {
    std::optional<exchange_failure> failure;
    bool answered = false;
    test.Collect(
      GENERATE(true, false),
      [&](const http_response* aResponse, exchange_failure aFailure) {
        answered = aResponse != nullptr;
        failure = aFailure;
      });
    REQUIRE(test.Reached([&] { return failure.has_value(); }));
    CHECK_FALSE(answered);
    CHECK(*failure == exchange_failure::Protocol);
  }
}
