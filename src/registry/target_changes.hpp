#pragma once

#include "arbutusferry/node/target_view.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// A target that changed or is gone.
struct target_change
{
  std::string id;
  std::uint64_t offset = 0;          ///< Of its record in the store's topic.
  std::optional<target_entry> entry; ///< Nothing: the target is gone.
};

/// Place up to which a follower has the changes of one process.
struct feed_cursor
{
  std::string epoch; ///< The process; empty: none.
  std::uint64_t sequence = 0;
  /// Removals up to here aren't needed: the sequence, or while the pages of a
  /// snapshot are read, that at its start.
  std::uint64_t base = 0;

  /// Offset of the store's topic up to which the follower knows everything; 0:
  /// nothing. All readers share these offsets, so that a follower needs only
  /// the difference from a new one.
  std::uint64_t known = 0;
};

/// Changes after a cursor, oldest first.
struct change_page
{
  feed_cursor next;
  /// The pages from this one on hold all targets: the cursor was unknown or too
  /// old.
  bool snapshot = false;
  bool more = false; ///< Another page follows at once.
  std::string text;  ///< The changes, as `DecodeChanges` reads them.
};

/// @return Whether two records of a target lead to the same decisions.
[[nodiscard]] bool
SameDecisions(const target_entry& aLeft, const target_entry& aRight);

/// @return The changes, or nothing if the text is malformed.
[[nodiscard]] std::optional<std::vector<target_change>>
DecodeChanges(const std::string& aText);

/// The targets with the order in which they last changed, from which each
/// follower gets what it lacks.
class target_changes
{
public:
  /// Changes in one page, whose decoding is one portion of work.
  static constexpr std::size_t kPageChanges = 128;
  /// Removed targets that are remembered; followers that are further behind get
  /// a snapshot.
  static constexpr std::size_t kMaxRemoved = 1'024;

  explicit target_changes(std::string aEpoch)
    : mEpoch(std::move(aEpoch))
  {
  }

  /// Notes a record; one that changes nothing is no change.
  /// @param aRepeatWanted Passes on a record that changes nothing as well.
  void Update(const target_entry& aTarget,
              std::uint64_t aOffset,
              bool aRepeatWanted);
  void Remove(const std::string& aId, std::uint64_t aOffset);
  /// Sets the offset from which on all changes have been noted, when a first
  /// view is complete.
  void SetHistoryFrom(std::uint64_t aOffset);
  [[nodiscard]] change_page After(const feed_cursor& aCursor) const;
  /// @return Whether `After` would return changes or a snapshot.
  [[nodiscard]] bool Has(const feed_cursor& aCursor) const;
  /// @return The number of changes so far.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return mSequence; }

private:
  struct known_target
  {
    std::uint64_t sequence = 0;
    target_change change;
    mutable std::string text; ///< Encoded when it is first needed.
  };

  void Note(target_change aChange);
  /// @return The cursor in this process's sequence, or nothing if a snapshot is
  /// needed.
  [[nodiscard]] std::optional<feed_cursor> Resolve(
    const feed_cursor& aCursor) const;

  std::string mEpoch;
  std::uint64_t mSequence = 0;
  /// Removals up to this sequence are forgotten.
  std::uint64_t mFloor = 0;
  /// Changes before this offset aren't all known.
  std::optional<std::uint64_t> mHistoryFrom;
  std::size_t mRemoved = 0;
  std::map<std::string, known_target> mTargets; ///< By id.
  std::map<std::uint64_t, std::string> mOrder;  ///< Id by sequence.
};

} // namespace arbutusferry::node
