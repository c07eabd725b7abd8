#include "admission/target_speeds.hpp"

#include "arbutusferry/hash.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusferry::node {

namespace {

using seconds_double = std::chrono::duration<double>;

/// Weight of a new response time.
constexpr double kSmoothing = 0.3;
/// Targets without responses for so long are forgotten.
constexpr std::chrono::seconds kForgetAfter{ 10 };

} // namespace

void
target_speeds::Note(const std::string& aTarget,
                    duration aTaken,
                    time_point aNow)
{
  auto [found, added] = mSpeeds.try_emplace(aTarget);
  speed& known = found->second;
  const double taken = seconds_double(aTaken).count();
  known.seconds += (added ? 1 : kSmoothing) * (taken - known.seconds);
  known.noted = aNow;
  mMeanSeconds += kSmoothing * (taken - mMeanSeconds);
  if (added) {
    std::erase_if(mSpeeds, [&](const auto& aEntry) {
      return aNow - aEntry.second.noted >= kForgetAfter;
    });
  }
}

double
target_speeds::Rank(const target_entry& aTarget,
                    int aOutstanding,
                    std::uint64_t aSalt) const
{
  const auto found = mSpeeds.find(aTarget.id);
  const double seconds =
    found != mSpeeds.end() ? found->second.seconds : mMeanSeconds;
  const double expected = seconds * (1 + static_cast<double>(aOutstanding) /
                                           std::max(1, aTarget.slots));
  // The smallest of exponential variables with rates 1 / expected^3 is each
  // target's with a probability in proportion to its rate, so nodes with the
  // same view don't all choose the same target.
  const double uniform =
    (static_cast<double>(Hash64(aTarget.id, aSalt) >> 11) + 0.5) * 0x1.0p-53;
  return -std::log(uniform) * expected * expected * expected;
}

} // namespace arbutusferry::node
