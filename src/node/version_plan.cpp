#include "arbutusferry/node/version_plan.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

/// Samplers that load at a time: one in ten, at least two. That is 2 and 9 on
/// the reference deployments, whose fleets of 11 and 45 double under load. All
/// loads share the weight store's rate; with more, even the first would be
/// late.
constexpr std::size_t kSamplersPerLoad = 10;
constexpr std::size_t kMinLoads = 2;

} // namespace

bool
version_plan::SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
{
  std::int64_t& newest = mNewestVersions[aModel];
  if (aVersion <= newest) {
    return false;
  }
  newest = aVersion;
  return true;
}

std::int64_t
version_plan::NewestVersion(const std::string& aModel) const
{
  const auto found = mNewestVersions.find(aModel);
  return found == mNewestVersions.end() ? 1 : found->second;
}

std::string
version_plan::AssignedModel(const std::string& aSampler) const
{
  const auto found = mAssignedModels.find(aSampler);
  return found == mAssignedModels.end() ? std::string() : found->second;
}

void
version_plan::Assign(const std::vector<sampler>& aSamplers,
                     const std::set<std::string>& aModels)
{
  std::map<std::string, std::vector<const sampler*>> members;
  for (const std::string& model : aModels) {
    members[model];
  }
  std::vector<const sampler*> unassigned;
  std::map<std::string, std::string> assigned;
  for (const sampler& entry : aSamplers) {
    if (!entry.usable) {
      // Keeps its model, to which it returns after a short failure.
      if (const auto known = mAssignedModels.find(entry.id);
          known != mAssignedModels.end()) {
        assigned[entry.id] = known->second;
      }
      continue;
    }
    const auto member = members.find(AssignedModel(entry.id));
    if (member != members.end()) {
      member->second.push_back(&entry);
    } else {
      unassigned.push_back(&entry);
    }
  }
  const auto versionsBehind = [this](const sampler& aSampler,
                                     const std::string& aModel) {
    const auto version = aSampler.versions.find(aModel);
    return NewestVersion(aModel) -
           (version == aSampler.versions.end() ? 0 : version->second);
  };
  const auto capacityOf = [](const auto& aMember) {
    int capacity = 0;
    for (const sampler* entry : aMember.second) {
      capacity += entry->capacity;
    }
    return capacity;
  };
  const auto byCapacity = [&](const auto& aLeft, const auto& aRight) {
    return capacityOf(aLeft) < capacityOf(aRight);
  };
  // A new sampler goes to a model with the least capacity; among these, to the
  // one whose weights it is least behind.
  for (const sampler* entry : unassigned) {
    if (members.empty()) {
      break;
    }
    const int capacity =
      capacityOf(*std::min_element(members.begin(), members.end(), byCapacity));
    auto best = members.end();
    for (auto at = members.begin(); at != members.end(); ++at) {
      if (capacityOf(*at) == capacity &&
          (best == members.end() || versionsBehind(*entry, at->first) <
                                      versionsBehind(*entry, best->first))) {
        best = at;
      }
    }
    best->second.push_back(entry);
  }
  while (!members.empty()) {
    const auto small =
      std::min_element(members.begin(), members.end(), byCapacity);
    const auto large =
      std::max_element(members.begin(), members.end(), byCapacity);
    const int difference = capacityOf(*large) - capacityOf(*small);
    // The largest sampler whose move leaves the smaller model no larger than
    // the other; among these, the one whose weights are least behind.
    const auto moveCost = [&](const sampler* aEntry) {
      return std::make_tuple(2 * aEntry->capacity > difference,
                             -aEntry->capacity,
                             versionsBehind(*aEntry, small->first));
    };
    const auto moved =
      std::min_element(large->second.begin(),
                       large->second.end(),
                       [&](const sampler* aLeft, const sampler* aRight) {
                         return moveCost(aLeft) < moveCost(aRight);
                       });
    if (moved == large->second.end() || 2 * (*moved)->capacity > difference) {
      break;
    }
    small->second.push_back(*moved);
    large->second.erase(moved);
  }
  for (const auto& [model, list] : members) {
    for (const sampler* entry : list) {
      assigned[entry->id] = model;
    }
  }
  mAssignedModels = std::move(assigned);
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
    if (entry.loading || version->second >= NewestVersion(model)) {
      ++state.current;
    } else if (entry.usable && aNow >= entry.notBefore) {
      state.due.push_back(&entry);
    }
  }
  for (auto& [model, state] : states) {
    if (const auto found = aDemands.find(model); found != aDemands.end()) {
      const demand& wanted = found->second;
      state.unserved = wanted.waiting - std::min(wanted.waiting, wanted.slots);
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
  const std::size_t maxLoads =
    std::max(kMinLoads, aSamplers.size() / kSamplersPerLoad);
  std::vector<order> orders;
  while (loading + orders.size() < maxLoads) {
    auto next = states.end();
    for (auto at = states.begin(); at != states.end(); ++at) {
      const auto key = [](const model_state& aState) {
        return std::make_tuple(-static_cast<std::int64_t>(aState.unserved),
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
    state.unserved -= std::min<std::size_t>(state.unserved, chosen.slots);
    orders.push_back({ chosen.id, model, NewestVersion(model) });
  }
  return orders;
}

} // namespace arbutusferry::node
