#include "entry/call_runner.hpp"

#include "arbutusferry/hash.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace arbutusferry {

namespace {

/// Bytes of an exchange id, long enough to be unique without coordination.
constexpr std::size_t kExchangeIdBytes = 16;

/// Place where the dispatcher's callback leaves its answer.
struct assignment_slot
{
  std::mutex mutex;
  std::condition_variable wake;
  std::optional<std::variant<assignment, error_info>> value;
  bool cancelled = false;
};

bool
TargetFailed(const upstream_answer& aAnswer, const exchange_control& aControl)
{
  if (aControl.Cancelled()) {
    return false;
  }
  return aAnswer.result != outcome::Answered || aAnswer.status >= 500;
}

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

call_runner::call_runner(dispatcher& aDispatcher,
                         upstream_transport& aTransport,
                         const clock_source& aClock,
                         metrics_registry& aMetrics)
  : mDispatcher(aDispatcher)
  , mTransport(aTransport)
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

std::variant<assignment, error_info>
call_runner::Assign(const work_item& aItem, exchange_control& aControl)
{
  const auto slot = std::make_shared<assignment_slot>();
  const bool open = aControl.Attach([slot] {
    const std::lock_guard lock(slot->mutex);
    slot->cancelled = true;
    slot->wake.notify_all();
  });
  const error_info cancelled{
    error_code::Unavailable, "queue", "", "cancelled"
  };
  if (!open) {
    return cancelled;
  }
  const time_point start = mClock.Now();
  const work_id id = mDispatcher.Submit(
    aItem,
    [slot](std::variant<assignment, error_info> aValue) {
      const std::lock_guard lock(slot->mutex);
      slot->value = std::move(aValue);
      slot->wake.notify_all();
    },
    start);
  std::unique_lock lock(slot->mutex);
  // The dispatcher ends the wait at the deadline of the item.
  slot->wake.wait(lock, [&] { return slot->value || slot->cancelled; });
  if (!slot->value) {
    lock.unlock();
    if (mDispatcher.Cancel(id)) {
      aControl.Detach();
      return cancelled;
    }
    lock.lock();
    slot->wake.wait(lock, [&] { return slot->value.has_value(); });
  }
  std::variant<assignment, error_info> value = std::move(*slot->value);
  lock.unlock();
  aControl.Detach();
  mMetrics.Observe("arbutusferry_queue_wait_seconds",
                   { { "class", aItem.targetClass }, { "tenant", aItem.team } },
                   Seconds(mClock.Now() - start));
  return value;
}

call_result
call_runner::Run(call_plan aPlan, exchange_control& aControl)
{
  call_result result;
  result.answer.error =
    error_info{ error_code::Unavailable, "queue", "", "not started" };
  const metric_labels labels{ { "class", aPlan.item.targetClass },
                              { "tenant", aPlan.item.team } };
  const time_point start = mClock.Now();
  bool mayHaveRun = false;
  for (;;) {
    const auto assigned = Assign(aPlan.item, aControl);
    if (const auto* error = std::get_if<error_info>(&assigned)) {
      // The answer of an earlier attempt tells the caller more.
      if (result.attempts == 0) {
        result.answer.error = *error;
      }
      break;
    }
    const assignment& place = std::get<assignment>(assigned);
    ++result.attempts;
    result.target = place.target.id;
    result.exchangeId = RandomHex(kExchangeIdBytes);
    aPlan.request.exchangeId = result.exchangeId;
    aPlan.request.idempotent = aPlan.item.idempotent;
    aPlan.request.deadline = aPlan.item.deadline;
    if (aPlan.onAttempt) {
      aPlan.onAttempt(result.exchangeId);
    }
    bool first = true;
    result.answer = mTransport.Exchange(
      place.target,
      aPlan.request,
      [&](const Json::Value& aEvent) {
        if (first) {
          first = false;
          mMetrics.Observe("arbutusferry_first_token_seconds",
                           labels,
                           Seconds(mClock.Now() - start));
        }
        return !aPlan.onEvent || aPlan.onEvent(aEvent);
      },
      aControl);
    completion end;
    end.tokens = aPlan.tokens ? aPlan.tokens(result.answer)
                 : result.answer.result == outcome::NotRun
                   ? 0.0
                   : aPlan.item.estimatedTokens;
    end.targetFailed = TargetFailed(result.answer, aControl);
    const time_point now = mClock.Now();
    mDispatcher.Complete(place.id, end, now);
    mayHaveRun = mayHaveRun || result.answer.result != outcome::NotRun;
    const bool repeatable =
      result.answer.result == outcome::NotRun ||
      (aPlan.item.idempotent &&
       (aPlan.mayRepeatEvents || !result.answer.sawEvents));
    if (!end.targetFailed || !repeatable || now >= aPlan.item.deadline ||
        !mDispatcher.TryRetry(aPlan.item.team, now)) {
      break;
    }
    mMetrics.Count("arbutusferry_retries_total", labels);
    aPlan.item.avoid.push_back(place.target.id);
  }
  if (result.answer.result == outcome::NotRun && mayHaveRun) {
    result.answer.result = outcome::Unknown;
  }
  mMetrics.Observe(
    "arbutusferry_latency_seconds", labels, Seconds(mClock.Now() - start));
  metric_labels ended = labels;
  ended["outcome"] = std::string(EnumName(result.answer.result));
  mMetrics.Count("arbutusferry_calls_total", ended);
  return result;
}

} // namespace arbutusferry
