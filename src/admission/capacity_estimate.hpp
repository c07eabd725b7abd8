#pragma once

#include "arbutusferry/time.hpp"

namespace arbutusferry::node {

/// Estimates which share of the requests for a service its targets can answer
/// in time, from what this node's own requests meet.
class capacity_estimate
{
public:
  virtual ~capacity_estimate() = default;
  /// Notes a request that a caller offers.
  virtual void NoteOffered(time_point aNow) = 0;
  /// Notes a response.
  /// @param aTaken Time from sending to the response.
  /// @param aTarget Time within which the caller wants its response; 0 if the
  /// time of the response tells nothing.
  virtual void NoteAnswered(duration aTaken,
                            duration aTarget,
                            time_point aNow) = 0;
  /// Notes that all targets refused a request as full.
  virtual void NoteFull(time_point aNow) = 0;
  /// @return The share of offered requests to send now; 1 if there is
  /// capacity for all.
  [[nodiscard]] virtual double Share(time_point aNow) const = 0;
  /// @return How long a request sent now probably takes; 0 if unknown.
  [[nodiscard]] virtual duration ExpectedResponse() const = 0;
  /// @return Time since the last response or refusal.
  [[nodiscard]] virtual duration Age(time_point aNow) const = 0;
};

/// Controls the share by proportional and integral control. All targets being
/// full engages it; then the delay of responses beyond the fastest recent ones,
/// that is the time in the queues of the targets, regulates it. Slow responses
/// without full targets and failures are no evidence of queueing.
class queueing_estimate final : public capacity_estimate
{
public:
  void NoteOffered(time_point) override {}
  void NoteAnswered(duration aTaken,
                    duration aTarget,
                    time_point aNow) override;
  void NoteFull(time_point aNow) override;
  [[nodiscard]] double Share(time_point aNow) const override;
  [[nodiscard]] duration ExpectedResponse() const override;
  [[nodiscard]] duration Age(time_point aNow) const override
  {
    return aNow - mLastSample;
  }

private:
  void NoteFastest(duration aTaken, time_point aNow);
  void Apply(double aError, time_point aNow);
  /// @return The weight that is left to earlier samples.
  [[nodiscard]] double Decay(time_point aNow) const;

  /// Fastest responses of the current and of the previous period.
  duration mFastest = duration::max();
  duration mPreviousFastest = duration::max();
  time_point mPeriodStart;
  double mMeanResponse = 0; ///< In seconds.
  /// Logarithm of the offered requests per request sent.
  double mIntegral = 0;
  double mMeanError = -1;
  time_point mLastSample;
  time_point mLastFull;
};

} // namespace arbutusferry::node
