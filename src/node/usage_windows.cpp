#include "arbutusferry/node/usage_windows.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/node/http_message.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Windows in a record; more than elapse before a window is reported.
constexpr std::size_t kKeptWindows = 8;

Json::Value
CountsToJson(const team_counts& aCounts)
{
  Json::Value value(Json::objectValue);
  for (const auto& [team, count] : aCounts) {
    value[team] = Json::Int64(count);
  }
  return value;
}

std::optional<team_counts>
ParseCounts(const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    return std::nullopt;
  }
  team_counts counts;
  for (const std::string& team : aValue.getMemberNames()) {
    if (!aValue[team].isInt64()) {
      return std::nullopt;
    }
    counts[team] = aValue[team].asInt64();
  }
  return counts;
}

std::optional<Json::Value>
ParseObject(const std::string& aText)
{
  const auto parsed = Capture([&] { return ParseJson(aText, "usage"); });
  const auto* value = std::get_if<Json::Value>(&parsed);
  return value && value->isObject() ? std::optional(*value) : std::nullopt;
}

} // namespace

std::string
EncodeCounts(const team_counts& aCounts)
{
  return WriteJson(CountsToJson(aCounts));
}

std::optional<team_counts>
DecodeCounts(const std::string& aText)
{
  const auto value = ParseObject(aText);
  return value ? ParseCounts(*value) : std::nullopt;
}

std::string
EncodeUsage(const window_counts& aWindows)
{
  Json::Value value(Json::objectValue);
  for (const auto& [window, counts] : aWindows) {
    value[std::to_string(window)] = CountsToJson(counts);
  }
  return WriteJson(value);
}

std::optional<window_counts>
DecodeUsage(const std::string& aText)
{
  const auto value = ParseObject(aText);
  if (!value) {
    return std::nullopt;
  }
  window_counts windows;
  for (const std::string& name : value->getMemberNames()) {
    const auto window = ParseInteger(name);
    auto counts = ParseCounts((*value)[name]);
    if (!window || !counts) {
      return std::nullopt;
    }
    windows[*window] = std::move(*counts);
  }
  return windows;
}

void
usage_meter::Count(const std::string& aTeam, std::int64_t aUnixMilliseconds)
{
  ++mWindows[aUnixMilliseconds / mWindowMilliseconds][aTeam];
  while (mWindows.size() > kKeptWindows) {
    mWindows.erase(mWindows.begin());
  }
  mChanged = true;
}

const window_counts&
usage_meter::Snapshot()
{
  mChanged = false;
  return mWindows;
}

void
usage_totals::Add(const std::string& aProcess, const window_counts& aWindows)
{
  for (const auto& [window, counts] : aWindows) {
    team_counts& processCounts = mWindows[window][aProcess];
    // Counts only grow, so an older record doesn't lower them.
    for (const auto& [team, count] : counts) {
      std::int64_t& value = processCounts[team];
      value = std::max(value, count);
    }
  }
}

team_counts
usage_totals::Total(std::int64_t aWindow) const
{
  team_counts total;
  const auto found = mWindows.find(aWindow);
  if (found == mWindows.end()) {
    return total;
  }
  for (const auto& [process, counts] : found->second) {
    for (const auto& [team, count] : counts) {
      total[team] += count;
    }
  }
  return total;
}

void
usage_totals::ExpireBefore(std::int64_t aWindow)
{
  mWindows.erase(mWindows.begin(), mWindows.lower_bound(aWindow));
}

} // namespace arbutusferry::node
