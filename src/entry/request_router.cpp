#include "arbutusferry/api_key.hpp"
#include "arbutusferry/json.hpp"
#include "entry/entry_context.hpp"

#include <algorithm>
#include <cctype>

namespace arbutusferry {

namespace {

http_response
Refuse(int aStatus, error_code aCode, const char* aStep, std::string aMessage)
{
  return ErrorResponse(
    aStatus, outcome::NotRun, { aCode, aStep, "", std::move(aMessage) });
}

/// @return API key of a request; empty if there is none.
std::string
PresentedKey(const http_request& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string authorization =
    FindHeader(aRequest.headers, "Authorization");
  if (authorization.size() > kScheme.size() &&
      std::equal(kScheme.begin(),
                 kScheme.end(),
                 authorization.begin(),
                 [](unsigned char aOne, unsigned char aOther) {
                   return std::tolower(aOne) == std::tolower(aOther);
                 })) {
    return authorization.substr(kScheme.size());
  }
  return FindHeader(aRequest.headers, "X-Api-Key");
}

/// @return True if a target could resolve the path to another one than the
/// route was chosen by.
bool
AmbiguousPath(const http_request& aRequest)
{
  const std::string& path = aRequest.path;
  if (path.empty() || path[0] != '/' || path.find('\\') != std::string::npos ||
      path.find("//") != std::string::npos) {
    return true;
  }
  const bool control = std::any_of(
    path.begin(), path.end(), [](unsigned char aByte) { return aByte < ' '; });
  std::string target =
    aRequest.requestTarget.substr(0, aRequest.requestTarget.find('?'));
  std::transform(
    target.begin(), target.end(), target.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  const bool escaped = target.find("%2f") != std::string::npos ||
                       target.find("%25") != std::string::npos;
  const std::string withSlash = path + "/";
  return control || escaped || withSlash.find("/./") != std::string::npos ||
         withSlash.find("/../") != std::string::npos;
}

/// Routes one request by the environment document of its stage.
class router
{
public:
  router(entry_context& aContext, const http_request& aRequest, stage aStage)
    : mContext(aContext)
    , mRequest(aRequest)
    , mStage(aStage)
  {
  }

  http_response Run()
  {
    mRouted.request = &mRequest;
    mRouted.state = mContext.view.State();
    mRouted.config =
      mRouted.state ? mRouted.state->Find(mContext.settings.environment, mStage)
                    : nullptr;
    if (mRouted.config == nullptr || !mRouted.config->document) {
      return Refuse(503,
                    error_code::Unavailable,
                    "route",
                    "no environment document is in force for this stage");
    }
    const std::string& path = mRequest.path;
    if (path == "/v1/completions" || path == "/v1/permits" ||
        path == "/v1/steps" || path == "/v1/weights") {
      if (mRequest.method != "POST") {
        return Refuse(404, error_code::NotFound, "route", "expected POST");
      }
      auto parsed = Capture([&] { return ParseJson(mRequest.body, "body"); });
      if (const auto* error = std::get_if<1>(&parsed)) {
        return ErrorResponse(400, outcome::NotRun, *error);
      }
      mBody = std::move(std::get<0>(parsed));
      if (!mBody.isObject()) {
        return Refuse(400,
                      error_code::InvalidArgument,
                      "read body",
                      "expected a JSON object");
      }
      return path == "/v1/permits" ? Permits() : ByModel();
    }
    mRouted.route = mRouted.config->document->FindServiceRoute(path);
    if (mRouted.route == nullptr) {
      return Refuse(
        404, error_code::NotFound, "route", "no route matches this path");
    }
    if (auto refusal = AuthorizeRoute(false)) {
      return std::move(*refusal);
    }
    return HandleService(mContext, mRouted);
  }

private:
  std::optional<http_response> AuthorizeRoute(bool aNeedsKey)
  {
    auto identity = Authorize(
      mContext, mRequest, *mRouted.config, mStage, *mRouted.route, aNeedsKey);
    if (auto* refusal = std::get_if<http_response>(&identity)) {
      return std::move(*refusal);
    }
    mRouted.caller = std::get<caller_identity>(identity);
    mRouted.deadline = mContext.Now() + mRouted.route->deadline;
    return std::nullopt;
  }

  http_response ByModel()
  {
    const std::string& path = mRequest.path;
    if (!mBody["model"].isString()) {
      return Refuse(400,
                    error_code::InvalidArgument,
                    "read body",
                    "field \"model\": expected a string");
    }
    mRouted.route = mRouted.config->document->FindModelRoute(
      path == "/v1/completions" ? route_kind::Completions : route_kind::Steps,
      mBody["model"].asString());
    if (mRouted.route == nullptr) {
      return Refuse(
        404, error_code::NotFound, "route", "no route serves this model");
    }
    if (auto refusal = AuthorizeRoute(path == "/v1/weights")) {
      return std::move(*refusal);
    }
    return path == "/v1/completions"
             ? HandleCompletion(mContext, mRouted, mBody)
           : path == "/v1/steps" ? HandleStep(mContext, mRouted, mBody)
                                 : HandleWeights(mContext, mRouted, mBody);
  }

  http_response Permits()
  {
    std::int64_t count = 0;
    std::string name;
    const auto read = Capture([&]() -> result<void> {
      object_reader reader(mBody, "body");
      name = reader.String("route");
      count = reader.Integer("count", 1, 4096, 1);
      return reader.Finish();
    });
    if (const auto* error = std::get_if<1>(&read)) {
      return ErrorResponse(400, outcome::NotRun, *error);
    }
    for (const route_config& route : mRouted.config->document->routes) {
      if (route.name == name) {
        mRouted.route = &route;
      }
    }
    if (mRouted.route == nullptr) {
      return Refuse(
        404, error_code::NotFound, "route", "no route has this name");
    }
    if (auto refusal = AuthorizeRoute(false)) {
      return std::move(*refusal);
    }
    return HandlePermits(mContext, mRouted, count);
  }

  entry_context& mContext;
  const http_request& mRequest;
  stage mStage;
  routed_call mRouted;
  Json::Value mBody;
};

std::optional<http_response>
HandleManagementPath(entry_context& aContext, const http_request& aRequest)
{
  if (aRequest.path == "/healthz") {
    Json::Value body;
    body["ok"] = true;
    return JsonResponse(body);
  }
  if (aRequest.path == "/readyz") {
    if (aContext.draining) {
      return Refuse(503, error_code::Unavailable, "ready", "draining");
    }
    if (!aContext.view.State()) {
      return Refuse(
        503, error_code::Unavailable, "ready", "no configuration yet");
    }
    Json::Value body;
    body["ready"] = true;
    return JsonResponse(body);
  }
  if (aRequest.path == "/metrics") {
    http_response response = JsonResponse({});
    response.contentType = "text/plain; version=0.0.4";
    response.body = aContext.parts.metrics->Export();
    return response;
  }
  return std::nullopt;
}

} // namespace

std::variant<caller_identity, http_response>
Authorize(entry_context& aContext,
          const http_request& aRequest,
          const stage_config& aConfig,
          stage aStage,
          const route_config& aRoute,
          bool aNeedsKey)
{
  const bool keyed = aNeedsKey || aRoute.access == route_access::Keyed;
  caller_identity caller;
  caller.callerStage = aStage;
  const std::string key = PresentedKey(aRequest);
  if (!aContext.view.KeysUsable(aConfig.document->keyGrace, aContext.Now())) {
    if (!keyed) {
      return caller;
    }
    return Refuse(503,
                  error_code::Unavailable,
                  "check key",
                  "configuration_stale: withdrawals of keys may be missing");
  }
  const auto checked = CheckKey(aConfig, key);
  const auto* owner = std::get_if<key_owner>(&checked);
  const bool allowed =
    owner != nullptr &&
    (aRoute.teams.empty() ||
     std::find(aRoute.teams.begin(), aRoute.teams.end(), owner->team) !=
       aRoute.teams.end());
  if (keyed && owner == nullptr) {
    const key_refusal refusal = std::get<key_refusal>(checked);
    return Refuse(401,
                  error_code::Unauthorized,
                  "check key",
                  std::string(EnumName(refusal)) + ": " +
                    std::string(DescribeRefusal(refusal)));
  }
  if (keyed && !allowed) {
    return Refuse(403,
                  error_code::Unauthorized,
                  "check key",
                  "the route is not open to tenant " + owner->team);
  }
  if (owner != nullptr) {
    caller.team = owner->team;
    caller.keyId = owner->keyId;
  }
  return caller;
}

http_response
HandleRequest(entry_context& aContext, const http_request& aRequest)
{
  if (auto response = HandleManagementPath(aContext, aRequest)) {
    return std::move(*response);
  }
  if (AmbiguousPath(aRequest)) {
    return Refuse(400,
                  error_code::InvalidArgument,
                  "route",
                  "the path has dot segments, empty segments or escaped "
                  "separators");
  }
  if (aRequest.path.starts_with("/internal/")) {
    return aRequest.path == "/internal/permits" && aRequest.method == "POST"
             ? HandlePermitTakeOver(aContext, aRequest)
             : Refuse(404, error_code::NotFound, "route", "no such path");
  }
  // A request with a permit may repeat one that ran here, so it is handled
  // while draining too.
  if (aContext.draining &&
      FindHeader(aRequest.headers, kPermitHeader).empty()) {
    return Refuse(503, error_code::Unavailable, "route", "draining");
  }
  const std::string name = FindHeader(aRequest.headers, kStageHeader);
  const auto selected =
    name.empty() ? std::optional(stage::Production) : ParseEnum<stage>(name);
  if (!selected) {
    return Refuse(400,
                  error_code::InvalidArgument,
                  "route",
                  "header Arbutusferry-Stage: expected trial or production");
  }
  return router(aContext, aRequest, *selected).Run();
}

} // namespace arbutusferry
