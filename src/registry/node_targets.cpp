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
  std::size_t targets = mNode.Targets().All().size();
  if (targets == 0) {
    for (const service_entry& service : mNode.Environment().Services()) {
      targets +=
        service.scaling
          ? static_cast<std::size_t>(std::max(0, service.scaling->maximum))
          : 0;
    }
  }
  return { mNode.Nodes().Size() + 1, targets, aStoreReadMegabytes };
}

} // namespace arbutusferry::node
