#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Record of a running node: where other nodes reach it.
struct node_entry
{
  std::string vm;
  std::string instance; ///< Node and incarnation.
  std::string zone;
  socket_address address;
};

[[nodiscard]] std::string
EncodeNode(const node_entry& aNode);
/// @return The record, or nothing if the bytes are none.
[[nodiscard]] std::optional<node_entry>
DecodeNode(const std::string& aText);

/// The leader's view of the other nodes, and its choice of the node that
/// relays a sampler's streams.
class node_directory
{
public:
  explicit node_directory(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// Takes a node's record. A new incarnation starts without failures.
  void Update(node_entry aNode);
  void Remove(const std::string& aVm) { mNodes.erase(aVm); }

  /// @return A node of the sampler's zone that works as far as is known: the
  /// same one for a sampler as long as it does, so that its connections to the
  /// sampler are used again. Nothing if there is none.
  [[nodiscard]] std::optional<node_entry> ChooseRelay(
    const std::string& aSampler,
    const std::string& aZone,
    time_point aNow) const;

  /// Notes bytes from a node.
  void NoteAlive(const socket_address& aAddress, time_point aNow);
  /// Notes a node's clock, in milliseconds, as its answer told it.
  void NoteClock(const socket_address& aAddress,
                 std::int64_t aClock,
                 time_point aNow);
  /// @return A node's clock now, or somewhat before; nothing if it never told.
  [[nodiscard]] std::optional<std::int64_t> ClockOf(const std::string& aVm,
                                                    time_point aNow) const;
  /// Notes that a node could not be reached.
  void NoteFailure(const socket_address& aAddress, time_point aNow);
  /// Notes that a stream through a node is silent. The node rests if nothing
  /// else has come through it either.
  /// @return Whether it rests, so that the sampler is not to blame.
  bool NoteSilence(const socket_address& aAddress, time_point aNow);

private:
  struct known_node
  {
    node_entry entry;
    time_point avoidUntil;
    time_point alive;
    int failures = 0;
    std::optional<std::int64_t> clock;
    time_point clockAt; ///< When its answer arrived.
  };
  [[nodiscard]] known_node* Find(const socket_address& aAddress);
  static void Rest(known_node& aNode, time_point aNow);

  std::string mSelf;
  std::map<std::string, known_node> mNodes; ///< By VM.
};

} // namespace arbutusferry::node
