#include "support/hostile_clients.hpp"

#include "support/raw_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace arbutusferry::hostile {

namespace {

using tcp = boost::asio::ip::tcp;

/// The node is taken to read no more from any client after this time, in which
/// one that reads takes many bytes. Ends the sending; no check depends on it.
constexpr std::chrono::seconds kNothingTaken{ 2 };
/// Also ends the sending, of a node that reads slowly all the time.
constexpr std::chrono::seconds kLongestSending{ 40 };
constexpr std::size_t kPartBytes = std::size_t{ 64 } * 1024;

/// A port that stays bound, so that other processes don't take it; listeners
/// that reuse addresses can.
std::uint16_t
ReservePort()
{
  static boost::asio::io_context sContext;
  static std::vector<std::unique_ptr<tcp::acceptor>> sReserved;
  auto reserved = std::make_unique<tcp::acceptor>(sContext, tcp::v4());
  reserved->set_option(boost::asio::socket_base::reuse_address(true));
  reserved->bind({ boost::asio::ip::address_v4::loopback(), 0 });
  const std::uint16_t port = reserved->local_endpoint().port();
  sReserved.push_back(std::move(reserved));
  return port;
}

std::string
Local(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace

node_under_attack::node_under_attack(const machine& aMachine)
  : mMachine(aMachine)
  , mStore(mLoop)
  , mDuties(mLoop, mFindings)
  , mService(mLoop, mFindings)
  , mCallerPort(ReservePort())
  , mReadyPort(ReservePort())
{
  mService.id = "d0";
  mService.runCounts = &mRuns;
  const std::string service = Local(Serve(mService));
  mStore.PutRecord("keyed.servers",
                   mService.id,
                   R"({"service":"desk","zone":"z0","slots":8,)"
                   R"("state":"ready","born":1,"address":")" +
                     service + "\"}");
  mStore.PutRecord("keyed.op", "config", R"({"version":5,"routes":[
    {"name":"i","host":"lab.example","path-prefix":"/i/","kind":"idempotent",
     "service":"desk","max-attempts":2,"timeout-ms":20000}],
    "services":[{"name":"desk"}],"limits":{},
    "tenants":[{"name":"acme","api-keys":["key"]}]})");
  std::ostringstream settings;
  settings << R"({"vm":"vm0","zone":"z0","zones":["z0"],"cpu_share":1.0,)"
           << R"("listen_callers":")" << Local(mCallerPort)
           << R"(","listen_ready":")" << Local(mReadyPort)
           << R"(","listen_peers":")" << Local(ReservePort())
           << R"(","listen_metrics":")" << Local(ReservePort())
           << R"(","store":")" << Local(Serve(mStore)) << R"(","duties":")"
           << Local(Serve(mDuties))
           << R"(","max_record_bytes":262144,"max_call_bytes":2097152,)"
           << R"("lease_ms":3000,"cancel_within_ms":3000,)"
           << R"("fences_checked":true,"usage_window_s":1,"usage_due_s":10,)"
           << R"("batch_readable_s":120,"stop_within_s":4,"memory_mb":)"
           << mMachine.memoryMb << R"(,"max_descriptors":)"
           << mMachine.maxDescriptors << "}";
  mThread = std::thread([this] {
    const auto work = boost::asio::make_work_guard(mLoop.Context());
    mLoop.Run();
  });
  mProcess = std::make_unique<harness::child_process>(
    "node",
    "arbutusferry-node",
    std::vector<std::string>{ "--settings",
                              mDirectory.Write("node.json", settings.str()) });
  AwaitOrdinaryRequest();
}

node_under_attack::~node_under_attack()
{
  mProcess.reset();
  mLoop.Context().stop();
  mThread.join();
}

std::uint16_t
node_under_attack::Serve(node::request_handler& aHandler)
{
  const std::uint16_t port = ReservePort();
  auto listening = Capture([&] {
    return Listen(mLoop, { "127.0.0.1", port }, aHandler);
  });
  mListeners.push_back(
    std::move(std::get<std::unique_ptr<node::http_listener>>(listening)));
  return port;
}

std::size_t
node_under_attack::StatusKb(const std::string& aField) const
{
  std::ifstream file("/proc/" + std::to_string(mProcess->Pid()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(aField + ":")) {
      return std::stoul(line.substr(aField.size() + 1));
    }
  }
  return 0;
}

std::size_t
node_under_attack::Descriptors() const
{
  const std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(mProcess->Pid()) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

void
node_under_attack::CheckWithinMachine()
{
  REQUIRE_FALSE(mProcess->ExitCode().has_value());
  // The peak covers what was held between two checks.
  const std::size_t bound = mMachine.memoryMb * 1024;
  CHECK(StatusKb("VmRSS") < bound);
  CHECK(StatusKb("VmHWM") < bound);
  CHECK(Descriptors() < mMachine.maxDescriptors);
}

void
node_under_attack::AwaitOrdinaryRequest()
{
  harness::WaitUntil("an ordinary request is answered", [this] {
    REQUIRE_FALSE(mProcess->ExitCode().has_value());
    return Send("/i/ordinary", "small").status == 200;
  });
}

harness::header_list
node_under_attack::Headers()
{
  return { { "Host", "lab.example" },
           { "Authorization", "Bearer key" },
           { "Arbutusferry-Request-Id",
             "ordinary-" + std::to_string(mNextRequest++) } };
}

harness::http_reply
node_under_attack::Send(const std::string& aPath, const std::string& aBody)
{
  return harness::Send(Local(mCallerPort), "POST", aPath, aBody, Headers());
}

harness::http_reply
node_under_attack::SendChunked(const std::string& aPath,
                               const std::string& aBody)
{
  httplib::Client client("http://" + Local(mCallerPort));
  httplib::Headers headers;
  for (const auto& [name, value] : Headers()) {
    headers.emplace(name, value);
  }
  const auto response = client.Post(
    aPath,
    headers,
    [&aBody](std::size_t aOffset, httplib::DataSink& aSink) {
      aSink.write(aBody.data() + aOffset,
                  std::min(kPartBytes, aBody.size() - aOffset));
      if (aOffset + kPartBytes >= aBody.size()) {
        aSink.done();
      }
      return true;
    },
    "application/octet-stream");
  harness::http_reply reply;
  if (response) {
    reply.status = response->status;
    reply.body = response->body;
  }
  return reply;
}

void
node_under_attack::AwaitMemoryReleased()
{
  harness::WaitUntil("memory is released", [this] {
    REQUIRE_FALSE(mProcess->ExitCode().has_value());
    return StatusKb("VmRSS") < mMachine.memoryMb * 1024 / 2;
  });
}

hostile_client::hostile_client(std::uint16_t aPort,
                               std::function<std::string(std::size_t)> aNext)
  : mSocket(test::Connect(aPort))
  , mNext(std::move(aNext))
{
  ::fcntl(mSocket, F_SETFL, ::fcntl(mSocket, F_GETFL) | O_NONBLOCK);
}

hostile_client::~hostile_client()
{
  ::close(mSocket);
}

bool
hostile_client::SendSome()
{
  if (mFinished) {
    return false;
  }
  if (mPartSent == mPart.size()) {
    mPart = mNext(mTotal);
    mPartSent = 0;
    if (mPart.empty()) {
      mFinished = true;
      return false;
    }
  }
  const ssize_t sent = ::send(
    mSocket, mPart.data() + mPartSent, mPart.size() - mPartSent, MSG_NOSIGNAL);
  if (sent < 0) {
    mFinished = errno != EAGAIN && errno != EWOULDBLOCK;
    return false;
  }
  mPartSent += static_cast<std::size_t>(sent);
  mTotal += static_cast<std::size_t>(sent);
  return true;
}

namespace {

/// Calls `aRound` until it sends nothing for a while or all have finished.
void
SendRounds(client_list& aClients, const std::function<bool()>& aRound)
{
  const auto start = std::chrono::steady_clock::now();
  auto lastSent = start;
  for (;;) {
    const bool sent = aRound();
    const auto now = std::chrono::steady_clock::now();
    if (sent) {
      lastSent = now;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    if (std::all_of(aClients.begin(),
                    aClients.end(),
                    [](const auto& aClient) { return aClient->Finished(); }) ||
        now - lastSent > kNothingTaken || now - start > kLongestSending) {
      return;
    }
  }
}

} // namespace

void
SendInTurn(client_list& aClients)
{
  SendRounds(aClients, [&] {
    bool sent = false;
    for (const auto& client : aClients) {
      sent = client->SendSome() || sent;
    }
    return sent;
  });
}

void
SendWhole(client_list& aClients)
{
  SendRounds(aClients, [&] {
    for (const auto& client : aClients) {
      if (!client->Finished()) {
        return client->SendSome();
      }
    }
    return false;
  });
}

std::string
PostHead(const std::string& aId)
{
  return "POST /i/hostile HTTP/1.1\r\nHost: lab.example\r\n"
         "Authorization: Bearer key\r\nArbutusferry-Request-Id: " +
         aId + "\r\n";
}

std::string
Repeated(const std::string& aBlock, std::size_t aOffset, std::size_t aEnd)
{
  std::string text;
  while (text.size() < kPartBytes && aOffset < aEnd) {
    const std::size_t from = aOffset % aBlock.size();
    const std::size_t size =
      std::min({ aBlock.size() - from, aEnd - aOffset, kPartBytes });
    text.append(aBlock, from, size);
    aOffset += size;
  }
  return text;
}

} // namespace arbutusferry::hostile
