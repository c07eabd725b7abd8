#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// A small blocking HTTP/1.1 server and client for the stand-ins and clients of
/// the review. It uses none of the project's code.
namespace review {

using field_list = std::vector<std::pair<std::string, std::string>>;

/// @return The value of a field, compared without case; empty if absent.
[[nodiscard]] std::string
Field(const field_list& aFields, std::string_view aName);

struct request
{
  std::string method;
  std::string target;
  field_list fields;
  std::string body;
};

struct response
{
  int status = 0;
  field_list fields;
  std::string body;
};

/// The server's side of one connection.
class channel
{
public:
  explicit channel(int aSocket)
    : mSocket(aSocket)
  {
  }
  ~channel();
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  /// Reads the next request; nothing when the connection has ended.
  [[nodiscard]] std::optional<request> Read();
  void Send(int aStatus, const field_list& aFields, std::string_view aBody);
  /// Begins a response in chunks.
  void Begin(int aStatus, const field_list& aFields);
  void Chunk(std::string_view aPart);
  void End();
  /// Resets the connection.
  void Reset();
  /// @return Whether the peer has closed the connection.
  [[nodiscard]] bool Closed();
  [[nodiscard]] int PeerPort() const;

private:
  void Write(std::string_view aText);

  int mSocket;
  bool mBroken = false;
  std::string mInput;
};

/// Serves each connection on a thread of its own.
class http_server
{
public:
  using handler = std::function<void(const request&, channel&)>;

  explicit http_server(handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  [[nodiscard]] int Port() const noexcept { return mPort; }

private:
  void Accept();

  handler mHandler;
  int mSocket = -1;
  int mPort = 0;
  std::atomic<bool> mStopping = false;
  std::thread mAcceptor;
};

/// A loopback link to a server, which can be cut. While it is cut, no byte gets
/// through and nobody is told; what was under way is lost.
class proxy_link
{
public:
  explicit proxy_link(int aTargetPort);
  proxy_link(const proxy_link&) = delete;
  proxy_link& operator=(const proxy_link&) = delete;

  [[nodiscard]] int Port() const noexcept { return mPort; }
  void SetCut(bool aCut) { mCut = aCut; }

private:
  void Accept();
  void Pass(int aSocket) const;

  int mTargetPort;
  int mSocket = -1;
  int mPort = 0;
  std::atomic<bool> mCut = false;
};

enum class call_end
{
  Answered,
  NotConnected,
  Closed,  ///< The connection ended before the whole response.
  TimedOut ///< The client left.
};

struct call_result
{
  call_end end = call_end::NotConnected;
  response answer;
};

/// Sends one request on a new connection to a loopback port.
[[nodiscard]] call_result
Call(int aPort, const request& aRequest, int aTimeoutMs);

/// @return Which of the processes has the connection from a loopback port, or
/// -1.
[[nodiscard]] int
FindSender(int aPeerPort, const std::vector<int>& aProcesses);

/// Binds a loopback port without listening, so that no other process takes it.
[[nodiscard]] int
ReservePort();

} // namespace review
