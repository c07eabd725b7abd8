#include "arbutusferry/node/leader_election.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Renewal intervals for which the holder may be silent.
constexpr int kMissedRenewals = 3;
/// A longer list would need a change of leader each 0.5 s.
constexpr std::size_t kMaxLedBefore = 8;

} // namespace

std::string
EncodeLeader(const leader_record& aRecord)
{
  Json::Value value(Json::objectValue);
  value["holder"] = aRecord.holder;
  value["vm"] = aRecord.vm;
  value["address"] = FormatAddress(aRecord.address);
  value["zone"] = aRecord.zone;
  value["fence"] = Json::UInt64(aRecord.fence);
  value["released"] = aRecord.released;
  for (const std::string& vm : aRecord.ledBefore) {
    value["led_before"].append(vm);
  }
  return WriteJson(value);
}

std::optional<leader_record>
DecodeLeader(const std::string& aText)
{
  const auto parsed =
    Capture([&] { return ParseJson(aText, "leader record"); });
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
  leader_record record{ (*value)["holder"].asString(),
                        (*value)["vm"].asString(),
                        *address,
                        (*value)["zone"].asString(),
                        (*value)["fence"].asUInt64(),
                        (*value)["released"].asBool(),
                        {} };
  // Absent in records of earlier builds.
  if (const Json::Value& ledBefore = (*value)["led_before"];
      ledBefore.isArray()) {
    for (const Json::Value& vm : ledBefore) {
      if (vm.isString()) {
        record.ledBefore.push_back(vm.asString());
      }
    }
  }
  return record;
}

leader_election::leader_election(leader_record aSelf,
                                 timing aTiming,
                                 time_point aNow)
  : mOwnRecord(std::move(aSelf))
  , mTiming(aTiming)
  , mSilentSince(aNow)
  , mLastSent(aNow - std::chrono::hours(1))
  , mConfirmed(aNow - std::chrono::hours(1))
  , mNoClaimBefore(aNow)
{
}

void
leader_election::NoteLease(const leader_record& aRecord, time_point aNow)
{
  std::erase_if(mLeases,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  if (mLastRecord.holder.empty()) {
    // What they wrote was not read by this process.
    for (const std::string& vm : aRecord.ledBefore) {
      mLeases[vm] = aNow + mTiming.leaseWait;
    }
  }
  if (aRecord.released) {
    mLeases.erase(aRecord.vm);
  } else {
    mLeases[aRecord.vm] = aNow + mTiming.leaseWait;
  }
  mLeases.erase(mOwnRecord.vm);
}

void
leader_election::Observe(std::uint64_t aOffset,
                         const leader_record& aRecord,
                         time_point aNow)
{
  if (mLastOffset && aOffset <= *mLastOffset) {
    return;
  }
  mLastOffset = aOffset;
  NoteLease(aRecord, aNow);
  mHighestFence = std::max({ mHighestFence, aRecord.fence, aOffset });
  if (mLastRecord.holder.empty() || mLastRecord.fence != aRecord.fence) {
    mTermSeen = aNow;
    const auto& before = aRecord.ledBefore;
    if (aRecord.vm != mOwnRecord.vm &&
        std::find(before.begin(), before.end(), mOwnRecord.vm) !=
          before.end()) {
      // An earlier process of this VM led a moment ago.
      mNoClaimBefore = std::max(mNoClaimBefore, aNow + mTiming.cooldown);
    }
  }
  mLastRecord = aRecord;
  const bool own = aRecord.holder == mOwnRecord.holder;
  if (aRecord.released) {
    mHolder.reset();
    mLeads = false;
    // There is no holder to wait for, but weak nodes let others claim first.
    mSilentSince = aNow - ElectionTimeout();
    return;
  }
  const bool sameTerm = mHolder && mHolder->fence == aRecord.fence;
  if (sameTerm) {
    const duration interval = aNow - mSilentSince;
    mObservedRenewInterval = std::max(interval, mObservedRenewInterval * 3 / 4);
  } else {
    mObservedRenewInterval = {};
  }
  mHolder = aRecord;
  mSilentSince = aNow;
  if (own && aNow >= mNoClaimBefore) {
    mLeads = true;
    mFence = aRecord.fence;
    if (!sameTerm) {
      mConfirmed = std::max(mConfirmed, mLastSent);
    }
  } else if (mLeads) {
    StepDown(aNow);
  }
}

void
leader_election::ResetSilence(time_point aNow)
{
  if (mHolder) {
    mSilentSince = aNow;
  }
}

void
leader_election::HolderEnded(const std::string& aHolder, time_point aNow)
{
  if (mHolder && mHolder->holder == aHolder && !mLeads) {
    mSilentSince = std::min(mSilentSince, aNow - ElectionTimeout());
  }
}

duration
leader_election::ElectionTimeout() const
{
  return std::clamp<duration>(kMissedRenewals * mObservedRenewInterval,
                              mTiming.minElectionTimeout,
                              mTiming.maxElectionTimeout);
}

bool
leader_election::ShouldWrite(time_point aNow) const
{
  if (mLeads) {
    return aNow - mLastSent >= mTiming.renewInterval;
  }
  return aNow >= mNoClaimBefore && aNow - mLastSent >= mTiming.renewInterval &&
         (SucceedsHolder() ||
          aNow - mSilentSince >= ElectionTimeout() + mTiming.claimDelay);
}

leader_record
leader_election::NextRecord(std::uint64_t aEnd, time_point aNow) const
{
  leader_record record = mOwnRecord;
  if (!mLeads || aNow - mTermSeen < mTiming.cooldown) {
    record.ledBefore = mLastRecord.ledBefore;
    if (!mLastRecord.vm.empty() && mLastRecord.vm != mOwnRecord.vm) {
      record.ledBefore.push_back(mLastRecord.vm);
    }
    std::erase(record.ledBefore, mOwnRecord.vm);
    if (record.ledBefore.size() > kMaxLedBefore) {
      record.ledBefore.erase(record.ledBefore.begin());
    }
  }
  record.fence = mLeads ? mFence : std::max(mHighestFence, aEnd) + 1;
  return record;
}

void
leader_election::Confirmed(time_point aSentAt)
{
  mConfirmed = std::max(mConfirmed, aSentAt);
}

void
leader_election::StepDown(time_point aNow)
{
  if (mLeads) {
    mLeads = false;
    mNoClaimBefore = aNow + mTiming.cooldown;
  }
}

bool
leader_election::MayAct(time_point aNow) const
{
  return mLeads &&
         (!mTiming.leaseValidity ||
          aNow - mConfirmed < *mTiming.leaseValidity) &&
         std::all_of(mLeases.begin(), mLeases.end(), [&](const auto& aLease) {
           return aLease.second <= aNow;
         });
}

bool
leader_election::IsSoleLeader(time_point aNow) const
{
  return ConfirmedWithin(mTiming.minElectionTimeout, aNow);
}

} // namespace arbutusferry::node
