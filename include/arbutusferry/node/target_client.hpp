#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/node_directory.hpp"
#include "arbutusferry/node/reach_monitor.hpp"
#include "arbutusferry/node/target_view.hpp"

#include <memory>
#include <vector>

namespace arbutusferry::node {

/// Sends requests to targets: over this node's own connections, or through
/// other nodes while it reaches no target itself. Whichever way, a request has
/// been sent to its target within the connect timeout or never will be. Only
/// attempts whose target has received nothing go another way.
class target_client final : public http_client
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    node_directory& nodes;
    const target_view& targets;
  };

  explicit target_client(parts aParts)
    : mParts(aParts)
  {
  }

  std::shared_ptr<http_exchange> Send(
    const socket_address& aPeer,
    http_request aRequest,
    const exchange_options& aOptions,
    std::shared_ptr<response_sink> aSink) override;
  void Probe(
    const socket_address& aPeer,
    std::chrono::milliseconds aTimeout,
    std::function<void(std::optional<exchange_failure>)> aDone) override;
  /// As `Probe`, over this node's own links only.
  void ProbeDirectly(
    const socket_address& aPeer,
    std::chrono::milliseconds aTimeout,
    std::function<void(std::optional<exchange_failure>)> aDone);
  [[nodiscard]] bool CutOff() const noexcept { return mMonitor.CutOff(); }
  /// Checks whether targets can be reached, unless that is known.
  void CheckReach();
  /// Asks other nodes for access to some targets.
  /// @param aReached Called if another node reaches one.
  void FindReach(const std::function<void()>& aReached);

private:
  class exchange;

  void ProbeThroughGateway(
    const socket_address& aPeer,
    std::chrono::milliseconds aTimeout,
    std::function<void(std::optional<exchange_failure>)> aDone);
  /// @return Addresses of a few targets, other ones for each check.
  [[nodiscard]] std::vector<socket_address> ChooseTargets() const;
  void EndCheck(bool aReached);

  parts mParts;
  reach_monitor mMonitor;
  std::uint64_t mChecks = 0;
  std::unique_ptr<timer> mRecheckTimer;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
