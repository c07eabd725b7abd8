#include "arbutusferry/json.hpp"
#include "entry/entry_context.hpp"

namespace arbutusferry {

Json::Value
ErrorBody(outcome aOutcome, const error_info& aError)
{
  Json::Value body;
  Json::Value& error = body["error"];
  error["outcome"] = std::string(EnumName(aOutcome));
  error["code"] = std::string(EnumName(aError.code));
  error["step"] = aError.step;
  error["peer"] = aError.peer;
  error["message"] = aError.message;
  return body;
}

http_response
ErrorResponse(int aStatus, outcome aOutcome, const error_info& aError)
{
  http_response response;
  response.status = aStatus;
  response.headers.emplace_back(kOutcomeHeader, EnumName(aOutcome));
  response.body = WriteJson(ErrorBody(aOutcome, aError)) + "\n";
  return response;
}

http_response
JsonResponse(const Json::Value& aBody)
{
  http_response response;
  response.headers.emplace_back(kOutcomeHeader, EnumName(outcome::Answered));
  response.body = WriteJson(aBody) + "\n";
  return response;
}

http_response
FailureResponse(const upstream_answer& aAnswer)
{
  const error_info error = aAnswer.error.value_or(
    error_info{ error_code::BrokenExchange,
                "exchange",
                "",
                "the response of the target is incomplete" });
  int status = 502;
  if (aAnswer.result == outcome::NotRun) {
    status = error.code == error_code::Overloaded ? 429
             : error.code == error_code::Timeout  ? 504
                                                  : 503;
  } else if (error.code == error_code::Timeout) {
    status = 504;
  }
  return ErrorResponse(status,
                       aAnswer.result == outcome::NotRun ? outcome::NotRun
                                                         : outcome::Unknown,
                       error);
}

work_item
MakeWorkItem(const routed_call& aCall, work_kind aKind)
{
  work_item item;
  item.team = aCall.caller.team.empty() ? kAnonymousTeam : aCall.caller.team;
  item.targetClass = aCall.route->targetClass;
  item.kind = aKind;
  item.idempotent = aCall.route->idempotent;
  item.deadline = aCall.deadline;
  return item;
}

void
CountUsage(entry_context& aContext,
           const routed_call& aCall,
           std::int64_t aPromptTokens,
           std::int64_t aGeneratedTokens)
{
  if (aCall.caller.team.empty()) {
    return;
  }
  usage_event event;
  event.team = aCall.caller.team;
  event.window = WindowStart(aContext.parts.clock->UnixNow(),
                             aCall.config->document->usageWindow);
  event.promptTokens = aPromptTokens;
  event.generatedTokens = aGeneratedTokens;
  aContext.usageEvents.Push(std::move(event));
}

} // namespace arbutusferry
