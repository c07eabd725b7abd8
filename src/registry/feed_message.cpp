#include "registry/feed_message.hpp"

namespace arbutusferry::node {

namespace {

constexpr const char* kEpochHeader = "Ferry-Feed-Epoch";
constexpr const char* kSequenceHeader = "Ferry-Feed-Sequence";
constexpr const char* kBaseHeader = "Ferry-Feed-Base";
constexpr const char* kKnownHeader = "Ferry-Feed-Known";
constexpr const char* kNextHeader = "Ferry-Feed-Next";
constexpr const char* kAgeHeader = "Ferry-Feed-Age-Ms";
constexpr const char* kPageHeader = "Ferry-Feed-Page";
constexpr const char* kStateHeader = "Ferry-Feed-State";
constexpr const char* kWaitHeader = "Ferry-Wait-Ms";
constexpr std::string_view kSnapshot = "snapshot";
constexpr std::string_view kMore = "more";
constexpr std::string_view kStarting = "starting";

void
AddCursor(header_list& aHeaders, const feed_cursor& aCursor)
{
  aHeaders.Add(kEpochHeader, aCursor.epoch);
  aHeaders.Add(kSequenceHeader, std::to_string(aCursor.sequence));
  aHeaders.Add(kBaseHeader, std::to_string(aCursor.base));
}

std::optional<feed_cursor>
ReadCursor(const header_list& aHeaders)
{
  const auto sequence = ParseInteger(aHeaders.Get(kSequenceHeader));
  const auto base = ParseInteger(aHeaders.Get(kBaseHeader));
  if (!sequence || !base) {
    return std::nullopt;
  }
  return feed_cursor{ std::string(aHeaders.Get(kEpochHeader)),
                      static_cast<std::uint64_t>(*sequence),
                      static_cast<std::uint64_t>(*base),
                      0 };
}

} // namespace

http_request
MakeFeedRequest(const feed_request& aRequest)
{
  http_request request;
  request.method = "GET";
  request.target = kFeedPath;
  AddCursor(request.headers, aRequest.cursor);
  request.headers.Add(kKnownHeader, std::to_string(aRequest.cursor.known));
  request.headers.Add(kWaitHeader, std::to_string(aRequest.wait.count()));
  return request;
}

std::optional<feed_request>
ReadFeedRequest(const http_request& aRequest)
{
  auto cursor = ReadCursor(aRequest.headers);
  const auto known = ParseInteger(aRequest.headers.Get(kKnownHeader));
  const auto wait = ParseInteger(aRequest.headers.Get(kWaitHeader));
  if (!cursor || !known || !wait) {
    return std::nullopt;
  }
  cursor->known = static_cast<std::uint64_t>(*known);
  return feed_request{ std::move(*cursor), std::chrono::milliseconds(*wait) };
}

http_response
MakeFeedResponse(const feed_head& aHead, std::string aBody)
{
  http_response response;
  response.status = 200;
  AddCursor(response.headers, aHead.cursor);
  response.headers.Add(kNextHeader, std::to_string(aHead.next));
  response.headers.Add(kAgeHeader, std::to_string(aHead.age.count()));
  std::string page;
  if (aHead.snapshot) {
    page = kSnapshot;
  }
  if (aHead.more) {
    page.append(page.empty() ? "" : ", ").append(kMore);
  }
  if (!page.empty()) {
    response.headers.Add(kPageHeader, page);
  }
  response.body = std::move(aBody);
  return response;
}

std::optional<feed_head>
ReadFeedHead(const header_list& aHeaders)
{
  auto cursor = ReadCursor(aHeaders);
  const auto next = ParseInteger(aHeaders.Get(kNextHeader));
  const auto age = ParseInteger(aHeaders.Get(kAgeHeader));
  if (!cursor || cursor->epoch.empty() || !next || !age) {
    return std::nullopt;
  }
  const std::string_view page = aHeaders.Get(kPageHeader);
  return feed_head{ std::move(*cursor),
                    static_cast<std::uint64_t>(*next),
                    std::chrono::milliseconds(*age),
                    HasToken(page, kSnapshot),
                    HasToken(page, kMore) };
}

http_response
MakeFeedRefusal(bool aStarting)
{
  http_response response;
  response.status = 503;
  if (aStarting) {
    response.headers.Add(kStateHeader, std::string(kStarting));
  }
  return response;
}

bool
IsStartingRefusal(const header_list& aHeaders)
{
  return aHeaders.Get(kStateHeader) == kStarting;
}

} // namespace arbutusferry::node
