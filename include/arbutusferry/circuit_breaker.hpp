#pragma once

#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/time.hpp"

namespace arbutusferry {

enum class breaker_state
{
  Closed,   ///< All exchanges may start.
  Open,     ///< No exchange may start.
  HalfOpen, ///< One probe at a time may start.
};

template<>
inline constexpr enum_name_table<breaker_state, 3> kEnumNames<breaker_state>{ {
  { breaker_state::Closed, "closed" },
  { breaker_state::Open, "open" },
  { breaker_state::HalfOpen, "half_open" },
} };

/// Settings of a circuit breaker.
struct breaker_options
{
  int failureThreshold = 3; ///< Consecutive failures that open the breaker.
  duration openFor = std::chrono::seconds(1);
  duration maxOpenFor = std::chrono::seconds(30);
};

/// Stops sending work to a target after consecutive failures. The time until
/// the next probe doubles with every failed probe, up to `maxOpenFor`.
class circuit_breaker
{
public:
  explicit circuit_breaker(const breaker_options& aOptions = {})
    : mOptions(aOptions)
    , mOpenFor(aOptions.openFor)
  {
  }

  [[nodiscard]] breaker_state State(time_point aNow) const noexcept;

  /// @return Whether one more exchange may start.
  [[nodiscard]] bool Allows(time_point aNow) const noexcept;

  /// Records the start of an exchange; in the half-open state it is the probe.
  void OnStart(time_point aNow) noexcept;
  void OnSuccess() noexcept;
  /// @param aStarted Start of the failed exchange. Failures of exchanges that
  /// started before the breaker opened do not extend the open time.
  void OnFailure(time_point aStarted, time_point aNow) noexcept;

private:
  breaker_options mOptions;
  int mConsecutiveFailures = 0;
  bool mOpen = false;
  time_point mOpenUntil{};
  time_point mProbeUntil{};
  duration mOpenFor;
};

} // namespace arbutusferry
