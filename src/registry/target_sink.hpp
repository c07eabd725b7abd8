#pragma once

#include "arbutusferry/node/target_view.hpp"

#include <cstdint>
#include <string>

namespace arbutusferry::node {

/// Receives the registry of targets, from whichever source it comes.
class target_sink
{
public:
  virtual ~target_sink() = default;
  /// @param aOffset Offset of the record in the store's topic.
  virtual void UpdateTarget(const target_entry& aTarget,
                            std::uint64_t aOffset) = 0;
  virtual void RemoveTarget(const std::string& aId, std::uint64_t aOffset) = 0;
  /// All records up to the end that the topic had a moment ago have been
  /// delivered.
  /// @param aAge Time since that moment.
  virtual void NoteTargetsRead(duration aAge) = 0;
};

} // namespace arbutusferry::node
