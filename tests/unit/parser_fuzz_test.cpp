#include "arbutusferry/node/asio_net.hpp"
#include "net/memory_budget.hpp"
#include "net/server_connection.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

/// Requests of a run in CI, which takes about a second; ARBUTUSFERRY_FUZZ_RUNS
/// sets another number.
constexpr std::uint64_t kDefaultRuns = 2'000;
constexpr std::uint64_t kDefaultSeed = 1;
constexpr std::size_t kBudget = std::size_t{ 1 } << 20;
constexpr std::size_t kMaxBody = std::size_t{ 64 } * 1024;

std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text ? std::strtoull(text, nullptr, 10) : aDefault;
}

/// Server side of one connection that gets the bytes of a test.
struct fuzzed_connection final
  : connection_owner
  , request_handler
{
  fuzzed_connection()
  {
    options.budget = std::make_shared<memory_budget>(kBudget);
    limits.maxBodyBytes = kMaxBody;
    tcp::acceptor acceptor(loop.Context(),
                           { boost::asio::ip::address_v4::loopback(), 0 });
    peer.connect(acceptor.local_endpoint());
    peer.non_blocking(true);
    connection_owner& self = *this;
    connection = std::make_shared<server_connection>(self, acceptor.accept());
    connection->Start();
  }

  asio_loop& Loop() noexcept override { return loop; }
  request_handler& Handler() noexcept override { return *this; }
  const listener_limits& Limits() const noexcept override { return limits; }
  const listener_options& Options() const noexcept override { return options; }
  bool Draining() const noexcept override { return false; }
  duration IdleTimeout() const noexcept override { return limits.idleTimeout; }
  void Remove(const std::shared_ptr<server_connection>&) override
  {
    closed = true;
  }
  void Handle(http_request aRequest,
              std::shared_ptr<responder> aResponder) override
  {
    CHECK_FALSE(aRequest.method.empty());
    CHECK(aRequest.body.size() <= kMaxBody);
    http_response response;
    response.status = 200;
    aResponder->Send(std::move(response));
  }

  /// Sends bytes in parts and reads the responses.
  void Feed(const std::string& aBytes, std::mt19937_64& aRandom)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size() && !closed) {
      const std::size_t size =
        std::min<std::size_t>(1 + aRandom() % 4'096, aBytes.size() - sent);
      boost::system::error_code error;
      sent +=
        peer.write_some(boost::asio::buffer(aBytes.data() + sent, size), error);
      Poll();
      if (error && error != boost::asio::error::would_block) {
        return;
      }
    }
  }
  void Poll()
  {
    loop.Context().restart();
    loop.Context().poll();
    char buffer[4096];
    boost::system::error_code error;
    (void)peer.read_some(boost::asio::buffer(buffer), error);
    CHECK(options.budget->Used() <= kBudget);
  }

  listener_options options;
  listener_limits limits;
  asio_loop loop;
  tcp::socket peer{ loop.Context() };
  std::shared_ptr<server_connection> connection;
  bool closed = false;
};

const char* const kParts[] = {
  "GET / HTTP/1.1\r\n",
  "POST /i/x HTTP/1.1\r\n",
  "POST / HTTP/1.0\r\n",
  "Host: h\r\n",
  "Content-Length: 5\r\n",
  "Content-Length: 99999999999999999999\r\n",
  "Content-Length: -1\r\n",
  "Transfer-Encoding: chunked\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Transfer-Encoding: chunked, identity\r\n",
  "Expect: 100-continue\r\n",
  "Connection: close\r\n",
  "Connection: upgrade\r\nUpgrade: x\r\n",
  " folded: line\r\n",
  "X: \r\n",
  ": empty\r\n",
  "\r\n",
  "\n",
  "\r",
  "5\r\nhello\r\n",
  "0\r\n",
  "0\r\n\r\n",
  "1;a=\"b\"\r\nx\r\n",
  "fffffffffffffffff\r\n",
  "7fffffffffffffff\r\n",
  "hello",
  "\0",
  "\xff\xfe",
};

/// @return A hostile input: parts of requests in any order, some of them
/// repeated, cut or changed.
std::string
MakeInput(std::mt19937_64& aRandom)
{
  std::string text;
  const std::uint64_t parts = 1 + aRandom() % 24;
  for (std::uint64_t count = 0; count < parts; ++count) {
    const std::string part = kParts[aRandom() % std::size(kParts)];
    const std::uint64_t repeats = aRandom() % 50 == 0 ? aRandom() % 5'000 : 1;
    for (std::uint64_t copy = 0; copy < repeats; ++copy) {
      text += part;
    }
    if (aRandom() % 60 == 0) {
      text.append(aRandom() % 100'000, static_cast<char>(aRandom()));
    }
  }
  const std::uint64_t changes = aRandom() % 4;
  for (std::uint64_t count = 0; count < changes && !text.empty(); ++count) {
    text[aRandom() % text.size()] = static_cast<char>(aRandom());
  }
  if (aRandom() % 2 == 0) {
    text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + text;
  }
  return text;
}

void
CheckInput(const std::string& aInput, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::shared_ptr<memory_budget> budget;
  {
    fuzzed_connection test;
    budget = test.options.budget;
    test.Feed(aInput, random);
    test.Poll();
    test.connection->Close();
    test.connection.reset();
    test.Poll();
  }
  CHECK(budget->Used() == 0);
}

} // namespace

// Guards against inputs that end the process, exceed the budget or leave memory
// reserved. Keep an input that fails in tests/fuzz-inputs.
TEST_CASE("hostile bytes are parsed within the budget")
{
  const std::uint64_t first =
    NumberFromEnvironment("ARBUTUSFERRY_FUZZ_SEED", kDefaultSeed);
  const std::uint64_t runs =
    NumberFromEnvironment("ARBUTUSFERRY_FUZZ_RUNS", kDefaultRuns);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    CheckInput(MakeInput(random), seed);
  }
}

// Guards against the return of faults that the generator has found.
TEST_CASE("inputs that failed before are parsed")
{
  const std::filesystem::path folder = ARBUTUSFERRY_FUZZ_INPUTS;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".bin") {
      continue;
    }
    INFO(entry.path());
    std::ifstream file(entry.path(), std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    CheckInput(text.str(), 1);
  }
}
