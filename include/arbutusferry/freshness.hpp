#pragma once

#include "arbutusferry/platform.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// Largest age of a view at which keys are accepted. It leaves 1 s of the 5 s
/// within which a withdrawn key must stop for the entry's own sync.
inline constexpr std::chrono::milliseconds kMaxViewAge{ 4000 };

/// Statement of a group of control processes: at the oldest time in it, none of
/// them had folded, and so accepted, a change above `offset`. A process accepts
/// an operator's change only after it folded it, so the statement of every
/// process proves a view complete while the log cannot be reached.
struct isolation_report
{
  std::vector<std::string> members; ///< VM ids the statement covers.
  log_offset offset = kNoOffset;    ///< Highest offset of the members.
  duration age{};                   ///< Age of the oldest statement.
};

/// Time as of which a process knows all accepted configuration changes. All
/// times are of the process's own boot-time clock.
class view_freshness
{
public:
  /// A read of the log returned everything after the offset it asked for, and
  /// all of it is folded.
  /// @param aSent Time before the read was sent.
  void OnLogRead(time_point aSent);

  /// A peer answered a sync, and all its records are folded.
  /// @param aSent Time before the sync was sent.
  /// @param aHeld Time the peer says that it held the request.
  /// @param aAge Age of the peer's view when it answered; nothing if its view
  /// was never complete.
  void OnPeerAnswer(time_point aSent,
                    duration aHeld,
                    std::optional<duration> aAge);

  /// @return Age of the view; nothing if it was never complete.
  [[nodiscard]] std::optional<duration> Age(time_point aNow) const;

  /// @return True while keys may be accepted.
  [[nodiscard]] bool MayAcceptKeys(time_point aNow, duration aBound) const;

  /// Moves the time forward to `aTime`; earlier times change nothing.
  void CompleteAsOf(time_point aTime);

private:
  std::optional<time_point> mCompleteAsOf;
};

/// Collects the statements of members.
class isolation_view
{
public:
  /// A member, or a group through its relay, made a statement.
  /// @param aReference Own time that is certainly not later than the moment at
  /// which the report was written: the send time of the request that it
  /// answers, or the time of the own answer that it refers to. The receive
  /// time does not qualify, because messages can be delayed.
  void OnReport(const isolation_report& aReport, time_point aReference);

  /// @param aMembers Every VM that may run a control process.
  /// @param aOffset Own folded offset.
  /// @return Time as of which no member had accepted a change above `aOffset`;
  /// nothing unless each member stated so.
  [[nodiscard]] std::optional<time_point> CompleteAsOf(
    const std::vector<std::string>& aMembers,
    log_offset aOffset) const;

  /// @return Statement that covers those of `aMembers` that made one.
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
