#pragma once

#include "experiment/model.hpp"

#include <boost/random/mersenne_twister.hpp>

namespace arbutusferry::experiment {

/// One run: entries with real dispatchers, a slot planner in each zone, the
/// target planner, and model engines, callers and trainers, in simulated time.
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
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const event& aOther) const
    {
      return std::pair(time, order) >
             std::pair(aOther.time, aOther.order); // Earliest first.
    }
  };

  struct entry_node
  {
    std::string name;
    std::size_t zone = 0;
    std::size_t index = 0; ///< Within the zone.
    std::int64_t round = -1;
    std::unique_ptr<dispatcher> front;
  };

  /// Attained and entitled slot seconds of a team in a class.
  struct service
  {
    double attained = 0;
    double entitled = 0;
    double windowAttained = 0;
    double windowEntitled = 0;
    double waiting = 0;
  };

  void After(seconds aDelay, std::function<void()> aAction);
  void Every(seconds aPeriod, const std::function<void()>& aAction);
  [[nodiscard]] time_point Now() const;
  [[nodiscard]] double Uniform(double aLow, double aHigh);
  [[nodiscard]] double Exponential(double aMean);
  [[nodiscard]] bool Measured() const { return mNow >= mWarmUp; }
  [[nodiscard]] bool Cut(std::size_t aZone, std::size_t aOther) const;
  [[nodiscard]] static std::size_t ZoneOf(const target_info& aInfo);

  // Work.
  void StartLoad();
  void Call(std::size_t aTeam, const std::string& aClass, double aRate);
  void PostStep(std::size_t aTeam);
  void Send(const std::shared_ptr<request>& aWork);
  void Assigned(const std::shared_ptr<request>& aWork,
                const assignment& aAssignment);
  void Retry(const std::shared_ptr<request>& aWork, const std::string& aFailed);
  void Finished(const std::shared_ptr<request>& aWork,
                std::int64_t aVersion,
                const target_info& aTarget);

  // Engines.
  std::shared_ptr<engine> AddEngine(const std::string& aClass,
                                    std::size_t aZone,
                                    target_pool aPool);
  void Admit(const std::shared_ptr<engine>& aEngine);
  [[nodiscard]] seconds Duration(engine& aEngine, const request& aWork);
  void FailAll(engine& aEngine);
  void Remove(const std::shared_ptr<engine>& aEngine);
  void Publish();

  // Control.
  void Sync();
  void PlanFleet();
  void Measure();
  void CloseWindow();
  void StartFaults();

  deployment mDeployment;
  policy_set mPolicy;
  scenario mScenario;
  seconds mLength;
  seconds mWarmUp = 120;
  boost::random::mt19937_64 mRandom;
  seconds mNow = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;

  std::vector<team_load> mTeams;
  std::map<std::string, double> mShares;
  std::vector<entry_node> mEntries;
  std::vector<slot_planner> mPlanners;
  std::vector<std::shared_ptr<engine>> mEngines;
  /// Slots that other zones lend, by zone and target.
  std::vector<std::map<std::string, std::int64_t>> mLoans;
  std::vector<target_info> mView; ///< Targets as the last sync saw them.
  std::unique_ptr<scaling_policy> mScaling;
  demand_forecast mForecast;
  std::vector<drain_planner> mDrains;
  std::set<std::string> mDraining;
  std::vector<std::int64_t> mAvailable; ///< Reclaimable targets by zone.
  std::int64_t mVersion = 1;
  std::int64_t mLastEngine = 0;
  std::int64_t mLastStep = 0;
  bool mPartitioned = false;

  run_result mResult;
  std::map<std::pair<std::string, std::string>, service> mService;
  double mWaits = 0;
  double mTraining = 0;
  std::int64_t mCalls = 0;
  std::int64_t mInTime = 0;
  double mTokens = 0;
  double mReclaimableTokens = 0;
  double mCost = 0;
  std::int64_t mAttempts = 0;
  std::int64_t mDone = 0;
};

} // namespace arbutusferry::experiment
