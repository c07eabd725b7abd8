#pragma once

#include "arbutusferry/time.hpp"

#include <chrono>
#include <optional>

namespace arbutusferry::node {

/// Within s seconds, a `target_limit` starts at most rate * s requests and this
/// many. The platform tolerates 5 above the rate; one is left for requests that
/// arrive unevenly.
inline constexpr int kLimitBurst = 4;

/// What one response of a target says about the rate of requests that the
/// target takes from all nodes together.
struct limit_notice
{
  bool present = false;
  /// Requests per second; empty if the response names no readable rate.
  std::optional<double> perSecond;
  /// Time until the target is warm; empty if the response doesn't tell.
  std::optional<std::chrono::milliseconds> coldLeft = std::nullopt;
};

/// A rate that a target has named.
struct request_limit
{
  double perSecond = 0;
  time_point namedAt; ///< Arrival of the last response that named it.
};

/// The rate of a target that is taken for cold.
struct cold_limit
{
  double perSecond = 0;
  time_point knownSince; ///< When the node learned that the target is cold.
};

/// All that binds the starts at a target, as one node knows it.
struct start_limits
{
  std::optional<request_limit> named;
  std::optional<cold_limit> cold;
};

/// The limit that a target names, the rate that it can take while it is cold,
/// the lower of which is in force, and the starts of requests under it (generic
/// cell rate algorithm). Without a limit, requests start at once.
class target_limit
{
public:
  explicit target_limit(int aBurst = kLimitBurst)
    : mBurst(aBurst)
  {
  }

  /// Applies what a response says. One that names no limit ends it if the
  /// target ran its request, which was sent after the limit was last named.
  /// @param aSentAt When the request was sent.
  /// @return Whether the limit changed.
  bool Note(const limit_notice& aNotice,
            bool aGenuine,
            time_point aSentAt,
            time_point aNow);
  /// Applies a limit that another node has read, unless this one has read a
  /// later response.
  void Learn(const request_limit& aLimit, time_point aNow);
  /// Takes the burst as used, since another process may have started requests
  /// until now.
  void SpendBurst(time_point aNow);
  [[nodiscard]] const std::optional<request_limit>& Named() const noexcept
  {
    return mNamed;
  }
  /// Sets the rate of a cold target, or that it is warm. The burst of a target
  /// that has become limited is spent.
  void SetColdRate(std::optional<double> aPerSecond, time_point aNow);
  [[nodiscard]] const std::optional<double>& ColdRate() const noexcept
  {
    return mColdRate;
  }
  /// @return Whether starts need a grant.
  [[nodiscard]] bool Limited() const noexcept { return mNamed || mColdRate; }

  /// @return The earliest start of another request.
  [[nodiscard]] time_point NextStart(time_point aNow) const;
  /// @return The number of requests that may start now.
  [[nodiscard]] int StartsAvailable(time_point aNow) const;
  /// Reserves the next start.
  /// @return The start; nothing if it would be later than `aLatest`.
  std::optional<time_point> Reserve(time_point aLatest, time_point aNow);

private:
  void Set(const request_limit& aLimit, time_point aNow);
  /// Adapts the next start to a change of the rate.
  /// @param aAdded Whether there was no limit before.
  void ChangeRate(bool aAdded, time_point aNow);
  /// @return The time between two starts.
  [[nodiscard]] duration Interval() const;

  int mBurst;
  std::optional<request_limit> mNamed;
  std::optional<double> mColdRate;
  time_point mUnlimitedAt; ///< Last response that ended a limit or had none.
  /// Start of the next request if all requests were evenly spaced.
  time_point mNext;
  time_point mLastStart;
};

} // namespace arbutusferry::node
