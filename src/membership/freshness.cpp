#include "arbutusferry/freshness.hpp"

#include <algorithm>

namespace arbutusferry {

void
view_freshness::CompleteAsOf(time_point aTime)
{
  if (!mCompleteAsOf || *mCompleteAsOf < aTime) {
    mCompleteAsOf = aTime;
  }
}

void
view_freshness::OnLogRead(time_point aSent)
{
  CompleteAsOf(aSent);
}

void
view_freshness::OnPeerAnswer(time_point aSent,
                             duration aHeld,
                             std::optional<duration> aAge)
{
  if (aAge) {
    CompleteAsOf(aSent + std::max(aHeld, duration::zero()) - *aAge);
  }
}

std::optional<duration>
view_freshness::Age(time_point aNow) const
{
  if (!mCompleteAsOf) {
    return std::nullopt;
  }
  return std::max(aNow - *mCompleteAsOf, duration::zero());
}

bool
view_freshness::MayAcceptKeys(time_point aNow, duration aBound) const
{
  const auto age = Age(aNow);
  return age && *age <= aBound;
}

void
isolation_view::OnReport(const isolation_report& aReport, time_point aReference)
{
  const time_point at = aReference - aReport.age;
  for (const std::string& member : aReport.members) {
    statement& known = mStatements[member];
    if (known.at < at) {
      known = { at, aReport.offset };
    }
  }
}

std::optional<time_point>
isolation_view::CompleteAsOf(const std::vector<std::string>& aMembers,
                             log_offset aOffset) const
{
  std::optional<time_point> oldest;
  for (const std::string& member : aMembers) {
    const auto found = mStatements.find(member);
    if (found == mStatements.end() || found->second.offset > aOffset) {
      return std::nullopt;
    }
    oldest = oldest ? std::min(*oldest, found->second.at) : found->second.at;
  }
  return oldest;
}

isolation_report
isolation_view::Summarize(const std::vector<std::string>& aMembers,
                          time_point aNow) const
{
  isolation_report report;
  for (const std::string& member : aMembers) {
    const auto found = mStatements.find(member);
    if (found == mStatements.end()) {
      continue;
    }
    report.members.push_back(member);
    report.offset = std::max(report.offset, found->second.offset);
    report.age = std::max(report.age, aNow - found->second.at);
  }
  return report;
}

} // namespace arbutusferry
