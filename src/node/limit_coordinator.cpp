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
                         const request_limit& aLimit,
                         milliseconds aMaxWait)
{
  const time_point now = mParts.loop.Now();
  auto* known = mParts.targets.Find(aTarget);
  if (!known) {
    return { false, kLeaderBackoff };
  }
  known->limit.Learn(aLimit, now);
  const auto start = known->limit.Reserve(now + aMaxWait, now);
  return { start.has_value(),
           WaitUntil(start.value_or(known->limit.NextStart(now)), now) };
}

void
limit_coordinator::Request(const std::string& aTarget,
                           const request_limit& aLimit,
                           milliseconds aMaxWait,
                           std::function<void(const admission&)> aDone)
{
  const time_point now = mParts.loop.Now();
  if (mParts.mayGrant()) {
    aDone(Grant(aTarget, aLimit, aMaxWait));
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
  request.headers = {
    { kRateHeader, std::to_string(aLimit.perSecond) },
    { kAgeHeader, std::to_string(ToMilliseconds(now - aLimit.namedAt)) },
    { kMaxWaitHeader, std::to_string(aMaxWait.count()) },
  };
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
    const admission granted =
      Grant(aRequest.target.substr(kAdmissionPath.size()),
            { *rate, mParts.loop.Now() - milliseconds(*ageMs) },
            milliseconds(*maxWaitMs));
    response.status = granted.granted ? 200 : 429;
    response.headers.Add(kWaitHeader, std::to_string(granted.wait.count()));
  }
  aResponder.Send(std::move(response));
}

} // namespace arbutusferry::node
