#include "memory_budget.hpp"

#include <algorithm>
#include <malloc.h>
#include <utility>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Progress counts over this and the window before it. Long enough that a
/// sender on a sound connection moves bytes in each, short enough that a
/// stalled one is recognized while others wait for its memory.
constexpr milliseconds kProgressWindow{ 500 };
/// For how long a node counts as full after it has refused a small request;
/// load balancers check readiness about once a second.
constexpr milliseconds kFullAfterRefusal{ 1'000 };
/// Released bytes after which free memory is returned to the system. Smaller
/// amounts are not worth the time that it takes.
constexpr std::size_t kReturnAfterBytes = std::size_t{ 8 } << 20;

} // namespace

bool
memory_budget::Full(time_point aNow) const
{
  return mSmallRefused && aNow - *mSmallRefused < kFullAfterRefusal;
}

void
memory_budget::Check(time_point aNow)
{
  mNow = aNow;
  if (aNow - mWindowStart < kProgressWindow) {
    return;
  }
  mWindowStart = aNow;
  for (memory_account* account : mAccounts) {
    account->mLastProgress = std::exchange(account->mProgress, 0);
  }
  if (mPeak > mUsed + kReturnAfterBytes) {
    mPeak = mUsed;
    ::malloc_trim(0);
  }
}

void
memory_budget::NoteRefusal(std::string_view aReason)
{
  if (onRefusal) {
    onRefusal(aReason);
  }
}

bool
memory_budget::Resize(memory_account& aAccount, std::size_t aBytes)
{
  if (aBytes <= aAccount.mBytes) {
    mUsed -= aAccount.mBytes - aBytes;
    aAccount.mBytes = aBytes;
    return true;
  }
  const bool small = aBytes <= kSmallBytes;
  const std::size_t limit = small ? mLimit : LargeLimit();
  const std::size_t own = aAccount.mBytes;
  while (mUsed - own + aBytes > limit) {
    memory_account* victim =
      aBytes > limit ? nullptr : FindVictim(aAccount, small);
    if (!victim) {
      if (small) {
        mSmallRefused = mNow;
      }
      return false;
    }
    victim->mHolder->GiveWay();
    if (victim->mBytes > 0) {
      return false; // Guards against an endless loop.
    }
  }
  mUsed += aBytes - aAccount.mBytes;
  aAccount.mBytes = aBytes;
  mPeak = std::max(mPeak, mUsed);
  return true;
}

memory_account*
memory_budget::FindVictim(const memory_account& aFor, bool aSmall) const
{
  memory_account* chosen = nullptr;
  const auto worse = [](const memory_account& aOne,
                        const memory_account& aOther) {
    const bool oneLarge = aOne.mBytes > kSmallBytes;
    const bool otherLarge = aOther.mBytes > kSmallBytes;
    if (oneLarge != otherLarge) {
      return oneLarge;
    }
    if (aOne.Progress() != aOther.Progress()) {
      return aOne.Progress() < aOther.Progress();
    }
    return aOne.mBytes > aOther.mBytes;
  };
  for (memory_account* account : mAccounts) {
    if (account == &aFor || !account->mCanGiveWay || account->mBytes == 0) {
      continue;
    }
    // A small holder takes memory of large ones, and of small ones that have
    // moved nothing; a large one only of holders that move no more than it.
    const bool large = account->mBytes > kSmallBytes;
    const bool allowed = aSmall
                           ? large || account->Progress() == 0
                           : large && account->Progress() <= aFor.Progress();
    if (allowed && (!chosen || worse(*account, *chosen))) {
      chosen = account;
    }
  }
  return chosen;
}

memory_account::memory_account(std::shared_ptr<memory_budget> aBudget,
                               memory_holder* aHolder)
  : mBudget(std::move(aBudget))
  , mHolder(aHolder)
{
  if (mHolder) {
    mBudget->mAccounts.insert(this);
  }
}

memory_account::~memory_account()
{
  Clear();
  mBudget->mAccounts.erase(this);
}

bool
memory_account::Resize(std::size_t aBytes)
{
  return aBytes == mBytes || mBudget->Resize(*this, aBytes);
}

} // namespace arbutusferry::node
