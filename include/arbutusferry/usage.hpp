#pragma once

#include "arbutusferry/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry {

/// Billable amounts.
struct usage_figures
{
  std::int64_t requests = 0;
  std::int64_t promptTokens = 0;
  std::int64_t generatedTokens = 0;

  bool operator==(const usage_figures&) const = default;
};

/// Cumulative counters merged by maximum, so that duplicated, late and
/// reordered messages cannot change the result. Used by the entry process, its
/// control process and the relay. Not thread-safe.
class usage_counter_set
{
public:
  /// Adds an amount to a counter of this process.
  void Add(const std::string& aTeam,
           unix_seconds aWindow,
           const std::string& aInstance,
           const usage_figures& aFigures);

  /// Merges a counter of a peer by maximum.
  void Merge(const usage_counter& aCounter);

  /// @return Counters that grew since they were last acknowledged.
  [[nodiscard]] std::vector<usage_counter> Changed() const;

  /// Marks figures as received by a peer or written to the log.
  void Acknowledge(const std::vector<usage_counter>& aCounters);

  /// Drops the counters of windows that start before a time.
  /// @return Number of dropped counters that were not acknowledged, for the
  /// metric `usage_late_dropped`.
  std::size_t Forget(unix_seconds aBefore);

  [[nodiscard]] std::size_t Size() const noexcept { return mCounters.size(); }

private:
  struct counter
  {
    usage_figures figures;
    usage_figures acknowledged;
  };
  /// Window, team and instance.
  using counter_key = std::tuple<unix_seconds, std::string, std::string>;

  std::map<counter_key, counter> mCounters;
};

/// @return Start of the window that contains a time.
[[nodiscard]] constexpr unix_seconds
WindowStart(unix_seconds aTime, std::chrono::seconds aWindow) noexcept
{
  return aTime - aTime % aWindow.count();
}

/// Time after the end of a window during which late counters are accepted.
inline constexpr std::chrono::hours kUsageCarryTime{ 24 };

/// Conditions for closing a window.
struct usage_close_rules
{
  std::chrono::seconds window{ 3600 };
  std::chrono::seconds grace{ 30 };
  std::vector<std::string> teams; ///< Teams reported even without usage.
};

/// State folded from the usage records of the log. All processes that read the
/// same records compute the same figures, whichever process closes a window.
class usage_ledger
{
public:
  /// Merges the counters of a batch.
  void Apply(const usage_batch& aBatch);

  /// Applies a closing record. The first valid record of a window is final. A
  /// record is invalid if the window is closed or discarded, if a line occurs
  /// twice, or if it carries over more than the unbilled usage: two processes
  /// that close different windows could otherwise both carry over the same late
  /// counters.
  /// @return True if the record is the final one of its window.
  bool Apply(const usage_closed& aClosed);

  /// @return The report of the oldest window that is due and not closed, with
  /// late counters of earlier windows in lines of their own. Its fencing token
  /// is not set.
  [[nodiscard]] std::optional<usage_report> PlanClosing(
    const usage_close_rules& aRules,
    unix_seconds aNow) const;

  /// @return The final reports that are still kept, by window.
  [[nodiscard]] const std::map<unix_seconds, usage_report>& Finals()
    const noexcept
  {
    return mFinals;
  }

  /// @return Figures of a team and window that no report contains yet.
  [[nodiscard]] usage_figures Unbilled(unix_seconds aWindow,
                                       const std::string& aTeam) const;

  /// @return Number of counters that arrived after their window was discarded.
  [[nodiscard]] std::int64_t DroppedCount() const noexcept { return mDropped; }

  /// @return The state as JSON, for checkpoints. The counters of a window are
  /// one base64url text of variable-length integers: as JSON values they would
  /// need more memory than a control process may use.
  [[nodiscard]] Json::Value Save() const;

  /// Replaces the state by a saved one.
  [[nodiscard]] result<void> Restore(const Json::Value& aState);

private:
  /// Figures of one team at one entry instance. With 330 entry processes, 8
  /// teams and 31 hourly windows there are 82,000 of them, so they are kept in
  /// flat arrays with indices for names.
  struct cell
  {
    std::uint32_t team = 0;     ///< Index in `mTeams`.
    std::uint32_t instance = 0; ///< Index in `mInstances`.
    usage_figures figures;
  };
  /// Sorted by team and instance.
  using window_cells = std::vector<cell>;

  /// Names and their indices in order of first use.
  struct name_table
  {
    std::map<std::string, std::uint32_t> indices;
    std::vector<std::string> names;

    std::uint32_t Index(const std::string& aName);
  };

  void MergeCell(const usage_counter& aCounter);
  [[nodiscard]] std::string EncodeCells(
    const window_cells& aCells,
    const std::vector<std::uint32_t>& aTeamRanks,
    const std::vector<std::uint32_t>& aInstanceRanks) const;
  [[nodiscard]] bool DecodeCells(unix_seconds aWindow,
                                 const std::string& aText,
                                 const std::vector<std::string>& aTeams,
                                 const std::vector<std::string>& aInstances);
  void DropUnusedInstances();
  [[nodiscard]] usage_figures Total(unix_seconds aWindow,
                                    const std::string& aTeam) const;
  [[nodiscard]] std::set<std::string> Teams(unix_seconds aWindow) const;
  [[nodiscard]] std::optional<unix_seconds> OldestDue(
    const usage_close_rules& aRules,
    unix_seconds aNow) const;
  void Forget();

  name_table mTeams;
  name_table mInstances;
  std::map<unix_seconds, window_cells> mWindows;
  std::map<unix_seconds, std::map<std::string, usage_figures>> mBilled;
  std::map<unix_seconds, usage_report> mFinals;
  unix_seconds mForgottenBefore = 0;
  std::int64_t mDropped = 0;
};

} // namespace arbutusferry
