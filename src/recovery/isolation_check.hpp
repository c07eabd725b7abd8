#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/node_directory.hpp"

#include <memory>

namespace arbutusferry::node {

/// Finds out whether a network partition separates this node from the store and
/// from the nodes of all other zones. Such a node can neither accept batches
/// nor read their results, and the balancer should send its callers elsewhere.
/// An outage of the store alone isolates no node.
class isolation_check
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    const node_directory& nodes;
    std::string vm;
    std::string zone;
  };

  explicit isolation_check(parts aParts)
    : mParts(std::move(aParts))
  {
  }

  /// Connects to other nodes while the store is silent. Sends nothing else.
  /// @param aStoreContact Time of the last response of the store.
  void Step(time_point aStoreContact);
  [[nodiscard]] bool Isolated() const noexcept { return mIsolated; }

private:
  void StartRound();
  void OnProbe(std::uint64_t aRound, bool aReached);
  void SetIsolated(bool aIsolated);

  parts mParts;
  bool mIsolated = false;
  std::uint64_t mRound = 0;
  std::size_t mPending = 0; ///< Probes of the round without an outcome.
  time_point mNextRound;
  /// Expires with the check, so that late outcomes are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
