#include "arbutusferry/hash.hpp"
#include "control/work_duties.hpp"

namespace arbutusferry {

namespace {

constexpr std::chrono::milliseconds kPlanInterval{ 500 };

/// Rounds of different processes must differ, also after a restart.
std::int64_t
FirstRound(const std::string& aInstance)
{
  constexpr int kUnusedBits = 16;
  return static_cast<std::int64_t>(Hash64(aInstance) >> kUnusedBits);
}

class slot_planning final : public duty
{
public:
  explicit slot_planning(node_state& aState)
    : mState(aState)
  {
    mOptions.firstRound = FirstRound(aState.Instance());
    mOptions.zone = aState.Options().zone;
  }

  duration Step() override
  {
    if (!mState.IsRelay()) {
      mPlanner.reset();
      return kPlanInterval;
    }
    if (!mPlanner) {
      mPlanner.emplace(mOptions);
    }
    const time_point now = mState.Clock().Now();
    std::vector<member_entry> entries;
    std::vector<target_info> targets;
    mState.WithZoneView([&](const zone_view& aZoneView) {
      entries = aZoneView.ZoneEntries();
      for (const target_info& target : aZoneView.Targets()) {
        if (target.zone == mState.Options().zone &&
            target.state == target_state::Live) {
          targets.push_back(target);
        }
      }
    });
    std::vector<std::string> instances;
    for (const member_entry& entry : entries) {
      mPlanner->Report({ entry.entry.instance,
                         entry.demand,
                         entry.inFlight,
                         entry.grantRound },
                       now);
      if (!entry.entry.draining) {
        instances.push_back(entry.entry.instance);
      }
    }
    auto plans = mPlanner->Plan(Shares(), targets, instances, now);
    for (const auto& [instance, plan] : plans) {
      mOptions.firstRound = std::max(mOptions.firstRound, plan.round + 1);
    }
    mState.SetGrants(std::move(plans));
    return kPlanInterval;
  }

private:
  [[nodiscard]] std::map<std::string, double> Shares() const
  {
    return mState.WithFeed([&](const config_feed& aFeed) {
      std::map<std::string, double> shares;
      for (const stage each : { stage::Trial, stage::Production }) {
        const stage_config* config =
          aFeed.State().Find(mState.Options().environment, each);
        if (config != nullptr && config->document) {
          for (const team_config& team : config->document->teams) {
            shares[team.name] = team.share;
          }
        }
      }
      return shares;
    });
  }

  node_state& mState;
  slot_planner_options mOptions;
  std::optional<slot_planner> mPlanner;
};

} // namespace

std::unique_ptr<duty>
MakeSlotPlanningDuty(node_state& aState)
{
  return std::make_unique<slot_planning>(aState);
}

} // namespace arbutusferry
