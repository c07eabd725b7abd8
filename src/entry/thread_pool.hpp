#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace arbutusferry {

/// Thread pool that starts threads on demand, with limits on threads and queued
/// tasks.
class thread_pool
{
public:
  using task = std::function<void()>;

  /// @param aMaxThreads Maximum number of threads.
  /// @param aMaxWaiting Maximum number of tasks that wait for a thread.
  thread_pool(std::size_t aMaxThreads, std::size_t aMaxWaiting);
  ~thread_pool();
  thread_pool(const thread_pool&) = delete;
  thread_pool& operator=(const thread_pool&) = delete;

  /// Runs a task on a thread of the pool.
  /// @return False if the queue is full or the pool is stopping; the task is
  /// then unchanged.
  [[nodiscard]] bool Run(task& aTask);

  /// Runs the queued tasks, then ends and joins all threads.
  void Stop();

private:
  void RunTasks();

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
