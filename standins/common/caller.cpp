#include "common/caller.hpp"

#include "arbutusferry/outcome.hpp"

#include <chrono>
#include <httplib.h>

namespace arbutusferry::standin {

struct caller::impl
{
  explicit impl(const std::string& aAddress)
    : client("http://" + aAddress)
  {
  }
  httplib::Client client;
};

caller::caller(const std::string& aAddress,
               const std::string& aKey,
               int aTimeoutSeconds)
  : mImpl(std::make_unique<impl>(aAddress))
{
  httplib::Client& client = mImpl->client;
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(aTimeoutSeconds);
  client.set_read_timeout(aTimeoutSeconds);
  client.set_write_timeout(aTimeoutSeconds);
  if (!aKey.empty()) {
    client.set_default_headers({ { "Authorization", "Bearer " + aKey } });
  }
}

caller::~caller() = default;

call_result
caller::Post(const std::string& aPath,
             const std::string& aBody,
             const header_list& aHeaders,
             const std::function<bool(const std::string&)>& aOnChunk)
{
  httplib::Request request;
  request.method = "POST";
  request.path = aPath;
  request.body = aBody;
  request.headers.emplace("Content-Type", "application/json");
  for (const auto& [name, value] : aHeaders) {
    request.headers.emplace(name, value);
  }
  call_result result;
  if (aOnChunk) {
    request.content_receiver =
      [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
        result.body.append(aData, aSize);
        return aOnChunk(std::string(aData, aSize));
      };
  }
  const auto start = std::chrono::steady_clock::now();
  const httplib::Result response = mImpl->client.send(request);
  result.seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  if (!response) {
    result.failure = httplib::to_string(response.error());
    return result;
  }
  result.status = response->status;
  result.outcome = response->get_header_value(kOutcomeHeader);
  if (!aOnChunk) {
    result.body = response->body;
  }
  return result;
}

} // namespace arbutusferry::standin
