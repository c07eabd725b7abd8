#include "arbutusferry/node/platform_duties.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Delay after a window's end before its counts are persisted: nodes save their
/// counts every half second, and clocks differ slightly.
constexpr milliseconds kSettleTime{ 3'500 };
/// Number of overdue windows that are still reported.
constexpr std::int64_t kMaxLateWindows = 4;
/// Delay before repeating an order that failed or got no targets.
constexpr milliseconds kOrderRetryDelay{ 2'000 };
/// Time beyond the boot time after which missing targets are ordered again.
constexpr milliseconds kMissingTargetMargin{ 6'000 };

} // namespace

usage_reporter::usage_reporter(
  parts aParts,
  const std::map<std::int64_t, std::string>& aPersisted)
  : mParts(std::move(aParts))
{
  for (const auto& [window, text] : aPersisted) {
    if (auto counts = DecodeCounts(text)) {
      mReports[window] = { std::move(*counts), true };
    }
  }
}

void
usage_reporter::Tick()
{
  if (!mParts.mayAct()) {
    return;
  }
  const std::int64_t length = mParts.window.count();
  const std::int64_t last =
    (mParts.loop.UnixMilliseconds() - kSettleTime.count()) / length - 1;
  // The wall clock may jump back to windows that were forgotten.
  mFirstWindow = std::max(mFirstWindow,
                          last - mParts.due.count() / length - kMaxLateWindows);
  const std::int64_t first = mFirstWindow;
  for (std::int64_t window = first; window <= last; ++window) {
    report& entry = mReports[window];
    if (entry.done || entry.inProgress) {
      continue;
    }
    entry.inProgress = true;
    if (entry.persisted) {
      Send(window);
      continue;
    }
    entry.counts = mTotals.Total(window);
    mParts.persist(window,
                   entry.counts,
                   [this, window, alive = std::weak_ptr<bool>(mAlive)] {
                     if (!alive.expired()) {
                       mReports[window].persisted = true;
                       Send(window);
                     }
                   });
  }
  mReports.erase(mReports.begin(), mReports.lower_bound(first));
  mTotals.ExpireBefore(first);
}

void
usage_reporter::Send(std::int64_t aWindow)
{
  mParts.client.ReportUsage(
    aWindow,
    mReports[aWindow].counts,
    mParts.fence,
    [this, aWindow, alive = std::weak_ptr<bool>(mAlive)](duty_status aStatus) {
      if (alive.expired()) {
        return;
      }
      report& entry = mReports[aWindow];
      entry.inProgress = false;
      entry.done = aStatus == duty_status::Done;
      std::int64_t total = 0;
      for (const auto& [team, count] : entry.counts) {
        total += count;
      }
      Log(log_level::Info,
          "usage_reported",
          { { "window", std::to_string(aWindow) },
            { "requests", std::to_string(total) },
            { "fence", std::to_string(mParts.fence) },
            { "outcome", entry.done ? "done" : "not_done" } });
      if (aStatus == duty_status::Conflict) {
        entry.done = true;
        mParts.superseded();
      }
    });
}

std::vector<scale_plan::order>
scale_plan::Due(const environment_view& aEnvironment,
                const target_view& aTargets,
                const std::vector<std::string>& aZones,
                time_point aNow)
{
  std::vector<order> due;
  for (const service_entry& service : aEnvironment.Services()) {
    if (!service.scaling) {
      continue;
    }
    for (const std::string& zone : aZones) {
      const auto present = std::count_if(
        aTargets.All().begin(), aTargets.All().end(), [&](const auto& aEntry) {
          const target_view::known_target& known = aEntry.second;
          return known.entry.service == service.name &&
                 known.entry.zone == zone && !known.entry.draining &&
                 !known.removedSince && !known.entry.reclaimable;
        });
      state& entry = mStates[{ service.name, zone }];
      const int wanted = service.scaling->maximum;
      if (entry.inProgress || aNow < entry.notBefore ||
          (entry.ordered == wanted && present >= wanted)) {
        continue;
      }
      entry.inProgress = true;
      entry.notBefore = aNow + service.scaling->boot + kMissingTargetMargin;
      due.push_back({ service.name, zone, wanted });
    }
  }
  return due;
}

void
scale_plan::Note(const order& aOrder, duty_status aStatus, time_point aNow)
{
  state& entry = mStates[{ aOrder.service, aOrder.zone }];
  entry.inProgress = false;
  if (aStatus == duty_status::Done) {
    entry.ordered = aOrder.count;
  } else {
    entry.notBefore = aNow + kOrderRetryDelay;
  }
}

} // namespace arbutusferry::node
