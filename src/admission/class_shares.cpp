#include "admission/class_shares.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::node {

namespace {

using seconds_double = std::chrono::duration<double>;

/// Time constant of the counts of offered requests: at 11 requests/s per node
/// some 20 requests, enough to tell the classes' proportions.
constexpr double kCountSeconds = 2;
/// Classes without requests for so long are forgotten.
constexpr std::chrono::seconds kForgetAfter{ 10 };
/// Classes above this number share the entry of an unnamed team.
constexpr std::size_t kMaxClasses = 256;
/// Share of its requests that a class may send in any case, so that a low
/// priority is not starved.
constexpr double kMinFraction = 0.01;
/// Rights that a class may keep for requests that arrive unevenly.
constexpr double kMaxCredit = 1.5;

} // namespace

double
class_shares::Offered(const usage& aUsage, time_point aNow)
{
  return aUsage.offered *
         std::exp(-seconds_double(aNow - aUsage.counted).count() /
                  kCountSeconds);
}

void
class_shares::NoteOffered(const request_class& aClass,
                          double aShare,
                          time_point aNow)
{
  auto found = mClasses.find(aClass);
  if (found == mClasses.end()) {
    std::erase_if(mClasses, [&](const auto& aEntry) {
      return aNow - aEntry.second.counted >= kForgetAfter;
    });
    found = mClasses
              .try_emplace(mClasses.size() < kMaxClasses
                             ? aClass
                             : request_class{ aClass.first, std::string() })
              .first;
  }
  usage& counted = found->second;
  counted.offered = Offered(counted, aNow) + 1;
  counted.counted = aNow;
  if (aShare < 1) {
    Divide(aShare, aNow);
  } else {
    counted.fraction = 1;
  }
  counted.credit = std::min(kMaxCredit, counted.credit + counted.fraction);
}

void
class_shares::Divide(double aShare, time_point aNow)
{
  double left = 0;
  for (const auto& [name, entry] : mClasses) {
    left += aShare * Offered(entry, aNow);
  }
  // Classes are sorted by priority; each priority takes what it needs.
  for (auto first = mClasses.begin(); first != mClasses.end();) {
    std::vector<std::pair<double, usage*>> teams;
    auto last = first;
    for (; last != mClasses.end() && last->first.first == first->first.first;
         ++last) {
      teams.emplace_back(Offered(last->second, aNow), &last->second);
    }
    first = last;
    std::sort(teams.begin(), teams.end());
    for (std::size_t index = 0; index < teams.size(); ++index) {
      auto& [offered, entry] = teams[index];
      const double fair = left / static_cast<double>(teams.size() - index);
      const double granted = std::min(offered, fair);
      left -= granted;
      entry->fraction =
        offered > 0 ? std::max(kMinFraction, granted / offered) : 1;
    }
  }
}

bool
class_shares::TryTake(const request_class& aClass, double aOverdraft)
{
  auto found = mClasses.find(aClass);
  if (found == mClasses.end()) {
    found = mClasses.find({ aClass.first, std::string() });
  }
  if (found == mClasses.end()) {
    return true;
  }
  if (found->second.credit < 1 - aOverdraft) {
    return false;
  }
  found->second.credit -= 1;
  return true;
}

duration
class_shares::TimeToEarn(const request_class& aClass,
                         double aRequests,
                         time_point aNow) const
{
  const auto found = mClasses.find(aClass);
  if (found == mClasses.end()) {
    return duration::max();
  }
  const double lacking = aRequests - found->second.credit;
  if (lacking <= 0) {
    return duration::zero();
  }
  const double perSecond =
    found->second.fraction * Offered(found->second, aNow) / kCountSeconds;
  return lacking / perSecond > 3'600 ? duration::max()
                                     : std::chrono::duration_cast<duration>(
                                         seconds_double(lacking / perSecond));
}

double
class_shares::OfferedPerSecond(time_point aNow) const
{
  double offered = 0;
  for (const auto& [name, entry] : mClasses) {
    offered += Offered(entry, aNow);
  }
  return offered / kCountSeconds;
}

} // namespace arbutusferry::node
