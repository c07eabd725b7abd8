#include "registry/node_targets.hpp"

#include <algorithm>

namespace arbutusferry::node {

std::vector<target_entry>
node_targets::Present() const
{
  std::vector<target_entry> present;
  for (const auto& [id, known] : mNode.Targets().All()) {
    if (!known.removedSince) {
      present.push_back(known.entry);
    }
  }
  return present;
}

registry_size
node_targets::Size(double aStoreReadMegabytes) const
{
  const auto& services = mNode.Environment().Services();
  if (std::any_of(services.begin(), services.end(), [](const auto& aService) {
        return aService.coldRate.has_value();
      })) {
    // A target counts as cold until a later record says otherwise, and a feed
    // leaves out records that repeat the one before.
    return {};
  }
  std::size_t targets = mNode.Targets().All().size();
  if (targets == 0) {
    for (const service_entry& service : services) {
      targets +=
        service.scaling
          ? static_cast<std::size_t>(std::max(0, service.scaling->maximum))
          : 0;
    }
  }
  return { mNode.Nodes().Size() + 1, targets, aStoreReadMegabytes };
}

} // namespace arbutusferry::node
