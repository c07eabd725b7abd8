#include "arbutusferry/outcome.hpp"
#include "entry/http_server.hpp"
#include "support/raw_server.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace arbutusferry;
using namespace arbutusferry::test;
using namespace std::chrono_literals;

namespace {

/// Server that echoes bodies.
struct server_fixture
{
  /// Fixed until `advancing` is set, so that no timeout occurs by chance; then
  /// advances by one second per read.
  class stepped_clock final : public clock_source
  {
  public:
    [[nodiscard]] time_point Now() const noexcept override
    {
      return time_point(1h) + 1s * (advancing ? ++reads : 0);
    }
    [[nodiscard]] unix_seconds UnixNow() const noexcept override { return 0; }
    std::atomic<bool> advancing{ false };
    mutable std::atomic<int> reads{ 0 };
  };

  stepped_clock clock;
  std::unique_ptr<http_server> server;
  std::thread thread;
  int port = 0;
  http_request lastRequest;

  explicit server_fixture(
    http_limits aLimits = {},
    const std::function<http_response(const http_request&)>& aHandler = {})
  {
    server = MakeHttpServer(
      aLimits,
      clock,
      [this, aHandler](const http_request& aRequest) {
        if (aHandler) {
          return aHandler(aRequest);
        }
        lastRequest = aRequest;
        http_response answer;
        answer.headers.emplace_back(kOutcomeHeader, "answered");
        answer.body = "echo " + aRequest.body;
        return answer;
      },
      [](int aStatus, const std::string& aMessage) {
        http_response answer;
        answer.status = aStatus;
        answer.headers.emplace_back(kOutcomeHeader, "not_run");
        answer.body = "error: " + aMessage;
        return answer;
      });
    const std::string address = server->Bind("127.0.0.1:0").value();
    port = std::stoi(address.substr(address.find(':') + 1));
    thread = std::thread([this] { server->Serve(); });
  }

  ~server_fixture()
  {
    server->Stop();
    thread.join();
  }

  std::string Send(const std::string& aText) const
  {
    const int socket = Connect(port);
    SendAll(socket, aText);
    ::shutdown(socket, SHUT_WR);
    std::string answer = ReadAll(socket);
    ::close(socket);
    return answer;
  }

  [[nodiscard]] bool Healthy() const
  {
    return Send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n"
                "Connection: close\r\n\r\nok")
      .ends_with("echo ok");
  }
};

std::string
StatusOf(const std::string& aAnswer)
{
  return aAnswer.substr(0, 12);
}

} // namespace

// Guards against requests that crash the process or exhaust its memory.
TEST_CASE("Malformed requests get a clear error and the server keeps running")
{
  http_limits limits;
  limits.maxBodyBytes = 1000;
  const server_fixture fixture(limits);
  const std::string big(5000, 'a');
  const std::string post = "POST /a HTTP/1.1\r\nHost: x\r\n";
  std::string manyHeaders = "GET /a HTTP/1.1\r\n";
  for (int i = 0; i < 20'000; ++i) {
    manyHeaders += "X-Header: value\r\n";
  }
  const std::string chunk = "3e8\r\n" + big.substr(0, 1000) + "\r\n";
  const std::vector<std::pair<std::string, std::string>> cases{
    { "400", post + "Content-Length: abc\r\n\r\n{}" },
    { "400", post + "Content-Length: -5\r\n\r\n{}" },
    { "400", post + "Content-Length: 99999999999999999999\r\n\r\n{}" },
    { "400", post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}" },
    { "400",
      post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}" },
    { "400", post + "Transfer-Encoding: gzip\r\n\r\n{}" },
    { "400", post + "\r\n{}" },
    { "400", post + "Content-Length: 2\r\nContent-Encoding: gzip\r\n\r\n{}" },
    { "400", "GET /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}" },
    { "400", "GET /a HTTP/1.1\r\nX-Request-Id: a%0d%0aX: b\r\n\r\n" },
    { "400", "GET /a?b=\rc HTTP/1.1\r\nX: b\r\n\r\n" },
    { "400", post + "Content-Length: 100\r\n\r\nshort" },
    { "400", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" },
    { "400", "nonsense\r\n\r\n" },
    { "400", "GET /a HTTP/1.1\r\nX: " + std::string(9000, 'a') + "\r\n\r\n" },
    { "413", post + "Content-Length: 5000\r\n\r\n" + big },
    { "413",
      post + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk +
        "0\r\n\r\n" },
    { "431", "GET /" + std::string(100'000, 'a') },
    { "", manyHeaders },
    { "414", "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n\r\n" }
  };
  for (const auto& [status, text] : cases) {
    CAPTURE(status, text.substr(0, 120));
    const std::string answer = fixture.Send(text);
    if (status.empty()) {
      CHECK(StatusOf(answer).starts_with("HTTP/1.1 4"));
    } else {
      CHECK(StatusOf(answer) == "HTTP/1.1 " + status);
    }
    CHECK(answer.find("Arbutusferry-Outcome: not_run") != std::string::npos);
    CHECK(answer.find("error: ") != std::string::npos);
    // What follows a refused head must not be taken for a request.
    CHECK(answer.find("HTTP/1.1", 5) == std::string::npos);
    CHECK(fixture.Healthy());
  }
}

// Guards against bodies that cpp-httplib alters, and against requests that are
// mixed up on a keep-alive connection.
TEST_CASE("Bodies of any type arrive unchanged on one connection")
{
  server_fixture fixture;
  const std::string first = "POST /a?x=%20 HTTP/1.1\r\nContent-Length: 4\r\n"
                            "Content-Type: multipart/form-data; boundary=b\r\n"
                            "Range: bytes=0-1\r\nAccept-Encoding: gzip\r\n"
                            "\r\n--b\n";
  const std::string second = "PUT /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                             "Connection: close\r\n\r\n"
                             "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  const std::string answer = fixture.Send(first + second);
  CHECK(answer.find("echo --b\n") != std::string::npos);
  CHECK(answer.ends_with("echo abc"));
  CHECK(fixture.lastRequest.path == "/b");
  CHECK(fixture.lastRequest.remoteIp == "127.0.0.1");
}

// Guards against connections that wait for ever when all threads are busy.
TEST_CASE("Connections beyond the bounds are refused with 503")
{
  std::promise<void> entered;
  std::promise<void> release;
  http_limits limits;
  limits.maxConnections = 1;
  limits.maxWaiting = 0;
  const server_fixture fixture(limits, [&](const http_request&) {
    entered.set_value();
    release.get_future().wait();
    return http_response{};
  });
  const int busy = Connect(fixture.port);
  SendAll(busy, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  entered.get_future().wait();
  const std::string refused = fixture.Send("GET /b HTTP/1.1\r\n\r\n");
  CHECK(StatusOf(refused) == "HTTP/1.1 503");
  CHECK(refused.find("Arbutusferry-Outcome: not_run") != std::string::npos);
  release.set_value();
  CHECK(StatusOf(ReadAll(busy)) == "HTTP/1.1 200");
  ::close(busy);
}

// Guards against connections that occupy a thread without completing a request.
TEST_CASE("A request head that never ends times out")
{
  http_limits limits;
  limits.headTimeout = 5ms;
  server_fixture fixture(limits);
  const int slow = Connect(fixture.port);
  SendAll(slow, "GET /a HTTP/1.1\r\nX: ");
  fixture.clock.advancing = true;
  // Depending on when the clock advanced, the head timed out or the connection
  // was closed as idle.
  const std::string answer = ReadAll(slow);
  CHECK((answer.empty() || StatusOf(answer).starts_with("HTTP/1.1 4")));
  ::close(slow);
}

// Guards against streams that continue after their caller disconnected.
TEST_CASE("A stream ends when its caller disconnects")
{
  std::promise<bool> ended;
  server_fixture fixture({}, [&](const http_request&) {
    http_response answer;
    answer.next = [](std::string& aOut) {
      aOut = "part\n";
      return true;
    };
    answer.onEnd = [&](bool aComplete) { ended.set_value(aComplete); };
    return answer;
  });
  const int caller = Connect(fixture.port);
  SendAll(caller, "GET /a HTTP/1.1\r\n\r\n");
  char byte = 0;
  CHECK(::recv(caller, &byte, 1, 0) == 1);
  ResetOnClose(caller);
  ::close(caller);
  CHECK_FALSE(ended.get_future().get());
}

// Guards against a stop that closes the listening socket at once, which resets
// connections that the kernel accepted and whose request is already sent.
TEST_CASE("A stop answers requests that were sent before")
{
  const system_clock_source clock;
  const auto server = MakeHttpServer(
    {},
    clock,
    [](const http_request&) {
      http_response answer;
      answer.body = "served";
      return answer;
    },
    [](int, const std::string&) { return http_response{}; });
  const std::string address = server->Bind("127.0.0.1:0").value();
  const int port = std::stoi(address.substr(address.find(':') + 1));
  // Nothing accepts yet, so the request waits in the backlog.
  const int socket = Connect(port);
  SendAll(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  std::thread serving([&] { server->Serve(); });
  server->Stop();
  serving.join();
  CHECK(ReadAll(socket).find("served") != std::string::npos);
  ::close(socket);
}

// Guards against a message that does not say which field of the settings is
// wrong when the port is in use.
TEST_CASE("An address in use is an error of the settings")
{
  server_fixture fixture;
  const auto second = MakeHttpServer(
    {}, fixture.clock, {}, [](int, const auto&) { return http_response{}; });
  const auto bound = Capture(
    [&] { return second->Bind("127.0.0.1:" + std::to_string(fixture.port)); });
  REQUIRE(bound.index() == 1);
  CHECK(std::get<1>(bound).code == error_code::InvalidSettings);
  CHECK(std::get<1>(bound).message.find("\"listen\"") != std::string::npos);
}
