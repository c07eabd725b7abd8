#pragma once

#include "arbutusferry/log_limiter.hpp"
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
/// attempts whose target has received nothing go another way. Right before a
/// request's bytes go out, it checks that the zone of the target isn't
/// evacuated; such a request fails as `NotSent`.
class target_client final : public http_client
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    node_directory& nodes;
    target_view& targets;
    /// Zone of this node, whose region may see the bodies of its requests.
    std::string zone = {};
  };

  explicit target_client(parts aParts);

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
  /// @return The number of requests that were held back at their sending, since
  /// the zone of their target is evacuated.
  [[nodiscard]] std::uint64_t HeldBack() const noexcept { return mHeldBack; }
  [[nodiscard]] bool CutOff() const noexcept { return mMonitor.CutOff(); }
  /// @return Whether this node knows which zones are evacuated.
  [[nodiscard]] bool OrdersRead() const noexcept
  {
    return mParts.targets.Evacuations().OrdersRead();
  }
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
  /// @return Whether a request may be sent to a target now. Logs if not.
  [[nodiscard]] bool Allows(const socket_address& aTarget,
                            const std::string& aZone);
  /// Counts and logs a request that is held back.
  void NoteHeldBack(const socket_address& aTarget,
                    const std::string& aZone,
                    const char* aReason);

  parts mParts;
  reach_monitor mMonitor;
  std::uint64_t mChecks = 0;
  std::unique_ptr<timer> mRecheckTimer;
  log_limiter mHeldBackLines;
  std::uint64_t mHeldBack = 0;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
