#pragma once

#include "arbutusferry/fair_queue.hpp"

#include <set>
#include <unordered_map>
#include <utility>

namespace arbutusferry {

/// State common to the queue policies: size limits, deadlines and demand.
class queue_base : public queue_policy
{
public:
  explicit queue_base(std::size_t aMaxPerTeam)
    : mMaxPerTeam(aMaxPerTeam)
  {
  }

  bool Push(work_id aId, work_item aItem) override;
  void Settle(work_id aId, double aTokens, bool aFinished) override;
  bool Erase(work_id aId) override;
  std::vector<queued_item> Expire(time_point aNow) override;
  std::size_t Waiting(const std::string& aTeam) const override;
  std::size_t WaitingInClass(const std::string& aClass) const override;
  std::vector<team_demand> Demand() const override;

protected:
  /// A popped item until it is settled.
  struct running_item
  {
    std::string team;
    std::string targetClass;
    std::string group;
    work_kind kind = work_kind::Interactive;
    double estimate = 0;       ///< Estimated tokens as submitted.
    double charged = 0;        ///< Tokens charged at dispatch.
    double liftAtDispatch = 0; ///< Of the account; see `fair_queue`.
  };

  /// Adds a waiting item to the order of the policy. `Find` already returns it.
  virtual void Insert(work_id aId, const work_item& aItem) = 0;
  /// Removes a waiting item from the order of the policy.
  virtual void Remove(work_id aId, const work_item& aItem) = 0;
  /// Replaces the charge of a running item by the tokens served.
  virtual void CorrectCharge(const running_item& aItem,
                             double aTokens,
                             bool aFinished) = 0;

  [[nodiscard]] const work_item& Find(work_id aId) const
  {
    return mWaiting.at(aId);
  }
  /// Moves an item from waiting to running.
  /// @param aCharged Tokens charged for it.
  /// @param aLift Lift of its account.
  queued_item Start(work_id aId, double aCharged, double aLift);

private:
  struct demand_count
  {
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    double attainedTokens = 0;
  };

  /// Removes a waiting item from the counts and deadlines.
  void Untrack(work_id aId, const work_item& aItem);

  std::size_t mMaxPerTeam;
  std::unordered_map<work_id, work_item> mWaiting;
  std::unordered_map<work_id, running_item> mRunning;
  std::set<std::pair<time_point, work_id>> mDeadlines;
  std::map<std::string, std::size_t> mWaitingByTeam;
  std::map<std::string, std::size_t> mWaitingByClass;
  std::map<std::pair<std::string, std::string>, demand_count> mDemand;
};

} // namespace arbutusferry
