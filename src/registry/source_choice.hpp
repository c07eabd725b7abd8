#pragma once

#include "arbutusferry/address.hpp"
#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Another node of this node's zone.
struct zone_neighbor
{
  std::string vm;
  socket_address address;
  double cpuShare = 0.0; ///< In cores; 0 if its build doesn't say.
};

/// Why a neighbor's feed can't be followed.
enum class feed_failure
{
  Unreachable, ///< No complete answer in time.
  Unsupported, ///< A build without the feed.
  NotServing,  ///< It doesn't read the store itself.
  Starting,    ///< It is reading the store for the first time.
  Stale,       ///< Its view is too old.
  Behind,      ///< Its view lacks records that this node has.
};

/// Why records come from where they do.
enum class source_reason
{
  Small,    ///< The deployment needs no zone readers.
  Alone,    ///< No neighbor can be followed.
  Reader,   ///< This node reads for its zone.
  Standby,  ///< This node replaces the reader if that fails.
  Follower, ///< A neighbor reads for this node.
  Fallback, ///< No reader answered.
};

/// Decides from where a node gets the records of targets: from the store or
/// from the reader of its zone.
class source_choice
{
public:
  /// Nodes of a zone that read the store: the reader and its standby.
  static constexpr std::size_t kReaders = 2;
  /// Age of a reader's view from which it isn't followed.
  static constexpr std::chrono::milliseconds kMaxViewAge{ 1'500 };

  struct inputs
  {
    std::vector<zone_neighbor> neighbors;
    bool enabled = false; ///< The size of the deployment calls for readers.
    /// Whether this node's other reads of the store succeed.
    bool storeReachable = false;
  };

  /// @param aSelf This node.
  /// @param aSeed Spreads decisions over time; different at each node.
  source_choice(zone_neighbor aSelf, std::string aZone, std::uint64_t aSeed);

  /// @return The neighbor to follow; nothing: this node reads the store.
  [[nodiscard]] std::optional<zone_neighbor> Choose(const inputs& aInputs,
                                                    time_point aNow);
  /// Notes an answer of a reader.
  /// @param aAge Age of its view.
  /// @return The reason for which it isn't followed any longer, if any.
  std::optional<feed_failure> NoteAnswer(const std::string& aVm,
                                         duration aAge,
                                         bool aBehind,
                                         time_point aNow);
  void NoteFailure(const std::string& aVm,
                   feed_failure aFailure,
                   time_point aNow);
  /// @return Why the last choice was made.
  [[nodiscard]] source_reason Reason() const noexcept { return mReason; }

private:
  struct neighbor_state
  {
    time_point avoidUntil;
    time_point readerAvoidUntil; ///< While this node reads in its place.
    int failures = 0;            ///< In a row.
  };

  [[nodiscard]] bool StoreSettled(time_point aNow) const;
  /// @return Whether the followed neighbor replaces a failed one and may need
  /// some time for that.
  [[nodiscard]] bool TakingOver(time_point aNow) const;
  /// Arms the fallback to the store after a delay, if it isn't armed.
  void ArmFallback(duration aDelay, time_point aNow);
  [[nodiscard]] duration Draw(duration aLongest);

  zone_neighbor mSelf;
  std::string mKey;
  std::mt19937_64 mRandom;
  std::map<std::string, neighbor_state> mNeighbors; ///< By VM.
  source_reason mReason = source_reason::Small;
  /// It read the store for others, until it has followed another reader while
  /// it could read the store itself.
  bool mWasReader = false;
  std::string mFollowedVm;
  time_point mFollowedSince;
  int mFailuresInRow = 0; ///< Since the last usable answer.
  std::optional<time_point> mFallbackAt;
  std::optional<time_point> mFallbackUntil;
  std::optional<time_point> mBehindSince;
  std::optional<time_point> mStoreReachableSince;
  std::optional<time_point> mStoreLostSince;
};

} // namespace arbutusferry::node

template<>
inline constexpr arbutusferry::enum_name_table<arbutusferry::node::feed_failure,
                                               6>
  arbutusferry::kEnumNames<arbutusferry::node::feed_failure>{ {
    { arbutusferry::node::feed_failure::Unreachable, "unreachable" },
    { arbutusferry::node::feed_failure::Unsupported, "unsupported" },
    { arbutusferry::node::feed_failure::NotServing, "not_serving" },
    { arbutusferry::node::feed_failure::Starting, "starting" },
    { arbutusferry::node::feed_failure::Stale, "stale" },
    { arbutusferry::node::feed_failure::Behind, "behind" },
  } };

template<>
inline constexpr arbutusferry::
  enum_name_table<arbutusferry::node::source_reason, 6>
    arbutusferry::kEnumNames<arbutusferry::node::source_reason>{ {
      { arbutusferry::node::source_reason::Small, "small" },
      { arbutusferry::node::source_reason::Alone, "alone" },
      { arbutusferry::node::source_reason::Reader, "reader" },
      { arbutusferry::node::source_reason::Standby, "standby" },
      { arbutusferry::node::source_reason::Follower, "follower" },
      { arbutusferry::node::source_reason::Fallback, "fallback" },
    } };
