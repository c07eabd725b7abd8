#include "admission/node_admission.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Interval at which waiting requests are looked at again: about the duration
/// of one request (25 ms in both deployments).
constexpr milliseconds kDispatchInterval{ 25 };
/// A refused caller returns after at least the time in which a full queue of a
/// target empties (24 requests, 6 slots, 25 ms each).
constexpr milliseconds kMinRetryAfter{ 100 };
/// Longest delay of a refused caller: callers honor one up to a third of their
/// remaining time.
constexpr int kRetryAfterPart = 3;
/// The longest delay stays this much below a third, for the time that the
/// refusal takes to the caller.
constexpr milliseconds kRetryAfterMargin{ 10 };
constexpr milliseconds kMaxRetryAfter{ 5'000 };
/// Refused requests that are remembered, and for how long: callers return
/// within a third of their time (2,000 ms at most in both deployments).
constexpr std::size_t kMaxRefused = 1'024;
constexpr std::chrono::seconds kRefusedRetention{ 1 };
/// What a returned request may lack of the right to be sent.
constexpr double kReturnedOverdraft = 1;
/// A request is expected to take this many halves of the mean response time.
/// With two, those that waited longest, which are sent last, were late: 0.73 of
/// the capacity was answered in time on three nodes, with three, 0.95.
constexpr int kResponseMargin = 3;
/// A full target counts like a response after this many halves of the latency
/// target.
constexpr int kFullResponse = 3;
/// Requests that yield go behind all priorities of callers.
constexpr int kYieldingPriority = 1'000'000;
/// Second attempts under pressure, in requests per response and window (10 s).
/// They are few: each takes the place of a request that can still be in time.
constexpr retry_options kRetryBudget{ 0.1, 2, std::chrono::seconds(10) };
constexpr retry_options kHedgeBudget{ 0.02, 1, std::chrono::seconds(10) };
constexpr int kLogLinesPerSecond = 20;

std::string
Milliseconds(duration aTime)
{
  return std::to_string(ToMilliseconds(aTime));
}

class_shares::request_class
ClassOf(const offered_call& aCall)
{
  return { aCall.priority, aCall.team };
}

offered_call
WithEffectivePriority(offered_call aCall)
{
  if (aCall.yields) {
    aCall.priority = kYieldingPriority;
  }
  return aCall;
}

} // namespace

node_admission::node_admission(event_loop& aLoop,
                               metrics_registry& aMetrics,
                               estimate_factory aMakeEstimate,
                               const waiting_limits& aLimits)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mMakeEstimate(std::move(aMakeEstimate))
  , mLimits(aLimits)
  , mLogLimiter(kLogLinesPerSecond)
{
}

node_admission::service_load&
node_admission::Load(const std::string& aService)
{
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    return found->second;
  }
  service_load& added =
    mServices.try_emplace(aService, mMakeEstimate(), mLimits).first->second;
  added.retries = retry_budget(kRetryBudget);
  added.hedges = retry_budget(kHedgeBudget);
  return added;
}

double
node_admission::ShareOf(const std::string& aService,
                        service_load& aLoad,
                        time_point aNow)
{
  const double share = aLoad.estimate->Share(aNow);
  const bool pressed = share < 1;
  if (!pressed && !aLoad.pressed) {
    return share;
  }
  mMetrics.SetGauge(
    "ferry_admission_share", { { "service", aService } }, share);
  mMetrics.SetGauge("ferry_admission_capacity_per_second",
                    { { "service", aService } },
                    share * aLoad.shares.OfferedPerSecond(aNow));
  if (pressed != aLoad.pressed) {
    aLoad.pressed = pressed;
    if (mLogLimiter.Allow("admission_pressure", aNow)) {
      Log(log_level::Info,
          pressed ? "admission_pressure" : "admission_pressure_ended",
          { { "service", aService },
            { "share", std::to_string(share) },
            { "response_ms", Milliseconds(aLoad.estimate->ExpectedResponse()) },
            { "age_ms", Milliseconds(aLoad.estimate->Age(aNow)) },
            { "offered_per_second",
              std::to_string(aLoad.shares.OfferedPerSecond(aNow)) } });
    }
  }
  return share;
}

admission_decision
node_admission::Offer(const offered_call& aCall,
                      time_point aNow,
                      decided aDecided)
{
  offered_call call = WithEffectivePriority(aCall);
  service_load& load = Load(call.service);
  const double share = ShareOf(call.service, load, aNow);
  load.estimate->NoteOffered(aNow);
  load.shares.NoteOffered(ClassOf(call), share, aNow);
  if (share >= 1) {
    return {};
  }
  const auto refused = mRefused.find(call.fingerprint);
  const bool returned = refused != mRefused.end();
  if (returned) {
    // Its first arrival gives it a place before requests that came later.
    call.arrived = refused->second.arrived;
  }
  Dispatch(call.service, load, aNow);
  if (aNow >= load.fullUntil && load.waiting.Empty() &&
      load.shares.TryTake(ClassOf(call), returned ? kReturnedOverdraft : 0)) {
    mRefused.erase(call.fingerprint);
    return {};
  }
  const duration wait = std::max<duration>(
    load.fullUntil - aNow,
    load.shares.TimeToEarn(ClassOf(call),
                           1.0 + static_cast<double>(load.waiting.Before(call)),
                           aNow));
  return WaitOrRefuse(
    load, { call, std::move(aDecided), {}, false }, wait, aNow);
}

admission_decision
node_admission::OfferAgain(const offered_call& aCall,
                           time_point aNow,
                           decided aDecided)
{
  const offered_call call = WithEffectivePriority(aCall);
  service_load& load = Load(call.service);
  if (call.foundFull) {
    load.estimate->NoteFull(aNow);
  }
  load.fullUntil = aNow + kDispatchInterval;
  (void)ShareOf(call.service, load, aNow);
  return WaitOrRefuse(
    load, { call, std::move(aDecided), {}, true }, kDispatchInterval, aNow);
}

admission_decision
node_admission::WaitOrRefuse(service_load& aLoad,
                             waiting_calls::entry aEntry,
                             duration aWait,
                             time_point aNow)
{
  const offered_call& call = aEntry.call;
  const duration expected = aLoad.estimate->ExpectedResponse();
  aEntry.latestStart =
    std::min(call.arrived + call.latencyTarget, call.answerBy) -
    kResponseMargin * expected / 2;
  const bool pressed = aLoad.estimate->Share(aNow) < 1;
  if (pressed && aWait > aEntry.latestStart - aNow) {
    return Refusal(call, aLoad, aWait, "late", aNow);
  }
  if (!pressed && aWait > call.answerBy - aNow) {
    return Refusal(call, aLoad, aWait, "no_time_left", aNow);
  }
  const std::uint64_t ticket = call.ticket;
  mWaitingService[ticket] = call.service;
  CountVerdict(call, "wait");
  auto dropped = aLoad.waiting.Add(std::move(aEntry), aNow);
  admission_decision decision{ admission_verdict::Wait, {} };
  for (waiting_calls::entry& entry : dropped) {
    mWaitingService.erase(entry.call.ticket);
    const admission_decision refusal =
      Refusal(entry.call, aLoad, aWait, "queue_full", aNow);
    if (entry.call.ticket == ticket) {
      decision = refusal;
    } else {
      entry.decided(refusal);
    }
  }
  if (decision.verdict == admission_verdict::Wait) {
    ArmTimer();
  }
  return decision;
}

admission_decision
node_admission::Refusal(const offered_call& aCall,
                        service_load& aLoad,
                        duration aWait,
                        const char* aReason,
                        time_point aNow)
{
  CountVerdict(aCall, "refuse");
  // Callers that are refused together return spread over the time that they
  // can wait, so that they don't find the targets full together again.
  const duration longest = std::clamp<duration>(
    (aCall.answerBy - aNow) / kRetryAfterPart - kRetryAfterMargin,
    kMinRetryAfter,
    kMaxRetryAfter);
  const duration soonest =
    std::clamp<duration>(aWait, kMinRetryAfter, (kMinRetryAfter + longest) / 2);
  const double drawn =
    static_cast<double>(Hash64(aCall.id, aCall.ticket) >> 11) * 0x1.0p-53;
  const auto retryAfter = std::chrono::ceil<milliseconds>(
    soonest +
    std::chrono::duration_cast<duration>((longest - soonest) * drawn));
  if (mRefused.size() >= kMaxRefused) {
    std::erase_if(mRefused, [&](const auto& aEntry) {
      return aNow - aEntry.second.refusedAt >= kRefusedRetention;
    });
  }
  if (mRefused.size() < kMaxRefused) {
    mRefused.insert_or_assign(aCall.fingerprint,
                              refused_call{ aCall.arrived, aNow });
  }
  if (mLogLimiter.Allow("admission_refused", aNow)) {
    Log(log_level::Info,
        "admission_refused",
        { { "request", aCall.id },
          { "service", aCall.service },
          { "tenant", aCall.team },
          { "priority", std::to_string(aCall.priority) },
          { "reason", aReason },
          { "share", std::to_string(aLoad.estimate->Share(aNow)) },
          { "wait_ms", Milliseconds(aWait) },
          { "response_ms", Milliseconds(aLoad.estimate->ExpectedResponse()) },
          { "age_ms", Milliseconds(aLoad.estimate->Age(aNow)) },
          { "retry_after_ms", std::to_string(retryAfter.count()) } });
  }
  return { admission_verdict::Refuse, retryAfter };
}

void
node_admission::Dispatch(const std::string& aService,
                         service_load& aLoad,
                         time_point aNow)
{
  if (aLoad.waiting.Empty()) {
    return;
  }
  const double share = ShareOf(aService, aLoad, aNow);
  aLoad.waiting.Reorder(aNow);
  std::vector<std::pair<std::uint64_t, admission_decision>> outcomes;
  for (const auto& [order, entry] : aLoad.waiting.InOrder()) {
    const offered_call& call = entry.call;
    if (aNow >= aLoad.fullUntil && (share >= 1 || entry.admitted ||
                                    aLoad.shares.TryTake(ClassOf(call), 0))) {
      outcomes.emplace_back(call.ticket, admission_decision{});
    } else if (share < 1 && entry.latestStart < aNow) {
      outcomes.emplace_back(
        call.ticket, Refusal(call, aLoad, kDispatchInterval, "late", aNow));
    }
  }
  // Callbacks may offer requests again, so they run after the loop.
  for (const auto& [ticket, decision] : outcomes) {
    mWaitingService.erase(ticket);
    if (auto entry = aLoad.waiting.Remove(ticket)) {
      entry->decided(decision);
    }
  }
}

void
node_admission::DispatchAll()
{
  for (auto& [service, load] : mServices) {
    Dispatch(service, load, mLoop.Now());
  }
  ArmTimer();
}

void
node_admission::ArmTimer()
{
  if (!mTimer && !mWaitingService.empty()) {
    mTimer = mLoop.After(kDispatchInterval, [this] {
      mTimer.reset();
      DispatchAll();
    });
  }
}

void
node_admission::Leave(std::uint64_t aTicket)
{
  if (const auto found = mWaitingService.find(aTicket);
      found != mWaitingService.end()) {
    (void)Load(found->second).waiting.Remove(aTicket);
    mWaitingService.erase(found);
  }
}

void
node_admission::NoteAnswered(const offered_call& aCall,
                             const std::string& aTarget,
                             duration aTaken,
                             time_point aNow)
{
  service_load& load = Load(aCall.service);
  load.estimate->NoteAnswered(aTaken, aCall.latencyTarget, aNow);
  load.speeds.Note(aTarget, aTaken, aNow);
  load.retries.OnSuccess(aNow);
  load.hedges.OnSuccess(aNow);
  load.fullUntil = {};
  Dispatch(aCall.service, load, aNow);
}

void
node_admission::NoteAccepted(const offered_call& aCall, time_point aNow)
{
  // The time of a stream tells nothing about queues.
  Load(aCall.service).estimate->NoteAnswered(duration::zero(), {}, aNow);
}

void
node_admission::NoteFull(const offered_call& aCall,
                         const std::string& aTarget,
                         time_point aNow)
{
  Load(aCall.service)
    .speeds.Note(aTarget, kFullResponse * aCall.latencyTarget / 2, aNow);
}

bool
node_admission::MayRetry(const offered_call& aCall, time_point aNow)
{
  service_load& load = Load(aCall.service);
  return ShareOf(aCall.service, load, aNow) >= 1 || load.retries.TryTake(aNow);
}

bool
node_admission::MayHedge(const offered_call& aCall, time_point aNow)
{
  service_load& load = Load(aCall.service);
  return ShareOf(aCall.service, load, aNow) >= 1 || load.hedges.TryTake(aNow);
}

const target_ranking*
node_admission::Ranking(const std::string& aService, time_point aNow) const
{
  const auto found = mServices.find(aService);
  return found != mServices.end() && found->second.estimate->Share(aNow) < 1
           ? &found->second.speeds
           : nullptr;
}

void
node_admission::CountVerdict(const offered_call& aCall, const char* aVerdict)
{
  mMetrics.Count(
    "ferry_admission_total",
    { { "verdict", aVerdict },
      { "priority", aCall.yields ? "reward" : std::to_string(aCall.priority) },
      { "tenant", aCall.team } });
}

} // namespace arbutusferry::node
