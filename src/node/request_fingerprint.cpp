#include "arbutusferry/node/request_fingerprint.hpp"

#include "arbutusferry/hash.hpp"

#include <spdlog/fmt/fmt.h>

namespace arbutusferry::node {

std::string
FingerprintOf(const std::string& aTeam, const http_request& aRequest)
{
  std::uint64_t hash = Hash64(aTeam);
  for (const std::string_view part :
       { aRequest.headers.Get("Host"),
         std::string_view(aRequest.method),
         std::string_view(aRequest.target),
         std::string_view(aRequest.body.Text()) }) {
    hash = Hash64(part, hash);
  }
  return fmt::format("{:016x}", hash);
}

} // namespace arbutusferry::node
