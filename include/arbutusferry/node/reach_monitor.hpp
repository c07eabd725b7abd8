#pragma once

#include "arbutusferry/time.hpp"

#include <chrono>

namespace arbutusferry::node {

/// Decides whether this node reaches targets over its own links. A check
/// connects to several targets; the node is cut off if none of them accepts.
class reach_monitor
{
public:
  /// Validity of a successful check.
  static constexpr std::chrono::milliseconds kReachedFor{ 1'000 };
  /// Interval of checks while the node is cut off.
  static constexpr std::chrono::milliseconds kRecheckInterval{ 500 };

  [[nodiscard]] bool CutOff() const noexcept { return mCutOff; }
  /// @return Whether a check was successful shortly before, so that a target
  /// that can't be reached has failed itself.
  [[nodiscard]] bool ReachedLately(time_point aNow) const noexcept
  {
    return !mCutOff && aNow < mReachedUntil;
  }
  /// Asks for a check after a failure.
  /// @return Whether to begin one now.
  [[nodiscard]] bool BeginCheck(time_point aNow) noexcept
  {
    if (mChecking || ReachedLately(aNow)) {
      return false;
    }
    mChecking = true;
    return true;
  }
  /// @param aReached Whether any target accepted a connection.
  void EndCheck(bool aReached, time_point aNow) noexcept
  {
    mChecking = false;
    mCutOff = !aReached;
    mReachedUntil = aReached ? aNow + kReachedFor : aNow;
  }
  /// Notes that bytes arrived from a target.
  void NoteAnswer(time_point aNow) noexcept { mLastAnswer = aNow; }
  /// @return Whether bytes arrived from any target since a time.
  [[nodiscard]] bool AnsweredSince(time_point aSince) const noexcept
  {
    return mLastAnswer > aSince;
  }

private:
  bool mCutOff = false;
  bool mChecking = false;
  time_point mReachedUntil;
  time_point mLastAnswer;
};

} // namespace arbutusferry::node
