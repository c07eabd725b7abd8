#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/target_view.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusferry::node {

/// Whether a request may be sent to a target with a limit.
struct admission
{
  bool granted = false;
  /// Time until it must be sent; if not granted, until another request may
  /// be.
  std::chrono::milliseconds wait{ 0 };
};

/// Decides which requests may be sent to targets with a limit.
class target_admission
{
public:
  virtual ~target_admission() = default;
  /// Asks for the next start at a target.
  /// @param aMaxWait Longest useful wait for it.
  /// @param aDone May be called at once.
  virtual void Request(const std::string& aTarget,
                       const start_limits& aLimits,
                       std::chrono::milliseconds aMaxWait,
                       std::function<void(const admission&)> aDone) = 0;
};

/// Shares the rates of targets among all nodes. The leader grants each start;
/// other nodes ask it. A node that reaches no leader gets no start, so nodes
/// that are cut off from each other can't exceed a rate together.
class limit_coordinator final : public target_admission
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    target_view& targets;
    /// @return Whether this node leads, and no other can lead yet.
    std::function<bool()> mayGrant;
    /// @return Address of the leader if it is another node.
    std::function<std::optional<socket_address>()> leader;
  };

  explicit limit_coordinator(parts aParts)
    : mParts(std::move(aParts))
  {
  }

  void Request(const std::string& aTarget,
               const start_limits& aLimits,
               std::chrono::milliseconds aMaxWait,
               std::function<void(const admission&)> aDone) override;
  /// @return Whether this node may grant starts now.
  [[nodiscard]] bool MayGrant() const { return mParts.mayGrant(); }
  /// @return Starts at cold targets that this node has granted and refused.
  [[nodiscard]] std::uint64_t ColdGranted() const noexcept
  {
    return mColdGranted;
  }
  [[nodiscard]] std::uint64_t ColdRefused() const noexcept
  {
    return mColdRefused;
  }
  /// @return Whether a path addresses a request for admission.
  [[nodiscard]] static bool IsAdmissionPath(std::string_view aPath);
  /// Answers the request of another node for admission.
  void Serve(const http_request& aRequest, responder& aResponder);

private:
  [[nodiscard]] admission Grant(const std::string& aTarget,
                                const start_limits& aLimits,
                                std::chrono::milliseconds aMaxWait);
  /// @return What counts a start: the target's own limit, or that of nodes
  /// which take a warm target for cold.
  [[nodiscard]] target_limit& CounterOf(const std::string& aTarget,
                                        target_view::known_target& aKnown,
                                        const start_limits& aLimits);

  parts mParts;
  /// The leader gave no answer; it isn't asked before this time.
  time_point mLeaderAvoidUntil;
  std::uint64_t mColdGranted = 0;
  std::uint64_t mColdRefused = 0;
  /// Expires with the coordinator, so that late responses are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
