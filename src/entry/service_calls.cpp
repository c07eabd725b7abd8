#include "entry/entry_context.hpp"

namespace arbutusferry {

namespace {

http_answer
RunService(entry_context& aContext, const routed_call& aCall)
{
  call_plan plan;
  plan.item = MakeWorkItem(aCall, work_kind::Interactive);
  plan.request.method = aCall.call->method;
  plan.request.path = RemoveKeyParameters(aCall.call->target);
  plan.request.headers = ForwardableRequestHeaders(aCall.call->headers);
  if (!aCall.route->idempotent) {
    // A permit concerns only the entries.
    std::erase_if(plan.request.headers, [](const auto& aHeader) {
      return !FindHeader({ aHeader }, kPermitHeader).empty();
    });
  }
  plan.request.body = aCall.call->body;
  exchange_control control;
  call_result ended = aContext.runner.Run(std::move(plan), control);
  if (ended.answer.result != outcome::Answered) {
    return FailureAnswer(ended.answer);
  }
  CountUsage(aContext, aCall, 0, 0);
  http_answer answer;
  answer.status = ended.answer.status;
  answer.contentType = FindHeader(ended.answer.headers, "Content-Type");
  answer.headers.emplace_back(kOutcomeHeader, EnumName(outcome::Answered));
  for (auto& header : ForwardableAnswerHeaders(ended.answer.headers)) {
    if (FindHeader({ header }, "Content-Type").empty()) {
      answer.headers.push_back(std::move(header));
    }
  }
  answer.body = std::move(ended.answer.body);
  return answer;
}

} // namespace

http_answer
HandleService(entry_context& aContext, const routed_call& aCall)
{
  if (aCall.route->idempotent) {
    return RunService(aContext, aCall);
  }
  return WithPermit(
    aContext, aCall, [&] { return RunService(aContext, aCall); });
}

} // namespace arbutusferry
