#pragma once

#include "arbutusferry/http_status.hpp"
#include "arbutusferry/node/http_message.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <exception>
#include <string>

namespace arbutusferry::node {

/// Callbacks of a `message_parser`.
class parse_events
{
public:
  virtual ~parse_events() = default;
  /// Called when the start line and the header fields in the parser are
  /// complete.
  virtual void OnParsedHead() = 0;
  virtual void OnParsedBody(std::string_view aPart) = 0;
};

/// Incremental parser of one HTTP message. A response whose status is none of
/// HTTP is an error.
template<bool IsRequest>
class message_parser final : public boost::beast::http::basic_parser<IsRequest>
{
  using error_code = boost::beast::error_code;
  using string_view = boost::beast::string_view;

public:
  explicit message_parser(parse_events& aEvents)
    : mEvents(aEvents)
  {
    this->eager(true);
  }

  std::string method;
  std::string target;
  int status = 0;
  header_list headers;

private:
  void on_request_impl(boost::beast::http::verb,
                       string_view aMethod,
                       string_view aTarget,
                       int,
                       error_code&) override
  {
    method.assign(aMethod.data(), aMethod.size());
    target.assign(aTarget.data(), aTarget.size());
  }
  void on_response_impl(int aStatus,
                        string_view,
                        int,
                        error_code& aError) override
  {
    status = aStatus;
    // No request of this process asks for another protocol.
    if (!IsHttpStatus(aStatus) ||
        aStatus ==
          static_cast<int>(boost::beast::http::status::switching_protocols)) {
      aError = boost::beast::http::error::bad_status;
    }
  }
  void on_field_impl(boost::beast::http::field,
                     string_view aName,
                     string_view aValue,
                     error_code&) override
  {
    headers.Add(std::string(aName.data(), aName.size()),
                std::string(aValue.data(), aValue.size()));
  }
  void on_header_impl(error_code&) override { mEvents.OnParsedHead(); }
  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         error_code&) override
  {
  }
  std::size_t on_body_impl(string_view aBody, error_code&) override
  {
    mEvents.OnParsedBody({ aBody.data(), aBody.size() });
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view aBody,
                                 error_code&) override
  {
    mEvents.OnParsedBody({ aBody.data(), aBody.size() });
    return aBody.size();
  }
  void on_finish_impl(error_code&) override {}

  parse_events& mEvents;
};

/// Runs the clean-up of a destructor, which must not throw.
template<typename Function>
void
WithoutThrowing(Function&& aFunction) noexcept
{
  try {
    aFunction();
  } catch (const std::exception& error) {
    // Writes to stderr because the failure may come from the log.
    std::fputs("clean-up failed: ", stderr);
    std::fputs(error.what(), stderr);
    std::fputs("\n", stderr);
  }
}

/// Appends header fields and the empty line that ends them.
void
AppendHeaders(std::string& aText, const header_list& aHeaders);

} // namespace arbutusferry::node
