#pragma once

#include "admission/capacity_estimate.hpp"

#include <algorithm>
#include <utility>

namespace arbutusferry::node {

/// What the estimates have in common that `queueing_estimate` is compared with.
class compared_estimate : public capacity_estimate
{
public:
  [[nodiscard]] duration ExpectedResponse() const override { return mMean; }
  [[nodiscard]] duration Age(time_point) const override { return {}; }

protected:
  void NoteTime(duration aTaken) { mMean += (aTaken - mMean) / 3; }

private:
  duration mMean{};
};

/// Throttles by the ratio of requests sent to requests answered in time, in the
/// last one to two seconds.
class ratio_estimate final : public compared_estimate
{
public:
  void NoteOffered(time_point aNow) override
  {
    Roll(aNow);
    ++mOffered;
  }
  void NoteAnswered(duration aTaken, duration aTarget, time_point aNow) override
  {
    Roll(aNow);
    NoteTime(aTaken);
    mInTime += aTaken <= aTarget ? 1 : 0;
  }
  void NoteFull(time_point) override {}
  [[nodiscard]] double Share(time_point) const override
  {
    // Two requests in advance keep single late responses without effect.
    const double offered = mOffered + mPreviousOffered;
    const double allowed = 1.1 * (mInTime + mPreviousInTime) + 2;
    return std::clamp(allowed / std::max(1.0, offered), 0.05, 1.0);
  }

private:
  void Roll(time_point aNow)
  {
    if (aNow - mStart >= std::chrono::seconds(1)) {
      const bool old = aNow - mStart >= std::chrono::seconds(2);
      mPreviousOffered = old ? 0 : std::exchange(mOffered, 0);
      mPreviousInTime = old ? 0 : std::exchange(mInTime, 0);
      mOffered = 0;
      mInTime = 0;
      mStart = aNow;
    }
  }
  time_point mStart;
  double mOffered = 0;
  double mInTime = 0;
  double mPreviousOffered = 0;
  double mPreviousInTime = 0;
};

/// Additive increase with each response in time, multiplicative decrease with
/// each late one and each request that found all targets full.
class aimd_estimate final : public compared_estimate
{
public:
  void NoteOffered(time_point) override {}
  void NoteAnswered(duration aTaken, duration aTarget, time_point aNow) override
  {
    NoteTime(aTaken);
    aTaken <= aTarget ? Set(mShare + 0.02, aNow) : Set(mShare * 0.85, aNow);
  }
  void NoteFull(time_point aNow) override { Set(mShare * 0.85, aNow); }
  [[nodiscard]] double Share(time_point aNow) const override
  {
    return aNow - mNoted > std::chrono::seconds(1) ? 1 : mShare;
  }

private:
  void Set(double aShare, time_point aNow)
  {
    mShare = std::clamp(aShare, 0.03, 1.0);
    mNoted = aNow;
  }
  double mShare = 1;
  time_point mNoted;
};

} // namespace arbutusferry::node
