#include "common/limit_rule.hpp"

#include <algorithm>

namespace arbutusferry::standin {

namespace {

constexpr std::chrono::seconds kWindow{ 4 };
constexpr std::chrono::milliseconds kAwareness{ 500 };
constexpr double kFactor = 1.5;
constexpr double kExtraRequests = 5;

} // namespace

void
limit_rule::SetLimit(std::optional<double> aPerSecond, time_point aNow)
{
  if (aPerSecond && !mLimit) {
    mNamedAt = aNow;
    mAwareSince.clear();
  }
  if (aPerSecond != mLimit) {
    // The requests so far kept to another limit.
    mCounted.clear();
  }
  mLimit = aPerSecond;
}

void
limit_rule::NoteResponse(const std::string& aSender, time_point aNow)
{
  const auto excused = mExcusedUntil.find(aSender);
  if (mLimit && (excused == mExcusedUntil.end() || aNow >= excused->second)) {
    mAwareSince.try_emplace(aSender, aNow);
  }
}

void
limit_rule::Excuse(const std::string& aSender, time_point aUntil)
{
  mAwareSince.erase(aSender);
  time_point& until = mExcusedUntil[aSender];
  until = std::max(until, aUntil);
}

std::optional<std::size_t>
limit_rule::NoteRequest(const std::string& aSender, time_point aNow)
{
  const auto aware = mAwareSince.find(aSender);
  if (!mLimit || aNow < mNamedAt + mGrace || aware == mAwareSince.end() ||
      aNow < aware->second + kAwareness) {
    return std::nullopt;
  }
  while (!mCounted.empty() && mCounted.front() < aNow - kWindow) {
    mCounted.pop_front();
  }
  mCounted.push_back(aNow);
  mPeak = std::max(mPeak, mCounted.size());
  return static_cast<double>(mCounted.size()) > Allowed()
           ? std::optional(mCounted.size())
           : std::nullopt;
}

double
limit_rule::Allowed() const noexcept
{
  return kFactor * mLimit.value_or(0) *
           std::chrono::duration<double>(kWindow).count() +
         kExtraRequests;
}

} // namespace arbutusferry::standin
