#include "control/http_front.hpp"

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace arbutusferry {

namespace {

/// Each connection occupies a thread. A relay serves 28 members, 12 zones, its
/// entry and operators; further connections wait.
constexpr std::size_t kMaxThreads = 64;
/// Connections that wait for a thread. Further ones wait in the bounded listen
/// backlog of the operating system.
constexpr std::size_t kMaxQueuedConnections = 128;
/// The largest requests are environment documents sent by operators.
constexpr std::size_t kMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;

/// Thread pool that starts threads on demand, so that a process that is not the
/// relay has few.
class on_demand_thread_pool final : public httplib::TaskQueue
{
public:
  void enqueue(std::function<void()> aTask) override
  {
    std::unique_lock lock(mMutex);
    mTaskTaken.wait(
      lock, [&] { return mStopping || mTasks.size() < kMaxQueuedConnections; });
    mTasks.push_back(std::move(aTask));
    if (mIdleThreads < mTasks.size() && mThreads.size() < kMaxThreads) {
      mThreads.emplace_back([this] { Run(); });
    }
    mTaskAdded.notify_one();
  }

  void shutdown() override
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
      mTaskAdded.notify_all();
      mTaskTaken.notify_all();
    }
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }

private:
  void Run()
  {
    std::unique_lock lock(mMutex);
    while (true) {
      ++mIdleThreads;
      mTaskAdded.wait(lock, [&] { return mStopping || !mTasks.empty(); });
      --mIdleThreads;
      if (mTasks.empty()) {
        return;
      }
      auto task = std::move(mTasks.front());
      mTasks.pop_front();
      mTaskTaken.notify_one();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::mutex mMutex;
  std::condition_variable mTaskAdded;
  std::condition_variable mTaskTaken;
  std::deque<std::function<void()>> mTasks;
  std::vector<std::thread> mThreads;
  std::size_t mIdleThreads = 0;
  bool mStopping = false;
};

class httplib_front final : public http_front
{
public:
  httplib_front(std::string aHost, http_front_handlers aHandlers)
    : mHost(std::move(aHost))
    , mHandlers(std::move(aHandlers))
  {
    mServer.new_task_queue = [] { return new on_demand_thread_pool; };
    mServer.set_payload_max_length(kMaxBodyBytes);
    mServer.set_tcp_nodelay(true);
    // The library's default also sets SO_REUSEPORT, which lets two processes
    // share a port and its connections without an error.
    mServer.set_socket_options([](socket_t aSocket) {
      const int yes = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    // The library's default closes a connection after 5 requests.
    mServer.set_keep_alive_max_count(1'000'000);
    mServer.set_keep_alive_timeout(5);
    mServer.set_read_timeout(std::chrono::seconds(2));
    mServer.Post("/rpc", [this](const auto& aRequest, auto& aResponse) {
      aResponse.set_content(mHandlers.rpc(aRequest.body), "application/json");
    });
    mServer.Get("/healthz", [](const auto&, auto& aResponse) {
      aResponse.set_content("ok\n", "text/plain");
    });
    mServer.Get("/readyz", [this](const auto&, auto& aResponse) {
      const bool ready = mHandlers.ready();
      aResponse.status = ready ? 200 : 503;
      aResponse.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    mServer.Get("/metrics", [this](const auto&, auto& aResponse) {
      aResponse.set_content(mHandlers.metrics(), "text/plain; version=0.0.4");
    });
  }

  ~httplib_front() override { Stop(); }

  bool Bind(int aPort)
  {
    mPort = aPort == 0 ? mServer.bind_to_any_port(mHost)
                       : (mServer.bind_to_port(mHost, aPort) ? aPort : -1);
    if (mPort <= 0) {
      return false;
    }
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    return true;
  }

  std::string Address() const override
  {
    return mHost + ":" + std::to_string(mPort);
  }

  void Stop() override
  {
    if (mThread.joinable()) {
      // The library ignores a stop before the listening thread runs.
      while (!mServer.is_running() && !mStopped) {
        std::this_thread::yield();
      }
      mStopped = true;
      mServer.stop();
      mThread.join();
    }
  }

private:
  std::string mHost;
  http_front_handlers mHandlers;
  httplib::Server mServer;
  int mPort = -1;
  bool mStopped = false;
  std::thread mThread;
};

} // namespace

result<std::unique_ptr<http_front>>
StartHttpFront(const std::string& aListen, http_front_handlers aHandlers)
{
  const auto colon = aListen.rfind(':');
  int port = -1;
  if (colon != std::string::npos) {
    const std::string text = aListen.substr(colon + 1);
    if (!text.empty() && text.size() <= 5 &&
        text.find_first_not_of("0123456789") == std::string::npos) {
      port = std::stoi(text);
    }
  }
  if (port < 0 || port > 65535) {
    return MakeError(error_code::InvalidSettings,
                     "listen",
                     aListen,
                     "field \"listen\": expected IP:port");
  }
  auto front = std::make_unique<httplib_front>(aListen.substr(0, colon),
                                               std::move(aHandlers));
  if (!front->Bind(port)) {
    return MakeError(error_code::InvalidSettings,
                     "bind",
                     aListen,
                     "field \"listen\": expected a free address of this host");
  }
  return std::unique_ptr<http_front>(std::move(front));
}

} // namespace arbutusferry
