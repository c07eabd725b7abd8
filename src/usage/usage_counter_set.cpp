#include "arbutusferry/usage.hpp"

#include "usage/usage_figures.hpp"

namespace arbutusferry {

void
usage_counter_set::Add(const std::string& aTeam,
                       unix_seconds aWindow,
                       const std::string& aInstance,
                       const usage_figures& aFigures)
{
  AddFigures(mCounters[{ aWindow, aTeam, aInstance }].figures, aFigures);
}

void
usage_counter_set::Merge(const usage_counter& aCounter)
{
  MergeMaximum(
    mCounters[{ aCounter.window, aCounter.team, aCounter.instance }].figures,
    Figures(aCounter));
}

std::vector<usage_counter>
usage_counter_set::Changed() const
{
  std::vector<usage_counter> changed;
  for (const auto& [key, value] : mCounters) {
    if (!Within(value.figures, value.acknowledged)) {
      changed.push_back({ std::get<1>(key),
                          std::get<0>(key),
                          std::get<2>(key),
                          value.figures.requests,
                          value.figures.promptTokens,
                          value.figures.generatedTokens });
    }
  }
  return changed;
}

void
usage_counter_set::Acknowledge(const std::vector<usage_counter>& aCounters)
{
  for (const usage_counter& counter : aCounters) {
    const auto found =
      mCounters.find({ counter.window, counter.team, counter.instance });
    if (found != mCounters.end()) {
      MergeMaximum(found->second.acknowledged, Figures(counter));
    }
  }
}

std::size_t
usage_counter_set::Forget(unix_seconds aBefore)
{
  std::size_t dropped = 0;
  auto item = mCounters.begin();
  while (item != mCounters.end() && std::get<0>(item->first) < aBefore) {
    dropped += Within(item->second.figures, item->second.acknowledged) ? 0 : 1;
    item = mCounters.erase(item);
  }
  return dropped;
}

} // namespace arbutusferry
