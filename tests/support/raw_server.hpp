#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace arbutusferry::test {

/// Sends a whole text; stops without an error if the peer disconnects.
inline void
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t size =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(size);
  }
}

/// Reads until the peer closes the connection.
inline std::string
ReadAll(int aSocket)
{
  std::string text;
  char buffer[4096];
  for (;;) {
    const ssize_t size = ::recv(aSocket, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      return text;
    }
    text.append(buffer, static_cast<std::size_t>(size));
  }
}

/// Connects to a port on the loopback address; the caller closes the socket.
inline int
Connect(int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)::connect(
    socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return socket;
}

/// Makes the later close of a socket send a reset (RST).
inline void
ResetOnClose(int aSocket)
{
  const linger now{ 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/// The part of a request that is read before it is answered.
enum class request_part
{
  Head,
  Whole,
};

/// Server that passes each request and its socket to a function, one connection
/// at a time.
class raw_server
{
public:
  /// Receives the part of the request that was read and writes the response to
  /// the socket, which is closed afterwards.
  using handler = std::function<void(const std::string&, int)>;

  explicit raw_server(handler aHandler,
                      request_part aRead = request_part::Whole)
    : mHandler(std::move(aHandler))
    , mRead(aRead)
    , mListener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(
      mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::listen(mListener, 64);
    socklen_t size = sizeof(address);
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }

  ~raw_server()
  {
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
  }

  /// Replaces the handler for requests that arrive later.
  void SetHandler(handler aHandler)
  {
    const std::lock_guard lock(mMutex);
    mHandler = std::move(aHandler);
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mPort);
  }
  [[nodiscard]] int Requests() const { return mRequests; }
  /// @return Number of connections that were closed.
  [[nodiscard]] int Closed() const { return mClosed; }

private:
  void Serve()
  {
    for (;;) {
      const int socket = ::accept(mListener, nullptr, nullptr);
      if (socket < 0) {
        return;
      }
      const std::string request = ReadRequest(socket);
      if (!request.empty()) {
        ++mRequests;
        handler answer;
        {
          const std::lock_guard lock(mMutex);
          answer = mHandler;
        }
        answer(request, socket);
      }
      ::close(socket);
      ++mClosed;
    }
  }

  [[nodiscard]] std::string ReadRequest(int aSocket) const
  {
    std::string text;
    char byte = 0;
    while (text.find("\r\n\r\n") == std::string::npos) {
      if (::recv(aSocket, &byte, 1, 0) <= 0) {
        return {};
      }
      text += byte;
    }
    if (mRead == request_part::Head) {
      return text;
    }
    const std::size_t field = text.find("Content-Length: ");
    std::size_t length =
      field == std::string::npos ? 0 : std::stoul(text.substr(field + 16));
    while (length > 0 && ::recv(aSocket, &byte, 1, 0) > 0) {
      text += byte;
      --length;
    }
    return text;
  }

  std::mutex mMutex;
  handler mHandler;
  request_part mRead;
  int mListener;
  int mPort = 0;
  std::atomic<int> mRequests{ 0 };
  std::atomic<int> mClosed{ 0 };
  std::thread mThread;
};

} // namespace arbutusferry::test
