#include "entry/usage_meter.hpp"

#include <algorithm>

namespace arbutusferry {

usage_meter::usage_meter(std::string aInstance)
  : mInstance(std::move(aInstance))
{
}

void
usage_meter::Add(const usage_event& aEvent)
{
  const std::lock_guard lock(mMutex);
  usage_counter& counter = mCounters[{ aEvent.window, aEvent.tenant }].counter;
  counter.tenant = aEvent.tenant;
  counter.window = aEvent.window;
  counter.instance = mInstance;
  ++counter.requests;
  counter.promptTokens += aEvent.promptTokens;
  counter.generatedTokens += aEvent.generatedTokens;
}

std::vector<usage_counter>
usage_meter::Unconfirmed() const
{
  const std::lock_guard lock(mMutex);
  std::vector<usage_counter> counters;
  for (const auto& [key, value] : mCounters) {
    if (value.counter.requests > value.confirmedRequests) {
      counters.push_back(value.counter);
    }
  }
  return counters;
}

void
usage_meter::Confirm(const std::vector<usage_counter>& aCounters)
{
  const std::lock_guard lock(mMutex);
  for (const usage_counter& counter : aCounters) {
    const auto found = mCounters.find({ counter.window, counter.tenant });
    if (found != mCounters.end()) {
      found->second.confirmedRequests =
        std::max(found->second.confirmedRequests, counter.requests);
    }
  }
}

void
usage_meter::DropBefore(unix_seconds aWindow)
{
  const std::lock_guard lock(mMutex);
  std::erase_if(mCounters, [&](const auto& aItem) {
    return aItem.first.first < aWindow &&
           aItem.second.counter.requests == aItem.second.confirmedRequests;
  });
}

} // namespace arbutusferry
