#include "arbutusferry/json.hpp"
#include "arbutusferry/step.hpp"
#include "entry/entry_context.hpp"
#include "samples/prefix_blocks.hpp"

namespace arbutusferry {

namespace {

/// Events buffered for a slow caller; a full queue slows the target down
/// instead of using more memory.
constexpr std::size_t kStreamQueueCapacity = 64;

/// Longest wait for an event before the server checks whether the caller is
/// still connected.
constexpr duration kStreamWait = std::chrono::milliseconds(500);

constexpr std::int64_t kDefaultTokens = 256;
constexpr double kBytesPerToken = 4.0;

/// Accumulates the events of one attempt and checks their order.
class completion_events
{
public:
  void Reset(const std::string& aId)
  {
    mId = aId;
    mText.clear();
    mTokens = Json::Value(Json::arrayValue);
    mSegments = weight_segments();
    mAllVersionsKnown = true;
    mFinishReason.clear();
    mUsage = Json::Value();
  }

  /// @return False if the event is out of order.
  bool Add(const Json::Value& aEvent)
  {
    if (!mFinishReason.empty()) {
      return false;
    }
    const Json::Value& tokens = aEvent["tokens"];
    if (tokens.isArray() && !tokens.empty()) {
      const Json::Value& index = aEvent["index"];
      if (!index.isInt64() ||
          index.asInt64() != static_cast<std::int64_t>(mTokens.size())) {
        return false;
      }
      const Json::Value& version = aEvent["weight_version"];
      mAllVersionsKnown =
        mAllVersionsKnown && version.isInt64() &&
        mSegments.Add(version.asInt64(),
                      index.asInt64(),
                      static_cast<std::int64_t>(tokens.size()));
      for (const Json::Value& token : tokens) {
        mTokens.append(token);
      }
    }
    if (aEvent["text"].isString()) {
      mText += aEvent["text"].asString();
    }
    if (aEvent["finish_reason"].isString()) {
      mFinishReason = aEvent["finish_reason"].asString();
    }
    if (aEvent["usage"].isObject()) {
      mUsage = aEvent["usage"];
    }
    return true;
  }

  /// @return True if the finish reason was received and no token is missing.
  [[nodiscard]] bool Complete() const
  {
    const Json::Value& count = mUsage["completion_tokens"];
    return !mFinishReason.empty() &&
           (!count.isInt64() ||
            count.asInt64() == static_cast<std::int64_t>(mTokens.size()));
  }

  [[nodiscard]] std::int64_t PromptTokens() const
  {
    const Json::Value& count = mUsage["prompt_tokens"];
    return count.isInt64() ? count.asInt64() : 0;
  }

  [[nodiscard]] std::int64_t GeneratedTokens() const
  {
    return static_cast<std::int64_t>(mTokens.size());
  }

  [[nodiscard]] Json::Value Body(const std::string& aModel) const
  {
    Json::Value body;
    body["id"] = mId;
    body["model"] = aModel;
    body["text"] = mText;
    body["tokens"] = mTokens;
    body["finish_reason"] = mFinishReason;
    if (!mUsage.isNull()) {
      body["usage"] = mUsage;
    }
    if (mAllVersionsKnown) {
      body["segments"] = Json::Value(Json::arrayValue);
      for (const weight_segment& segment : mSegments.List()) {
        Json::Value value;
        value["version"] = static_cast<Json::Int64>(segment.version);
        value["from"] = static_cast<Json::Int64>(segment.from);
        value["to"] = static_cast<Json::Int64>(segment.to);
        body["segments"].append(value);
      }
    }
    return body;
  }

private:
  std::string mId;
  std::string mText;
  Json::Value mTokens{ Json::arrayValue };
  weight_segments mSegments;
  bool mAllVersionsKnown = true;
  std::string mFinishReason;
  Json::Value mUsage;
};

call_plan
MakePlan(const routed_call& aCall, const Json::Value& aBody)
{
  call_plan plan;
  plan.item = MakeWorkItem(aCall, work_kind::Interactive);
  const model_config* model =
    aCall.config->document->FindModel(aCall.route->model);
  if (model != nullptr) {
    plan.item.minVersion = model->minVersion;
  }
  const std::string prompt =
    aBody["prompt"].isString() ? aBody["prompt"].asString() : std::string();
  const Json::Value& maxTokens = aBody["max_tokens"];
  plan.item.estimatedTokens =
    static_cast<double>(maxTokens.isInt64() && maxTokens.asInt64() > 0
                          ? maxTokens.asInt64()
                          : kDefaultTokens) +
    static_cast<double>(prompt.size()) / kBytesPerToken;
  plan.item.prefix = PrefixBlockHashes(prompt);
  Json::Value body = aBody;
  body["stream"] = true;
  plan.request.method = "POST";
  plan.request.path = "/v1/completions";
  plan.request.headers = { { "Content-Type", "application/json" } };
  plan.request.body = WriteJson(body);
  plan.request.events = true;
  return plan;
}

std::function<double(const upstream_answer&)>
CountTokens(const std::shared_ptr<completion_events>& aEvents)
{
  return [aEvents](const upstream_answer&) {
    return static_cast<double>(aEvents->PromptTokens() +
                               aEvents->GeneratedTokens());
  };
}

/// Marks an answer as broken if it ended regularly but its completion is not
/// complete.
void
RequireComplete(upstream_answer& aAnswer, const completion_events& aEvents)
{
  if (aAnswer.result == outcome::Answered && aAnswer.status == 200 &&
      !aEvents.Complete()) {
    aAnswer.result = outcome::Unknown;
    aAnswer.error =
      error_info{ error_code::BrokenExchange,
                  "exchange",
                  "",
                  "the completion lacks tokens or a finish reason" };
  }
}

http_response
TargetErrorResponse(const upstream_answer& aAnswer)
{
  http_response response;
  response.status = aAnswer.status;
  response.contentType = FindHeader(aAnswer.headers, "Content-Type");
  response.headers.emplace_back(kOutcomeHeader, EnumName(outcome::Answered));
  response.body = aAnswer.body;
  return response;
}

http_response
RunBuffered(entry_context& aContext,
            const routed_call& aCall,
            const Json::Value& aBody)
{
  const auto events = std::make_shared<completion_events>();
  call_plan plan = MakePlan(aCall, aBody);
  std::string stream;
  plan.onAttempt = [&](const std::string& aId) {
    events->Reset(aId);
    stream.clear();
  };
  const bool wantsStream = aBody["stream"].isBool() && aBody["stream"].asBool();
  plan.onEvent = [&](const Json::Value& aEvent) {
    if (wantsStream) {
      stream += "data: " + WriteJson(aEvent) + "\n\n";
    }
    return events->Add(aEvent);
  };
  plan.countTokens = CountTokens(events);
  exchange_control control;
  call_result ended = aContext.runner.Run(std::move(plan), control);
  RequireComplete(ended.answer, *events);
  if (ended.answer.result != outcome::Answered) {
    return FailureResponse(ended.answer);
  }
  if (ended.answer.status != 200) {
    return TargetErrorResponse(ended.answer);
  }
  CountUsage(
    aContext, aCall, events->PromptTokens(), events->GeneratedTokens());
  http_response response = JsonResponse(events->Body(aCall.route->model));
  if (wantsStream) {
    response.contentType = "text/event-stream";
    response.body = stream + "data: [DONE]\n\n";
  }
  return response;
}

/// Completion that is streamed to the caller event by event.
class completion_stream : public std::enable_shared_from_this<completion_stream>
{
public:
  completion_stream(entry_context& aContext, const routed_call& aCall)
    : mContext(aContext)
    , mCall(aCall)
    , mQueue(kStreamQueueCapacity)
  {
    // The request is destroyed with the handler, before the stream ends.
    mCall.request = nullptr;
  }

  http_response Start(const Json::Value& aBody)
  {
    call_plan plan = MakePlan(mCall, aBody);
    plan.retryAfterEvents = false;
    plan.onAttempt = [this](const std::string& aId) { mEvents->Reset(aId); };
    plan.onEvent = [this](const Json::Value& aEvent) {
      return mEvents->Add(aEvent) && mQueue.Push(aEvent);
    };
    plan.countTokens = CountTokens(mEvents);
    std::function<void()> work = [self = shared_from_this(),
                                  plan = std::move(plan)]() mutable {
      self->mResult =
        self->mContext.runner.Run(std::move(plan), self->mControl);
      RequireComplete(self->mResult.answer, *self->mEvents);
      self->mQueue.Close();
    };
    if (!mContext.exchanges.Run(work)) {
      return ErrorResponse(503,
                           outcome::NotRun,
                           { error_code::Overloaded,
                             "start stream",
                             "",
                             "too many streams are open" });
    }
    while (!mFirst && !mQueue.Drained()) {
      mFirst = mQueue.Pop(kStreamWait);
    }
    if (!mFirst && mResult.answer.result != outcome::Answered) {
      return FailureResponse(mResult.answer);
    }
    if (!mFirst && mResult.answer.status != 200) {
      return TargetErrorResponse(mResult.answer);
    }
    http_response response;
    response.contentType = "text/event-stream";
    response.headers.emplace_back(kOutcomeHeader, EnumName(outcome::Answered));
    response.headers.emplace_back("Cache-Control", "no-store");
    response.next = [self = shared_from_this()](std::string& aOut) {
      return self->Next(aOut);
    };
    response.onEnd = [self = shared_from_this()](bool) { self->Cancel(); };
    return response;
  }

private:
  bool Next(std::string& aOut)
  {
    std::optional<Json::Value> event =
      mFirst ? std::exchange(mFirst, std::nullopt) : mQueue.Pop(kStreamWait);
    if (mContext.view.Withdrawn(mContext.settings.environment, mCall.caller)) {
      Cancel();
      return Fail(
        outcome::Unknown,
        { error_code::Unauthorized, "check key", "", "key_withdrawn" },
        aOut);
    }
    if (event) {
      aOut += "data: " + WriteJson(*event) + "\n\n";
      return true;
    }
    if (!mQueue.Drained()) {
      return true;
    }
    if (mResult.answer.result != outcome::Answered) {
      return Fail(mResult.answer.result,
                  mResult.answer.error.value_or(error_info{}),
                  aOut);
    }
    CountUsage(
      mContext, mCall, mEvents->PromptTokens(), mEvents->GeneratedTokens());
    aOut += "data: [DONE]\n\n";
    return false;
  }

  static bool Fail(outcome aOutcome,
                   const error_info& aError,
                   std::string& aOut)
  {
    aOut +=
      "event: error\ndata: " + WriteJson(ErrorBody(aOutcome, aError)) + "\n\n";
    return false;
  }

  void Cancel()
  {
    mControl.Cancel();
    mQueue.Close();
  }

  entry_context& mContext;
  routed_call mCall;
  std::shared_ptr<completion_events> mEvents =
    std::make_shared<completion_events>();
  bounded_queue<Json::Value> mQueue;
  exchange_control mControl;
  call_result mResult; ///< Valid once the exchange has closed the queue.
  std::optional<Json::Value> mFirst;
};

} // namespace

http_response
HandleCompletion(entry_context& aContext,
                 const routed_call& aCall,
                 const Json::Value& aBody)
{
  if (!aBody["prompt"].isString()) {
    return ErrorResponse(400,
                         outcome::NotRun,
                         { error_code::InvalidArgument,
                           "read body",
                           "",
                           "field \"prompt\": expected a string" });
  }
  if (!aCall.route->idempotent) {
    return WithPermit(
      aContext, aCall, [&] { return RunBuffered(aContext, aCall, aBody); });
  }
  if (aBody["stream"].isBool() && aBody["stream"].asBool()) {
    return std::make_shared<completion_stream>(aContext, aCall)->Start(aBody);
  }
  return RunBuffered(aContext, aCall, aBody);
}

} // namespace arbutusferry
