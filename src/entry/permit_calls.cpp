#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "entry/entry_context.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

/// Time limit for sending one part of the permit table.
constexpr duration kHandOverTimeout = std::chrono::seconds(5);

/// Longest wait of a repeated request between checks of its deadline, whose
/// clock is not the one that condition variables wait on.
constexpr duration kRepeatWait = std::chrono::milliseconds(500);

constexpr std::size_t kExchangeIdBytes = 16;

http_response
Refuse(int aStatus, outcome aOutcome, error_code aCode, std::string aMessage)
{
  return ErrorResponse(
    aStatus, aOutcome, { aCode, "check permit", "", std::move(aMessage) });
}

/// Owner of a permit: the stage, the team and the route.
std::string
PermitOwner(const routed_call& aCall)
{
  return std::string(EnumName(aCall.caller.callerStage)) + "/" +
         aCall.caller.team + "/" + aCall.route->name;
}

std::string
RequestHash(const http_request& aRequest)
{
  return Sha256Hex(aRequest.method + " " +
                   RemoveKeyParameters(aRequest.requestTarget) + "\n" +
                   aRequest.body);
}

http_response
ResponseFromStored(const stored_answer& aStored)
{
  http_response response;
  response.status = aStored.status;
  response.contentType = aStored.contentType;
  response.headers = aStored.headers;
  response.body = aStored.body;
  return response;
}

outcome
OutcomeOf(const http_response& aResponse)
{
  return ParseEnum<outcome>(FindHeader(aResponse.headers, kOutcomeHeader))
    .value_or(outcome::Unknown);
}

std::string
AddressOfOwner(entry_context& aContext, const std::string& aInstance)
{
  for (const entry_info& entry : aContext.view.Entries()) {
    if (entry.instance == aContext.instance) {
      continue;
    }
    if (std::find(entry.adopted.begin(), entry.adopted.end(), aInstance) !=
        entry.adopted.end()) {
      return entry.address;
    }
  }
  for (const entry_info& entry : aContext.view.Entries()) {
    if (entry.instance == aInstance) {
      return entry.address;
    }
  }
  return {};
}

/// Forwards a request to the entry that decides about its permit. A forwarded
/// request is not forwarded again.
http_response
Forward(entry_context& aContext,
        const routed_call& aCall,
        const std::string& aAddress)
{
  if (!FindHeader(aCall.request->headers, kForwardedHeader).empty()) {
    return Refuse(502,
                  outcome::Unknown,
                  error_code::Unreachable,
                  "the permit belongs to another instance");
  }
  if (aAddress.empty()) {
    return Refuse(502,
                  outcome::Unknown,
                  error_code::Unreachable,
                  "the instance that issued the permit is gone");
  }
  target_info owner;
  owner.id = aAddress;
  owner.address = aAddress;
  upstream_request request;
  request.exchangeId = RandomHex(kExchangeIdBytes);
  request.method = aCall.request->method;
  request.path = aCall.request->requestTarget;
  // The owner checks the key itself; only targets must not see it.
  for (const char* name : { "Authorization",
                            "X-Api-Key",
                            "Content-Type",
                            "Accept",
                            kPermitHeader,
                            kStageHeader }) {
    const std::string value = FindHeader(aCall.request->headers, name);
    if (!value.empty()) {
      request.headers.emplace_back(name, value);
    }
  }
  request.headers.emplace_back(kForwardedHeader, "1");
  request.body = aCall.request->body;
  request.deadline = aCall.deadline;
  exchange_control control;
  upstream_answer answer =
    aContext.parts.transport->Exchange(owner, request, {}, control);
  if (answer.result != outcome::Answered) {
    // The owner may have run an earlier attempt with this permit.
    answer.result = outcome::Unknown;
    return FailureResponse(answer);
  }
  http_response forwarded;
  forwarded.status = answer.status;
  forwarded.contentType = FindHeader(answer.headers, "Content-Type");
  forwarded.headers = ForwardableAnswerHeaders(answer.headers);
  std::erase_if(forwarded.headers, [](const auto& aHeader) {
    return !FindHeader({ aHeader }, "Content-Type").empty();
  });
  const auto reported =
    ParseEnum<outcome>(FindHeader(answer.headers, kOutcomeHeader));
  forwarded.headers.emplace_back(kOutcomeHeader,
                                 EnumName(reported.value_or(outcome::Unknown)));
  forwarded.body = std::move(answer.body);
  return forwarded;
}

/// Runs the request of a claimed permit, then releases or finishes the permit,
/// also after an exception.
http_response
RunClaimed(entry_context& aContext,
           const std::string& aPermit,
           const std::function<http_response()>& aRun)
{
  http_response response = Refuse(502,
                                  outcome::Unknown,
                                  error_code::Internal,
                                  "internal error while the request ran");
  try {
    response = aRun();
  } catch (const std::exception& exception) {
    Log(
      log_level::Error, "request_failed", { { "message", exception.what() } });
  }
  {
    const std::lock_guard lock(aContext.permitMutex);
    const outcome ended = OutcomeOf(response);
    if (ended == outcome::NotRun) {
      aContext.permits.Release(aPermit);
    } else {
      aContext.permits.Finish(aPermit,
                              { ended,
                                response.status,
                                response.contentType,
                                response.headers,
                                response.body },
                              aContext.Now());
    }
  }
  aContext.permitChanged.notify_all();
  return response;
}

upstream_answer
SendPart(entry_context& aContext,
         const entry_info& aPeer,
         const Json::Value& aPart)
{
  target_info peer;
  peer.id = aPeer.instance;
  peer.address = aPeer.address;
  upstream_request request;
  request.exchangeId = RandomHex(kExchangeIdBytes);
  request.method = "POST";
  request.path = "/internal/permits";
  request.headers = { { "Content-Type", "application/json" } };
  request.body = WriteJson(aPart);
  request.deadline = aContext.Now() + kHandOverTimeout;
  exchange_control control;
  return aContext.parts.transport->Exchange(peer, request, {}, control);
}

} // namespace

http_response
HandlePermits(entry_context& aContext,
              const routed_call& aCall,
              std::int64_t aCount)
{
  if (aCall.route->idempotent || aCall.route->kind == route_kind::Steps) {
    return Refuse(400,
                  outcome::NotRun,
                  error_code::InvalidArgument,
                  "field \"route\": expected a route that is not idempotent");
  }
  std::variant<std::vector<std::string>, error_info> issued;
  {
    const std::lock_guard lock(aContext.permitMutex);
    issued = Capture([&] {
      return aContext.permits.Issue(
        static_cast<std::size_t>(aCount), PermitOwner(aCall), aContext.Now());
    });
  }
  if (const auto* error = std::get_if<error_info>(&issued)) {
    return ErrorResponse(503, outcome::NotRun, *error);
  }
  Json::Value body;
  body["permits"] = Json::Value(Json::arrayValue);
  for (const std::string& permit : std::get<0>(issued)) {
    body["permits"].append(permit);
  }
  body["entry"] = aContext.address;
  body["expires_s"] = 600;
  return JsonResponse(body);
}

http_response
WithPermit(entry_context& aContext,
           const routed_call& aCall,
           const std::function<http_response()>& aRun)
{
  const std::string permit = FindHeader(aCall.request->headers, kPermitHeader);
  if (permit.empty()) {
    return Refuse(428,
                  outcome::NotRun,
                  error_code::InvalidArgument,
                  "header Idempotency-Key: expected a permit of "
                  "POST /v1/permits");
  }
  const std::string owner = PermitOwner(aCall);
  const std::string hash = RequestHash(*aCall.request);
  std::unique_lock lock(aContext.permitMutex);
  for (;;) {
    if (!aContext.permitSuccessor.empty()) {
      const std::string successor = aContext.permitSuccessor;
      lock.unlock();
      return Forward(aContext, aCall, successor);
    }
    const permit_decision decision = aContext.permits.Claim(
      permit, owner, hash, aContext.Now(), !aContext.draining);
    switch (decision.action) {
      case permit_action::Run:
        lock.unlock();
        return RunClaimed(aContext, permit, aRun);
      case permit_action::Replay:
        return ResponseFromStored(*decision.answer);
      case permit_action::Wait:
        if (aContext.Now() >= aCall.deadline) {
          return Refuse(504,
                        outcome::Unknown,
                        error_code::Timeout,
                        "the first request with this permit is still running");
        }
        aContext.permitChanged.wait_for(lock, kRepeatWait);
        break;
      case permit_action::Foreign: {
        lock.unlock();
        const std::string issuer = permit_table::IssuerOf(permit);
        return Forward(aContext, aCall, AddressOfOwner(aContext, issuer));
      }
      case permit_action::RequestMismatch:
        return Refuse(409,
                      outcome::NotRun,
                      error_code::Conflict,
                      "the permit was used with another request");
      case permit_action::OwnerMismatch:
        return Refuse(403,
                      outcome::NotRun,
                      error_code::Unauthorized,
                      "the permit was issued for another tenant or route");
      case permit_action::Expired:
        return Refuse(502,
                      outcome::Unknown,
                      error_code::NotFound,
                      "the permit expired; its request may have run");
      case permit_action::Forged:
        return Refuse(400,
                      outcome::NotRun,
                      error_code::InvalidArgument,
                      "header Idempotency-Key: expected a permit as issued");
      case permit_action::Full:
        return Refuse(503,
                      outcome::NotRun,
                      error_code::Overloaded,
                      aContext.draining ? "draining"
                                        : "the permit table is full");
    }
  }
}

http_response
HandlePermitTakeOver(entry_context& aContext, const http_request& aRequest)
{
  // The table holds stored responses and the secret of the permits, and its
  // sender decides about both, so only known entries may send one.
  const std::string sender = aRequest.remoteIp + ":";
  const auto entries = aContext.view.Entries();
  const bool known =
    std::any_of(entries.begin(), entries.end(), [&](const entry_info& aEntry) {
      return aEntry.address.starts_with(sender);
    });
  if (!known || aContext.draining) {
    return ErrorResponse(known ? 503 : 403,
                         outcome::NotRun,
                         { error_code::Unavailable,
                           "take over permits",
                           aRequest.remoteIp,
                           known ? "draining" : "the sender is not an entry" });
  }
  const auto taken = Capture([&]() -> result<void> {
    BOOST_LEAF_AUTO(table, ParseJson(aRequest.body, aRequest.remoteIp));
    const std::lock_guard lock(aContext.permitMutex);
    return aContext.permits.Import(table, aRequest.remoteIp, aContext.Now());
  });
  if (const auto* error = std::get_if<error_info>(&taken)) {
    return ErrorResponse(400, outcome::NotRun, *error);
  }
  Log(log_level::Info, "permits_taken_over", { { "peer", aRequest.remoteIp } });
  Json::Value body;
  body["accepted"] = true;
  return JsonResponse(body);
}

void
HandOverPermits(entry_context& aContext)
{
  std::vector<Json::Value> parts;
  {
    const std::lock_guard lock(aContext.permitMutex);
    aContext.permits.Expire(aContext.Now());
    // Half of the body limit leaves room for the JSON around the permits.
    parts = aContext.permits.Export(
      aContext.Now(),
      static_cast<std::size_t>(aContext.settings.limits.maxBodyBytes) / 2);
  }
  if (parts.empty()) {
    return;
  }
  for (const entry_info& entry : aContext.view.Entries()) {
    if (entry.zone != aContext.settings.zone || entry.draining ||
        entry.instance == aContext.instance) {
      continue;
    }
    {
      // From here on the other entry may accept these permits, so this one must
      // not.
      const std::lock_guard lock(aContext.permitMutex);
      aContext.permitSuccessor = entry.address;
    }
    bool accepted = true;
    bool mayBeActive = false;
    for (std::size_t i = 0; i < parts.size() && accepted; ++i) {
      const upstream_answer answer = SendPart(aContext, entry, parts[i]);
      accepted = answer.result == outcome::Answered && answer.status == 200;
      // The receiver activates the table with its last part. If the response to
      // that part is lost, no second entry may get the table: both would run a
      // request with an unused permit.
      mayBeActive = i + 1 == parts.size() &&
                    (accepted || answer.result == outcome::Unknown);
    }
    if (mayBeActive) {
      Log(accepted ? log_level::Info : log_level::Warning,
          accepted ? "permits_handed_over" : "permits_hand_over_unknown",
          { { "peer", entry.address } });
      return;
    }
    const std::lock_guard lock(aContext.permitMutex);
    aContext.permitSuccessor.clear();
  }
  Log(log_level::Warning, "permits_not_handed_over");
}

} // namespace arbutusferry
