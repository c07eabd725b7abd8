#include "arbutusferry/fair_queue.hpp"

#include "routing/queue_base.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace arbutusferry {

namespace {

/// One dispatch in this many takes work that the order would otherwise starve:
/// a sample instead of an interactive item, and the oldest sample instead of
/// one of the group nearest to completion.
constexpr int kAgingInterval = 8;

/// The counter of a team that had to wait for particular targets may lag behind
/// the minimum by at most this many of its items. Without a bound the team
/// would later take all targets until it had caught up. Teams that any target
/// could serve are not bounded: they lag only because of wrong estimates of
/// others, which are corrected later, and a bound cost them three quarters of
/// their share.
constexpr double kMaxCreditItems = 64;

/// Smoothing factor of the running means.
constexpr double kMeanGain = 0.05;

/// Waiting items of one team with equal requirements.
struct bucket
{
  using group_rank = std::tuple<std::int64_t, work_id, std::string>;

  struct group_items
  {
    std::int64_t remaining = 0;
    std::set<work_id> items;
  };

  std::set<std::pair<time_point, work_id>> interactive;
  std::map<std::string, group_items> groups;
  std::set<group_rank> ranked; ///< By remaining samples, oldest item, name.
  std::set<work_id> samples;   ///< Oldest first.

  [[nodiscard]] bool empty() const
  {
    return interactive.empty() && samples.empty();
  }

  static group_rank Rank(const std::string& aName, const group_items& aGroup)
  {
    return { aGroup.remaining, *aGroup.items.begin(), aName };
  }

  void AddSample(work_id aId,
                 const std::string& aGroup,
                 std::int64_t aRemaining)
  {
    auto& group = groups[aGroup];
    if (!group.items.empty()) {
      ranked.erase(Rank(aGroup, group));
    }
    group.remaining = aRemaining;
    group.items.insert(aId);
    ranked.insert(Rank(aGroup, group));
    samples.insert(aId);
  }

  void RemoveSample(work_id aId, const std::string& aGroup)
  {
    auto& group = groups[aGroup];
    ranked.erase(Rank(aGroup, group));
    group.items.erase(aId);
    samples.erase(aId);
    if (group.items.empty()) {
      groups.erase(aGroup);
    } else {
      ranked.insert(Rank(aGroup, group));
    }
  }

  void Rerank(const std::string& aGroup, std::int64_t aRemaining)
  {
    const auto found = groups.find(aGroup);
    if (found != groups.end()) {
      ranked.erase(Rank(aGroup, found->second));
      found->second.remaining = aRemaining;
      ranked.insert(Rank(aGroup, found->second));
    }
  }
};

time_point
DeadlineKey(const work_item& aItem)
{
  return aItem.deadline == time_point{} ? time_point::max() : aItem.deadline;
}

/// Unfinished samples of a group.
struct group_state
{
  std::int64_t remaining = 0;
  std::int64_t pending = 0; ///< Waiting and running items of this queue.
};

/// Exponential moving averages of tokens served and of their estimates.
struct estimate_ratio
{
  double served = 0;
  double estimated = 0;

  void Add(double aServed, double aEstimated)
  {
    served += kMeanGain * (aServed - served);
    estimated += kMeanGain * (aEstimated - estimated);
  }

  /// @return Factor for the next estimate.
  [[nodiscard]] double Factor() const
  {
    return served > 0 && estimated > 0 ? served / estimated : 1.0;
  }
};

/// State of one team in one target class.
struct account
{
  double counter = 0; ///< Virtual token counter: tokens divided by weight.
  double lift = 0;    ///< Sum of the increases of `counter` without service.
  bool unservable = false; ///< No live target met any item's requirements.
  bool passedOver = false; ///< Was next, but no suitable target had a slot.
  double meanTokens = 0;   ///< Served per item.
  std::array<estimate_ratio, 2> ratios; ///< By kind of work.
  std::uint64_t lastDispatchSeq = 0;
  std::size_t waiting = 0;
  int callsSinceSample = 0;
  int samplesSinceOldest = 0;
  std::map<placement_needs, bucket> buckets;
  std::map<std::string, group_state> groups;
};

/// Accounts of all teams in one target class.
struct class_queue
{
  double lastCounter = 0; ///< Of the last dispatched team, before the charge.
  std::map<std::string, account> accounts;
  std::map<std::string, double> weights;
};

class fair_queue final : public queue_base
{
public:
  using queue_base::queue_base;

  void UpdateShares(const std::map<std::string, double>& aShares) override
  {
    mShares = aShares;
  }

  void UpdateWeights(const std::string& aClass,
                     const std::map<std::string, double>& aWeights) override
  {
    // Scaled to the sum of the shares, so that differences between counters
    // stay comparable when weights replace shares.
    double weights = 0;
    double shares = 0;
    for (const auto& [team, weight] : aWeights) {
      weights += weight;
      shares += Share(team);
    }
    auto& scaled = mClasses[aClass].weights;
    scaled.clear();
    for (const auto& [team, weight] : aWeights) {
      if (weight > 0 && weights > 0) {
        scaled[team] = weight * shares / weights;
      }
    }
  }

  std::optional<queued_item> Pop(const std::string& aClass,
                                 const placement_check& aCheck,
                                 time_point aEarliestEnd) override
  {
    const auto found = mClasses.find(aClass);
    if (found == mClasses.end()) {
      return std::nullopt;
    }
    auto& queue = found->second;
    mOrder.clear();
    for (auto& [team, account] : queue.accounts) {
      if (account.waiting > 0) {
        mOrder.emplace_back(
          account.counter, account.lastDispatchSeq, &team, &account);
      }
    }
    // Ties keep the order of the names, so that runs with the same seed are
    // reproducible.
    std::stable_sort(
      mOrder.begin(),
      mOrder.end(),
      [](const candidate& aLeft, const candidate& aRight) {
        return std::pair(std::get<0>(aLeft), std::get<1>(aLeft)) <
               std::pair(std::get<0>(aRight), std::get<1>(aRight));
      });
    for (const auto& [counter, lastDispatchSeq, team, account] : mOrder) {
      if (const auto id = Choose(queue, *account, aCheck, aEarliestEnd)) {
        return Dispatch(queue, *team, *account, *id);
      }
      account->passedOver = true;
    }
    return std::nullopt;
  }

private:
  using candidate =
    std::tuple<double, std::uint64_t, const std::string*, account*>;

  double Share(const std::string& aTeam) const
  {
    const auto found = mShares.find(aTeam);
    return found == mShares.end() || found->second <= 0 ? 1.0 : found->second;
  }

  double Weight(const class_queue& aQueue, const std::string& aTeam) const
  {
    const auto found = aQueue.weights.find(aTeam);
    return found == aQueue.weights.end() ? Share(aTeam) : found->second;
  }

  /// @return Lowest counter of the teams that compete for any slot, or
  /// `lastCounter` if there is none.
  static double Minimum(const class_queue& aQueue)
  {
    auto minimum = std::numeric_limits<double>::infinity();
    for (const auto& [team, account] : aQueue.accounts) {
      if (account.waiting > 0 && !account.passedOver) {
        minimum = std::min(minimum, account.counter);
      }
    }
    return minimum == std::numeric_limits<double>::infinity()
             ? aQueue.lastCounter
             : minimum;
  }

  static void LiftTo(account& aAccount, double aCounter)
  {
    if (aAccount.counter < aCounter) {
      aAccount.lift += aCounter - aAccount.counter;
      aAccount.counter = aCounter;
    }
  }

  /// @return The team's next item that can start now.
  std::optional<work_id> Choose(const class_queue& aQueue,
                                account& aAccount,
                                const placement_check& aCheck,
                                time_point aEarliestEnd) const
  {
    bool servable = false;
    bool hasSample = false;
    // Ordered by lateness, deadline and id. Under overload the earliest
    // deadlines can no longer be met; serving those items first would make all
    // others late.
    std::tuple<bool, time_point, work_id> call{ true, time_point::max(), 0 };
    bucket::group_rank rank{};
    work_id oldest = std::numeric_limits<work_id>::max();
    for (const auto& [needs, bucket] : aAccount.buckets) {
      const auto placed = aCheck(needs);
      servable = servable || placed != placement::Never;
      if (placed != placement::Now) {
        continue;
      }
      if (!bucket.interactive.empty()) {
        auto first = bucket.interactive.lower_bound({ aEarliestEnd, 0 });
        const bool late = first == bucket.interactive.end();
        first = late ? bucket.interactive.begin() : first;
        const std::tuple candidate(late, first->first, first->second);
        if (std::get<2>(call) == 0 || candidate < call) {
          call = candidate;
        }
      }
      if (!bucket.samples.empty()) {
        if (!hasSample || *bucket.ranked.begin() < rank) {
          rank = *bucket.ranked.begin();
        }
        oldest = std::min(oldest, *bucket.samples.begin());
        hasSample = true;
      }
    }
    // The time in which no target could serve the team counts as idle time.
    if (servable && aAccount.unservable) {
      LiftTo(aAccount, Minimum(aQueue));
    }
    aAccount.unservable = !servable;
    const work_id nextCall = std::get<2>(call);
    if (hasSample && (nextCall == 0 || std::get<0>(call) ||
                      aAccount.callsSinceSample >= kAgingInterval - 1)) {
      aAccount.callsSinceSample = 0;
      if (++aAccount.samplesSinceOldest >= kAgingInterval) {
        aAccount.samplesSinceOldest = 0;
        return oldest;
      }
      return std::get<1>(rank);
    }
    if (nextCall != 0) {
      aAccount.callsSinceSample += hasSample ? 1 : 0;
      return nextCall;
    }
    return std::nullopt;
  }

  queued_item Dispatch(class_queue& aQueue,
                       const std::string& aTeam,
                       account& aAccount,
                       work_id aId)
  {
    if (aAccount.passedOver) {
      LiftTo(aAccount,
             Minimum(aQueue) -
               kMaxCreditItems * aAccount.meanTokens / Weight(aQueue, aTeam));
    }
    aAccount.passedOver = false;
    aQueue.lastCounter = aAccount.counter;
    const auto& item = Find(aId);
    if (item.kind == work_kind::Sample) {
      ++aAccount.groups[item.group].pending;
    }
    Remove(aId, item);
    // Estimates are often wrong by the same factor for all work of a team.
    const double tokens =
      std::max(item.estimatedTokens, 0.0) *
      aAccount.ratios[static_cast<std::size_t>(item.kind)].Factor();
    const double weight = Weight(aQueue, aTeam);
    aAccount.counter += tokens / weight;
    aAccount.lastDispatchSeq = ++mDispatchSeq;
    return Start(aId, tokens, aAccount.lift);
  }

  void Insert(work_id aId, const work_item& aItem) override
  {
    auto& queue = mClasses[aItem.targetClass];
    auto& account = queue.accounts[aItem.team];
    if (account.waiting == 0) {
      LiftTo(account, Minimum(queue));
      account.passedOver = false;
    }
    ++account.waiting;
    auto& bucket = account.buckets[NeedsOf(aItem)];
    if (aItem.kind == work_kind::Interactive) {
      bucket.interactive.emplace(DeadlineKey(aItem), aId);
      return;
    }
    auto& group = account.groups[aItem.group];
    ++group.pending;
    group.remaining = aItem.groupRemaining;
    bucket.AddSample(aId, aItem.group, group.remaining);
    RerankGroup(account, aItem.group, group.remaining);
  }

  void Remove(work_id aId, const work_item& aItem) override
  {
    auto& account = mClasses[aItem.targetClass].accounts[aItem.team];
    --account.waiting;
    const auto found = account.buckets.find(NeedsOf(aItem));
    auto& bucket = found->second;
    if (aItem.kind == work_kind::Interactive) {
      bucket.interactive.erase({ DeadlineKey(aItem), aId });
    } else {
      bucket.RemoveSample(aId, aItem.group);
      ReleaseGroup(account, aItem.group);
    }
    if (bucket.empty()) {
      account.buckets.erase(found);
    }
  }

  void CorrectCharge(const running_item& aItem,
                     double aTokens,
                     bool aFinished) override
  {
    auto& queue = mClasses[aItem.targetClass];
    auto& account = queue.accounts[aItem.team];
    account.ratios[static_cast<std::size_t>(aItem.kind)].Add(
      aTokens, std::max(aItem.estimate, 0.0));
    account.meanTokens += (account.meanTokens > 0 ? kMeanGain : 1.0) *
                          (aTokens - account.meanTokens);
    // The account may have been lifted to the minimum since the charge. The
    // lift already covers that much of the correction; a refund on top of it
    // would turn idle time into credit.
    const double lifted = account.lift - aItem.liftAtDispatch;
    const double change = (aTokens - aItem.charged) / Weight(queue, aItem.team);
    if (change > 0) {
      account.counter += std::max(0.0, change - lifted);
    } else if (lifted <= 0) {
      account.counter += change;
    }
    if (aItem.kind == work_kind::Sample) {
      const auto group = account.groups.find(aItem.group);
      if (group != account.groups.end()) {
        if (aFinished && group->second.remaining > 0) {
          --group->second.remaining;
          RerankGroup(account, aItem.group, group->second.remaining);
        }
        ReleaseGroup(account, aItem.group);
      }
    }
  }

  static void RerankGroup(account& aAccount,
                          const std::string& aGroup,
                          std::int64_t aRemaining)
  {
    for (auto& [needs, bucket] : aAccount.buckets) {
      bucket.Rerank(aGroup, aRemaining);
    }
  }

  static void ReleaseGroup(account& aAccount, const std::string& aGroup)
  {
    const auto found = aAccount.groups.find(aGroup);
    if (found != aAccount.groups.end() && --found->second.pending <= 0) {
      aAccount.groups.erase(found);
    }
  }

  std::map<std::string, double> mShares;
  std::map<std::string, class_queue> mClasses;
  std::vector<candidate> mOrder; ///< Reused to avoid allocations.
  std::uint64_t mDispatchSeq = 0;
};

} // namespace

std::unique_ptr<queue_policy>
MakeFairQueue(std::size_t aMaxPerTeam)
{
  return std::make_unique<fair_queue>(aMaxPerTeam);
}

} // namespace arbutusferry
