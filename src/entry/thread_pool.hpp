#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace arbutusferry {

/// Pool that starts threads on demand up to a bound and queues up to another.
class thread_pool
{
public:
  using task = std::function<void()>;

  /// @param aMaxThreads Most threads at once.
  /// @param aMaxWaiting Most tasks that wait for a thread.
  thread_pool(std::size_t aMaxThreads, std::size_t aMaxWaiting);
  ~thread_pool();
  thread_pool(const thread_pool&) = delete;
  thread_pool& operator=(const thread_pool&) = delete;

  /// Runs a task on some thread.
  /// @return False if the queue is full or the pool stops; the task is then
  /// unchanged.
  [[nodiscard]] bool Run(task& aTask);

  /// Runs what is queued, then ends and joins all threads.
  void Stop();

private:
  void Work();

  std::size_t mMaxThreads;
  std::size_t mMaxWaiting;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<task> mTasks;
  std::size_t mIdle = 0;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace arbutusferry
