#pragma once

#include "arbutusferry/time.hpp"

#include <functional>
#include <memory>

namespace arbutusferry::node {

/// Handle of a scheduled call; destroying it cancels the call.
class timer
{
public:
  virtual ~timer() = default;
};

/// Clock and timers of the daemon's single thread. Tests advance the time
/// themselves.
class event_loop : public clock_source
{
public:
  /// Calls a function once after a delay.
  /// @return The timer; its destruction cancels the call.
  [[nodiscard]] virtual std::unique_ptr<timer> After(
    duration aDelay,
    std::function<void()> aFunction) = 0;
  /// @return Milliseconds of the wall clock since the Unix epoch.
  [[nodiscard]] virtual std::int64_t UnixMilliseconds() const noexcept = 0;
};

/// Calls a function at a fixed interval until destroyed.
class periodic_timer
{
public:
  periodic_timer(event_loop& aLoop,
                 duration aInterval,
                 std::function<void()> aFunction)
    : mLoop(aLoop)
    , mInterval(aInterval)
    , mFunction(std::move(aFunction))
  {
    Arm();
  }

private:
  void Arm()
  {
    mTimer = mLoop.After(mInterval, [this] {
      // Copies the function and arms first: the call may destroy this object.
      auto function = mFunction;
      Arm();
      function();
    });
  }

  event_loop& mLoop;
  duration mInterval;
  std::function<void()> mFunction;
  std::unique_ptr<timer> mTimer;
};

} // namespace arbutusferry::node
