#include "entry/thread_pool.hpp"

#include "arbutusferry/logging.hpp"

#include <exception>

namespace arbutusferry {

thread_pool::thread_pool(std::size_t aMaxThreads, std::size_t aMaxWaiting)
  : mMaxThreads(aMaxThreads)
  , mMaxWaiting(aMaxWaiting)
{
}

thread_pool::~thread_pool()
{
  Stop();
}

bool
thread_pool::Run(task& aTask)
{
  const std::lock_guard lock(mMutex);
  if (mStopping) {
    return false;
  }
  if (mIdle <= mTasks.size() && mThreads.size() < mMaxThreads) {
    // Counts the new thread as idle at once: its task is in the queue until the
    // thread runs, and a burst of tasks would otherwise be refused.
    ++mIdle;
    mThreads.emplace_back([this] { RunTasks(); });
  } else if (mIdle <= mTasks.size() && mTasks.size() - mIdle >= mMaxWaiting) {
    return false;
  }
  mTasks.push_back(std::move(aTask));
  mWake.notify_one();
  return true;
}

void
thread_pool::Stop()
{
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    threads.swap(mThreads);
  }
  mWake.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
thread_pool::RunTasks()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    mWake.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    --mIdle;
    if (mTasks.empty()) {
      return;
    }
    const task next = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    try {
      next();
    } catch (const std::exception& exception) {
      Log(log_level::Error, "task_failed", { { "message", exception.what() } });
    }
    lock.lock();
    ++mIdle;
  }
}

} // namespace arbutusferry
