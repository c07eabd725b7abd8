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
  const auto answer = client.Get(aPath);
  if (!answer) {
    return MakeError(error_code::Unreachable,
                     "GET " + aPath,
                     aAddress,
                     httplib::to_string(answer.error()));
  }
  if (answer->status != 200) {
    return MakeError(error_code::BrokenExchange,
                     "GET " + aPath,
                     aAddress,
                     "expected status 200, not " +
                       std::to_string(answer->status));
  }
  return answer->body;
}

} // namespace arbutusferry
