#include "entry/usage_meter.hpp"

namespace arbutusferry {

usage_meter::usage_meter(std::string aInstance)
  : mInstance(std::move(aInstance))
{
}

void
usage_meter::Add(const usage_event& aEvent)
{
  const std::lock_guard lock(mMutex);
  mCounters.Add(aEvent.team,
                aEvent.window,
                mInstance,
                { 1, aEvent.promptTokens, aEvent.generatedTokens });
}

std::vector<usage_counter>
usage_meter::Unconfirmed() const
{
  const std::lock_guard lock(mMutex);
  return mCounters.Changed();
}

void
usage_meter::Confirm(const std::vector<usage_counter>& aCounters)
{
  const std::lock_guard lock(mMutex);
  mCounters.Acknowledge(aCounters);
}

std::size_t
usage_meter::DropBefore(unix_seconds aWindow)
{
  const std::lock_guard lock(mMutex);
  return mCounters.Forget(aWindow);
}

} // namespace arbutusferry
