#pragma once

#include "arbutusferry/entry_server.hpp"
#include "arbutusferry/environment.hpp"
#include "arbutusferry/permit.hpp"
#include "arbutusferry/ring.hpp"
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
/// Tenant name under which calls of open routes without a key are queued. It
/// holds characters that a tenant's name cannot have.
inline constexpr const char* kAnonymousTeam = "(open)";

/// State that all handlers of one entry server share.
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
  bounded_ring<usage_event> usageEvents;

  std::mutex permitMutex;
  std::condition_variable permitChanged;
  permit_table permits;        ///< Guarded by `permitMutex`.
  std::string permitSuccessor; ///< Guarded; entry that took over the permits.

  std::atomic<bool> draining{ false };
  std::mutex activeRequestsMutex;
  std::condition_variable activeRequestsChanged;
  std::size_t activeRequests = 0; ///< Guarded; requests that have not ended.

  [[nodiscard]] time_point Now() const { return parts.clock->Now(); }
};

/// A call together with the route it takes and who sent it.
struct routed_call
{
  const http_request* request = nullptr;
  std::shared_ptr<const config_state> state; ///< Keeps the route alive.
  const stage_config* config = nullptr;
  const route_config* route = nullptr;
  caller_identity caller;
  time_point deadline{};
};

/// @return Answer with an error body and the outcome header.
/// @param aStatus Status code.
[[nodiscard]] http_response
ErrorResponse(int aStatus, outcome aOutcome, const error_info& aError);

/// @return The error body as JSON.
[[nodiscard]] Json::Value
ErrorBody(outcome aOutcome, const error_info& aError);

/// @return Answer with a JSON body and the outcome `answered`.
[[nodiscard]] http_response
JsonResponse(const Json::Value& aBody);

/// @return Error answer for a call that ended without a target's answer.
[[nodiscard]] http_response
FailureResponse(const upstream_answer& aAnswer);

/// @return Work item with the tenant, class and deadline of a call.
[[nodiscard]] work_item
MakeWorkItem(const routed_call& aCall, work_kind aKind);

/// Counts one answered request in the usage of its tenant.
void
CountUsage(entry_context& aContext,
           const routed_call& aCall,
           std::int64_t aPromptTokens,
           std::int64_t aGeneratedTokens);

/// Finds the caller's identity for a route.
/// @return The identity or the answer that refuses the call.
[[nodiscard]] std::variant<caller_identity, http_response>
Authorize(entry_context& aContext,
          const http_request& aRequest,
          const stage_config& aConfig,
          stage aStage,
          const route_config& aRoute,
          bool aNeedsKey);

/// Calls of a plain service.
[[nodiscard]] http_response
HandleService(entry_context& aContext, const routed_call& aCall);

/// Calls of a model engine.
/// @param aBody Parsed body.
[[nodiscard]] http_response
HandleCompletion(entry_context& aContext,
                 const routed_call& aCall,
                 const Json::Value& aBody);

/// Posts of a step.
[[nodiscard]] http_response
HandleStep(entry_context& aContext,
           const routed_call& aCall,
           const Json::Value& aBody);

/// Publication of weights.
[[nodiscard]] http_response
HandleWeights(entry_context& aContext,
              const routed_call& aCall,
              const Json::Value& aBody);

/// Issue of permits.
/// @param aCount Number of permits.
[[nodiscard]] http_response
HandlePermits(entry_context& aContext,
              const routed_call& aCall,
              std::int64_t aCount);

/// Take-over of another entry's permits.
[[nodiscard]] http_response
HandlePermitTakeOver(entry_context& aContext, const http_request& aRequest);

/// Hands the permit table to another entry of the zone.
void
HandOverPermits(entry_context& aContext);

/// Runs a call of a non-idempotent route under its permit, at most once.
/// @param aRun Runs it and returns an answer that is not a stream.
[[nodiscard]] http_response
WithPermit(entry_context& aContext,
           const routed_call& aCall,
           const std::function<http_response()>& aRun);

/// Handles every request of the server.
[[nodiscard]] http_response
HandleRequest(entry_context& aContext, const http_request& aRequest);

} // namespace arbutusferry
