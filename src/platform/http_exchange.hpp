#pragma once

#include "arbutusferry/platform.hpp"

#include <httplib.h>
#include <memory>
#include <string>

/// Helpers for the HTTP clients of external systems. Includes cpp-httplib; only
/// for source files.
namespace arbutusferry {

/// Maps a failed exchange to an error that tells whether the request may have
/// taken effect.
[[nodiscard]] leaf::error_id
TransportError(httplib::Error aError,
               const std::string& aStep,
               const std::string& aPeer);

/// Maps an HTTP error status. 503 means that the peer did not execute the
/// request; any other 5xx status leaves the outcome unknown.
[[nodiscard]] leaf::error_id
StatusError(const httplib::Response& aResponse,
            const std::string& aStep,
            const std::string& aPeer);

[[nodiscard]] std::unique_ptr<httplib::Client>
MakeClient(const std::string& aAddress, duration aTimeout, bool aKeepAlive);

/// Sends a body on a new connection. The last byte is withheld until all other
/// bytes are written and the check passes, so that a receiver that ignores
/// fencing tokens never gets a complete request from a sender that lost its
/// role.
/// @param aMethod "PUT" or "POST".
[[nodiscard]] result<void>
FencedSend(const std::string& aMethod,
           const std::string& aAddress,
           duration aTimeout,
           const std::string& aPath,
           const std::string& aBody,
           const send_check& aCheck,
           const std::string& aStep);

} // namespace arbutusferry
