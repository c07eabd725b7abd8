#include "common/http_record.hpp"

namespace arbutusferry::standin {

seen_request
ToSeenRequest(const httplib::Request& aRequest)
{
  seen_request record;
  record.method = aRequest.method;
  record.path = aRequest.target;
  record.body = aRequest.body;
  record.requestId = aRequest.get_header_value("X-Request-Id");
  for (const auto& [name, value] : aRequest.headers) {
    // httplib adds these; the peer did not send them.
    if (name != "REMOTE_ADDR" && name != "REMOTE_PORT" &&
        name != "LOCAL_ADDR" && name != "LOCAL_PORT") {
      record.headers.emplace_back(name, value);
    }
  }
  return record;
}

} // namespace arbutusferry::standin
