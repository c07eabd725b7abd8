#pragma once

#include "arbutusferry/bounded_queue.hpp"
#include "arbutusferry/entry_server.hpp"
#include "arbutusferry/environment.hpp"
#include "arbutusferry/permit.hpp"
#include "entry/call_runner.hpp"
#include "entry/config_view.hpp"
#include "entry/http_server.hpp"
#include "entry/thread_pool.hpp"
#include "entry/usage_meter.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace arbutusferry {

/// Header by which a caller selects the stage.
inline constexpr const char* kStageHeader = "Arbutusferry-Stage";
/// Header that marks a request as forwarded by another entry.
inline constexpr const char* kForwardedHeader = "Arbutusferry-Forwarded";
/// Header that carries a permit.
inline constexpr const char* kPermitHeader = "Idempotency-Key";
/// Team name under which calls of open routes without a key are queued. It
/// contains characters that are not allowed in the name of a team.
inline constexpr const char* kAnonymousTeam = "(open)";

/// State shared by all handlers of an entry server.
struct entry_context
{
  entry_context(const entry_settings& aSettings,
                entry_parts aParts,
                std::string aInstance);

  entry_settings settings;
  entry_parts parts;
  std::string instance;
  std::string address; ///< Set once before any handler runs.
  config_view view;
  call_runner runner;
  thread_pool exchanges; ///< Runs exchanges of streams and samples.
  usage_meter usage;
  bounded_queue<usage_event> usageEvents;

  std::mutex permitMutex;
  std::condition_variable permitChanged;
  permit_table permits; ///< Guarded by `permitMutex`.
  /// Address of the entry that took over the permits, empty if none. Guarded by
  /// `permitMutex`.
  std::string permitSuccessor;

  std::atomic<bool> draining{ false };
  std::mutex activeRequestsMutex;
  std::condition_variable activeRequestsChanged;
  std::size_t activeRequests = 0; ///< Guarded by `activeRequestsMutex`.

  [[nodiscard]] time_point Now() const { return parts.clock->Now(); }
};

/// A request with its route and the identity of its sender.
struct routed_call
{
  const http_request* request = nullptr;
  std::shared_ptr<const config_state> state; ///< Owns `config` and `route`.
  const stage_config* config = nullptr;
  const route_config* route = nullptr;
  caller_identity caller;
  time_point deadline{};
};

/// @return Response with an error body and the outcome header.
[[nodiscard]] http_response
ErrorResponse(int aStatus, outcome aOutcome, const error_info& aError);

/// @return JSON body of an error response.
[[nodiscard]] Json::Value
ErrorBody(outcome aOutcome, const error_info& aError);

/// @return Response with a JSON body and the outcome `answered`.
[[nodiscard]] http_response
JsonResponse(const Json::Value& aBody);

/// @return Error response for a call that no target answered completely.
[[nodiscard]] http_response
FailureResponse(const upstream_answer& aAnswer);

/// @return Work item with the team, class and deadline of a call.
[[nodiscard]] work_item
MakeWorkItem(const routed_call& aCall, work_kind aKind);

/// Adds one answered request to the usage of its team.
void
CountUsage(entry_context& aContext,
           const routed_call& aCall,
           std::int64_t aPromptTokens,
           std::int64_t aGeneratedTokens);

/// Checks the key of a request against a route.
/// @return Identity of the caller, or the response that rejects the request.
[[nodiscard]] std::variant<caller_identity, http_response>
Authorize(entry_context& aContext,
          const http_request& aRequest,
          const stage_config& aConfig,
          stage aStage,
          const route_config& aRoute,
          bool aNeedsKey);

/// Handles a call of a service route.
[[nodiscard]] http_response
HandleService(entry_context& aContext, const routed_call& aCall);

/// Handles `POST /v1/completions`.
/// @param aBody Parsed body.
[[nodiscard]] http_response
HandleCompletion(entry_context& aContext,
                 const routed_call& aCall,
                 const Json::Value& aBody);

/// Handles `POST /v1/steps`.
[[nodiscard]] http_response
HandleStep(entry_context& aContext,
           const routed_call& aCall,
           const Json::Value& aBody);

/// Handles `POST /v1/weights`: publishes a weight version.
[[nodiscard]] http_response
HandleWeights(entry_context& aContext,
              const routed_call& aCall,
              const Json::Value& aBody);

/// Handles `POST /v1/permits`: issues permits.
[[nodiscard]] http_response
HandlePermits(entry_context& aContext,
              const routed_call& aCall,
              std::int64_t aCount);

/// Handles `POST /internal/permits`: takes over the permits of another entry.
[[nodiscard]] http_response
HandlePermitTakeOver(entry_context& aContext, const http_request& aRequest);

/// Hands the permit table to another entry of the zone.
void
HandOverPermits(entry_context& aContext);

/// Runs a call of a non-idempotent route under its permit, at most once.
/// @param aRun Runs the call; its response must not be a stream.
[[nodiscard]] http_response
WithPermit(entry_context& aContext,
           const routed_call& aCall,
           const std::function<http_response()>& aRun);

/// Handles any request to the server.
[[nodiscard]] http_response
HandleRequest(entry_context& aContext, const http_request& aRequest);

} // namespace arbutusferry
