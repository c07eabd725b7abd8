#include "arbutusferry/node/asio_net.hpp"
#include "net/memory_budget.hpp"
#include "net/server_connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <memory>
#include <vector>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

namespace {

/// Time without any event after which a read counts as hung.
constexpr seconds kHangTime{ 10 };

/// Server side of one connection, whose timeouts the test checks at times of
/// its choice.
struct connection_test final
  : connection_owner
  , request_handler
{
  connection_test()
  {
    options.budget =
      std::make_shared<memory_budget>(std::numeric_limits<std::size_t>::max());
    tcp::acceptor acceptor(loop.Context(),
                           { boost::asio::ip::address_v4::loopback(), 0 });
    acceptor.set_option(boost::asio::socket_base::send_buffer_size(64 << 10));
    // Small, so that most of a response waits at the server.
    peer.open(tcp::v4());
    peer.set_option(boost::asio::socket_base::receive_buffer_size(64 << 10));
    peer.connect(acceptor.local_endpoint());
    connection_owner& self = *this;
    connection = std::make_shared<server_connection>(self, acceptor.accept());
    connection->Start();
  }

  asio_loop& Loop() noexcept override { return loop; }
  request_handler& Handler() noexcept override { return *this; }
  const listener_limits& Limits() const noexcept override { return limits; }
  const listener_options& Options() const noexcept override { return options; }
  bool Draining() const noexcept override { return draining; }
  duration IdleTimeout() const noexcept override
  {
    return draining ? duration(seconds(1)) : duration(limits.idleTimeout);
  }
  void Remove(const std::shared_ptr<server_connection>&) override
  {
    closed = true;
  }
  void Handle(http_request aRequest,
              std::shared_ptr<responder> aResponder) override
  {
    ++handled;
    body = aRequest.body;
    if (streams) {
      held = std::move(aResponder);
      held->Begin(200, {});
      held->Write(std::string(responseBytes, 'x'));
      return;
    }
    http_response response;
    response.status = 200;
    response.body = std::string(responseBytes, 'x');
    aResponder->Send(std::move(response));
  }

  void Write(const std::string& aBytes)
  {
    boost::asio::write(peer, boost::asio::buffer(aBytes));
    RunFor(milliseconds(20));
  }
  /// Reads from the connection as its caller.
  /// @return What ended the read before `aBytes` were there, if anything.
  boost::system::error_code Receive(std::size_t aBytes)
  {
    std::vector<char> bytes(aBytes);
    boost::system::error_code error;
    std::size_t size = 0;
    bool done = false;
    // The pending read keeps the loop waiting for bytes that the kernel still
    // holds after the connection has written all and closed.
    boost::asio::async_read(
      peer,
      boost::asio::buffer(bytes),
      [&](const boost::system::error_code& aError, std::size_t aSize) {
        error = aError;
        size = aSize;
        done = true;
      });
    loop.Context().restart();
    while (!done && loop.Context().run_one_for(kHangTime) > 0) {
    }
    if (!done) {
      peer.cancel();
      RunFor(milliseconds(20));
    }
    received.append(bytes.data(), size);
    return error;
  }
  void Read(std::size_t aBytes)
  {
    const std::size_t before = received.size();
    const auto error = Receive(aBytes);
    CAPTURE(error.message());
    REQUIRE(received.size() == before + aBytes);
  }
  void RunFor(milliseconds aTime)
  {
    loop.Context().restart();
    loop.Context().run_for(aTime);
  }
  /// Lets time pass, with checks at the listener's interval.
  void Pass(duration aTime)
  {
    const time_point end = now + aTime;
    while (now < end) {
      now += milliseconds(500);
      connection->CheckTimeouts(now);
    }
  }

  listener_options options;
  asio_loop loop;
  tcp::socket peer{ loop.Context() };
  listener_limits limits;
  std::shared_ptr<server_connection> connection;
  time_point now = loop.Now();
  std::string body;
  std::string received; ///< Bytes that the caller has read.
  std::size_t responseBytes = 2;
  int handled = 0;
  bool streams = false; ///< Responses are begun and not ended.
  std::shared_ptr<responder> held;
  bool draining = false;
  bool closed = false;
};

constexpr std::size_t kLargeResponse = std::size_t{ 8 } << 20;

} // namespace

// Guards against cutting off a response whose caller reads it slowly: writing
// it isn't idle time.
TEST_CASE("a response that is read slowly arrives whole")
{
  connection_test test;
  test.responseBytes = kLargeResponse;
  test.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(test.connection->UnsentBytes() > 0);
  for (int turn = 0; turn < 10; ++turn) {
    test.Pass(seconds(10));
    REQUIRE(!test.closed);
    test.Read(kLargeResponse / 10);
  }
  CHECK(!test.closed);
}

// Guards against cutting off responses in a planned stop, where idle
// connections are closed after one second.
TEST_CASE("a response that is read slowly arrives whole during a stop")
{
  connection_test test;
  test.responseBytes = kLargeResponse;
  test.draining = true;
  test.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(test.connection->UnsentBytes() > 0);
  for (int turn = 0; turn < 10; ++turn) {
    test.Pass(seconds(2));
    REQUIRE(!test.closed);
    test.Read(kLargeResponse / 10);
  }
  CHECK(test.Receive(kLargeResponse) == boost::asio::error::eof);
  const std::size_t head = test.received.find("\r\n\r\n") + 4;
  CHECK(test.received.size() - head == kLargeResponse);
}

// Guards against responses that hold memory for as long as their caller likes.
TEST_CASE("a response that nobody reads is given up")
{
  connection_test test;
  test.responseBytes = kLargeResponse;
  test.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(test.connection->UnsentBytes() > 0);
  test.Pass(2 * test.limits.idleTimeout + seconds(1));
  CHECK(test.closed);
}

// Guards against request bodies that stall and send a byte now and then, which
// held their connection for ever.
TEST_CASE("a request body that sends a byte now and then is given up")
{
  connection_test test;
  test.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
  for (int turn = 0; turn < 40 && !test.closed; ++turn) {
    boost::asio::write(test.peer, boost::asio::buffer("x", 1));
    test.RunFor(milliseconds(5));
    test.Pass(seconds(1));
  }
  CHECK(test.closed);
  CHECK(test.handled == 0);
}

// Guards against cutting off request bodies that arrive slowly but steadily,
// also during a planned stop.
TEST_CASE("a request body that arrives slowly is read whole")
{
  connection_test test;
  test.draining = true;
  test.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n");
  for (int turn = 0; turn < 100; ++turn) {
    REQUIRE(!test.closed);
    test.Write(std::string(200, 'y'));
    test.Pass(seconds(1));
  }
  CHECK(test.handled == 1);
  CHECK(test.body.size() == 20'000);
}

// Guards against closing a connection on which a few bytes are being written:
// the check may come between the write and its completion.
TEST_CASE("a check of timeouts during a short write closes nothing")
{
  connection_test test;
  boost::asio::write(test.peer,
                     boost::asio::buffer(std::string(
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                       "Expect: 100-continue\r\n\r\n")));
  test.loop.Context().restart();
  bool checkedDuringWrite = false;
  while (test.loop.Context().run_one_for(milliseconds(100)) > 0) {
    checkedDuringWrite =
      checkedDuringWrite || test.connection->UnsentBytes() > 0;
    test.connection->CheckTimeouts(test.loop.Now());
    REQUIRE(!test.closed);
  }
  CHECK(checkedDuringWrite);
  test.Write("body");
  CHECK(test.handled == 1);
}

// Guards against counting the time in which a response was written as idle.
TEST_CASE("an idle connection is closed after its idle timeout")
{
  connection_test test;
  test.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(test.handled == 1);
  test.Pass(test.limits.idleTimeout - seconds(1));
  CHECK(!test.closed);
  test.Pass(seconds(3));
  CHECK(test.closed);
}

// Guards against a setting for the least rate of a body that acts by default,
// or on a sender that keeps to it.
TEST_CASE("a body below the least rate ends its connection")
{
  connection_test slow;
  slow.options.framing.minBodyBytesPerSecond = 100;
  connection_test sound;
  sound.options.framing.minBodyBytesPerSecond = 100;
  connection_test unbounded;
  const std::string head =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n";
  slow.Write(head);
  sound.Write(head);
  unbounded.Write(head);
  for (int turn = 0; turn < 20; ++turn) {
    if (!slow.closed) {
      slow.Write(std::string(50, 'y'));
    }
    sound.Write(std::string(150, 'y'));
    unbounded.Write(std::string(50, 'y'));
    slow.Pass(seconds(1));
    sound.Pass(seconds(1));
    unbounded.Pass(seconds(1));
  }
  CHECK(slow.closed);
  CHECK(slow.handled == 0);
  CHECK(!sound.closed);
  CHECK(!unbounded.closed);
}

// Guards against a streamed response that waits without an end for a caller
// who doesn't read it.
TEST_CASE("a caller that reads nothing of a stream is disconnected")
{
  connection_test test;
  test.streams = true;
  test.responseBytes = kLargeResponse;
  test.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(test.connection->UnsentBytes() > 0);
  test.Pass(test.limits.idleTimeout - seconds(1));
  CHECK(!test.closed);
  test.Pass(seconds(3) + test.limits.idleTimeout);
  CHECK(test.closed);
}
