#pragma once

#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/limit_coordinator.hpp"
#include "arbutusferry/node/stream_origins.hpp"
#include "arbutusferry/node/target_gateway.hpp"

namespace arbutusferry::node {

/// Serves the questions of other nodes on limits and streams, gives them access
/// to targets, and passes all other requests on.
class peer_handler final : public request_handler
{
public:
  peer_handler(limit_coordinator& aLimits,
               shared_stream_origins& aOrigins,
               target_gateway& aGateway,
               request_handler& aFallback)
    : mLimits(aLimits)
    , mOrigins(aOrigins)
    , mGateway(aGateway)
    , mFallback(aFallback)
  {
  }
  void Handle(http_request aRequest,
              std::shared_ptr<responder> aResponder) override
  {
    if (limit_coordinator::IsAdmissionPath(aRequest.target)) {
      mLimits.Serve(aRequest, *aResponder);
    } else if (shared_stream_origins::IsOriginPath(aRequest.target)) {
      mOrigins.Serve(aRequest, *aResponder);
    } else if (target_gateway::IsGatewayPath(aRequest.target)) {
      mGateway.Serve(aRequest, aResponder);
    } else {
      mFallback.Handle(std::move(aRequest), std::move(aResponder));
    }
  }

private:
  limit_coordinator& mLimits;
  shared_stream_origins& mOrigins;
  target_gateway& mGateway;
  request_handler& mFallback;
};

} // namespace arbutusferry::node
