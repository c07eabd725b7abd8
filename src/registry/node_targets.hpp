#pragma once

#include "arbutusferry/node/ferry_node.hpp"
#include "registry/registry_size.hpp"
#include "registry/target_sink.hpp"

#include <vector>

namespace arbutusferry::node {

/// Passes the registry of targets to a node.
class node_targets final : public target_sink
{
public:
  explicit node_targets(ferry_node& aNode)
    : mNode(aNode)
  {
  }
  void UpdateTarget(const target_entry& aTarget, std::uint64_t) override
  {
    mNode.UpdateTarget(aTarget);
  }
  void RemoveTarget(const std::string& aId, std::uint64_t) override
  {
    mNode.RemoveTarget(aId);
  }
  void NoteTargetsRead(duration aAge) override { mNode.NoteTargetsRead(aAge); }

  /// @return All targets that aren't removed.
  [[nodiscard]] std::vector<target_entry> Present() const;
  /// @return The size of the deployment; none where targets may be cold, so
  /// that each node reads their records itself. While no target is known, the
  /// operator's maximum stands for their number.
  [[nodiscard]] registry_size Size(double aStoreReadMegabytes) const;

private:
  ferry_node& mNode;
};

} // namespace arbutusferry::node
