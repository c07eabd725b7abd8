#include "control/zone_view.hpp"

#include <algorithm>

namespace arbutusferry {

void
zone_view::MergeUsage(const std::vector<usage_counter>& aCounters)
{
  for (const usage_counter& counter : aCounters) {
    usage_item& known =
      mUsage[{ counter.window, counter.team, counter.instance }];
    usage_counter& merged = known.counter;
    if (!merged.team.empty() && merged.requests >= counter.requests &&
        merged.promptTokens >= counter.promptTokens &&
        merged.generatedTokens >= counter.generatedTokens) {
      continue;
    }
    merged.team = counter.team;
    merged.window = counter.window;
    merged.instance = counter.instance;
    merged.requests = std::max(merged.requests, counter.requests);
    merged.promptTokens = std::max(merged.promptTokens, counter.promptTokens);
    merged.generatedTokens =
      std::max(merged.generatedTokens, counter.generatedTokens);
    known.acknowledged = false;
    known.logged = false;
  }
}

zone_view::usage_item*
zone_view::FindUsage(const usage_counter& aCounter)
{
  const auto found =
    mUsage.find({ aCounter.window, aCounter.team, aCounter.instance });
  if (found == mUsage.end()) {
    return nullptr;
  }
  const usage_counter& known = found->second.counter;
  // The counter may have grown since the message was sent.
  return known.requests == aCounter.requests &&
             known.promptTokens == aCounter.promptTokens &&
             known.generatedTokens == aCounter.generatedTokens
           ? &found->second
           : nullptr;
}

std::vector<usage_counter>
zone_view::UnloggedUsage() const
{
  std::vector<usage_counter> counters;
  for (const auto& [key, item] : mUsage) {
    if (!item.logged) {
      counters.push_back(item.counter);
    }
  }
  return counters;
}

void
zone_view::OnUsageLogged(const std::vector<usage_counter>& aCounters)
{
  for (const usage_counter& counter : aCounters) {
    if (usage_item* known = FindUsage(counter)) {
      known->logged = true;
    }
  }
}

std::size_t
zone_view::DropUsageBefore(unix_seconds aWindow)
{
  std::size_t dropped = 0;
  const auto end = mUsage.lower_bound({ aWindow, {}, {} });
  for (auto item = mUsage.begin(); item != end; ++item) {
    dropped += item->second.logged || item->second.acknowledged ? 0 : 1;
  }
  mUsage.erase(mUsage.begin(), end);
  return dropped;
}

} // namespace arbutusferry
