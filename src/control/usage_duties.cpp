#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"
#include "control/work_duties.hpp"

#include <set>

namespace arbutusferry {

namespace {

constexpr std::chrono::seconds kReportInterval{ 1 };

class usage_batches final : public duty
{
public:
  usage_batches(node_state& aState, std::shared_ptr<platform_log> aLog)
    : mState(aState)
    , mLog(std::move(aLog))
  {
  }

  duration Step() override
  {
    // Counters are kept for as long as late ones are accepted.
    const unix_seconds oldest =
      mState.Clock().UnixNow() -
      2 * std::chrono::seconds(kUsageCarryTime).count();
    usage_batch batch;
    batch.zone = mState.Options().zone;
    const bool relay = mState.IsRelay();
    const std::size_t dropped = mState.WithZoneView([&](zone_view& aZoneView) {
      if (relay) {
        batch.counters = aZoneView.UnloggedUsage();
      }
      return aZoneView.DropUsageBefore(oldest);
    });
    if (dropped > 0) {
      mState.Metrics().Count(
        "usage_late_dropped", {}, static_cast<double>(dropped));
    }
    if (batch.counters.empty()) {
      return mState.Options().usageBatchInterval;
    }
    const auto appended = Capture([&] {
      return mLog->Append("usage-" + RandomHex(8), WriteLogRecord(batch));
    });
    if (const auto* failure = std::get_if<error_info>(&appended)) {
      // The counters are appended again with the next batch. Duplicates do no
      // harm, as counters are merged by maximum.
      LogError(log_level::Warning, "usage_batch_failed", *failure);
    } else {
      mState.WithZoneView(
        [&](zone_view& aZoneView) { aZoneView.OnUsageLogged(batch.counters); });
    }
    return mState.Options().usageBatchInterval;
  }

private:
  node_state& mState;
  std::shared_ptr<platform_log> mLog;
};

class usage_reports final : public duty
{
public:
  usage_reports(node_state& aState,
                std::shared_ptr<role_keeper> aKeeper,
                std::shared_ptr<usage_log_listener> aFold,
                const platform_clients& aPlatform)
    : mState(aState)
    , mKeeper(std::move(aKeeper))
    , mFold(std::move(aFold))
    , mPlatform(aPlatform)
  {
  }

  duration Step() override
  {
    if (!mKeeper->Holds(kUsageRole)) {
      // A new holder reports all windows again; the receiver accepts repeated
      // reports with equal figures.
      mReported.clear();
      return kReportInterval;
    }
    std::optional<usage_report> closing;
    std::vector<usage_report> finals;
    mState.WithFeed([&](const config_feed& aFeed) {
      closing = PlanClosing(aFeed);
      for (const auto& [window, report] : mFold->Ledger().Finals()) {
        if (mReported.count(window) == 0) {
          finals.push_back(report);
        }
      }
    });
    if (closing && mKeeper->Holds(kUsageRole)) {
      closing->fencing = mKeeper->FencingToken(kUsageRole);
      const auto appended = Capture([&] {
        return mPlatform.log->Append("usage-closed-" +
                                       std::to_string(closing->window) + "-" +
                                       RandomHex(4),
                                     WriteLogRecord(usage_closed{ *closing }));
      });
      if (const auto* failure = std::get_if<error_info>(&appended)) {
        LogError(log_level::Warning, "usage_close_failed", *failure);
      }
    }
    for (const usage_report& report : finals) {
      if (!Report(report)) {
        break;
      }
    }
    return kReportInterval;
  }

private:
  [[nodiscard]] std::optional<usage_report> PlanClosing(
    const config_feed& aFeed) const
  {
    const stage_config* config =
      aFeed.State().Find(mState.Options().environment, stage::Production);
    if (config == nullptr || !config->document || !aFeed.CaughtUp()) {
      return std::nullopt;
    }
    usage_close_rules rules;
    rules.window = config->document->usageWindow;
    rules.grace = config->document->usageGrace;
    for (const team_config& team : config->document->teams) {
      rules.teams.push_back(team.name);
    }
    return mFold->Ledger().PlanClosing(rules, mState.Clock().UnixNow());
  }

  /// Sends the report of a window. Only figures that were read back from the
  /// log are sent.
  bool Report(usage_report aReport)
  {
    aReport.fencing = mKeeper->FencingToken(kUsageRole);
    const auto sent = Capture([&] {
      return mPlatform.usage->Send(aReport, mKeeper->Check(kUsageRole));
    });
    const auto* failure = std::get_if<error_info>(&sent);
    if (failure == nullptr) {
      mReported.insert(aReport.window);
      return true;
    }
    mState.Metrics().Count("usage_report_failures", {});
    LogError(log_level::Warning, "usage_report_failed", *failure);
    return false;
  }

  node_state& mState;
  std::shared_ptr<role_keeper> mKeeper;
  std::shared_ptr<usage_log_listener> mFold;
  platform_clients mPlatform;
  std::set<unix_seconds> mReported;
};

} // namespace

void
usage_log_listener::OnRecord(const raw_log_record&,
                             const log_record& aRecord,
                             time_point)
{
  if (const auto* batch = std::get_if<usage_batch>(&aRecord)) {
    mLedger.Apply(*batch);
  } else if (const auto* closed = std::get_if<usage_closed>(&aRecord)) {
    mLedger.Apply(*closed);
  }
}

result<void>
usage_log_listener::Restore(const Json::Value& aState, time_point)
{
  return mLedger.Restore(aState);
}

std::unique_ptr<duty>
MakeUsageBatchDuty(node_state& aState, std::shared_ptr<platform_log> aLog)
{
  return std::make_unique<usage_batches>(aState, std::move(aLog));
}

std::unique_ptr<duty>
MakeUsageReportDuty(node_state& aState,
                    std::shared_ptr<role_keeper> aKeeper,
                    std::shared_ptr<usage_log_listener> aFold,
                    const platform_clients& aPlatform)
{
  return std::make_unique<usage_reports>(
    aState, std::move(aKeeper), std::move(aFold), aPlatform);
}

} // namespace arbutusferry
