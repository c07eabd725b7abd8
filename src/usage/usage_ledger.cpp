#include "arbutusferry/usage.hpp"

#include "usage/usage_figures.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

/// Closed windows are kept until a window is closed that starts this much
/// later. This is longer than `kUsageCarryTime` for every window length, and
/// depends on the log only, so that all processes discard a window at the same
/// record.
constexpr std::int64_t kRetentionSeconds =
  std::chrono::seconds(kUsageCarryTime + std::chrono::hours(6)).count();

constexpr auto kCellLess = [](const auto& aLeft, const auto& aRight) {
  return std::make_pair(aLeft.team, aLeft.instance) <
         std::make_pair(aRight.team, aRight.instance);
};

} // namespace

std::uint32_t
usage_ledger::name_table::Index(const std::string& aName)
{
  const auto [found, inserted] =
    indices.try_emplace(aName, static_cast<std::uint32_t>(names.size()));
  if (inserted) {
    names.push_back(aName);
  }
  return found->second;
}

void
usage_ledger::MergeCell(const usage_counter& aCounter)
{
  window_cells& cells = mWindows[aCounter.window];
  const cell added{ mTeams.Index(aCounter.team),
                    mInstances.Index(aCounter.instance),
                    Figures(aCounter) };
  const auto found =
    std::lower_bound(cells.begin(), cells.end(), added, kCellLess);
  if (found == cells.end() || kCellLess(added, *found)) {
    cells.insert(found, added);
  } else {
    MergeMaximum(found->figures, added.figures);
  }
}

void
usage_ledger::Apply(const usage_batch& aBatch)
{
  for (const usage_counter& counter : aBatch.counters) {
    const bool known = mWindows.count(counter.window) != 0;
    if (!known && counter.window < mForgottenBefore) {
      ++mDropped;
    } else {
      MergeCell(counter);
    }
  }
}

bool
usage_ledger::Apply(const usage_closed& aClosed)
{
  const unix_seconds window = aClosed.report.window;
  const bool forgotten =
    window < mForgottenBefore && mWindows.count(window) == 0;
  if (forgotten || mFinals.count(window) != 0) {
    return false;
  }
  std::set<std::pair<std::string, unix_seconds>> seen;
  for (const usage_line& line : aClosed.report.lines) {
    if (!seen.emplace(line.team, line.carriedFrom).second) {
      return false;
    }
    const bool carried = line.carriedFrom >= 0;
    if (carried &&
        (line.carriedFrom >= window || mFinals.count(line.carriedFrom) == 0 ||
         !Within(Figures(line), Unbilled(line.carriedFrom, line.team)))) {
      return false;
    }
  }
  for (const usage_line& line : aClosed.report.lines) {
    const unix_seconds from = line.carriedFrom >= 0 ? line.carriedFrom : window;
    AddFigures(mBilled[from][line.team], Figures(line));
  }
  mFinals[window] = aClosed.report;
  mWindows[window];
  Forget();
  return true;
}

/// Discards closed windows whose late counters can no longer be carried over.
void
usage_ledger::Forget()
{
  const unix_seconds before = mFinals.rbegin()->first - kRetentionSeconds;
  mForgottenBefore = std::max(mForgottenBefore, before);
  auto item = mFinals.begin();
  while (item->first < mForgottenBefore) {
    mWindows.erase(item->first);
    mBilled.erase(item->first);
    item = mFinals.erase(item);
  }
  DropUnusedInstances();
}

/// Drops the names of instances that no window refers to, once they outnumber
/// the others.
void
usage_ledger::DropUnusedInstances()
{
  std::vector<bool> used(mInstances.names.size(), false);
  for (const auto& window : mWindows) {
    for (const cell& item : window.second) {
      used[item.instance] = true;
    }
  }
  const auto count =
    static_cast<std::size_t>(std::count(used.begin(), used.end(), true));
  if (used.size() <= 2 * count + 16) {
    return;
  }
  // Indices keep their order, so the cells stay sorted.
  name_table kept;
  std::vector<std::uint32_t> newIndices(used.size(), 0);
  for (std::size_t i = 0; i < used.size(); ++i) {
    if (used[i]) {
      newIndices[i] = kept.Index(mInstances.names[i]);
    }
  }
  for (auto& window : mWindows) {
    for (cell& item : window.second) {
      item.instance = newIndices[item.instance];
    }
  }
  mInstances = std::move(kept);
}

usage_figures
usage_ledger::Total(unix_seconds aWindow, const std::string& aTeam) const
{
  usage_figures total;
  const auto window = mWindows.find(aWindow);
  if (window == mWindows.end()) {
    return total;
  }
  const auto team = mTeams.indices.find(aTeam);
  if (team == mTeams.indices.end()) {
    return total;
  }
  const window_cells& cells = window->second;
  const cell first{ team->second, 0, {} };
  for (auto item =
         std::lower_bound(cells.begin(), cells.end(), first, kCellLess);
       item != cells.end() && item->team == team->second;
       ++item) {
    AddFigures(total, item->figures);
  }
  return total;
}

usage_figures
usage_ledger::Unbilled(unix_seconds aWindow, const std::string& aTeam) const
{
  const usage_figures total = Total(aWindow, aTeam);
  const auto window = mBilled.find(aWindow);
  if (window == mBilled.end()) {
    return total;
  }
  const auto billed = window->second.find(aTeam);
  return billed == window->second.end() ? total
                                        : Remainder(total, billed->second);
}

std::set<std::string>
usage_ledger::Teams(unix_seconds aWindow) const
{
  std::set<std::string> teams;
  const auto window = mWindows.find(aWindow);
  if (window != mWindows.end()) {
    for (const cell& item : window->second) {
      teams.insert(mTeams.names[item.team]);
    }
  }
  return teams;
}

std::optional<unix_seconds>
usage_ledger::OldestDue(const usage_close_rules& aRules,
                        unix_seconds aNow) const
{
  const std::int64_t length = aRules.window.count();
  const unix_seconds latest = aNow - length - aRules.grace.count();
  std::optional<unix_seconds> oldest;
  const auto consider = [&](unix_seconds aWindow) {
    if (aWindow >= 0 && aWindow <= latest && mFinals.count(aWindow) == 0 &&
        (!oldest || aWindow < *oldest)) {
      oldest = aWindow;
    }
  };
  for (const auto& window : mWindows) {
    consider(window.first);
  }
  // Windows without any usage are reported too, from the first known one on.
  if (!mWindows.empty()) {
    const unix_seconds known = mFinals.empty()
                                 ? mWindows.begin()->first
                                 : mFinals.rbegin()->first + length;
    unix_seconds window =
      WindowStart(std::max(known, aNow - kRetentionSeconds), aRules.window);
    while (window <= latest && (!oldest || window < *oldest)) {
      consider(window);
      window += length;
    }
  }
  return oldest;
}

std::optional<usage_report>
usage_ledger::PlanClosing(const usage_close_rules& aRules,
                          unix_seconds aNow) const
{
  const auto window = OldestDue(aRules, aNow);
  if (!window) {
    return std::nullopt;
  }
  usage_report report;
  report.window = *window;
  std::set<std::string> teams = Teams(*window);
  teams.insert(aRules.teams.begin(), aRules.teams.end());
  for (const std::string& team : teams) {
    report.lines.push_back(MakeLine(team, Total(*window, team), -1));
  }
  for (const auto& final : mFinals) {
    if (final.first >= *window) {
      break;
    }
    for (const std::string& team : Teams(final.first)) {
      const usage_figures late = Unbilled(final.first, team);
      if (late != usage_figures{}) {
        report.lines.push_back(MakeLine(team, late, final.first));
      }
    }
  }
  return report;
}

} // namespace arbutusferry
