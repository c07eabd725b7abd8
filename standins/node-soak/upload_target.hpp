#pragma once

#include "arbutusferry/node/asio_net.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace arbutusferry::node_soak {

/// @return The body of the response to an upload if that ends in order, or an
/// empty text if it is reset; derived from the request's id.
[[nodiscard]] std::string
WholeUploadResponse(const std::string& aRequest);

/// A target that responds to uploads before it has read them. Its responses end
/// with their connection, which it closes in order or resets in the middle of
/// the body.
class upload_target
{
public:
  explicit upload_target(node::asio_loop& aLoop);
  [[nodiscard]] std::uint16_t Port() const
  {
    return mAcceptor.local_endpoint().port();
  }

private:
  class upload;

  void Accept();

  node::asio_loop& mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace arbutusferry::node_soak
