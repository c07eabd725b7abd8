#pragma once

#include "arbutusferry/json.hpp"
#include "arbutusferry/node/http_message.hpp"

#include <cstdint>
#include <json/value.h>
#include <string>

/// Helpers of the in-process servers.
namespace arbutusferry::node_soak {

/// @return The value of a number; 0 if the text holds none.
[[nodiscard]] inline std::uint64_t
ParseNumber(const std::string& aText)
{
  return static_cast<std::uint64_t>(node::ParseInteger(aText).value_or(0));
}

[[nodiscard]] inline node::http_response
MakeResponse(int aStatus, std::string aBody = {})
{
  node::http_response response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

/// @return The value of an object; an empty one if the text holds none.
[[nodiscard]] inline Json::Value
ParseObject(const std::string& aText)
{
  const auto parsed = Capture([&] { return ParseJson(aText, "lab"); });
  const auto* value = std::get_if<Json::Value>(&parsed);
  return value ? *value : Json::Value(Json::objectValue);
}

} // namespace arbutusferry::node_soak
