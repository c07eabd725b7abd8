#pragma once

#include "experiment/model.hpp"

#include <boost/random/mersenne_twister.hpp>

namespace arbutusferry::experiment {

/// One run in simulated time: production dispatchers, slot planners (one per
/// zone) and target planner with simulated engines, callers and trainers.
class simulation
{
public:
  simulation(const deployment& aDeployment,
             const policy_set& aPolicy,
             const scenario& aScenario,
             std::uint64_t aSeed,
             seconds aLength);

  run_result Run();

private:
  struct event
  {
    seconds time = 0;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator<(const event& aOther) const
    {
      return std::pair(time, sequence) >
             std::pair(aOther.time, aOther.sequence); // Earliest first.
    }
  };

  struct entry_node
  {
    std::string name;
    std::size_t zone = 0;
    std::size_t index = 0; ///< Within the zone.
    std::int64_t round = -1;
    std::unique_ptr<dispatcher> entryDispatcher;
  };

  /// Slot seconds of a team in a target class.
  struct service
  {
    double attained = 0;
    double entitled = 0;
    double windowAttained = 0;
    double windowEntitled = 0;
    double waiting = 0; ///< Requests, as last recorded.
  };

  void Schedule(seconds aDelay, std::function<void()> aAction);
  void SchedulePeriodic(seconds aPeriod, const std::function<void()>& aAction);
  [[nodiscard]] time_point Now() const;
  [[nodiscard]] double Uniform(double aLow, double aHigh);
  [[nodiscard]] double Exponential(double aMean);
  [[nodiscard]] bool WarmedUp() const { return mNow >= mWarmUp; }
  [[nodiscard]] bool Disconnected(std::size_t aZone, std::size_t aOther) const;
  [[nodiscard]] static std::size_t ZoneOf(const target_info& aInfo);

  // Work.
  void ScheduleLoad();
  void ScheduleCall(std::size_t aTeam, const std::string& aClass, double aRate);
  void PostStep(std::size_t aTeam);
  void Send(const std::shared_ptr<request>& aWork);
  void OnAssigned(const std::shared_ptr<request>& aWork,
                  const assignment& aAssignment);
  void Retry(const std::shared_ptr<request>& aWork, const std::string& aFailed);
  void OnFinished(const std::shared_ptr<request>& aWork,
                  std::int64_t aVersion,
                  const target_info& aTarget);

  // Engines.
  std::shared_ptr<engine> AddEngine(const std::string& aClass,
                                    std::size_t aZone,
                                    target_pool aPool);
  void Admit(const std::shared_ptr<engine>& aEngine);
  [[nodiscard]] seconds ServiceTime(engine& aEngine, const request& aWork);
  void FailRequests(engine& aEngine);
  void RemoveEngine(const std::shared_ptr<engine>& aEngine);
  void PublishWeights();

  // Control.
  void Sync();
  void PlanFleet();
  void RecordShares();
  void CloseShareWindow();
  void ScheduleFaults();

  deployment mDeployment;
  policy_set mPolicy;
  scenario mScenario;
  seconds mLength;
  seconds mWarmUp = 120;
  boost::random::mt19937_64 mRandom;
  seconds mNow = 0;
  std::uint64_t mLastSequence = 0;
  std::priority_queue<event> mEvents;

  std::vector<team_load> mTeams;
  std::map<std::string, double> mShares;
  std::vector<entry_node> mEntries;
  std::vector<slot_planner> mPlanners;
  std::vector<std::shared_ptr<engine>> mEngines;
  /// Slots lent by other zones, by borrowing zone and target.
  std::vector<std::map<std::string, std::int64_t>> mLoans;
  std::vector<target_info> mLastTargets; ///< As of the last Sync().
  std::unique_ptr<scaling_policy> mScaling;
  demand_forecast mForecast;
  std::vector<drain_planner> mDrainPlanners;
  std::set<std::string> mDraining;
  /// Reclaimable targets the platform can provide, by zone.
  std::vector<std::int64_t> mAvailableReclaimable;
  std::int64_t mVersion = 1;
  std::int64_t mLastEngineId = 0;
  std::int64_t mLastStepId = 0;
  bool mPartitioned = false;

  run_result mResult;
  std::map<std::pair<std::string, std::string>, service> mService;
  double mStepWaitTime = 0;
  double mTrainingTime = 0;
  std::int64_t mCountedCalls = 0;
  std::int64_t mCallsInTime = 0;
  double mTokens = 0;
  double mReclaimableTokens = 0;
  double mCost = 0;
  std::int64_t mAttemptCount = 0;
  std::int64_t mFinishedRequests = 0;
};

} // namespace arbutusferry::experiment
