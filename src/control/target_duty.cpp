#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/target_planner.hpp"
#include "control/work_duties.hpp"

namespace arbutusferry {

namespace {

constexpr std::chrono::seconds kOrderInterval{ 1 };
/// Time after which every entry has stopped sending new work to a target that
/// an operator drains. The same as the default of `drain_planner`.
constexpr std::chrono::seconds kDrainSettleTime{ 5 };
/// Slots per target assumed for a class until one of its targets is listed.
constexpr std::int64_t kDefaultSlots = 4;

bool
SameContent(const target_order& aLeft, const target_order& aRight)
{
  return aLeft.stop == aRight.stop &&
         std::equal(aLeft.counts.begin(),
                    aLeft.counts.end(),
                    aRight.counts.begin(),
                    aRight.counts.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.targetClass == aOther.targetClass &&
                             aOne.pool == aOther.pool &&
                             aOne.count == aOther.count;
                    });
}

class target_duty final : public duty
{
public:
  target_duty(node_state& aState,
              std::shared_ptr<role_keeper> aKeeper,
              std::shared_ptr<drain_requests> aDrains,
              const platform_clients& aPlatform)
    : mState(aState)
    , mKeeper(std::move(aKeeper))
    , mDrains(std::move(aDrains))
    , mPlatform(aPlatform)
    , mZone(aState.Options().zone)
    , mRole(OrdersRole(mZone))
  {
  }

  duration Step() override
  {
    if (!mKeeper->Holds(mRole)) {
      if (mHeldRole) {
        // The next holder chooses the targets to drain.
        mHeldRole = false;
        mLastAccepted.reset();
        mDrainer = drain_planner();
        mState.WithZoneView(
          [](zone_view& aZoneView) { aZoneView.SetDraining({}); });
      }
      return kOrderInterval;
    }
    mHeldRole = true;
    const auto document = mState.WithFeed([&](const config_feed& aFeed) {
      const stage_config* config =
        aFeed.State().Find(mState.Options().environment, stage::Production);
      return config == nullptr ? std::nullopt : config->document;
    });
    if (!document) {
      return kOrderInterval;
    }
    const target_order order = PlanOrder(*document);
    if (!mLastAccepted || !SameContent(*mLastAccepted, order)) {
      Send(order);
    }
    return kOrderInterval;
  }

private:
  [[nodiscard]] target_order PlanOrder(const environment_document& aDocument)
  {
    const time_point now = mState.Clock().Now();
    std::vector<target_info> all;
    std::vector<target_info> own;
    std::vector<member_entry> entries;
    std::map<std::string, std::vector<team_demand>> demand;
    mState.WithZoneView([&](const zone_view& aZoneView) {
      all = aZoneView.Targets();
      own = aZoneView.ListedTargets();
      entries = aZoneView.ZoneEntries();
      demand = aZoneView.OtherZonesDemand(now);
      demand[mZone] = aZoneView.ZoneDemand();
    });
    std::map<std::string, pool_counts> wanted;
    for (const target_class_config& config : aDocument.targets) {
      const auto plan = PlanClass(aDocument, config, all, own, demand, now);
      if (const auto found = plan.find(mZone); found != plan.end()) {
        wanted[config.targetClass] = found->second;
      }
    }
    std::map<std::string, std::int64_t> inFlight;
    for (const member_entry& entry : entries) {
      for (const auto& [target, count] : entry.inFlight) {
        inFlight[target] += count;
      }
    }
    target_order order = mDrainer.Plan(mZone, wanted, own, inFlight, now);
    order.zone = mZone;
    std::set<std::string> draining = mDrainer.Draining();
    AddRequestedDrains(own, inFlight, now, draining, order.stop);
    mState.WithZoneView([&](zone_view& aZoneView) {
      aZoneView.SetDraining(std::move(draining));
    });
    return order;
  }

  /// Adds the targets that an operator asked to drain. The target counts stay
  /// the same, so that the platform starts replacements.
  void AddRequestedDrains(const std::vector<target_info>& aListed,
                          const std::map<std::string, std::int64_t>& aInFlight,
                          time_point aNow,
                          std::set<std::string>& aDraining,
                          std::vector<std::string>& aStop)
  {
    for (const auto& request : mDrains->List()) {
      const std::string& target = request.first;
      const time_point since = request.second;
      const bool listed =
        std::any_of(aListed.begin(), aListed.end(), [&](const auto& aTarget) {
          return aTarget.id == target;
        });
      if (!listed) {
        mDrains->Remove(target);
        continue;
      }
      aDraining.insert(target);
      const auto busy = aInFlight.find(target);
      if (aNow - since >= kDrainSettleTime &&
          (busy == aInFlight.end() || busy->second == 0) &&
          std::find(aStop.begin(), aStop.end(), target) == aStop.end()) {
        aStop.push_back(target);
      }
    }
  }

  [[nodiscard]] target_plan PlanClass(
    const environment_document& aDocument,
    const target_class_config& aConfig,
    const std::vector<target_info>& aTargets,
    const std::vector<target_info>& aOwn,
    const std::map<std::string, std::vector<team_demand>>& aDemand,
    time_point aNow)
  {
    class_observation observed;
    observed.targetClass = aConfig.targetClass;
    for (const auto& [zone, sums] : aDemand) {
      for (const team_demand& sum : sums) {
        if (sum.targetClass == aConfig.targetClass) {
          observed.waiting += sum.waiting;
          observed.running += sum.running;
        }
      }
    }
    // Demand is not known by route, so one non-idempotent route makes all work
    // of its class count as protected.
    observed.protectedShare =
      std::any_of(aDocument.routes.begin(),
                  aDocument.routes.end(),
                  [&](const auto& aRoute) {
                    return aRoute.targetClass == aConfig.targetClass &&
                           !aRoute.idempotent;
                  })
        ? 1.0
        : 0.0;
    mForecast.Observe(observed, aNow);
    planning_input input;
    input.targetClass = aConfig.targetClass;
    input.waiting = observed.waiting;
    input.running = observed.running;
    input.demand = mForecast.Forecast(aConfig.targetClass, aNow);
    std::int64_t& slots = mSlots[aConfig.targetClass];
    slots = slots == 0 ? kDefaultSlots : slots;
    for (const target_zone_config& limits : aConfig.zones) {
      zone_supply supply;
      supply.limits = limits;
      supply.reachable = aDemand.count(limits.zone) > 0;
      for (const target_info& target : limits.zone == mZone ? aOwn : aTargets) {
        if (target.zone != limits.zone ||
            target.targetClass != aConfig.targetClass ||
            target.state == target_state::Leaving) {
          continue;
        }
        slots = target.slots;
        ++(target.pool == target_pool::Protected
             ? supply.existing.protectedCount
             : supply.existing.reclaimableCount);
      }
      if (limits.zone == mZone) {
        ObserveSupply(aConfig.targetClass, supply, aOwn, aNow);
      }
      input.zones.push_back(std::move(supply));
    }
    input.slotsPerTarget = slots;
    return mPolicy->Plan(input, aNow);
  }

  /// Compares the last order with the targets that the platform lists, to
  /// detect that it has no reclaimable targets left or reclaims them.
  void ObserveSupply(const std::string& aClass,
                     zone_supply& aSupply,
                     const std::vector<target_info>& aOwn,
                     time_point aNow)
  {
    std::int64_t ordered = 0;
    if (mLastAccepted) {
      for (const target_count& count : mLastAccepted->counts) {
        if (count.targetClass == aClass &&
            count.pool == target_pool::Reclaimable) {
          ordered = count.count;
        }
      }
    }
    mSupply.Observe(
      mZone, aClass, ordered, aSupply.existing.reclaimableCount, aNow);
    for (const target_info& target : aOwn) {
      if (target.targetClass == aClass &&
          target.pool == target_pool::Reclaimable &&
          target.state == target_state::Leaving && !StopOrdered(target.id)) {
        mSupply.RecordReclaim(mZone, aClass, aNow);
      }
    }
    aSupply.availableReclaimable = mSupply.Available(mZone, aClass, aNow);
  }

  [[nodiscard]] bool StopOrdered(const std::string& aTarget) const
  {
    return mStopped.count(aTarget) > 0;
  }

  void Send(target_order aOrder)
  {
    aOrder.orderId = "order-" + mZone + "-" + RandomHex(8);
    aOrder.fencing = mKeeper->FencingToken(mRole);
    const send_check check = mKeeper->Check(mRole);
    const auto sent = Capture([&]() -> result<void> {
      BOOST_LEAF_AUTO(
        offset,
        mPlatform.log->Append(aOrder.orderId,
                              WriteLogRecord(order_intent{ aOrder })));
      (void)offset;
      return mPlatform.orders->Send(aOrder, check);
    });
    mStopped.insert(aOrder.stop.begin(), aOrder.stop.end());
    const auto* failure = std::get_if<error_info>(&sent);
    if (failure != nullptr &&
        !(MayHaveArrived(*failure) && IsLastOrder(aOrder.orderId))) {
      mState.Metrics().Count("order_failures", {});
      LogError(log_level::Warning, "order_failed", *failure);
      return;
    }
    Log(log_level::Info,
        "order_accepted",
        { { "order", aOrder.orderId },
          { "fencing", std::to_string(aOrder.fencing) } });
    mLastAccepted = std::move(aOrder);
  }

  [[nodiscard]] static bool MayHaveArrived(const error_info& aError)
  {
    return aError.code == error_code::Timeout ||
           aError.code == error_code::BrokenExchange;
  }

  /// Asks the platform whether it has the order, after the answer was lost.
  [[nodiscard]] bool IsLastOrder(const std::string& aOrderId) const
  {
    const auto last = Capture([&] { return mPlatform.orders->Last(mZone); });
    const auto* order = std::get_if<target_order>(&last);
    return order != nullptr && order->orderId == aOrderId;
  }

  node_state& mState;
  std::shared_ptr<role_keeper> mKeeper;
  std::shared_ptr<drain_requests> mDrains;
  platform_clients mPlatform;
  std::string mZone;
  std::string mRole;
  demand_forecast mForecast;
  std::unique_ptr<scaling_policy> mPolicy = MakeForecastScaling();
  reclaimable_supply mSupply;
  drain_planner mDrainer;
  std::map<std::string, std::int64_t> mSlots; ///< By class.
  std::optional<target_order> mLastAccepted;
  bool mHeldRole = false;         ///< In the last step.
  std::set<std::string> mStopped; ///< Targets stopped by this process.
};

} // namespace

void
drain_requests::Add(const std::string& aTarget, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTargets.try_emplace(aTarget, aNow);
}

void
drain_requests::Remove(const std::string& aTarget)
{
  const std::lock_guard lock(mMutex);
  mTargets.erase(aTarget);
}

std::map<std::string, time_point>
drain_requests::List() const
{
  const std::lock_guard lock(mMutex);
  return mTargets;
}

std::unique_ptr<duty>
MakeTargetOrderDuty(node_state& aState,
                    std::shared_ptr<role_keeper> aKeeper,
                    std::shared_ptr<drain_requests> aDrains,
                    const platform_clients& aPlatform)
{
  return std::make_unique<target_duty>(
    aState, std::move(aKeeper), std::move(aDrains), aPlatform);
}

} // namespace arbutusferry
