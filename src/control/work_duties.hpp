#pragma once

#include "arbutusferry/usage.hpp"
#include "control/duty.hpp"
#include "control/role_keeper.hpp"

namespace arbutusferry {

/// Builds the usage ledger from the usage records of the log.
class usage_log_listener final : public log_listener
{
public:
  void OnRecord(const raw_log_record& aRaw,
                const log_record& aRecord,
                time_point aReadAt) override;
  [[nodiscard]] Json::Value Save() const override { return mLedger.Save(); }
  [[nodiscard]] result<void> Restore(const Json::Value& aState,
                                     time_point aReadAt) override;
  /// Guarded by the lock of the feed that this listens to.
  [[nodiscard]] const usage_ledger& Ledger() const noexcept { return mLedger; }

private:
  usage_ledger mLedger;
};

/// Targets that an operator asked to drain. Thread-safe.
class drain_requests
{
public:
  void Add(const std::string& aTarget, time_point aNow);
  void Remove(const std::string& aTarget);
  /// @return Time of each request, by target.
  [[nodiscard]] std::map<std::string, time_point> List() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, time_point> mTargets;
};

/// Duty of the relay: divides the zone's slots among its entries.
[[nodiscard]] std::unique_ptr<duty>
MakeSlotPlanningDuty(node_state& aState);

/// Duty of the relay: appends the zone's usage counters to the log.
[[nodiscard]] std::unique_ptr<duty>
MakeUsageBatchDuty(node_state& aState, std::shared_ptr<platform_log> aLog);

/// Duty of the holder of `usage`: closes and reports usage windows.
[[nodiscard]] std::unique_ptr<duty>
MakeUsageReportDuty(node_state& aState,
                    std::shared_ptr<role_keeper> aKeeper,
                    std::shared_ptr<usage_log_listener> aFold,
                    const platform_clients& aPlatform);

/// Duty of the holder of `orders/<zone>`: orders, drains and stops targets.
[[nodiscard]] std::unique_ptr<duty>
MakeTargetOrderDuty(node_state& aState,
                    std::shared_ptr<role_keeper> aKeeper,
                    std::shared_ptr<drain_requests> aDrains,
                    const platform_clients& aPlatform);

/// Duty of the holder of `orders/<zone>`: makes the zone's engines load
/// published weights.
[[nodiscard]] std::unique_ptr<duty>
MakeWeightOrderDuty(node_state& aState, std::shared_ptr<role_keeper> aKeeper);

} // namespace arbutusferry
