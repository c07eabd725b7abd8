#include "arbutusferry/node/asio_net.hpp"
#include "net/memory_budget.hpp"
#include "support/raw_server.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <cerrno>
#include <fcntl.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t kMiB = std::size_t{ 1 } << 20;

std::uint16_t
FreePort()
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint().port();
}

struct counting_handler final : request_handler
{
  void Handle(http_request aRequest,
              std::shared_ptr<responder> aResponder) override
  {
    ++handled;
    if (aRequest.target == "/hold") {
      held.push_back(aResponder);
      return;
    }
    http_response response;
    response.status = 200;
    response.body = std::string(responseBytes, 'x');
    aResponder->Send(std::move(response));
  }
  int handled = 0;
  std::size_t responseBytes = 2;
  std::vector<std::shared_ptr<responder>> held;
};

/// A listener with a budget of 16 MiB and raw clients, all on one thread.
struct clients_test
{
  clients_test()
  {
    options.budget = std::make_shared<memory_budget>(16 * kMiB);
    options.budget->onRefusal = [this](std::string_view aReason) {
      reasons.emplace_back(aReason);
    };
  }
  ~clients_test()
  {
    for (const int socket : sockets) {
      ::close(socket);
    }
  }
  clients_test(const clients_test&) = delete;
  clients_test& operator=(const clients_test&) = delete;

  void Start()
  {
    auto listening =
      Capture([&] { return Listen(loop, address, handler, options); });
    REQUIRE(std::holds_alternative<std::unique_ptr<http_listener>>(listening));
    listener = std::move(std::get<std::unique_ptr<http_listener>>(listening));
  }
  int Connect()
  {
    const int socket = test::Connect(address.port);
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    sockets.push_back(socket);
    return socket;
  }
  void Turn()
  {
    loop.Context().restart();
    loop.Context().run_one_for(milliseconds(1));
  }
  /// Sends all bytes, or as many as the server takes.
  void Write(int aSocket, const std::string& aBytes)
  {
    std::size_t sent = 0;
    int idleTurns = 0;
    while (sent < aBytes.size() && idleTurns < 200) {
      const ssize_t size = ::send(
        aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size < 0 && errno != EAGAIN) {
        return;
      }
      sent += size > 0 ? static_cast<std::size_t>(size) : 0;
      idleTurns = size > 0 ? 0 : idleTurns + 1;
      Turn();
    }
    // Lets the server read what waits in the socket.
    for (int turn = 0;
         turn < 100 && loop.Context().run_one_for(milliseconds(1));
         ++turn) {
    }
  }
  /// Runs the loop and reads what arrives.
  /// @return The bytes.
  std::string Read(int aSocket)
  {
    std::string text;
    for (int turn = 0; turn < 100; ++turn) {
      Turn();
      char buffer[65536];
      const ssize_t size = ::recv(aSocket, buffer, sizeof(buffer), 0);
      if (size > 0) {
        text.append(buffer, static_cast<std::size_t>(size));
      } else if (size == 0) {
        break;
      }
    }
    return text;
  }
  [[nodiscard]] bool Refused(std::string_view aReason) const
  {
    return std::find(reasons.begin(), reasons.end(), aReason) != reasons.end();
  }

  listener_options options;
  std::vector<std::string> reasons;
  asio_loop loop;
  socket_address address{ "127.0.0.1", FreePort() };
  counting_handler handler;
  std::unique_ptr<http_listener> listener;
  std::vector<int> sockets;
};

const std::string kChunkedPost =
  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string
PostWithLength(std::size_t aBytes)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n";
}

} // namespace

// Guards against trailers and chunk extensions without a bound.
TEST_CASE("framing of a body is bounded")
{
  clients_test test;
  test.Start();
  const int trailers = test.Connect();
  test.Write(trailers, kChunkedPost + "0\r\n");
  test.Write(trailers, "X: " + std::string(100'000, 'x'));
  CHECK(test.Read(trailers).starts_with("HTTP/1.1 431"));
  CHECK(test.Refused("trailers"));
  const int overhead = test.Connect();
  test.Write(overhead, kChunkedPost);
  const std::string chunk = "1;" + std::string(1'000, 'e') + "\r\nx\r\n";
  for (int count = 0; count < 100; ++count) {
    test.Write(overhead, chunk);
  }
  CHECK(test.Read(overhead).starts_with("HTTP/1.1 400"));
  CHECK(test.Refused("chunk_overhead"));
  CHECK(test.handler.handled == 0);
}

// Guards against defaults that a client within the documented limits reaches:
// chunks of one byte, and as many header fields as 16,384 bytes hold.
TEST_CASE("unusual but legal requests are served")
{
  clients_test test;
  test.Start();
  const int chunks = test.Connect();
  std::string body;
  for (int count = 0; count < 50'000; ++count) {
    body += "1\r\nx\r\n";
  }
  test.Write(chunks, kChunkedPost + body + "0\r\n\r\n");
  CHECK(test.Read(chunks).starts_with("HTTP/1.1 200"));
  const int fields = test.Connect();
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  while (head.size() < 16'000) {
    head += "a:\r\n";
  }
  test.Write(fields, head + "\r\n");
  CHECK(test.Read(fields).starts_with("HTTP/1.1 200"));
}

// Guards against too many header fields, each of which takes more memory than
// its bytes.
TEST_CASE("the number of header fields is bounded by its setting")
{
  clients_test test;
  test.options.framing.maxHeaderFields = 20;
  test.Start();
  const int client = test.Connect();
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int count = 0; count < 20; ++count) {
    head += "a: b\r\n";
  }
  test.Write(client, head + "\r\n");
  CHECK(test.Read(client).starts_with("HTTP/1.1 431"));
  CHECK(test.Refused("header_fields"));
  CHECK(test.handler.handled == 0);
}

// Guards against bytes after a refused request that are run as a request of
// their own.
TEST_CASE("what follows a refused request is not parsed")
{
  clients_test test;
  test.Start();
  listener_limits limits;
  limits.maxBodyBytes = 10;
  test.listener->SetLimits(limits);
  const int client = test.Connect();
  test.Write(client, PostWithLength(100));
  test.Write(client, "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(test.Read(client).starts_with("HTTP/1.1 413"));
  CHECK(test.handler.handled == 0);
}

// Guards against stalled bodies that keep memory which a request that
// progresses needs, and against a refusal of a request that has run.
TEST_CASE("a stalled body gives way to one that progresses")
{
  clients_test test;
  test.Start();
  const int stalled = test.Connect();
  test.Write(stalled,
             PostWithLength(6 * kMiB) + std::string(6 * kMiB - 10, 'x'));
  REQUIRE(test.options.budget->Used() > 6 * kMiB - 10);
  const time_point now = test.loop.Now() + std::chrono::hours(1);
  test.options.budget->Check(now);
  test.options.budget->Check(now + milliseconds(500));
  const int sound = test.Connect();
  test.Write(sound, PostWithLength(5 * kMiB) + std::string(5 * kMiB, 'x'));
  CHECK(test.Read(sound).starts_with("HTTP/1.1 200"));
  CHECK(test.Refused("memory"));
  CHECK(test.Read(stalled).starts_with("HTTP/1.1 503"));
  CHECK(test.handler.handled == 1);
}

// Guards against requests in handlers, such as long polls, that count no more
// once they were parsed.
TEST_CASE("memory of a request is reserved until its response is complete")
{
  clients_test test;
  test.Start();
  const std::size_t before = test.options.budget->Used();
  const int client = test.Connect();
  test.Write(
    client,
    "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n" +
      std::string(kMiB, 'x'));
  REQUIRE(test.handler.held.size() == 1);
  CHECK(test.options.budget->Used() >= before + kMiB);
  CHECK_FALSE(test.handler.held[0]->ReserveMemory(16 * kMiB));
  CHECK(test.handler.held[0]->ReserveMemory(kMiB));
  // It stays reserved while the handler works for a caller that has gone.
  ::close(client);
  test.sockets.clear();
  (void)test.Connect();
  test.Turn();
  CHECK(test.options.budget->Used() >= before + kMiB);
  test.handler.held.clear();
  for (int turn = 0; turn < 20; ++turn) {
    test.Turn();
  }
  CHECK(test.options.budget->Used() < kMiB);
}

// Guards against responses that wait for callers which don't read them.
TEST_CASE("responses to callers that don't read are bounded together")
{
  clients_test test;
  test.handler.responseBytes = 4 * kMiB;
  test.Start();
  for (int count = 0; count < 12; ++count) {
    test.Write(test.Connect(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int turn = 0; turn < 5; ++turn) {
      test.Turn();
    }
    CHECK(test.options.budget->Used() <= 16 * kMiB);
  }
  CHECK(test.handler.handled == 12);
  CHECK(test.Refused("memory"));
}

// Guards against connections of one address that take all places, where the
// deployment bounds them.
TEST_CASE("connections are bounded in all and for each address")
{
  clients_test test;
  test.options.maxConnections = 4;
  test.Start();
  for (int count = 0; count < 8; ++count) {
    (void)test.Connect();
    for (int turn = 0; turn < 3; ++turn) {
      test.Turn();
    }
  }
  CHECK(std::count(test.reasons.begin(), test.reasons.end(), "connections") ==
        4);
  // The newest connections are those that stay.
  test.Write(test.sockets.back(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(test.Read(test.sockets.back()).starts_with("HTTP/1.1 200"));

  clients_test byAddress;
  byAddress.options.maxConnectionsPerAddress = 2;
  byAddress.Start();
  for (int count = 0; count < 3; ++count) {
    (void)byAddress.Connect();
  }
  for (int turn = 0; turn < 20; ++turn) {
    byAddress.Turn();
  }
  CHECK(byAddress.reasons ==
        std::vector<std::string>{ "connections_of_address" });
}

// Guards against responses of the store, the duties, nodes and targets whose
// bodies or framing never end.
TEST_CASE("endless responses fail")
{
  const auto body = GENERATE(true, false);
  test::raw_server server([body](const std::string&, int aSocket) {
    test::SendAll(aSocket,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string part = body
                               ? "10000\r\n" + std::string(65'536, 'x') + "\r\n"
                               : std::string(65'536, 'x');
    if (!body) {
      test::SendAll(aSocket, "1\r\nx\r\n0\r\nX: ");
    }
    for (int count = 0; count < 1'000; ++count) {
      test::SendAll(aSocket, part);
    }
  });
  asio_loop loop;
  const auto client = MakeHttpClient(loop, kMiB);
  std::optional<exchange_failure> failure;
  bool ended = false;
  exchange_options options;
  options.madeAtOnce = body;
  const auto exchange = client->Send(
    *ParseAddress(server.Address()),
    { "GET", "/", { { "Host", "h" } }, {} },
    options,
    std::make_shared<response_collector>(
      [&](const http_response* aResponse, exchange_failure aFailure) {
        ended = true;
        if (!aResponse) {
          failure = aFailure;
        }
      }));
  while (!ended) {
    loop.Context().restart();
    loop.Context().run_one_for(milliseconds(20));
  }
  CHECK(failure == exchange_failure::Protocol);
}

// Guards against a 503 between nodes that is taken for a target's response.
TEST_CASE("between nodes, a request without memory ends without a response")
{
  clients_test test;
  test.options.answersWithoutMemory = false;
  test.Start();
  const int client = test.Connect();
  test.Write(client, PostWithLength(12 * kMiB) + std::string(12 * kMiB, 'x'));
  CHECK(test.Read(client).empty());
  CHECK(test.Refused("memory"));
  CHECK(test.handler.handled == 0);
}
