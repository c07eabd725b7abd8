#include "http_get.hpp"

#include <httplib.h>

namespace arbutusferry {

result<std::string>
HttpGet(const std::string& aAddress,
        const std::string& aPath,
        duration aTimeout)
{
  httplib::Client client("http://" + aAddress);
  client.set_connection_timeout(aTimeout);
  client.set_read_timeout(aTimeout);
  const auto response = client.Get(aPath);
  if (!response) {
    return MakeError(error_code::Unreachable,
                     "GET " + aPath,
                     aAddress,
                     httplib::to_string(response.error()));
  }
  if (response->status != 200) {
    return MakeError(error_code::BrokenExchange,
                     "GET " + aPath,
                     aAddress,
                     "expected status 200, not " +
                       std::to_string(response->status));
  }
  return response->body;
}

} // namespace arbutusferry
