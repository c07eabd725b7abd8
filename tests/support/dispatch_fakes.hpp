#pragma once

#include "arbutusferry/dispatcher.hpp"
#include "arbutusferry/upstream.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace arbutusferry::test {

/// Dispatcher that assigns items immediately, to targets in turn, and checks
/// that each assignment is completed exactly once.
class immediate_dispatcher final : public dispatcher
{
public:
  void UpdateShares(const std::map<std::string, double>&) override {}
  void UpdateTargets(std::vector<target_info>,
                     std::optional<std::vector<slot_grant>>,
                     time_point,
                     std::size_t,
                     std::size_t,
                     time_point) override
  {
  }
  void UpdateTeamGrants(const std::vector<team_grant>&, time_point) override {}
  void AddCacheEvents(const std::string&,
                      const std::vector<cache_event>&) override
  {
  }

  work_id Submit(work_item aItem,
                 dispatch_callback aCallback,
                 time_point) override
  {
    std::variant<assignment, error_info> answer;
    work_id id = 0;
    {
      const std::lock_guard lock(mutex);
      id = ++lastId;
      items.push_back(std::move(aItem));
      if (refusals > 0) {
        --refusals;
        answer = error_info{ error_code::Overloaded, "queue", "", "full" };
      } else if (hold) {
        held.emplace(id, std::move(aCallback));
        return id;
      } else {
        assignment place;
        place.id = id;
        place.target.id = "t" + std::to_string(id % 3);
        open.insert(id);
        answer = place;
      }
    }
    aCallback(std::move(answer));
    return id;
  }

  bool Cancel(work_id aId) override
  {
    const std::lock_guard lock(mutex);
    return held.erase(aId) > 0;
  }

  void Complete(work_id aId, const completion& aCompletion, time_point) override
  {
    const std::lock_guard lock(mutex);
    wrongCompletions += open.erase(aId) == 1 ? 0 : 1;
    failures += aCompletion.targetFailed ? 1 : 0;
    tokens += aCompletion.tokens;
  }

  bool TryRetry(const std::string&, time_point) override
  {
    const std::lock_guard lock(mutex);
    return retries-- > 0;
  }
  void Tick(time_point) override {}
  std::vector<team_demand> Demand() const override { return {}; }
  std::map<std::string, std::int64_t> InFlight() const override { return {}; }

  std::mutex mutex;
  work_id lastId = 0;
  std::vector<work_item> items;
  std::set<work_id> open; ///< Assigned but not completed.
  std::map<work_id, dispatch_callback> held;
  bool hold = false;        ///< Keeps items instead of assigning them.
  int refusals = 0;         ///< Next items to reject with `Overloaded`.
  int retries = 0;          ///< Retries that are still allowed.
  int failures = 0;         ///< Completions with `targetFailed`.
  int wrongCompletions = 0; ///< Of items that are not in `open`.
  double tokens = 0;
};

/// Transport that answers each exchange by calling a function.
class scripted_transport final : public upstream_transport
{
public:
  using script = std::function<upstream_answer(const target_info&,
                                               const upstream_request&,
                                               const event_handler&,
                                               exchange_control&)>;
  explicit scripted_transport(script aScript)
    : mScript(std::move(aScript))
  {
  }
  upstream_answer Exchange(const target_info& aTarget,
                           const upstream_request& aRequest,
                           const event_handler& aOnEvent,
                           exchange_control& aControl) override
  {
    return mScript(aTarget, aRequest, aOnEvent, aControl);
  }

private:
  script mScript;
};

/// @return An answer without error.
inline upstream_answer
Answered(std::string aBody = {}, int aStatus = 200)
{
  upstream_answer answer;
  answer.result = outcome::Answered;
  answer.status = aStatus;
  answer.body = std::move(aBody);
  return answer;
}

/// @return The answer of a failed exchange.
inline upstream_answer
Failed(outcome aOutcome)
{
  upstream_answer answer;
  answer.result = aOutcome;
  answer.error =
    error_info{ aOutcome == outcome::NotRun ? error_code::Unreachable
                                            : error_code::BrokenExchange,
                "exchange",
                "t",
                "failed" };
  return answer;
}

} // namespace arbutusferry::test
