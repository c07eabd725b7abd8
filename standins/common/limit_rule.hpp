#pragma once

#include "arbutusferry/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace arbutusferry::standin {

/// Checks the requests that arrive at a target against the platform's rule on
/// limits: from some time after the target first named a limit, no 4 s may
/// bring more than one and a half times what it allows, plus 5 requests.
/// Requests of a sender count from half a second after it passed on a response
/// that named the limit.
class limit_rule
{
public:
  /// @param aGrace Time after the first naming from which requests count.
  explicit limit_rule(duration aGrace = std::chrono::seconds(3))
    : mGrace(aGrace)
  {
  }

  /// Sets the limit that the target's responses name from now on.
  void SetLimit(std::optional<double> aPerSecond, time_point aNow);
  [[nodiscard]] std::optional<double> Limit() const noexcept { return mLimit; }
  /// Notes that a sender passed on a response that names the limit.
  void NoteResponse(const std::string& aSender, time_point aNow);
  /// Excuses a sender that was restarted, frozen or cut off: its requests
  /// count again once it passes on a response after `aUntil`.
  void Excuse(const std::string& aSender, time_point aUntil);
  /// Counts a request.
  /// @return The requests of the last 4 s if they are too many.
  std::optional<std::size_t> NoteRequest(const std::string& aSender,
                                         time_point aNow);
  /// @return The largest count of any 4 s so far.
  [[nodiscard]] std::size_t Peak() const noexcept { return mPeak; }
  /// @return The count above which 4 s break the rule.
  [[nodiscard]] double Allowed() const noexcept;

private:
  duration mGrace;
  std::optional<double> mLimit;
  time_point mNamedAt;
  std::map<std::string, time_point> mAwareSince; ///< By sender.
  std::map<std::string, time_point> mExcusedUntil;
  std::deque<time_point> mCounted; ///< Requests of the last 4 s.
  std::size_t mPeak = 0;
};

} // namespace arbutusferry::standin
