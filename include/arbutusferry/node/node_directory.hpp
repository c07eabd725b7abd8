#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/time.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Record of a running node: where other nodes reach it.
struct node_entry
{
  std::string vm;
  std::string instance; ///< Node and incarnation.
  std::string zone;
  socket_address address;
  /// In cores; 0 if the node's build doesn't say.
  double cpuShare = 0.0;
};

[[nodiscard]] std::string
EncodeNode(const node_entry& aNode);
/// @return The record, or nothing if the text is malformed.
[[nodiscard]] std::optional<node_entry>
DecodeNode(const std::string& aText);

/// View of the other nodes, with the choice of the node that relays a sampler's
/// streams, keeps a record, or gives access to targets.
class node_directory
{
public:
  explicit node_directory(std::string aOwnInstance)
    : mOwnInstance(std::move(aOwnInstance))
  {
  }

  /// Adds or replaces a node's record. A new incarnation starts without
  /// failures.
  void Update(node_entry aNode);
  void Remove(const std::string& aVm) { mNodes.erase(aVm); }
  /// @return The other nodes of a zone.
  [[nodiscard]] std::vector<node_entry> InZone(const std::string& aZone) const;
  /// @return The number of other nodes.
  [[nodiscard]] std::size_t Size() const noexcept { return mNodes.size(); }

  /// Chooses a node of the sampler's zone that isn't backed off. A sampler
  /// keeps its relay while that works, so that the relay's connections to it
  /// are reused.
  /// @return Nothing if there is no such node.
  [[nodiscard]] std::optional<node_entry> ChooseRelay(
    const std::string& aSampler,
    const std::string& aZone,
    time_point aNow) const;

  /// Chooses the nodes that keep something by its key: the same ones at every
  /// node that knows the same nodes.
  /// @param aOwnVm This node's VM, which is left out if it is chosen.
  [[nodiscard]] std::vector<node_entry> ChooseKeepers(const std::string& aKey,
                                                      const std::string& aOwnVm,
                                                      std::size_t aCount) const;

  /// Chooses a node of any zone through which this one reaches a target: the
  /// same one for a target while that works.
  /// @param aTried VMs that were tried.
  /// @return Nothing if all others are tried, backed off or cut off.
  [[nodiscard]] std::optional<node_entry> ChooseGateway(
    const std::string& aTarget,
    const std::set<std::string>& aTried,
    time_point aNow,
    const std::function<bool(const std::string&)>& aZoneAllowed = {}) const;
  /// Chooses nodes of other zones; others of the own zone if there are none.
  /// @param aSalt Varies the choice.
  [[nodiscard]] std::vector<node_entry> ChooseOutside(const std::string& aZone,
                                                      const std::string& aOwnVm,
                                                      std::uint64_t aSalt,
                                                      std::size_t aCount) const;
  /// Notes that a node reaches no target itself.
  void NoteCutOff(const socket_address& aAddress, time_point aNow);

  /// Notes that bytes arrived from a node.
  void NoteAlive(const socket_address& aAddress, time_point aNow);
  /// Notes a node's clock as reported in its response.
  void NoteClock(const socket_address& aAddress,
                 std::int64_t aClockMs,
                 time_point aNow);
  /// @return A node's clock now in milliseconds, behind by its response's
  /// latency; nothing if it was never reported.
  [[nodiscard]] std::optional<std::int64_t> ClockOf(const std::string& aVm,
                                                    time_point aNow) const;
  /// Notes that a node could not be reached.
  void NoteFailure(const socket_address& aAddress, time_point aNow);
  /// Notes that a stream through a node is silent. Backs the node off if
  /// nothing else has arrived through it either.
  /// @return Whether the node, rather than the sampler, is taken to have
  /// failed: it is backed off or unknown.
  bool NoteSilence(const socket_address& aAddress, time_point aNow);

private:
  struct known_node
  {
    node_entry entry;
    time_point avoidUntil;
    time_point lastByteAt;
    int failures = 0;
    time_point cutOffUntil; ///< It reaches no target until then.
    std::optional<std::int64_t> clockMs;
    time_point clockAt; ///< When its response arrived.
  };
  [[nodiscard]] known_node* Find(const socket_address& aAddress);
  static void BackOff(known_node& aNode, time_point aNow);

  std::string mOwnInstance;
  std::map<std::string, known_node> mNodes; ///< By VM.
};

} // namespace arbutusferry::node
