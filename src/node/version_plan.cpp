#include "arbutusferry/node/version_plan.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusferry::node {

namespace {

/// Samplers that load at a time: one in five, two at least. More of them share
/// the weight store's rate (2 of 11 and 9 of 45 on the sheets).
constexpr std::size_t kSamplersPerLoad = 5;
constexpr std::size_t kLeastLoads = 2;

} // namespace

bool
version_plan::Name(const std::string& aModel, std::int64_t aVersion)
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
version_plan::Home(const std::string& aSampler) const
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
    const auto member = members.find(Home(entry.id));
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

std::vector<version_plan::order>
version_plan::Orders(const std::vector<sampler>& aSamplers,
                     time_point aNow) const
{
  std::size_t loading = 0;
  std::vector<const sampler*> due;
  for (const sampler& entry : aSamplers) {
    loading += entry.loading ? 1 : 0;
    const std::string model = Home(entry.id);
    const auto version = entry.versions.find(model);
    if (entry.usable && !entry.loading && aNow >= entry.notBefore &&
        version != entry.versions.end() && version->second < Named(model)) {
      due.push_back(&entry);
    }
  }
  std::sort(due.begin(),
            due.end(),
            [this](const sampler* aLeft, const sampler* aRight) {
              const auto key = [this](const sampler* aEntry) {
                const std::string model = Home(aEntry->id);
                return std::make_tuple(aEntry->versions.at(model) -
                                         Named(model),
                                       aEntry->running,
                                       std::cref(aEntry->id));
              };
              return key(aLeft) < key(aRight);
            });
  const std::size_t most =
    std::max(kLeastLoads, aSamplers.size() / kSamplersPerLoad);
  std::vector<order> orders;
  for (const sampler* entry : due) {
    if (loading + orders.size() >= most) {
      break;
    }
    const std::string model = Home(entry->id);
    orders.push_back({ entry->id, model, Named(model) });
  }
  return orders;
}

} // namespace arbutusferry::node
