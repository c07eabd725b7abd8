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

/// Bounded ring between threads. Any number of threads may push and pop.
template<typename T>
class bounded_queue
{
public:
  /// @param aCapacity Most elements held at once; at least 1.
  explicit bounded_queue(std::size_t aCapacity)
    : mSlots(aCapacity == 0 ? 1 : aCapacity)
  {
  }

  /// Adds an element, waiting while the ring is full.
  /// @return False if the ring was closed; the element is dropped.
  bool Push(T aValue)
  {
    std::unique_lock lock(mMutex);
    mSpace.wait(lock, [this] { return mClosed || mCount < mSlots.size(); });
    return Put(std::move(aValue));
  }

  /// Adds an element unless the ring is full or closed.
  [[nodiscard]] bool TryPush(T aValue)
  {
    const std::lock_guard lock(mMutex);
    return mCount < mSlots.size() && Put(std::move(aValue));
  }

  /// Takes the oldest element, waiting for one.
  /// @param aWait Longest wait.
  /// @return Nothing after the wait, or when the ring is closed and empty.
  [[nodiscard]] std::optional<T> Pop(duration aWait)
  {
    std::unique_lock lock(mMutex);
    mFilled.wait_for(lock, aWait, [this] { return mClosed || mCount > 0; });
    if (mCount == 0) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(*mSlots[mBegin]));
    mSlots[mBegin].reset();
    mBegin = (mBegin + 1) % mSlots.size();
    --mCount;
    mSpace.notify_one();
    return value;
  }

  /// Refuses further elements. What is in the ring can still be taken.
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mSpace.notify_all();
    mFilled.notify_all();
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
    mSlots[(mBegin + mCount) % mSlots.size()].emplace(std::move(aValue));
    ++mCount;
    mFilled.notify_one();
    return true;
  }

  mutable std::mutex mMutex;
  std::condition_variable mSpace;
  std::condition_variable mFilled;
  std::vector<std::optional<T>> mSlots;
  std::size_t mBegin = 0;
  std::size_t mCount = 0;
  bool mClosed = false;
};

} // namespace arbutusferry
