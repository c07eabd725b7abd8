#include "placement/run_history.hpp"

#include <chrono>

namespace arbutusferry::node {

namespace {

/// Weight of a new time in the mean: about the last 20 runs decide.
constexpr double kMeanStep = 0.05;

} // namespace

void
run_history::NoteFirstEvent(duration aTime)
{
  const double ms = std::chrono::duration<double, std::milli>(aTime).count();
  mFirstEventMs += kMeanStep * (ms - mFirstEventMs);
}

const length_estimate&
run_history::Lengths(const std::string& aRoute) const
{
  static const length_estimate kUnknown;
  const auto found = mLengths.find(aRoute);
  return found == mLengths.end() ? kUnknown : found->second;
}

} // namespace arbutusferry::node
