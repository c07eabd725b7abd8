#include "arbutusferry/node/leader_election.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Intervals between renewals that the holder may be silent.
constexpr int kIntervals = 3;

} // namespace

std::string
EncodeRole(const leader_record& aRecord)
{
  Json::Value value(Json::objectValue);
  value["holder"] = aRecord.holder;
  value["vm"] = aRecord.vm;
  value["address"] = FormatAddress(aRecord.address);
  value["zone"] = aRecord.zone;
  value["fence"] = Json::UInt64(aRecord.fence);
  value["released"] = aRecord.released;
  return WriteJson(value);
}

std::optional<leader_record>
DecodeRole(const std::string& aText)
{
  const auto parsed = Capture([&] { return ParseJson(aText, "role record"); });
  const auto* value = std::get_if<Json::Value>(&parsed);
  if (!value || !value->isObject() || !(*value)["holder"].isString() ||
      !(*value)["vm"].isString() || !(*value)["address"].isString() ||
      !(*value)["zone"].isString() || !(*value)["fence"].isUInt64() ||
      !(*value)["released"].isBool()) {
    return std::nullopt;
  }
  const auto address = ParseAddress((*value)["address"].asString());
  if (!address) {
    return std::nullopt;
  }
  return leader_record{ (*value)["holder"].asString(),
                        (*value)["vm"].asString(),
                        *address,
                        (*value)["zone"].asString(),
                        (*value)["fence"].asUInt64(),
                        (*value)["released"].asBool() };
}

role_claim::role_claim(leader_record aSelf, timing aTiming, time_point aNow)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
  , mLastHeard(aNow)
  , mLastSent(aNow - std::chrono::hours(1))
  , mConfirmed(aNow - std::chrono::hours(1))
  , mAwayUntil(aNow)
{
}

void
role_claim::Observe(std::uint64_t aOffset,
                    const leader_record& aRecord,
                    time_point aNow)
{
  if (mLastOffset && aOffset <= *mLastOffset) {
    return;
  }
  mLastOffset = aOffset;
  mHighestFence = std::max({ mHighestFence, aRecord.fence, aOffset });
  const bool own = aRecord.holder == mSelf.holder;
  if (aRecord.released) {
    mHolder.reset();
    mLeads = false;
    // Nobody is left to wait for, but weak nodes let others go first.
    mLastHeard = aNow - Silence();
    return;
  }
  const bool sameTerm = mHolder && mHolder->fence == aRecord.fence;
  if (sameTerm) {
    const duration interval = aNow - mLastHeard;
    mInterval = std::max(interval, mInterval * 3 / 4);
  } else {
    mInterval = {};
  }
  mHolder = aRecord;
  mLastHeard = aNow;
  if (own && aNow >= mAwayUntil) {
    mLeads = true;
    mFence = aRecord.fence;
    if (!sameTerm) {
      mConfirmed = std::max(mConfirmed, mLastSent);
    }
  } else if (mLeads) {
    Superseded(aNow);
  }
}

void
role_claim::Regained(time_point aNow)
{
  if (mHolder) {
    mLastHeard = aNow;
  }
}

void
role_claim::HolderEnded(const std::string& aHolder, time_point aNow)
{
  if (mHolder && mHolder->holder == aHolder && !mLeads) {
    mLastHeard = std::min(mLastHeard, aNow - Silence());
  }
}

duration
role_claim::Silence() const
{
  return std::clamp<duration>(
    kIntervals * mInterval, mTiming.silence, mTiming.longestSilence);
}

bool
role_claim::ShouldWrite(time_point aNow) const
{
  if (mLeads) {
    return aNow - mLastSent >= mTiming.renew;
  }
  return aNow >= mAwayUntil && aNow - mLastSent >= mTiming.renew &&
         aNow - mLastHeard >= Silence() + mTiming.rank;
}

leader_record
role_claim::NextRecord(std::uint64_t aEnd) const
{
  leader_record record = mSelf;
  record.fence = mLeads ? mFence : std::max(mHighestFence, aEnd) + 1;
  return record;
}

void
role_claim::Confirmed(time_point aSentAt)
{
  mConfirmed = std::max(mConfirmed, aSentAt);
}

void
role_claim::Superseded(time_point aNow)
{
  if (mLeads) {
    mLeads = false;
    mAwayUntil = aNow + mTiming.stayAway;
  }
}

bool
role_claim::MayAct(time_point aNow) const
{
  return mLeads &&
         (!mTiming.mayActFor || aNow - mConfirmed < *mTiming.mayActFor);
}

bool
role_claim::Certain(time_point aNow) const
{
  return ConfirmedWithin(mTiming.silence, aNow);
}

} // namespace arbutusferry::node
