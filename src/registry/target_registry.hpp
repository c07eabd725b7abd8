#pragma once

#include "arbutusferry/metrics.hpp"
#include "arbutusferry/node/keyed_follower.hpp"
#include "arbutusferry/node/node_directory.hpp"
#include "registry/feed_follower.hpp"
#include "registry/feed_service.hpp"
#include "registry/registry_size.hpp"
#include "registry/source_choice.hpp"

#include <functional>
#include <memory>

namespace arbutusferry::node {

/// The registry of targets at one node: takes it from the store or from the
/// reader of the zone, passes it on to the node, and serves it to the zone's
/// other nodes where the deployment's size calls for that.
class target_registry final : public target_sink
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    const node_directory& nodes;
    metrics_registry& metrics;
    target_sink& node; ///< Receives the targets.
    /// @return The deployment's size; the targets as far as known.
    std::function<registry_size()> size;
    /// @return Whether the operator's records have been read. The first choice
    /// of the source needs them, and before that no caller is served.
    std::function<bool()> operatorRead;
    /// @return Whether the addresses of nodes have been read, for that choice.
    std::function<bool()> nodesRead;
    /// @return Whether this node's other reads of the store succeed.
    std::function<bool()> storeReachable;
    /// @return Whether a target's next record matters even if it repeats the
    /// one before.
    std::function<bool(const std::string&)> repeatWanted;
    /// @return All targets that aren't removed.
    std::function<std::vector<target_entry>()> targets;
  };

  /// @param aInstance Name of this process.
  target_registry(parts aParts,
                  const zone_neighbor& aSelf,
                  std::string aZone,
                  std::string aInstance);

  /// Begins to read.
  /// @param aFollower Follower of the store's topic that delivers to this
  /// object; it is not started yet.
  void Start(keyed_follower& aFollower);
  [[nodiscard]] feed_service& Service() noexcept { return mService; }
  [[nodiscard]] source_reason Source() const { return mChoice.Reason(); }

  // Records that this node reads from the store.
  void UpdateTarget(const target_entry& aTarget,
                    std::uint64_t aOffset) override;
  void RemoveTarget(const std::string& aId, std::uint64_t aOffset) override;
  void NoteTargetsRead(duration aAge) override;

private:
  /// Records from a neighbor, on their way to the node and the own feed.
  class feed_sink final : public target_sink
  {
  public:
    explicit feed_sink(target_registry& aOwner)
      : mOwner(aOwner)
    {
    }
    void UpdateTarget(const target_entry& aTarget,
                      std::uint64_t aOffset) override;
    void RemoveTarget(const std::string& aId, std::uint64_t aOffset) override;
    void NoteTargetsRead(duration aAge) override;

  private:
    target_registry& mOwner;
  };

  void Step();
  void Choose();
  /// @return Whether what the first choice needs has been read, or doesn't
  /// come.
  [[nodiscard]] bool MayStart();
  void UpdateEnabled();
  void ReadStore();
  void LogFailure(const std::string& aVm, feed_failure aFailure, duration aAge);
  void FollowNeighbor(const zone_neighbor& aReader);
  void Deliver(const target_entry& aTarget, std::uint64_t aOffset);
  void DeliverRemoval(const std::string& aId, std::uint64_t aOffset);
  /// Notes that the view is complete as of some time.
  void NoteComplete(std::uint64_t aNext, time_point aViewAt);
  [[nodiscard]] bool ReadsStore() const { return mStarted && !mFeed.Active(); }
  [[nodiscard]] feed_service::view Look() const;

  parts mParts;
  std::string mZone;
  std::string mInstance;
  feed_sink mFeedSink{ *this };
  source_choice mChoice;
  feed_follower mFeed;
  feed_service mService;
  keyed_follower* mFollower = nullptr;
  bool mStarted = false; ///< A source was chosen.
  bool mEnabled = false;
  bool mComplete = false; ///< All targets have arrived once.
  /// When the store is read although the nodes aren't known.
  std::optional<time_point> mStartBy;
  time_point mViewAt;
  std::unique_ptr<target_changes> mChanges; ///< While enabled.
  std::uint64_t mEnabledCount = 0;
  std::unique_ptr<timer> mTicker;
  std::optional<source_reason> mLoggedSource;
  std::string mLoggedReader;
  /// Failure that was logged last, by VM.
  std::pair<std::string, feed_failure> mLoggedFailure;
};

} // namespace arbutusferry::node
