#include "platform/http_exchange.hpp"

namespace arbutusferry {

namespace {

/// @return True if no byte of the request can have reached the peer.
bool
NothingSent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::BindIPAddress ||
         aError == httplib::Error::ConnectionTimeout;
}

} // namespace

leaf::error_id
TransportError(httplib::Error aError,
               const std::string& aStep,
               const std::string& aPeer)
{
  error_code code = error_code::BrokenExchange;
  if (NothingSent(aError)) {
    code = error_code::Unreachable;
  } else if (aError == httplib::Error::Read) {
    // cpp-httplib reports a reset and a read timeout alike.
    code = error_code::Timeout;
  }
  return MakeError(code, aStep, aPeer, httplib::to_string(aError));
}

leaf::error_id
StatusError(const httplib::Response& aResponse,
            const std::string& aStep,
            const std::string& aPeer)
{
  error_code code = error_code::BrokenExchange;
  switch (aResponse.status) {
    case 400:
    case 413:
      code = error_code::InvalidArgument;
      break;
    case 404:
      code = error_code::NotFound;
      break;
    case 409:
      code = error_code::Conflict;
      break;
    case 429:
      code = error_code::Overloaded;
      break;
    case 503:
      code = error_code::Unavailable;
      break;
    default:
      break;
  }
  return MakeError(code,
                   aStep,
                   aPeer,
                   "HTTP status " + std::to_string(aResponse.status) + ": " +
                     aResponse.body.substr(0, 200));
}

std::unique_ptr<httplib::Client>
MakeClient(const std::string& aAddress, duration aTimeout, bool aKeepAlive)
{
  auto client = std::make_unique<httplib::Client>("http://" + aAddress);
  client->set_keep_alive(aKeepAlive);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(aTimeout);
  client->set_read_timeout(aTimeout);
  client->set_write_timeout(aTimeout);
  return client;
}

result<void>
FencedSend(const std::string& aMethod,
           const std::string& aAddress,
           duration aTimeout,
           const std::string& aPath,
           const std::string& aBody,
           const send_check& aCheck,
           const std::string& aStep)
{
  bool checkFailed = false;
  bool lastByteReleased = false;
  auto client = MakeClient(aAddress, aTimeout, false);
  const auto provideBody =
    [&](std::size_t aOffset, std::size_t aLength, httplib::DataSink& aSink) {
      if (aLength > 1) {
        return aSink.write(aBody.data() + aOffset, aLength - 1);
      }
      if (!aCheck()) {
        checkFailed = true;
        return false;
      }
      lastByteReleased = true;
      return aSink.write(aBody.data() + aOffset, 1);
    };
  const auto answer =
    aMethod == "POST"
      ? client->Post(aPath, aBody.size(), provideBody, "application/json")
      : client->Put(aPath, aBody.size(), provideBody, "application/json");
  if (checkFailed) {
    return MakeError(error_code::LeaseLost,
                     aStep,
                     aAddress,
                     "the role was lost before the last byte was sent");
  }
  if (!answer) {
    if (!lastByteReleased) {
      return MakeError(error_code::Unreachable,
                       aStep,
                       aAddress,
                       httplib::to_string(answer.error()));
    }
    return TransportError(answer.error(), aStep, aAddress);
  }
  if (answer->status != 200) {
    return StatusError(*answer, aStep, aAddress);
  }
  return {};
}

} // namespace arbutusferry
