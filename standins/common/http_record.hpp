#pragma once

#include "common/recorder.hpp"

#include <httplib.h>

namespace arbutusferry::standin {

/// @return The request as recorded for `GET /admin/seen`.
[[nodiscard]] seen_request
ToSeenRequest(const httplib::Request& aRequest);

} // namespace arbutusferry::standin
