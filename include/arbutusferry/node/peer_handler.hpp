#pragma once

#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/limit_coordinator.hpp"
#include "arbutusferry/node/stream_origins.hpp"

namespace arbutusferry::node {

/// Serves the questions of other nodes on limits and streams, and passes all
/// other requests on.
class peer_handler final : public request_handler
{
public:
  peer_handler(limit_coordinator& aLimits,
               shared_stream_origins& aOrigins,
               request_handler& aFallback)
    : mLimits(aLimits)
    , mOrigins(aOrigins)
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
    } else {
      mFallback.Handle(std::move(aRequest), std::move(aResponder));
    }
  }

private:
  limit_coordinator& mLimits;
  shared_stream_origins& mOrigins;
  request_handler& mFallback;
};

} // namespace arbutusferry::node
