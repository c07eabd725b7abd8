#pragma once

#include <chrono>
#include <cstdint>

namespace arbutusferry {

/// Steady clock based on CLOCK_BOOTTIME. It includes suspended time, so a lease
/// also expires while its VM is suspended.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): name set by the standard.
  static constexpr bool is_steady = true;

  [[nodiscard]] static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

/// Seconds since the Unix epoch. Used only for usage windows and log lines.
using unix_seconds = std::int64_t;

/// Source of the current time. Decision functions take the time as an
/// argument; only the loops that call them hold a clock source.
class clock_source
{
public:
  virtual ~clock_source() = default;

  /// @return The current time of the boot-time clock.
  [[nodiscard]] virtual time_point Now() const noexcept = 0;

  /// @return The current wall-clock time.
  [[nodiscard]] virtual unix_seconds UnixNow() const noexcept = 0;
};

/// Clock source of the operating system.
class system_clock_source final : public clock_source
{
public:
  [[nodiscard]] time_point Now() const noexcept override;
  [[nodiscard]] unix_seconds UnixNow() const noexcept override;
};

/// Clock source for tests that is advanced manually.
class manual_clock_source final : public clock_source
{
public:
  [[nodiscard]] time_point Now() const noexcept override { return mNow; }
  [[nodiscard]] unix_seconds UnixNow() const noexcept override
  {
    return mUnixNow;
  }

  /// Advances both clocks.
  void Advance(duration aStep) noexcept
  {
    mNow += aStep;
    mRemainder += aStep;
    const auto whole = std::chrono::floor<std::chrono::seconds>(mRemainder);
    mUnixNow += whole.count();
    mRemainder -= whole;
  }

private:
  time_point mNow{ std::chrono::hours(1) };
  duration mRemainder{};
  unix_seconds mUnixNow = 1'700'000'000;
};

/// @return Whole milliseconds of a duration.
[[nodiscard]] constexpr std::int64_t
ToMilliseconds(duration aDuration) noexcept
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace arbutusferry
