#pragma once

#include "arbutusferry/node/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace arbutusferry::node {

/// Writes a request as the body of a message to another node: the request line
/// and headers as lines, an empty line and the body.
[[nodiscard]] std::string
SerializeRequest(const http_request& aRequest);
/// @return The request, or nothing if the text is malformed.
[[nodiscard]] std::optional<http_request>
ParseRequest(std::string_view aText);

} // namespace arbutusferry::node
