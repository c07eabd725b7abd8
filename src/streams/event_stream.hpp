#pragma once

#include "arbutusferry/node/http_message.hpp"

#include <string>
#include <string_view>

namespace arbutusferry::node {

/// Decides whether the body of a response that is passed on as it arrives is
/// whole, once its transfer has ended without an error. A stream of server-sent
/// events without a length has to end behind an event: a connection that a
/// target's process closed as it ended looks the same as the end of the body.
/// For all others the end of the transfer proves it.
/// @see https://html.spec.whatwg.org/multipage/server-sent-events.html
class event_stream_end
{
public:
  event_stream_end() = default;
  /// @param aHeaders Headers of the response. One without a media type is taken
  /// for a stream of events.
  explicit event_stream_end(const header_list& aHeaders);

  /// Notes the next bytes of the body.
  void Note(std::string_view aPart);
  /// @return Whether the body is whole if it ends here.
  [[nodiscard]] bool Whole() const;

private:
  bool mNeedsEvent = true; ///< Whether the body has to end behind an event.
  std::string mTail;       ///< Last bytes of the body.
};

} // namespace arbutusferry::node
