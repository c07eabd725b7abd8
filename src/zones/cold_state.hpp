#pragma once

#include "arbutusferry/time.hpp"

#include <chrono>
#include <optional>

namespace arbutusferry::node {

/// What a service's cold targets can take.
struct cold_rate
{
  /// How long a target is cold after its start.
  std::chrono::milliseconds coldStart{ 0 };
  /// Requests per second that a cold target takes from all nodes together.
  double perSecond = 0;

  bool operator==(const cold_rate&) const = default;
};

/// Why a target is presumed cold.
enum class cold_reason
{
  Broken,    ///< A connection or an exchange failed.
  ZoneBack,  ///< The evacuation of its zone has ended.
  Unknown,   ///< A new target whose record lacks the figure.
  OtherNode, ///< Another node has later evidence.
};

/// Whether a target is cold, by its records and responses and by what was seen
/// of it since.
class cold_state
{
public:
  /// Applies a record.
  /// @param aLeft Time until the target is warm, if the record tells.
  /// @param aNew Whether it is the first record of a process.
  void NoteRecord(std::optional<std::chrono::milliseconds> aLeft,
                  bool aNew,
                  std::chrono::milliseconds aColdStart,
                  time_point aNow);
  /// Applies the time until the target is warm that a response tells.
  void NoteResponse(std::chrono::milliseconds aLeft, time_point aNow);
  /// Takes the target as cold until a record tells otherwise that arrives
  /// after `aFrom`.
  /// @return Whether it was not presumed cold before.
  bool Presume(time_point aFrom, time_point aNow);

  [[nodiscard]] bool Cold(time_point aNow) const noexcept
  {
    return mPresumedAt || aNow < mColdUntil;
  }
  /// @return Arrival of what tells most recently whether the target is cold.
  [[nodiscard]] time_point KnownSince() const noexcept { return mKnownSince; }

private:
  time_point mColdUntil;
  std::optional<time_point> mPresumedAt;
  /// A record that arrives earlier may predate the reason of the presumption.
  time_point mTrustFrom;
  time_point mKnownSince;
};

} // namespace arbutusferry::node
