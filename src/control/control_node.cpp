#include "arbutusferry/control_node.hpp"

#include "arbutusferry/logging.hpp"
#include "control/duty.hpp"
#include "control/http_front.hpp"
#include "control/log_follower.hpp"
#include "control/rpc_methods.hpp"
#include "control/work_duties.hpp"
#include "control/zone_duties.hpp"
#include "environment/json_support.hpp"

namespace arbutusferry {

namespace {

class running_node final : public control_node
{
public:
  running_node(const control_options& aOptions,
               const platform_clients& aPlatform,
               const clock_source& aClock)
    : mState(aOptions, aClock)
    , mPlatform(aPlatform)
    , mKeeper(std::make_shared<role_keeper>(mState, aPlatform.log))
    , mUsage(std::make_shared<usage_log_listener>())
    , mDrains(std::make_shared<drain_requests>())
    , mDispatcher(MakeRpcDispatcher(
        MakeControlMethods(mState, aPlatform, mUsage, mDrains)))
  {
    mState.UpdateFeed([this](config_feed& aFeed) {
      aFeed.AddListener("usage", *mUsage);
      return false;
    });
  }

  ~running_node() override { Stop(); }

  result<void> Start()
  {
    http_front_handlers handlers;
    handlers.rpc = [this](const std::string& aText) {
      return mDispatcher->Handle(aText);
    };
    handlers.ready = [this] { return mState.Ready(); };
    handlers.metrics = [this] {
      mState.UpdateGauges();
      return mState.Metrics().Export();
    };
    BOOST_LEAF_ASSIGN(
      mFront, StartHttpFront(mState.Options().listen, std::move(handlers)));
    std::vector<duty_factory> duties;
    duties.push_back(
      { "log", [this] { return MakeLogFollower(mState, mPlatform.log); } });
    duties.push_back({ "directory", [this] {
                        return MakeDirectoryReader(mState, mPlatform.directory);
                      } });
    duties.push_back({ "load", [this] { return MakeLoadPollerDuty(mState); } });
    duties.push_back({ "zone", [this] { return MakeZoneSyncDuty(mState); } });
    duties.push_back(
      { "summary", [this] { return MakeZoneSummaryDuty(mState); } });
    duties.push_back(
      { "membership", [this] { return MakeMembershipDuty(mState, mKeeper); } });
    duties.push_back({ "roles", [this] { return MakeRoleDuty(mKeeper); } });
    duties.push_back({ "checkpoint", [this] {
                        return MakeCheckpointDuty(
                          mState, mKeeper, mPlatform.log);
                      } });
    duties.push_back(
      { "slots", [this] { return MakeSlotPlanningDuty(mState); } });
    duties.push_back({ "usage_batches", [this] {
                        return MakeUsageBatchDuty(mState, mPlatform.log);
                      } });
    duties.push_back({ "usage_reports", [this] {
                        return MakeUsageReportDuty(
                          mState, mKeeper, mUsage, mPlatform);
                      } });
    duties.push_back({ "targets", [this] {
                        return MakeTargetOrderDuty(
                          mState, mKeeper, mDrains, mPlatform);
                      } });
    duties.push_back(
      { "weights", [this] { return MakeWeightOrderDuty(mState, mKeeper); } });
    mSupervisor = StartSupervisor(
      std::move(duties),
      [this](const std::string& aDuty, const std::string& aReason) {
        mState.Metrics().Count("duty_failures", { { "duty", aDuty } });
        Log(log_level::Error,
            "duty_failed",
            { { "step", aDuty }, { "message", aReason } });
      });
    return {};
  }

  std::string Address() const override { return mFront->Address(); }
  std::string Instance() const override { return mState.Instance(); }

  void Stop() override
  {
    mState.Stop();
    if (mSupervisor) {
      mSupervisor->Stop();
      mSupervisor.reset();
      mKeeper->ReleaseAll();
    }
    if (mFront) {
      mFront->Stop();
    }
  }

private:
  node_state mState;
  platform_clients mPlatform;
  std::shared_ptr<role_keeper> mKeeper;
  std::shared_ptr<usage_log_listener> mUsage;
  std::shared_ptr<drain_requests> mDrains;
  std::unique_ptr<rpc_dispatcher> mDispatcher;
  std::unique_ptr<http_front> mFront;
  std::unique_ptr<supervisor> mSupervisor;
};

} // namespace

result<std::unique_ptr<control_node>>
StartControlNode(const control_options& aOptions,
                 const platform_clients& aPlatform,
                 const clock_source& aClock)
{
  auto node = std::make_unique<running_node>(aOptions, aPlatform, aClock);
  ARBUTUSFERRY_CHECK(node->Start());
  return std::unique_ptr<control_node>(std::move(node));
}

} // namespace arbutusferry
