#pragma once

#include <cstddef>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace arbutusferry::standin {

/// HTTP server of a stand-in. Uses a thread for each open connection, up to a
/// limit, so that long polls and slow streams do not block each other.
class standin_server
{
public:
  /// @param aMaxConnections Connections served concurrently.
  explicit standin_server(std::size_t aMaxConnections = 512);
  standin_server(const standin_server&) = delete;
  standin_server& operator=(const standin_server&) = delete;
  ~standin_server();

  /// @return Server to register handlers on, before `Start`.
  [[nodiscard]] httplib::Server& Http() noexcept { return mServer; }

  /// Binds and starts to serve.
  /// @param aListen "IP:port"; port 0 lets the system choose.
  /// @return False if the address is malformed or cannot be bound.
  [[nodiscard]] bool Start(const std::string& aListen);

  /// @return "IP:port" that is bound.
  [[nodiscard]] std::string Address() const;

  /// Closes the connection of a request without a response.
  void DropConnection(const httplib::Request& aRequest) const;

  /// Closes the listener and all connections immediately, as a crash does.
  /// Threads end later and are joined by the destructor.
  void Halt();

private:
  httplib::Server mServer;
  std::string mHost;
  int mPort = 0;
  std::thread mThread;
};

/// Sets a response with a JSON body.
void
Reply(httplib::Response& aResponse, int aStatus, const std::string& aJson);

/// Blocks SIGTERM and SIGINT in this thread and in threads it starts. Call
/// before any thread exists.
void
BlockStopSignals();

/// Prints the ready line, a JSON object, and waits for SIGTERM or SIGINT.
/// @param aAddress Address that is bound.
/// @param aExtra More fields of the ready line, such as `,"admin":"IP:port"`.
void
PrintReadyAndWait(const std::string& aAddress, const std::string& aExtra = {});

} // namespace arbutusferry::standin
