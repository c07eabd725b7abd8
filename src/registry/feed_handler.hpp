#pragma once

#include "registry/feed_service.hpp"

namespace arbutusferry::node {

/// Serves the registry's feed to other nodes and passes all other requests on.
class feed_handler final : public request_handler
{
public:
  feed_handler(feed_service& aService, request_handler& aFallback)
    : mService(aService)
    , mFallback(aFallback)
  {
  }
  void Handle(http_request aRequest,
              std::shared_ptr<responder> aResponder) override
  {
    if (feed_service::IsFeedPath(aRequest.target)) {
      mService.Serve(aRequest, aResponder);
    } else {
      mFallback.Handle(std::move(aRequest), std::move(aResponder));
    }
  }

private:
  feed_service& mService;
  request_handler& mFallback;
};

} // namespace arbutusferry::node
