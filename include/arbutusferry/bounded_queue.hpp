#pragma once

#include "arbutusferry/time.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace arbutusferry {

/// Bounded blocking FIFO queue. Any number of threads may push and pop.
template<typename T>
class bounded_queue
{
public:
  /// @param aCapacity Maximum number of elements; 0 counts as 1.
  explicit bounded_queue(std::size_t aCapacity)
    : mElements(aCapacity == 0 ? 1 : aCapacity)
  {
  }

  /// Adds an element, waiting while the queue is full.
  /// @return False if the queue is closed; the element is dropped.
  bool Push(T aValue)
  {
    std::unique_lock lock(mMutex);
    mNotFull.wait(lock,
                  [this] { return mClosed || mCount < mElements.size(); });
    return Put(std::move(aValue));
  }

  /// Adds an element unless the queue is full or closed.
  [[nodiscard]] bool TryPush(T aValue)
  {
    const std::lock_guard lock(mMutex);
    return mCount < mElements.size() && Put(std::move(aValue));
  }

  /// Removes and returns the oldest element, waiting for one.
  /// @return Nothing after the timeout, or if the queue is closed and empty.
  [[nodiscard]] std::optional<T> Pop(duration aTimeout)
  {
    std::unique_lock lock(mMutex);
    mNotEmpty.wait_for(
      lock, aTimeout, [this] { return mClosed || mCount > 0; });
    if (mCount == 0) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(*mElements[mBegin]));
    mElements[mBegin].reset();
    mBegin = (mBegin + 1) % mElements.size();
    --mCount;
    mNotFull.notify_one();
    return value;
  }

  /// Refuses further elements. Those in the queue can still be popped.
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mNotFull.notify_all();
    mNotEmpty.notify_all();
  }

  /// @return True once closed and empty.
  [[nodiscard]] bool Drained() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed && mCount == 0;
  }

private:
  bool Put(T&& aValue)
  {
    if (mClosed) {
      return false;
    }
    mElements[(mBegin + mCount) % mElements.size()].emplace(std::move(aValue));
    ++mCount;
    mNotEmpty.notify_one();
    return true;
  }

  mutable std::mutex mMutex;
  std::condition_variable mNotFull;
  std::condition_variable mNotEmpty;
  std::vector<std::optional<T>> mElements;
  std::size_t mBegin = 0;
  std::size_t mCount = 0;
  bool mClosed = false;
};

} // namespace arbutusferry
