#include "arbutusferry/node/version_plan.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

/// Samplers that load at a time: one in ten, two at least. More of them share
/// the weight store's rate (2 and 9 on the sheets, whose fleets of 11 and 45
/// are doubled under load), so that the first of them would be late.
constexpr std::size_t kSamplersPerLoad = 10;
constexpr std::size_t kLeastLoads = 2;

} // namespace

bool
version_plan::SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
{
  std::int64_t& named = mNamed[aModel];
  if (aVersion <= named) {
    return false;
  }
  named = aVersion;
  return true;
}

std::int64_t
version_plan::Named(const std::string& aModel) const
{
  const auto found = mNamed.find(aModel);
  return found == mNamed.end() ? 1 : found->second;
}

std::string
version_plan::AssignedModel(const std::string& aSampler) const
{
  const auto found = mHome.find(aSampler);
  return found == mHome.end() ? std::string() : found->second;
}

void
version_plan::Assign(const std::vector<sampler>& aSamplers,
                     const std::set<std::string>& aModels)
{
  std::map<std::string, std::vector<const sampler*>> members;
  for (const std::string& model : aModels) {
    members[model];
  }
  std::vector<const sampler*> free;
  std::map<std::string, std::string> home;
  for (const sampler& entry : aSamplers) {
    if (!entry.usable) {
      // It comes back to its model after a short failure.
      if (const auto known = mHome.find(entry.id); known != mHome.end()) {
        home[entry.id] = known->second;
      }
      continue;
    }
    const auto member = members.find(AssignedModel(entry.id));
    if (member != members.end()) {
      member->second.push_back(&entry);
    } else {
      free.push_back(&entry);
    }
  }
  const auto behind = [this](const sampler& aSampler,
                             const std::string& aModel) {
    const auto version = aSampler.versions.find(aModel);
    return Named(aModel) -
           (version == aSampler.versions.end() ? 0 : version->second);
  };
  const auto smallest = [&] {
    return std::min_element(members.begin(),
                            members.end(),
                            [](const auto& aLeft, const auto& aRight) {
                              return aLeft.second.size() < aRight.second.size();
                            });
  };
  // A new sampler goes to a small model, among these to the one whose weights
  // it has.
  for (const sampler* entry : free) {
    if (members.empty()) {
      break;
    }
    const std::size_t size = smallest()->second.size();
    auto best = members.end();
    for (auto at = members.begin(); at != members.end(); ++at) {
      if (at->second.size() == size &&
          (best == members.end() ||
           behind(*entry, at->first) < behind(*entry, best->first))) {
        best = at;
      }
    }
    best->second.push_back(entry);
  }
  while (!members.empty()) {
    const auto small = smallest();
    const auto large =
      std::max_element(members.begin(),
                       members.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.size() < aRight.second.size();
                       });
    if (large->second.size() < small->second.size() + 2) {
      break;
    }
    const auto moved = std::min_element(
      large->second.begin(),
      large->second.end(),
      [&](const sampler* aLeft, const sampler* aRight) {
        return behind(*aLeft, small->first) < behind(*aRight, small->first);
      });
    small->second.push_back(*moved);
    large->second.erase(moved);
  }
  for (const auto& [model, list] : members) {
    for (const sampler* entry : list) {
      home[entry->id] = model;
    }
  }
  mHome = std::move(home);
}

std::map<std::string, version_plan::model_state>
version_plan::ModelStates(const std::vector<sampler>& aSamplers,
                          const std::map<std::string, demand>& aDemands,
                          time_point aNow) const
{
  std::map<std::string, model_state> states;
  for (const sampler& entry : aSamplers) {
    const std::string model = AssignedModel(entry.id);
    const auto version = entry.versions.find(model);
    if (version == entry.versions.end()) {
      continue;
    }
    model_state& state = states[model];
    if (entry.loading || version->second >= Named(model)) {
      ++state.current;
    } else if (entry.usable && aNow >= entry.notBefore) {
      state.due.push_back(&entry);
    }
  }
  for (auto& [model, state] : states) {
    if (const auto found = aDemands.find(model); found != aDemands.end()) {
      const demand& wanted = found->second;
      state.lacking = wanted.waiting - std::min(wanted.waiting, wanted.slots);
    }
    std::sort(state.due.begin(),
              state.due.end(),
              [&model = model](const sampler* aLeft, const sampler* aRight) {
                const auto key = [&](const sampler* aEntry) {
                  return std::make_tuple(aEntry->versions.at(model),
                                         aEntry->running,
                                         std::cref(aEntry->id));
                };
                return key(aRight) < key(aLeft);
              });
  }
  return states;
}

std::vector<version_plan::order>
version_plan::Orders(const std::vector<sampler>& aSamplers,
                     const std::map<std::string, demand>& aDemands,
                     time_point aNow) const
{
  auto states = ModelStates(aSamplers, aDemands, aNow);
  std::size_t loading = 0;
  for (const sampler& entry : aSamplers) {
    loading += entry.loading ? 1 : 0;
  }
  const std::size_t most =
    std::max(kLeastLoads, aSamplers.size() / kSamplersPerLoad);
  std::vector<order> orders;
  while (loading + orders.size() < most) {
    auto next = states.end();
    for (auto at = states.begin(); at != states.end(); ++at) {
      const auto key = [](const model_state& aState) {
        return std::make_tuple(-static_cast<std::int64_t>(aState.lacking),
                               aState.current);
      };
      if (!at->second.due.empty() &&
          (next == states.end() || key(at->second) < key(next->second))) {
        next = at;
      }
    }
    if (next == states.end()) {
      break;
    }
    auto& [model, state] = *next;
    const sampler& chosen = *state.due.back();
    state.due.pop_back();
    ++state.current;
    state.lacking -= std::min<std::size_t>(state.lacking, chosen.slots);
    orders.push_back({ chosen.id, model, Named(model) });
  }
  return orders;
}

} // namespace arbutusferry::node
