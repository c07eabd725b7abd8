#pragma once

#include "arbutusferry/platform.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Maximum age of a configuration view at which keys are accepted. A withdrawn
/// key must be refused within 5 s, which leaves 1 s for the entry's own sync.
inline constexpr std::chrono::milliseconds kMaxViewAge{ 4000 };

/// Statement of a group of control processes: `age` ago, none of them had
/// accepted a change above `offset`. A process accepts an operator's change
/// only after applying it, so the statements of all processes together prove
/// that a view is complete while the log cannot be reached.
struct isolation_report
{
  std::vector<std::string> members; ///< Ids of the VMs covered.
  log_offset offset = kNoOffset;    ///< Highest of the members' offsets.
  duration age{};                   ///< Age of the oldest member statement.
};

/// Tracks the time as of which a process knows all accepted configuration
/// changes. All times are on the process's own boot-time clock.
class view_freshness
{
public:
  /// Records that a log read returned everything after the requested offset
  /// and that all of it is applied.
  /// @param aSent Time before the read was sent.
  void OnLogRead(time_point aSent);

  /// Records that a peer answered a sync and that all its records are applied.
  /// @param aSent Time before the sync was sent.
  /// @param aHeld Time for which the peer reports that it held the request.
  /// @param aAge Age of the peer's view when it answered; nothing if its view
  /// was never complete.
  void OnPeerAnswer(time_point aSent,
                    duration aHeld,
                    std::optional<duration> aAge);

  /// @return Age of the view, or nothing if it was never complete.
  [[nodiscard]] std::optional<duration> Age(time_point aNow) const;

  /// @return Whether the view is at most `aBound` old, so keys may be accepted.
  [[nodiscard]] bool MayAcceptKeys(time_point aNow, duration aBound) const;

  /// Advances the time to `aTime`; an earlier time has no effect.
  void CompleteAsOf(time_point aTime);

private:
  std::optional<time_point> mCompleteAsOf;
};

/// Collects the newest statement of each member.
class isolation_view
{
public:
  /// Records the report of a member or, through its relay, of a group.
  /// @param aReference Local time that is certainly not later than the writing
  /// of the report: the send time of the request that it answers, or the time
  /// of the local answer that it refers to. The receive time does not qualify,
  /// because messages can be delayed.
  void OnReport(const isolation_report& aReport, time_point aReference);

  /// @param aMembers Every VM that may run a control process.
  /// @param aOffset Offset that the own process has applied.
  /// @return Time as of which no member had accepted a change above `aOffset`,
  /// or nothing unless every member stated so.
  [[nodiscard]] std::optional<time_point> CompleteAsOf(
    const std::vector<std::string>& aMembers,
    log_offset aOffset) const;

  /// @return Report that covers those of `aMembers` with a statement.
  [[nodiscard]] isolation_report Summarize(
    const std::vector<std::string>& aMembers,
    time_point aNow) const;

private:
  struct statement
  {
    time_point at;
    log_offset offset = kNoOffset;
  };
  std::map<std::string, statement, std::less<>> mStatements;
};

} // namespace arbutusferry
