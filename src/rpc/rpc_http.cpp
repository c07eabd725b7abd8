#include "arbutusferry/rpc_http.hpp"

#include <httplib.h>
#include <mutex>

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

class http_transport
{
public:
  http_transport(const std::string& aAddress, duration aTimeout)
    : mAddress(aAddress)
    , mClient("http://" + aAddress)
  {
    mClient.set_keep_alive(true);
    mClient.set_tcp_nodelay(true);
    mClient.set_connection_timeout(aTimeout);
    mClient.set_read_timeout(aTimeout);
    mClient.set_write_timeout(aTimeout);
    // Sync messages repeat names and lists, so they compress well. Only gzip is
    // offered: cpp-httplib prefers Brotli at its slowest level.
    mClient.set_compress(true);
    mClient.set_default_headers({ { "Accept-Encoding", "gzip" } });
  }

  std::string Send(const std::string& aMessage)
  {
    const std::lock_guard lock(mMutex);
    const auto answer = mClient.Post("/rpc", aMessage, "application/json");
    if (!answer) {
      throw rpc_failure(mAddress + ": " + httplib::to_string(answer.error()),
                        !NothingSent(answer.error()),
                        0);
    }
    if (answer->status != 200) {
      throw rpc_failure(
        mAddress + ": HTTP status " + std::to_string(answer->status), true, 0);
    }
    return answer->body;
  }

private:
  std::string mAddress;
  std::mutex mMutex;
  httplib::Client mClient;
};

} // namespace

std::unique_ptr<rpc_client>
MakeHttpRpcClient(const std::string& aAddress, duration aTimeout)
{
  auto transport = std::make_shared<http_transport>(aAddress, aTimeout);
  return MakeRpcClient([transport](const std::string& aMessage) {
    return transport->Send(aMessage);
  });
}

} // namespace arbutusferry
