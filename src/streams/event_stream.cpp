#include "streams/event_stream.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";
/// Bytes of an empty line and of the end of the line before it.
constexpr std::size_t kTailBytes = 4;

/// @return Whether a media type, whose parameters don't matter, is that of a
/// stream of events.
bool
IsEventStream(std::string_view aMediaType)
{
  const std::string_view type = aMediaType.substr(0, aMediaType.find(';'));
  return EqualIgnoringCase(type.substr(0, type.find_last_not_of(" \t") + 1),
                           kEventStreamType);
}

} // namespace

event_stream_end::event_stream_end(const header_list& aHeaders)
{
  const auto type = aHeaders.Find("Content-Type");
  mNeedsEvent =
    !aHeaders.Find("Content-Length") && (!type || IsEventStream(*type));
}

void
event_stream_end::Note(std::string_view aPart)
{
  mTail += aPart.substr(aPart.size() - std::min(aPart.size(), kTailBytes));
  mTail.erase(0, mTail.size() - std::min(mTail.size(), kTailBytes));
}

bool
event_stream_end::Whole() const
{
  return !mNeedsEvent || mTail.empty() || mTail.ends_with("\n\n") ||
         mTail.ends_with("\n\r\n");
}

} // namespace arbutusferry::node
