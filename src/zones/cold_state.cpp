#include "zones/cold_state.hpp"

#include <algorithm>

namespace arbutusferry::node {

void
cold_state::NoteRecord(std::optional<std::chrono::milliseconds> aLeft,
                       bool aNew,
                       std::chrono::milliseconds aColdStart,
                       time_point aNow)
{
  if (aNew) {
    // Nothing that was known of an earlier process holds for this one.
    mColdUntil = aNow + (aLeft ? *aLeft : aColdStart);
    mKnownSince = aNow;
    if (aNow > mTrustFrom) {
      mPresumedAt.reset();
    }
    return;
  }
  if (aLeft) {
    mColdUntil = aNow + *aLeft;
    mKnownSince = aNow;
  }
  // Records without the figure end a presumption only after the time for which
  // a target is cold, so that it ends at all where no record has the figure.
  if (mPresumedAt && aNow > mTrustFrom &&
      (aLeft || aNow >= *mPresumedAt + aColdStart)) {
    mPresumedAt.reset();
  }
}

void
cold_state::NoteResponse(std::chrono::milliseconds aLeft, time_point aNow)
{
  mColdUntil = aNow + aLeft;
  mKnownSince = aNow;
  if (aNow > mTrustFrom) {
    mPresumedAt.reset();
  }
}

bool
cold_state::Presume(time_point aFrom, time_point aNow)
{
  const bool added = !mPresumedAt;
  mPresumedAt = aNow;
  mTrustFrom = std::max(mTrustFrom, aFrom);
  mKnownSince = aNow;
  return added;
}

} // namespace arbutusferry::node
