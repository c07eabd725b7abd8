#include "arbutusferry/usage.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/message_json.hpp"
#include "environment/json_support.hpp"

#include <algorithm>
#include <limits>

namespace arbutusferry {

namespace {

/// Closed windows are kept until a window is closed that starts this much
/// later. That is after `kUsageCarryTime` for every length of window, and it
/// depends on the log only, so that all processes forget at the same record.
constexpr std::int64_t kKeepSeconds =
  std::chrono::seconds(kUsageCarryTime + std::chrono::hours(6)).count();
constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();

void
MergeMaximum(usage_figures& aInto, const usage_figures& aFrom)
{
  aInto.requests = std::max(aInto.requests, aFrom.requests);
  aInto.promptTokens = std::max(aInto.promptTokens, aFrom.promptTokens);
  aInto.generatedTokens =
    std::max(aInto.generatedTokens, aFrom.generatedTokens);
}

void
AddFigures(usage_figures& aInto, const usage_figures& aFrom)
{
  aInto.requests += aFrom.requests;
  aInto.promptTokens += aFrom.promptTokens;
  aInto.generatedTokens += aFrom.generatedTokens;
}

/// @return What `aWhole` has more than `aPart`, at least 0.
usage_figures
Remainder(const usage_figures& aWhole, const usage_figures& aPart)
{
  return { std::max<std::int64_t>(0, aWhole.requests - aPart.requests),
           std::max<std::int64_t>(0, aWhole.promptTokens - aPart.promptTokens),
           std::max<std::int64_t>(
             0, aWhole.generatedTokens - aPart.generatedTokens) };
}

bool
Within(const usage_figures& aPart, const usage_figures& aWhole)
{
  return aPart.requests <= aWhole.requests &&
         aPart.promptTokens <= aWhole.promptTokens &&
         aPart.generatedTokens <= aWhole.generatedTokens;
}

usage_figures
Figures(const usage_counter& aCounter)
{
  return { aCounter.requests, aCounter.promptTokens, aCounter.generatedTokens };
}

usage_figures
Figures(const usage_line& aLine)
{
  return { aLine.requests, aLine.promptTokens, aLine.generatedTokens };
}

usage_line
MakeLine(const std::string& aTenant,
         const usage_figures& aFigures,
         unix_seconds aCarriedFrom)
{
  return { aTenant,
           aFigures.requests,
           aFigures.promptTokens,
           aFigures.generatedTokens,
           aCarriedFrom };
}

} // namespace

void
usage_counter_set::Add(const std::string& aTenant,
                       unix_seconds aWindow,
                       const std::string& aInstance,
                       const usage_figures& aFigures)
{
  AddFigures(mCounters[{ aWindow, aTenant, aInstance }].figures, aFigures);
}

void
usage_counter_set::Merge(const usage_counter& aCounter)
{
  MergeMaximum(
    mCounters[{ aCounter.window, aCounter.tenant, aCounter.instance }].figures,
    Figures(aCounter));
}

std::vector<usage_counter>
usage_counter_set::Changed() const
{
  std::vector<usage_counter> changed;
  for (const auto& [key, value] : mCounters) {
    if (!Within(value.figures, value.acknowledged)) {
      changed.push_back({ std::get<1>(key),
                          std::get<0>(key),
                          std::get<2>(key),
                          value.figures.requests,
                          value.figures.promptTokens,
                          value.figures.generatedTokens });
    }
  }
  return changed;
}

void
usage_counter_set::Acknowledge(const std::vector<usage_counter>& aCounters)
{
  for (const usage_counter& counter : aCounters) {
    const auto found =
      mCounters.find({ counter.window, counter.tenant, counter.instance });
    if (found != mCounters.end()) {
      MergeMaximum(found->second.acknowledged, Figures(counter));
    }
  }
}

std::size_t
usage_counter_set::Forget(unix_seconds aBefore)
{
  std::size_t dropped = 0;
  auto item = mCounters.begin();
  while (item != mCounters.end() && std::get<0>(item->first) < aBefore) {
    dropped += Within(item->second.figures, item->second.acknowledged) ? 0 : 1;
    item = mCounters.erase(item);
  }
  return dropped;
}

std::uint32_t
usage_ledger::InstanceIndex(const std::string& aInstance)
{
  return mInstances
    .try_emplace(aInstance, static_cast<std::uint32_t>(mInstances.size()))
    .first->second;
}

void
usage_ledger::MergeCell(const usage_counter& aCounter)
{
  const cell_key key{ aCounter.tenant, InstanceIndex(aCounter.instance) };
  MergeMaximum(mWindows[aCounter.window][key], Figures(aCounter));
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
    if (!seen.emplace(line.tenant, line.carriedFrom).second) {
      return false;
    }
    const bool carried = line.carriedFrom >= 0;
    if (carried &&
        (line.carriedFrom >= window || mFinals.count(line.carriedFrom) == 0 ||
         !Within(Figures(line), Unbilled(line.carriedFrom, line.tenant)))) {
      return false;
    }
  }
  for (const usage_line& line : aClosed.report.lines) {
    const unix_seconds from = line.carriedFrom >= 0 ? line.carriedFrom : window;
    AddFigures(mBilled[from][line.tenant], Figures(line));
  }
  mFinals[window] = aClosed.report;
  mWindows[window];
  Forget();
  return true;
}

/// Forgets closed windows that are too old to be carried from.
void
usage_ledger::Forget()
{
  const unix_seconds before = mFinals.rbegin()->first - kKeepSeconds;
  mForgottenBefore = std::max(mForgottenBefore, before);
  auto item = mFinals.begin();
  while (item->first < mForgottenBefore) {
    mWindows.erase(item->first);
    mBilled.erase(item->first);
    item = mFinals.erase(item);
  }
  // Instances that no window refers to any more are dropped once they are the
  // greater part.
  std::set<std::uint32_t> used;
  for (const auto& window : mWindows) {
    for (const auto& cell : window.second) {
      used.insert(cell.first.second);
    }
  }
  if (mInstances.size() <= 2 * used.size() + 16) {
    return;
  }
  std::map<std::string, std::uint32_t> kept;
  std::map<std::uint32_t, std::uint32_t> renamed;
  for (const auto& [name, index] : mInstances) {
    if (used.count(index) != 0) {
      const auto next = static_cast<std::uint32_t>(kept.size());
      kept[name] = next;
      renamed[index] = next;
    }
  }
  for (auto& window : mWindows) {
    window_cells cells;
    for (const auto& [key, figures] : window.second) {
      cells[{ key.first, renamed[key.second] }] = figures;
    }
    window.second = std::move(cells);
  }
  mInstances = std::move(kept);
}

usage_figures
usage_ledger::Total(unix_seconds aWindow, const std::string& aTenant) const
{
  usage_figures total;
  const auto window = mWindows.find(aWindow);
  if (window == mWindows.end()) {
    return total;
  }
  for (auto cell = window->second.lower_bound({ aTenant, 0 });
       cell != window->second.end() && cell->first.first == aTenant;
       ++cell) {
    AddFigures(total, cell->second);
  }
  return total;
}

usage_figures
usage_ledger::Unbilled(unix_seconds aWindow, const std::string& aTenant) const
{
  const usage_figures total = Total(aWindow, aTenant);
  const auto window = mBilled.find(aWindow);
  if (window == mBilled.end()) {
    return total;
  }
  const auto billed = window->second.find(aTenant);
  return billed == window->second.end() ? total
                                        : Remainder(total, billed->second);
}

std::set<std::string>
usage_ledger::Tenants(unix_seconds aWindow) const
{
  std::set<std::string> tenants;
  const auto window = mWindows.find(aWindow);
  if (window != mWindows.end()) {
    for (const auto& cell : window->second) {
      tenants.insert(cell.first.first);
    }
  }
  return tenants;
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
      WindowStart(std::max(known, aNow - kKeepSeconds), aRules.window);
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
  std::set<std::string> tenants = Tenants(*window);
  tenants.insert(aRules.tenants.begin(), aRules.tenants.end());
  for (const std::string& tenant : tenants) {
    report.lines.push_back(MakeLine(tenant, Total(*window, tenant), -1));
  }
  for (const auto& final : mFinals) {
    if (final.first >= *window) {
      break;
    }
    for (const std::string& tenant : Tenants(final.first)) {
      const usage_figures late = Unbilled(final.first, tenant);
      if (late != usage_figures{}) {
        report.lines.push_back(MakeLine(tenant, late, final.first));
      }
    }
  }
  return report;
}

Json::Value
usage_ledger::Save() const
{
  // Counters are rows of [tenant, instance, requests, prompt tokens, generated
  // tokens]: with names of fields the state would be three times as large.
  std::map<std::uint32_t, std::string> names;
  for (const auto& [name, index] : mInstances) {
    names[index] = name;
  }
  Json::Value state(Json::objectValue);
  state["forgotten_before"] = Whole(mForgottenBefore);
  state["dropped"] = Whole(mDropped);
  state["windows"] = Json::Value(Json::arrayValue);
  for (const auto& [window, cells] : mWindows) {
    Json::Value item(Json::objectValue);
    item["window"] = Whole(window);
    item["rows"] = Json::Value(Json::arrayValue);
    // Sorted by name, because the indices depend on the history of a process.
    std::map<std::pair<std::string, std::string>, usage_figures> rows;
    for (const auto& [key, figures] : cells) {
      rows[{ key.first, names[key.second] }] = figures;
    }
    for (const auto& [key, figures] : rows) {
      Json::Value row(Json::arrayValue);
      row.append(key.first);
      row.append(key.second);
      row.append(Whole(figures.requests));
      row.append(Whole(figures.promptTokens));
      row.append(Whole(figures.generatedTokens));
      item["rows"].append(row);
    }
    state["windows"].append(item);
  }
  state["finals"] = Json::Value(Json::arrayValue);
  for (const auto& final : mFinals) {
    state["finals"].append(WriteUsageReport(final.second));
  }
  return state;
}

result<void>
usage_ledger::Restore(const Json::Value& aState)
{
  object_reader reader(aState, "saved usage");
  usage_ledger ledger;
  ledger.mForgottenBefore = reader.Integer("forgotten_before", kMax * -1, kMax);
  ledger.mDropped = reader.Integer("dropped", 0, kMax);
  const auto read = [&](const Json::Value& aItem,
                        const std::string& aPath) -> result<unix_seconds> {
    object_reader item(aItem, "saved usage", aPath);
    const unix_seconds window = item.Integer("window", 0, kMax);
    ledger.mWindows[window];
    for (const Json::Value& row : item.Array("rows")) {
      if (!row.isArray() || row.size() != 5 || !row[0].isString() ||
          !row[1].isString() || !row[2].isInt64() || !row[3].isInt64() ||
          !row[4].isInt64()) {
        item.Fail("rows", "expected rows of tenant, instance and 3 integers");
        break;
      }
      ledger.MergeCell({ row[0].asString(),
                         window,
                         row[1].asString(),
                         row[2].asInt64(),
                         row[3].asInt64(),
                         row[4].asInt64() });
    }
    ARBUTUSFERRY_CHECK(item.Finish());
    return window;
  };
  ARBUTUSFERRY_CHECK(ReadList(reader, "windows", read));
  BOOST_LEAF_AUTO(finals,
                  ReadList(reader,
                           "finals",
                           [](const Json::Value& aItem, const std::string&) {
                             return ReadUsageReport(aItem, "saved usage");
                           }));
  ARBUTUSFERRY_CHECK(reader.Finish());
  for (const usage_report& report : finals) {
    ledger.mFinals[report.window] = report;
    for (const usage_line& line : report.lines) {
      const unix_seconds from =
        line.carriedFrom >= 0 ? line.carriedFrom : report.window;
      AddFigures(ledger.mBilled[from][line.tenant], Figures(line));
    }
  }
  *this = std::move(ledger);
  return {};
}

} // namespace arbutusferry
