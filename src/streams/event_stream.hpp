#pragma once

#include "arbutusferry/node/http_message.hpp"

#include <string>
#include <string_view>

namespace arbutusferry::node {

/// @return Whether a target's response is a stream of server-sent events, to be
/// passed on as it arrives. Any other response, such as an error, is passed on
/// whole. A successful one without a media type is taken for a stream.
/// @see https://html.spec.whatwg.org/multipage/server-sent-events.html
[[nodiscard]] bool
IsEventStream(int aStatus, const header_list& aHeaders);

/// Decides whether the body of a stream is whole once its transfer has ended
/// without an error. A length proves it. Without one, a connection that a
/// target's process closed as it ended looks the same as the end of the body,
/// so the text has to end behind a whole event.
class event_stream_end
{
public:
  event_stream_end() = default;
  /// @param aHeaders Headers of the response.
  explicit event_stream_end(const header_list& aHeaders)
    : mHasLength(aHeaders.Find("Content-Length").has_value())
  {
  }

  /// Notes the next bytes of the body.
  void Note(std::string_view aPart);
  [[nodiscard]] bool Whole() const;

private:
  bool mHasLength = false;
  std::string mTail; ///< Last bytes of the body.
};

} // namespace arbutusferry::node
