#pragma once

#include "arbutusferry/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// A target's process ended while it ran a request.
struct crash_report
{
  std::string fingerprint; ///< Of the request.
  std::string target;
  std::int64_t bornUnixMs = 0; ///< Start of the process that ended.
  /// The reporting node had served the request before, so it may only have run
  /// beside the one that made the target end.
  bool servedBefore = false;
};

/// @return Key of the report among all reports.
[[nodiscard]] std::string
CrashKey(const crash_report& aReport);
[[nodiscard]] std::string
EncodeCrash(const crash_report& aReport);
/// @return The report, or nothing if the text is malformed.
[[nodiscard]] std::optional<crash_report>
DecodeCrash(const std::string& aText);

/// Decides which requests may no longer be sent since targets end under them:
/// after three such targets, or six if the nodes had served the request before.
/// After some time a blocked request may be sent again, and is blocked again by
/// the next target that ends.
class crash_ledger
{
public:
  /// Reports that count at most. Up to three times as many are kept, 3 MB,
  /// until the leader has removed those that ended.
  static constexpr std::size_t kMaxReports = 4'096;

  /// Adds a report of this node or of another one.
  void Add(const crash_report& aReport, time_point aNow);
  void Remove(const std::string& aKey);
  /// Notes that a target's process wrote to the registry: reports that it
  /// ended some time before are wrong.
  void NoteAlive(const std::string& aTarget,
                 std::int64_t aBornUnixMs,
                 time_point aNow);
  /// @return Whether there is a report on a target's end. One that was found
  /// wrong counts here until it is removed from the store: other nodes may have
  /// learned of it later and still wait for the target's next record.
  [[nodiscard]] bool EndReported(const std::string& aTarget) const
  {
    return mKeysByTarget.contains(aTarget);
  }
  /// Drops the reports of a request that a target ran to its end.
  /// @return Their keys.
  [[nodiscard]] std::vector<std::string> NoteServed(
    const std::string& aFingerprint);
  /// @param aUnconfirmed Reports that are not confirmed yet; they count too.
  /// @return How long the request is blocked, or nothing if it isn't.
  [[nodiscard]] std::optional<std::chrono::milliseconds> BlockedFor(
    const std::string& aFingerprint,
    const std::map<std::string, crash_report>& aUnconfirmed,
    time_point aNow) const;
  /// Ends reports that are too old or too many.
  void Expire(time_point aNow);
  /// @return Keys of reports that have ended and have not been removed yet.
  [[nodiscard]] std::vector<std::string> EndedKeys() const;
  [[nodiscard]] std::size_t Size() const noexcept { return mEntries.size(); }
  /// @return The number of blocked requests.
  [[nodiscard]] std::size_t CountBlocked() const;

private:
  struct entry
  {
    crash_report report;
    time_point since;
    bool ended = false; ///< Doesn't count; kept until it is removed.
  };

  [[nodiscard]] int Weight(const std::string& aFingerprint) const;
  /// @return Keys of the reports of a request that count, oldest first.
  [[nodiscard]] std::vector<std::string> Counting(
    const std::string& aFingerprint) const;
  /// Ends the reports that matter least if there are too many.
  void MakeRoom();

  std::map<std::string, entry> mEntries; ///< By key.
  std::size_t mMakeRoomAt = kMaxReports; ///< Number of entries.
  std::map<std::string, std::set<std::string>> mKeysByFingerprint;
  std::map<std::string, std::set<std::string>> mKeysByTarget;
};

} // namespace arbutusferry::node
