#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/keyed_follower.hpp"
#include "arbutusferry/node/software_history.hpp"
#include "arbutusferry/node/stream_origins.hpp"
#include "arbutusferry/node/target_view.hpp"

#include <memory>

namespace arbutusferry::node {

/// Follows the software versions of targets, and keeps them in the store, so
/// that they are known after all nodes have ended at once.
class software_watch final
  : public origin_candidates
  , private record_observer
{
public:
  struct parts
  {
    event_loop& loop;
    record_log& log;
    const target_view& targets;
  };

  explicit software_watch(parts aParts);

  void Start();
  /// Notes that the registry of targets has been read to its present end.
  /// @param aAge Time since the registry had the end to which it was read.
  void NoteTargetsRead(duration aAge = {});
  /// Notes the versions of the known targets.
  void Observe();
  /// Notes the version of a target that was added. Costs nothing where another
  /// target has the version: in a large fleet many are added at once.
  void NoteAdded(const target_entry& aTarget);
  /// Stores what the store doesn't know. Called on the leader.
  void Save();
  /// Declares that no node has served before: no leader was ever elected.
  void NoteFirstStart();

  [[nodiscard]] std::optional<std::string> OnlyOrigin(
    const std::string& aService) const override;

private:
  void OnRecord(const std::string& aKey,
                const std::string* aValue,
                std::uint64_t aOffset) override;
  void OnCaughtUp() override;
  /// @return Whether the view of targets may lack no version.
  [[nodiscard]] bool ViewIsCurrent() const;

  parts mParts;
  software_history mHistory;
  std::map<std::string, software_record> mStored; ///< By service.
  std::optional<time_point> mTargetsReadAt;
  bool mFirstStart = false;
  /// Whether stored records are still to be added to the history.
  bool mRestorePending = true;
  bool mSaving = false;
  keyed_follower mFollower;
  /// Expires with the watch, so that later responses are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
