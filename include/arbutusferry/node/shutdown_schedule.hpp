#pragma once

#include "arbutusferry/time.hpp"

namespace arbutusferry::node {

/// Times of a node's planned stop: which requests it still takes, when it
/// answers those that are left, and when its process exits.
class shutdown_schedule
{
public:
  /// @param aStopped When the node was told to stop.
  /// @param aKilledAfter Time from then on after which the process is killed.
  shutdown_schedule(time_point aStopped, duration aKilledAfter);

  /// @param aEnd When a request that arrives now is answered at the latest.
  /// @return Whether to take it. Otherwise a caller is better served by another
  /// node: this one could have to leave the request without its answer.
  [[nodiscard]] bool Takes(time_point aNow, time_point aEnd) const;
  /// @return When all requests that are still open get a final response.
  [[nodiscard]] time_point AnswerBy() const noexcept { return mAnswerBy; }
  /// @param aIdle Whether no request is being received or answered.
  [[nodiscard]] bool MayExit(time_point aNow, bool aIdle) const;
  /// @return Idle time after which connections are closed.
  [[nodiscard]] static duration IdleTimeout();

private:
  time_point mStopped;
  time_point mExit;
  time_point mAnswerBy;
};

} // namespace arbutusferry::node
