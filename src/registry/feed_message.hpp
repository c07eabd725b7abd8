#pragma once

#include "arbutusferry/node/http_message.hpp"
#include "registry/target_changes.hpp"

#include <chrono>
#include <optional>

namespace arbutusferry::node {

/// What a node asks the reader of its zone.
struct feed_request
{
  feed_cursor cursor;
  /// Longest wait for a change.
  std::chrono::milliseconds wait{ 0 };
};

/// What a reader answers beside the changes.
struct feed_head
{
  feed_cursor cursor;
  /// Offset up to which the reader has read the store's topic.
  std::uint64_t next = 0;
  /// Time since the reader last had read everything.
  std::chrono::milliseconds age{ 0 };
  bool snapshot = false;
  bool more = false;
};

inline constexpr std::string_view kFeedPath = "/registry/targets";

[[nodiscard]] http_request
MakeFeedRequest(const feed_request& aRequest);
/// @return The request, or nothing if it is malformed.
[[nodiscard]] std::optional<feed_request>
ReadFeedRequest(const http_request& aRequest);

/// @param aBody Encoded changes.
[[nodiscard]] http_response
MakeFeedResponse(const feed_head& aHead, std::string aBody);
/// @return The head, or nothing if it is malformed.
[[nodiscard]] std::optional<feed_head>
ReadFeedHead(const header_list& aHeaders);

/// @param aStarting Whether the node is reading the store for the first time.
/// @return The response of a node that doesn't read the store itself.
[[nodiscard]] http_response
MakeFeedRefusal(bool aStarting);
[[nodiscard]] bool
IsStartingRefusal(const header_list& aHeaders);

} // namespace arbutusferry::node
