#include "common/tcp_proxy.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace arbutusferry::standin {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 65'536;
/// Limit per direction; above it the proxy stops reading from the sender.
constexpr std::size_t kMaxBufferedBytes = 1'048'576;

std::optional<sockaddr_in>
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr) !=
        1) {
    return std::nullopt;
  }
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  return address;
}

struct chunk
{
  steady::time_point due;
  std::string data;
};

/// One direction of a connection.
struct flow
{
  int from = -1;
  int to = -1;
  bool toClient = false;
  std::deque<chunk> chunks;
  std::size_t bufferedBytes = 0;
  std::int64_t bytesWritten = 0; ///< Bytes written since the last `Set`.
  bool sourceClosed = false;     ///< The sender closed its side.
  bool shutdownSent = false;     ///< FIN was sent to the receiver.
};

struct connection
{
  flow toServer;
  flow toClient;
  bool connecting = true;
  bool faultApplies = false; ///< The current fault applies.
  bool closed = false;
};

void
CloseSocket(int aDescriptor, bool aReset)
{
  if (aDescriptor < 0) {
    return;
  }
  if (aReset) {
    const linger option{ 1, 0 };
    ::setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  }
  ::close(aDescriptor);
}

} // namespace

struct tcp_proxy::impl
{
  bool Listen();
  void Run();
  void Accept();
  void AddPollEntries(connection& aConnection,
                      std::vector<pollfd>& aPolls) const;
  void HandleEvents(connection& aConnection, const std::vector<pollfd>& aPolls);
  void ReadFrom(connection& aConnection, flow& aFlow);
  void WriteTo(connection& aConnection, flow& aFlow);
  void CloseConnection(connection& aConnection, bool aReset);
  [[nodiscard]] bool IsBlocked(const connection& aConnection,
                               const flow& aFlow) const;
  [[nodiscard]] fault_mode ModeOf(const connection& aConnection) const
  {
    return aConnection.faultApplies ? fault.mode : fault_mode::Pass;
  }
  [[nodiscard]] std::int64_t BytesUntilFault(const connection& aConnection,
                                             const flow& aFlow) const;

  sockaddr_in listenAddress{};
  sockaddr_in serverAddress{};
  int listener = -1;
  int wakeEvent = -1;
  std::atomic<bool> stopped{ false };
  std::thread thread;

  mutable std::mutex mutex;
  fault_setting fault;
  std::int64_t remainingFaults = -1;
  std::list<connection> connections;
  std::int64_t accepted = 0;
  std::int64_t bytesToServer = 0;
  std::int64_t bytesToClient = 0;
  std::int64_t faults = 0;
};

bool
tcp_proxy::impl::Listen()
{
  listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&listenAddress),
             sizeof listenAddress) != 0 ||
      ::listen(listener, 256) != 0) {
    CloseSocket(listener, false);
    listener = -1;
    return false;
  }
  socklen_t size = sizeof listenAddress;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&listenAddress), &size);
  return true;
}

void
tcp_proxy::impl::Accept()
{
  while (true) {
    const int client =
      ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    const int server =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int connectResult =
      ::connect(server,
                reinterpret_cast<const sockaddr*>(&serverAddress),
                sizeof serverAddress);
    if (connectResult != 0 && errno != EINPROGRESS) {
      CloseSocket(client, true);
      CloseSocket(server, true);
      continue;
    }
    ++accepted;
    connection& opened = connections.emplace_back();
    opened.toServer.from = client;
    opened.toServer.to = server;
    opened.toClient.from = server;
    opened.toClient.to = client;
    opened.toClient.toClient = true;
    opened.faultApplies = remainingFaults != 0;
    remainingFaults -= remainingFaults > 0 ? 1 : 0;
  }
}

void
tcp_proxy::impl::CloseConnection(connection& aConnection, bool aReset)
{
  if (aConnection.closed) {
    return;
  }
  aConnection.closed = true;
  CloseSocket(aConnection.toServer.from, aReset);
  CloseSocket(aConnection.toServer.to, aReset);
}

bool
tcp_proxy::impl::IsBlocked(const connection& aConnection,
                           const flow& aFlow) const
{
  switch (ModeOf(aConnection)) {
    case fault_mode::Cut:
      return true;
    case fault_mode::CutToServer:
      return !aFlow.toClient;
    case fault_mode::CutToClient:
      return aFlow.toClient;
    default:
      return false;
  }
}

std::int64_t
tcp_proxy::impl::BytesUntilFault(const connection& aConnection,
                                 const flow& aFlow) const
{
  const fault_mode mode = ModeOf(aConnection);
  const bool applies =
    (mode == fault_mode::ResetAfter && aFlow.toClient == fault.toClient) ||
    (mode == fault_mode::Truncate && aFlow.toClient);
  return applies ? fault.bytes - aFlow.bytesWritten : -1;
}

void
tcp_proxy::impl::ReadFrom(connection& aConnection, flow& aFlow)
{
  std::string data(kReadBytes, '\0');
  const ssize_t count = ::recv(aFlow.from, data.data(), data.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      CloseConnection(aConnection, true);
    }
    return;
  }
  if (count == 0) {
    aFlow.sourceClosed = true;
    return;
  }
  if (aFlow.toClient && ModeOf(aConnection) == fault_mode::LoseAnswer) {
    ++faults;
    CloseConnection(aConnection, false);
    return;
  }
  data.resize(static_cast<std::size_t>(count));
  aFlow.bufferedBytes += data.size();
  const auto delay = std::chrono::milliseconds(
    ModeOf(aConnection) == fault_mode::Delay ? fault.delayMs : 0);
  aFlow.chunks.push_back({ steady::now() + delay, std::move(data) });
}

void
tcp_proxy::impl::WriteTo(connection& aConnection, flow& aFlow)
{
  const auto now = steady::now();
  while (!aFlow.chunks.empty() && aFlow.chunks.front().due <= now) {
    std::string& data = aFlow.chunks.front().data;
    std::size_t size = data.size();
    const std::int64_t limit = BytesUntilFault(aConnection, aFlow);
    if (limit >= 0) {
      size = std::min(size, static_cast<std::size_t>(limit));
    }
    ssize_t count = 0;
    if (size > 0) {
      count = ::send(aFlow.to, data.data(), size, MSG_NOSIGNAL);
      if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
          CloseConnection(aConnection, true);
        }
        return;
      }
    }
    aFlow.bytesWritten += count;
    (aFlow.toClient ? bytesToClient : bytesToServer) += count;
    aFlow.bufferedBytes -= static_cast<std::size_t>(count);
    data.erase(0, static_cast<std::size_t>(count));
    if (BytesUntilFault(aConnection, aFlow) == 0) {
      ++faults;
      CloseConnection(aConnection, fault.mode == fault_mode::ResetAfter);
      return;
    }
    if (data.empty()) {
      aFlow.chunks.pop_front();
    }
  }
  if (aFlow.sourceClosed && aFlow.chunks.empty() && !aFlow.shutdownSent) {
    aFlow.shutdownSent = true;
    ::shutdown(aFlow.to, SHUT_WR);
  }
}

void
tcp_proxy::impl::AddPollEntries(connection& aConnection,
                                std::vector<pollfd>& aPolls) const
{
  short client = 0;
  short server = 0;
  for (const flow* each : { &aConnection.toServer, &aConnection.toClient }) {
    short& from = each->toClient ? server : client;
    short& to = each->toClient ? client : server;
    if (IsBlocked(aConnection, *each)) {
      continue;
    }
    if (!each->sourceClosed && each->bufferedBytes < kMaxBufferedBytes) {
      from |= POLLIN;
    }
    if (!each->chunks.empty() && each->chunks.front().due <= steady::now()) {
      to |= POLLOUT;
    }
  }
  if (aConnection.connecting) {
    server |= POLLOUT;
  }
  // Descriptors without requested events are excluded: poll would report their
  // POLLHUP at once each time, and a blocked connection would busy-loop.
  aPolls.push_back({ client != 0 ? aConnection.toServer.from : -1, client, 0 });
  aPolls.push_back({ server != 0 ? aConnection.toServer.to : -1, server, 0 });
}

void
tcp_proxy::impl::HandleEvents(connection& aConnection,
                              const std::vector<pollfd>& aPolls)
{
  const short client = aPolls[0].revents;
  const short server = aPolls[1].revents;
  if (aConnection.connecting && server != 0) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(aConnection.toServer.to, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      CloseConnection(aConnection, true);
      return;
    }
    aConnection.connecting = false;
  }
  constexpr short kReadable = POLLIN | POLLHUP | POLLERR;
  const auto readable = [&](const flow& aFlow, short aEvents) {
    return (aEvents & kReadable) != 0 && !aFlow.sourceClosed &&
           !IsBlocked(aConnection, aFlow) && !aConnection.closed;
  };
  if (readable(aConnection.toServer, client)) {
    ReadFrom(aConnection, aConnection.toServer);
  }
  if (readable(aConnection.toClient, server)) {
    ReadFrom(aConnection, aConnection.toClient);
  }
  for (flow* each : { &aConnection.toServer, &aConnection.toClient }) {
    if (!aConnection.closed && !aConnection.connecting &&
        !IsBlocked(aConnection, *each)) {
      WriteTo(aConnection, *each);
    }
  }
  if (!aConnection.closed && aConnection.toServer.shutdownSent &&
      aConnection.toClient.shutdownSent) {
    CloseConnection(aConnection, false);
  }
}

void
tcp_proxy::impl::Run()
{
  while (!stopped) {
    std::vector<pollfd> polls;
    std::vector<connection*> polled;
    bool pending = false;
    {
      const std::lock_guard lock(mutex);
      const bool accepting =
        fault.mode != fault_mode::Cut || remainingFaults >= 0;
      polls.push_back({ wakeEvent, POLLIN, 0 });
      polls.push_back({ accepting ? listener : -1, POLLIN, 0 });
      std::erase_if(connections,
                    [](const connection& aEach) { return aEach.closed; });
      for (connection& each : connections) {
        polled.push_back(&each);
        AddPollEntries(each, polls);
        pending = pending || !each.toServer.chunks.empty() ||
                  !each.toClient.chunks.empty();
      }
    }
    ::poll(polls.data(), polls.size(), pending ? 1 : 200);
    const std::lock_guard lock(mutex);
    if ((polls[0].revents & POLLIN) != 0) {
      eventfd_t value = 0;
      (void)::eventfd_read(wakeEvent, &value);
    }
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (!polled[i]->closed) {
        HandleEvents(*polled[i], { polls[2 + 2 * i], polls[3 + 2 * i] });
      }
    }
    if ((polls[1].revents & POLLIN) != 0 && listener >= 0) {
      Accept();
    }
  }
}

tcp_proxy::tcp_proxy()
  : mImpl(std::make_unique<impl>())
{
}

tcp_proxy::~tcp_proxy()
{
  mImpl->stopped = true;
  if (mImpl->thread.joinable()) {
    ::eventfd_write(mImpl->wakeEvent, 1);
    mImpl->thread.join();
  }
  for (connection& each : mImpl->connections) {
    mImpl->CloseConnection(each, true);
  }
  CloseSocket(mImpl->listener, false);
  CloseSocket(mImpl->wakeEvent, false);
}

bool
tcp_proxy::Start(const std::string& aListen, const std::string& aServer)
{
  const auto listenAddress = ParseAddress(aListen);
  const auto serverAddress = ParseAddress(aServer);
  if (!listenAddress || !serverAddress) {
    return false;
  }
  mImpl->listenAddress = *listenAddress;
  mImpl->serverAddress = *serverAddress;
  mImpl->wakeEvent = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (!mImpl->Listen()) {
    return false;
  }
  mImpl->thread = std::thread([this] { mImpl->Run(); });
  return true;
}

std::string
tcp_proxy::Address() const
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &mImpl->listenAddress.sin_addr, text, sizeof text);
  return std::string(text) + ":" +
         std::to_string(ntohs(mImpl->listenAddress.sin_port));
}

void
tcp_proxy::Set(const fault_setting& aSetting)
{
  const std::lock_guard lock(mImpl->mutex);
  mImpl->fault = aSetting;
  mImpl->remainingFaults = aSetting.count;
  for (connection& each : mImpl->connections) {
    each.faultApplies = aSetting.count < 0;
    each.toServer.bytesWritten = 0;
    each.toClient.bytesWritten = 0;
    if (aSetting.mode == fault_mode::Refuse) {
      mImpl->CloseConnection(each, true);
    }
  }
  if (aSetting.mode == fault_mode::Refuse && mImpl->listener >= 0) {
    CloseSocket(mImpl->listener, false);
    mImpl->listener = -1;
  } else if (aSetting.mode != fault_mode::Refuse && mImpl->listener < 0) {
    mImpl->Listen();
  }
  ::eventfd_write(mImpl->wakeEvent, 1);
}

Json::Value
tcp_proxy::Stats() const
{
  const std::lock_guard lock(mImpl->mutex);
  Json::Value value(Json::objectValue);
  value["accepted"] = Json::Int64(mImpl->accepted);
  value["open"] = Json::UInt64(mImpl->connections.size());
  value["to_server"] = Json::Int64(mImpl->bytesToServer);
  value["to_client"] = Json::Int64(mImpl->bytesToClient);
  value["faults"] = Json::Int64(mImpl->faults);
  return value;
}

} // namespace arbutusferry::standin
