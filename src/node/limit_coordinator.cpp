#include "arbutusferry/node/limit_coordinator.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kAdmissionPath = "/admissions/";
/// Rate in requests per second, and the age of the response that named it.
constexpr const char* kRateHeader = "Ferry-Limit";
constexpr const char* kAgeHeader = "Ferry-Limit-Age-Ms";
/// Rate of a target that the sender takes for cold, the age of what tells so,
/// and whether the target has named no limit.
constexpr const char* kColdRateHeader = "Ferry-Cold-Rate";
constexpr const char* kColdAgeHeader = "Ferry-Cold-Age-Ms";
constexpr const char* kColdOnlyHeader = "Ferry-Cold-Only";
constexpr const char* kMaxWaitHeader = "Ferry-Max-Wait-Ms";
constexpr const char* kWaitHeader = "Ferry-Wait-Ms";
/// Time limit of a question to the leader: many times a round trip within a
/// region, and a fraction of what callers wait.
constexpr milliseconds kLeaderTimeout{ 150 };
/// Time for which a leader that gave no answer isn't asked again.
constexpr milliseconds kLeaderBackoff{ 200 };

/// Rounds up, so that a wait never ends too early.
milliseconds
WaitUntil(time_point aTime, time_point aNow)
{
  return std::max(std::chrono::ceil<milliseconds>(aTime - aNow),
                  milliseconds(0));
}

} // namespace

admission
limit_coordinator::Grant(const std::string& aTarget,
                         const start_limits& aLimits,
                         milliseconds aMaxWait)
{
  const time_point now = mParts.loop.Now();
  auto* known = mParts.targets.Find(aTarget);
  if (!known) {
    return { false, kLeaderBackoff };
  }
  if (aLimits.named) {
    known->limit.Learn(*aLimits.named, now);
  }
  target_limit& counter = CounterOf(aTarget, *known, aLimits);
  const auto start = counter.Reserve(now + aMaxWait, now);
  if (counter.ColdRate()) {
    ++(start ? mColdGranted : mColdRefused);
  }
  return { start.has_value(),
           WaitUntil(start.value_or(counter.NextStart(now)), now) };
}

target_limit&
limit_coordinator::CounterOf(const std::string& aTarget,
                             target_view::known_target& aKnown,
                             const start_limits& aLimits)
{
  if (!aLimits.cold || aKnown.limit.ColdRate()) {
    return aKnown.limit;
  }
  const time_point now = mParts.loop.Now();
  if (aLimits.cold->knownSince > aKnown.cold.KnownSince()) {
    mParts.targets.PresumeCold(aTarget, cold_reason::OtherNode, now);
  }
  if (aKnown.limit.ColdRate() || aKnown.limit.Limited()) {
    return aKnown.limit;
  }
  // This node knows better, or not yet that the service's targets may be cold.
  aKnown.doubtedStarts.SetColdRate(aLimits.cold->perSecond, now);
  return aKnown.doubtedStarts;
}

void
limit_coordinator::Request(const std::string& aTarget,
                           const start_limits& aLimits,
                           milliseconds aMaxWait,
                           std::function<void(const admission&)> aDone)
{
  const time_point now = mParts.loop.Now();
  if (mParts.mayGrant()) {
    aDone(Grant(aTarget, aLimits, aMaxWait));
    return;
  }
  const auto leader = mParts.leader();
  if (!leader || now < mLeaderAvoidUntil) {
    aDone({ false, kLeaderBackoff });
    return;
  }
  http_request request;
  request.method = "POST";
  request.target.append(kAdmissionPath).append(aTarget);
  // A leader of a build without cold targets takes the cold rate as a limit
  // that the target has named, which is the safe side.
  const request_limit named = aLimits.named.value_or(
    request_limit{ aLimits.cold ? aLimits.cold->perSecond : 0.0, now });
  request.headers = {
    { kRateHeader, std::to_string(named.perSecond) },
    { kAgeHeader, std::to_string(ToMilliseconds(now - named.namedAt)) },
    { kMaxWaitHeader, std::to_string(aMaxWait.count()) },
  };
  if (aLimits.cold) {
    request.headers.Add(kColdRateHeader,
                        std::to_string(aLimits.cold->perSecond));
    request.headers.Add(
      kColdAgeHeader,
      std::to_string(ToMilliseconds(now - aLimits.cold->knownSince)));
    if (!aLimits.named) {
      request.headers.Add(kColdOnlyHeader, "1");
    }
  }
  exchange_options options;
  options.connectTimeout = kLeaderTimeout;
  options.readTimeout = kLeaderTimeout;
  options.madeAtOnce = true;
  mParts.client.Send(
    *leader,
    std::move(request),
    options,
    std::make_shared<response_collector>([this,
                                          aTarget,
                                          address = *leader,
                                          done = std::move(aDone),
                                          alive = std::weak_ptr<bool>(mAlive)](
                                           const http_response* aResponse,
                                           exchange_failure) {
      const auto wait = aResponse
                          ? ParseInteger(aResponse->headers.Get(kWaitHeader))
                          : std::nullopt;
      if (!wait) {
        if (!alive.expired()) {
          mLeaderAvoidUntil = mParts.loop.Now() + kLeaderBackoff;
        }
        Log(
          log_level::Info,
          "admission_unanswered",
          { { "target", aTarget },
            { "leader", FormatAddress(address) },
            { "status", aResponse ? std::to_string(aResponse->status) : "" } });
        done({ false, kLeaderBackoff });
        return;
      }
      done({ aResponse->status == 200, milliseconds(*wait) });
    }));
}

bool
limit_coordinator::IsAdmissionPath(std::string_view aPath)
{
  return aPath.starts_with(kAdmissionPath);
}

void
limit_coordinator::Serve(const http_request& aRequest, responder& aResponder)
{
  const auto rate = ParseDecimal(aRequest.headers.Get(kRateHeader));
  const auto ageMs = ParseInteger(aRequest.headers.Get(kAgeHeader));
  const auto maxWaitMs = ParseInteger(aRequest.headers.Get(kMaxWaitHeader));
  http_response response;
  if (!rate || !ageMs || !maxWaitMs) {
    response.status = 400;
  } else if (!mParts.mayGrant()) {
    response.status = 421;
  } else {
    const time_point now = mParts.loop.Now();
    start_limits limits;
    if (!aRequest.headers.Find(kColdOnlyHeader)) {
      limits.named = { *rate, now - milliseconds(*ageMs) };
    }
    const auto coldRate = ParseDecimal(aRequest.headers.Get(kColdRateHeader));
    const auto coldAge = ParseInteger(aRequest.headers.Get(kColdAgeHeader));
    if (coldRate && coldAge) {
      limits.cold = { *coldRate, now - milliseconds(*coldAge) };
    }
    const admission granted =
      Grant(aRequest.target.substr(kAdmissionPath.size()),
            limits,
            milliseconds(*maxWaitMs));
    response.status = granted.granted ? 200 : 429;
    response.headers.Add(kWaitHeader, std::to_string(granted.wait.count()));
  }
  aResponder.Send(std::move(response));
}

} // namespace arbutusferry::node
