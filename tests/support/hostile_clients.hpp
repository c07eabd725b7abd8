#pragma once

#include "node-soak/soak_servers.hpp"
#include "node-soak/soak_targets.hpp"
#include "support/harness.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// A real node process under clients that try to exhaust its memory.
namespace arbutusferry::hostile {

/// Stated size of the node's machine; the bounds of the tests follow from it.
struct machine
{
  std::size_t memoryMb = 120;
  std::size_t maxDescriptors = 256;
};

/// One arbutusferry-node with fakes of the store, duties and a plain service.
class node_under_attack
{
public:
  explicit node_under_attack(const machine& aMachine);
  node_under_attack(const node_under_attack&) = delete;
  node_under_attack& operator=(const node_under_attack&) = delete;
  ~node_under_attack();

  [[nodiscard]] std::uint16_t CallerPort() const noexcept
  {
    return mCallerPort;
  }
  [[nodiscard]] std::uint16_t ReadyPort() const noexcept { return mReadyPort; }
  /// Checks that the process lives and that its resident memory, its peak and
  /// its open descriptors are within the machine's.
  void CheckWithinMachine();
  /// Sends an ordinary small request until it is answered with 200; a node
  /// under attack may refuse some.
  void AwaitOrdinaryRequest();
  /// Sends one request to the plain service, with a length or in chunks.
  [[nodiscard]] harness::http_reply Send(const std::string& aPath,
                                         const std::string& aBody);
  [[nodiscard]] harness::http_reply SendChunked(const std::string& aPath,
                                                const std::string& aBody);
  /// Waits until resident memory is below half of the machine's, which an idle
  /// node needs only a small part of.
  void AwaitMemoryReleased();
  /// @return A field of /proc/PID/status in KiB, or 0 if there is none.
  [[nodiscard]] std::size_t StatusKb(const std::string& aField) const;
  [[nodiscard]] std::size_t Descriptors() const;
  /// @return What the process has logged.
  [[nodiscard]] std::string Log() const { return mProcess->StandardOutput(); }

private:
  [[nodiscard]] harness::header_list Headers();
  std::uint16_t Serve(node::request_handler& aHandler);

  machine mMachine;
  harness::temporary_directory mDirectory;
  node::asio_loop mLoop;
  node_soak::finding_list mFindings;
  node_soak::fake_store mStore;
  node_soak::fake_duty_service mDuties;
  node_soak::fake_plain_service mService;
  std::map<std::string, int> mRuns;
  std::vector<std::unique_ptr<node::http_listener>> mListeners;
  std::uint16_t mCallerPort;
  std::uint16_t mReadyPort;
  std::thread mThread;
  std::unique_ptr<harness::child_process> mProcess;
  int mNextRequest = 0;
};

/// A client that sends bytes as fast as the node takes them.
class hostile_client
{
public:
  /// @param aNext Returns the bytes after those that were sent, by their
  /// number; empty at the end, after which the connection stays open.
  hostile_client(std::uint16_t aPort,
                 std::function<std::string(std::size_t)> aNext);
  hostile_client(const hostile_client&) = delete;
  hostile_client& operator=(const hostile_client&) = delete;
  ~hostile_client();

  /// Sends what the socket takes, at most one part.
  /// @return Whether any byte was taken.
  bool SendSome();
  /// @return Whether all was sent or the node has closed the connection.
  [[nodiscard]] bool Finished() const noexcept { return mFinished; }

private:
  int mSocket;
  std::function<std::string(std::size_t)> mNext;
  std::string mPart;
  std::size_t mPartSent = 0;
  std::size_t mTotal = 0;
  bool mFinished = false;
};

using client_list = std::vector<std::unique_ptr<hostile_client>>;

/// Sends a part of each client in turn until all have finished or the node
/// takes no more bytes from any of them.
void
SendInTurn(client_list& aClients);

/// The same, but each client sends all it can before the next one.
void
SendWhole(client_list& aClients);

/// @return Head of a POST to the plain service, without the last empty line.
[[nodiscard]] std::string
PostHead(const std::string& aId);

/// @return The part of a repeated block at an offset, up to an end.
[[nodiscard]] std::string
Repeated(const std::string& aBlock, std::size_t aOffset, std::size_t aEnd);

} // namespace arbutusferry::hostile
