#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "registry/feed_message.hpp"
#include "registry/source_choice.hpp"
#include "registry/target_sink.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace arbutusferry::node {

/// Follows the feed of a neighbor. The offset of each target only rises, also
/// from one neighbor to the next.
class feed_follower
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    target_sink& sink;
    /// Called with each complete answer before its effect on `Fresh`.
    std::function<void(const std::string& aVm, const feed_head&, bool aBehind)>
      onAnswer;
    std::function<void(const std::string& aVm, feed_failure)> onFailure;
  };

  explicit feed_follower(parts aParts)
    : mParts(std::move(aParts))
  {
  }

  /// Sets what another source has delivered; records before it are ignored.
  void SetKnown(std::uint64_t aNext,
                std::map<std::string, std::uint64_t> aOffsets);
  /// Follows a neighbor; has no effect while that is followed already.
  void Follow(const zone_neighbor& aReader);
  void Stop();

  [[nodiscard]] bool Active() const noexcept { return mReader.has_value(); }
  /// @return The VM that is followed, or empty.
  [[nodiscard]] std::string Reader() const
  {
    return mReader ? mReader->vm : std::string();
  }
  /// @return Whether all targets of the present reader have arrived, and its
  /// view was recent.
  [[nodiscard]] bool Fresh() const noexcept { return mFresh; }
  /// @return The offset up to which everything is known.
  [[nodiscard]] std::uint64_t NextOffset() const noexcept { return mNext; }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Offsets()
    const noexcept
  {
    return mOffsets;
  }
  /// @return The time as of which everything was known.
  [[nodiscard]] time_point ViewAt() const noexcept { return mViewAt; }

private:
  void Poll();
  void OnResponse(const http_response* aResponse);
  void Apply(const feed_head& aHead,
             const std::vector<target_change>& aChanges);
  void FinishSnapshot();
  void Fail(feed_failure aFailure);

  parts mParts;
  std::optional<zone_neighbor> mReader;
  feed_cursor mCursor;
  std::map<std::string, std::uint64_t> mOffsets; ///< Of each present target.
  std::uint64_t mNext = 0;
  /// Set while the pages of a snapshot arrive: the targets so far, and the
  /// offset that its first page named.
  std::optional<std::set<std::string>> mSnapshotIds;
  std::uint64_t mSnapshotNext = 0;
  bool mFresh = false;
  time_point mViewAt;
  std::unique_ptr<timer> mTimer;
  std::shared_ptr<http_exchange> mExchange;
  /// Expires when the reader changes, so that late answers do nothing.
  std::shared_ptr<bool> mCalls;
};

} // namespace arbutusferry::node
