#pragma once

#include "arbutusferry/node/asio_net.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace arbutusferry::node {

/// @return Why a connection wasn't made, or nothing if it was.
[[nodiscard]] inline std::optional<exchange_failure>
ConnectFailure(const boost::system::error_code& aError)
{
  if (!aError) {
    return std::nullopt;
  }
  return aError == boost::asio::error::connection_refused
           ? exchange_failure::Refused
           : exchange_failure::NotSent;
}

/// A connection attempt that carries no request.
class probe_connection final
  : public std::enable_shared_from_this<probe_connection>
{
public:
  using callback = std::function<void(std::optional<exchange_failure>)>;

  probe_connection(asio_loop& aLoop, callback aDone)
    : mLoop(aLoop)
    , mSocket(aLoop.Context())
    , mDone(std::move(aDone))
  {
  }

  void Start(const socket_address& aPeer, std::chrono::milliseconds aTimeout)
  {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(aPeer.ip, error);
    auto self = shared_from_this();
    if (error) {
      boost::asio::post(mLoop.Context(),
                        [self] { self->Finish(exchange_failure::NotSent); });
      return;
    }
    mTimer = mLoop.After(aTimeout,
                         [self] { self->Finish(exchange_failure::NotSent); });
    mSocket.async_connect({ address, aPeer.port },
                          [self](const boost::system::error_code& aError) {
                            self->Finish(ConnectFailure(aError));
                          });
  }

private:
  void Finish(std::optional<exchange_failure> aFailure)
  {
    const auto self = shared_from_this();
    mTimer.reset();
    boost::system::error_code ignored;
    mSocket.close(ignored);
    if (const auto done = std::exchange(mDone, nullptr)) {
      done(aFailure);
    }
  }

  asio_loop& mLoop;
  boost::asio::ip::tcp::socket mSocket;
  callback mDone;
  std::unique_ptr<timer> mTimer;
};

} // namespace arbutusferry::node
