#include "entry/call_runner.hpp"

#include "arbutusferry/hash.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace arbutusferry {

namespace {

/// Bytes of an exchange id, long enough to be unique without coordination.
constexpr std::size_t kExchangeIdBytes = 16;

/// Assignment that a call waits for; set by the callback of the dispatcher.
struct pending_assignment
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
call_runner::AwaitAssignment(const work_item& aItem, exchange_control& aControl)
{
  const auto pending = std::make_shared<pending_assignment>();
  const bool open = aControl.Attach([pending] {
    const std::lock_guard lock(pending->mutex);
    pending->cancelled = true;
    pending->wake.notify_all();
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
    [pending](std::variant<assignment, error_info> aValue) {
      const std::lock_guard lock(pending->mutex);
      pending->value = std::move(aValue);
      pending->wake.notify_all();
    },
    start);
  std::unique_lock lock(pending->mutex);
  // The dispatcher ends the wait at the deadline of the item.
  pending->wake.wait(lock,
                     [&] { return pending->value || pending->cancelled; });
  if (!pending->value) {
    lock.unlock();
    if (mDispatcher.Cancel(id)) {
      aControl.Detach();
      return cancelled;
    }
    lock.lock();
    pending->wake.wait(lock, [&] { return pending->value.has_value(); });
  }
  std::variant<assignment, error_info> value = std::move(*pending->value);
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
    const auto assigned = AwaitAssignment(aPlan.item, aControl);
    if (const auto* error = std::get_if<error_info>(&assigned)) {
      // The result of an earlier attempt is more informative.
      if (result.attempts == 0) {
        result.answer.error = *error;
      }
      break;
    }
    const assignment& slot = std::get<assignment>(assigned);
    ++result.attempts;
    result.target = slot.target.id;
    result.exchangeId = RandomHex(kExchangeIdBytes);
    aPlan.request.exchangeId = result.exchangeId;
    aPlan.request.idempotent = aPlan.item.idempotent;
    aPlan.request.deadline = aPlan.item.deadline;
    if (aPlan.onAttempt) {
      aPlan.onAttempt(result.exchangeId);
    }
    bool first = true;
    result.answer = mTransport.Exchange(
      slot.target,
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
    end.tokens = aPlan.countTokens ? aPlan.countTokens(result.answer)
                 : result.answer.result == outcome::NotRun
                   ? 0.0
                   : aPlan.item.estimatedTokens;
    end.targetFailed = TargetFailed(result.answer, aControl);
    const time_point now = mClock.Now();
    mDispatcher.Complete(slot.id, end, now);
    mayHaveRun = mayHaveRun || result.answer.result != outcome::NotRun;
    const bool repeatable =
      result.answer.result == outcome::NotRun ||
      (aPlan.item.idempotent &&
       (aPlan.retryAfterEvents || !result.answer.eventsDelivered));
    if (!end.targetFailed || !repeatable || now >= aPlan.item.deadline ||
        !mDispatcher.TryRetry(aPlan.item.team, now)) {
      break;
    }
    mMetrics.Count("arbutusferry_retries_total", labels);
    aPlan.item.avoid.push_back(slot.target.id);
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
