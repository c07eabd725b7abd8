#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/step.hpp"
#include "entry/entry_context.hpp"

#include <algorithm>

namespace arbutusferry {

namespace {

std::shared_ptr<step_session>
StartSession(entry_context& aContext,
             const routed_call& aCall,
             step_request aStep,
             delivery_cursor aCursor)
{
  const model_config* model =
    aCall.config->document->FindModel(aCall.route->model);
  step_parts parts;
  parts.work = aContext.parts.work.get();
  parts.transport = aContext.parts.transport.get();
  parts.clock = aContext.parts.clock.get();
  parts.metrics = aContext.parts.metrics.get();
  parts.execute = [&aContext](std::function<void()> aTask) {
    return aContext.exchanges.Run(aTask);
  };
  routed_call call = aCall;
  call.request = nullptr;
  parts.withdrawn = [&aContext, call] {
    return aContext.view.Withdrawn(aContext.settings.environment, call.caller);
  };
  parts.delivered = [&aContext, call](std::int64_t aPrompt,
                                      std::int64_t aGenerated) {
    CountUsage(aContext, call, aPrompt, aGenerated);
  };
  parts.team = aCall.caller.team.empty() ? kAnonymousTeam : aCall.caller.team;
  parts.targetClass = aCall.route->targetClass;
  if (model != nullptr) {
    parts.minVersion = model->minVersion;
    parts.stalenessBound = model->stalenessBound;
  }
  parts.deadline = aContext.Now() + aStep.deadline;
  return step_session::Start(
    std::move(aStep), std::move(aCursor), std::move(parts));
}

} // namespace

http_response
HandleStep(entry_context& aContext,
           const routed_call& aCall,
           const Json::Value& aBody)
{
  auto step = Capture([&] { return ReadStep(aBody, "body"); });
  if (const auto* error = std::get_if<1>(&step)) {
    return ErrorResponse(400, outcome::NotRun, *error);
  }
  step_request& request = std::get<0>(step);
  const std::uint64_t hash = StepHash(request);
  const std::size_t samples = SampleCount(request);
  auto cursor = Capture([&]() -> result<delivery_cursor> {
    return request.cursor.empty()
             ? delivery_cursor(hash, samples)
             : delivery_cursor::Decode(request.cursor, hash, samples);
  });
  if (const auto* error = std::get_if<1>(&cursor)) {
    return ErrorResponse(400, outcome::NotRun, *error);
  }
  const auto session = StartSession(
    aContext, aCall, std::move(request), std::move(std::get<0>(cursor)));
  http_response response;
  response.contentType = "application/x-ndjson";
  response.headers.emplace_back(kOutcomeHeader, EnumName(outcome::Answered));
  response.next = [session](std::string& aOut) { return session->Next(aOut); };
  response.onEnd = [session](bool) { session->Cancel(); };
  return response;
}

http_response
HandleWeights(entry_context& aContext,
              const routed_call& aCall,
              const Json::Value& aBody)
{
  std::int64_t version = 0;
  std::string model;
  const auto read = Capture([&]() -> result<void> {
    object_reader reader(aBody, "body");
    model = reader.String("model");
    version = reader.Integer("version", 0, INT64_MAX);
    return reader.Finish();
  });
  if (const auto* error = std::get_if<1>(&read)) {
    return ErrorResponse(400, outcome::NotRun, *error);
  }
  Json::Value params;
  params["environment"] = aContext.settings.environment;
  params["stage"] = std::string(EnumName(aCall.caller.callerStage));
  params["model"] = model;
  params["version"] = static_cast<Json::Int64>(version);
  // Publishing a version is idempotent, so each control process may be tried in
  // turn.
  error_info last{ error_code::Unavailable,
                   "publish weights",
                   "",
                   "no control process is known" };
  bool sent = false;
  for (const std::string& address : aContext.settings.control) {
    try {
      const Json::Value answer =
        aContext.parts.makeClient(address)->Call("weights.publish", params);
      if (answer["outcome"].isString() &&
          answer["outcome"].asString() == "unknown") {
        last = { error_code::Timeout,
                 "publish weights",
                 address,
                 "it is not known whether the record took effect" };
        sent = true;
        break;
      }
      return JsonResponse(answer);
    } catch (const rpc_failure& failure) {
      sent = sent || failure.Sent();
      last = {
        error_code::Unavailable, "publish weights", address, failure.what()
      };
      LogError(log_level::Warning, "weights_not_published", last);
    }
  }
  return ErrorResponse(
    sent ? 502 : 503, sent ? outcome::Unknown : outcome::NotRun, last);
}

} // namespace arbutusferry
