#include "common/standin_server.hpp"

#include "arbutusferry/hash.hpp"

#include <arpa/inet.h>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <vector>

namespace arbutusferry::standin {

namespace {

/// Thread pool that grows on demand: a pool of fixed size would need a thread
/// for each possible connection of every target in the process.
class elastic_task_queue final : public httplib::TaskQueue
{
public:
  explicit elastic_task_queue(std::size_t aMaxThreads)
    : mMaxThreads(aMaxThreads)
  {
  }

  void enqueue(std::function<void()> aJob) override
  {
    const std::lock_guard lock(mMutex);
    mJobs.push_back(std::move(aJob));
    if (mIdle < mJobs.size() && mThreads.size() < mMaxThreads) {
      mThreads.emplace_back([this] { Run(); });
    }
    mChanged.notify_one();
  }

  void shutdown() override
  {
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mMutex);
      mStopped = true;
      threads.swap(mThreads);
    }
    mChanged.notify_all();
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

private:
  void Run()
  {
    std::unique_lock lock(mMutex);
    while (true) {
      ++mIdle;
      mChanged.wait(lock, [this] { return mStopped || !mJobs.empty(); });
      --mIdle;
      if (mJobs.empty()) {
        return;
      }
      const std::function<void()> job = std::move(mJobs.front());
      mJobs.pop_front();
      lock.unlock();
      job();
      lock.lock();
    }
  }

  std::size_t mMaxThreads;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mJobs;
  std::vector<std::thread> mThreads;
  std::size_t mIdle = 0;
  bool mStopped = false;
};

int
PortOf(const sockaddr_storage& aAddress)
{
  if (aAddress.ss_family != AF_INET) {
    return -1;
  }
  sockaddr_in address{};
  std::memcpy(&address, &aAddress, sizeof address);
  return ntohs(address.sin_port);
}

/// Shuts down accepted connections of a listener. httplib does not expose its
/// sockets, so they are found among the descriptors of the process.
/// @param aLocalPort Port of the listener.
/// @param aRemotePort Port of the peer, or 0 for all peers.
void
ShutdownConnections(int aLocalPort, int aRemotePort)
{
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const int descriptor = std::atoi(entry.path().filename().c_str());
    sockaddr_storage local{};
    sockaddr_storage remote{};
    socklen_t size = sizeof local;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) !=
          0 ||
        PortOf(local) != aLocalPort) {
      continue;
    }
    size = sizeof remote;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote), &size) !=
        0) {
      continue;
    }
    if (aRemotePort == 0 || PortOf(remote) == aRemotePort) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
}

} // namespace

standin_server::standin_server(std::size_t aMaxConnections)
{
  mServer.new_task_queue = [aMaxConnections] {
    return new elastic_task_queue(aMaxConnections);
  };
  mServer.set_keep_alive_max_count(1'000'000);
  mServer.set_keep_alive_timeout(60);
  // Shorter than the guard time of leases, so that a sender that stalls before
  // the last byte of an order is disconnected before its lease ends.
  mServer.set_read_timeout(1, 0);
  mServer.set_write_timeout(30, 0);
  mServer.set_tcp_nodelay(true);
}

standin_server::~standin_server()
{
  Halt();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
standin_server::Start(const std::string& aListen)
{
  const std::size_t colon = aListen.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  mHost = aListen.substr(0, colon);
  const int port = std::atoi(aListen.c_str() + colon + 1);
  if (port == 0) {
    mPort = mServer.bind_to_any_port(mHost);
  } else {
    mPort = mServer.bind_to_port(mHost, port) ? port : -1;
  }
  if (mPort <= 0) {
    return false;
  }
  mThread = std::thread([this] { mServer.listen_after_bind(); });
  return true;
}

std::string
standin_server::Address() const
{
  return mHost + ":" + std::to_string(mPort);
}

void
standin_server::DropConnection(const httplib::Request& aRequest) const
{
  ShutdownConnections(mPort, aRequest.remote_port);
}

void
standin_server::Halt()
{
  if (mPort > 0 && mThread.joinable()) {
    // stop() has no effect before the listening thread runs.
    while (!mServer.is_running()) {
      std::this_thread::yield();
      if (mPort == 0) {
        return;
      }
    }
    mServer.stop();
    ShutdownConnections(mPort, 0);
    mPort = 0;
  }
}

void
Reply(httplib::Response& aResponse, int aStatus, const std::string& aJson)
{
  aResponse.status = aStatus;
  aResponse.set_content(aJson, "application/json");
}

void
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void
PrintReadyAndWait(const std::string& aAddress, const std::string& aExtra)
{
  std::printf("{\"ready\":true,\"address\":\"%s\",\"instance\":\"%s\"%s}\n",
              aAddress.c_str(),
              RandomHex(8).c_str(),
              aExtra.c_str());
  std::fflush(stdout);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

} // namespace arbutusferry::standin
