#include "entry/entry_context.hpp"

namespace arbutusferry {

namespace {

http_response
RunService(entry_context& aContext, const routed_call& aCall)
{
  call_plan plan;
  plan.item = MakeWorkItem(aCall, work_kind::Interactive);
  plan.request.method = aCall.request->method;
  plan.request.path = RemoveKeyParameters(aCall.request->requestTarget);
  plan.request.headers = ForwardableRequestHeaders(aCall.request->headers);
  if (!aCall.route->idempotent) {
    // Permits are for entries only; targets do not need them.
    std::erase_if(plan.request.headers, [](const auto& aHeader) {
      return !FindHeader({ aHeader }, kPermitHeader).empty();
    });
  }
  plan.request.body = aCall.request->body;
  exchange_control control;
  call_result ended = aContext.runner.Run(std::move(plan), control);
  if (ended.answer.result != outcome::Answered) {
    return FailureResponse(ended.answer);
  }
  CountUsage(aContext, aCall, 0, 0);
  http_response response;
  response.status = ended.answer.status;
  response.contentType = FindHeader(ended.answer.headers, "Content-Type");
  response.headers.emplace_back(kOutcomeHeader, EnumName(outcome::Answered));
  for (auto& header : ForwardableAnswerHeaders(ended.answer.headers)) {
    if (FindHeader({ header }, "Content-Type").empty()) {
      response.headers.push_back(std::move(header));
    }
  }
  response.body = std::move(ended.answer.body);
  return response;
}

} // namespace

http_response
HandleService(entry_context& aContext, const routed_call& aCall)
{
  if (aCall.route->idempotent) {
    return RunService(aContext, aCall);
  }
  return WithPermit(
    aContext, aCall, [&] { return RunService(aContext, aCall); });
}

} // namespace arbutusferry
