#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace arbutusferry::node {

/// Event loop on Boost.Asio and the system clocks.
class asio_loop final : public event_loop
{
public:
  [[nodiscard]] time_point Now() const noexcept override;
  [[nodiscard]] unix_seconds UnixNow() const noexcept override;
  [[nodiscard]] std::int64_t UnixMilliseconds() const noexcept override;
  [[nodiscard]] std::unique_ptr<timer> After(
    duration aDelay,
    std::function<void()> aFunction) override;
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }
  /// Runs callbacks until the context is stopped. One that throws is logged,
  /// and the others go on.
  void Run();

private:
  boost::asio::io_context mContext{ 1 };
};

/// Default bound on responses that are made at once: twice the largest request
/// body.
inline constexpr std::size_t kMaxMadeAtOnce = std::size_t{ 64 } << 20;

/// @param aMaxMadeAtOnce Longest body of a response that is made at once; a
/// longer one is a protocol failure.
/// @return A client that reuses idle connections.
[[nodiscard]] std::unique_ptr<http_client>
MakeHttpClient(asio_loop& aLoop, std::size_t aMaxMadeAtOnce = kMaxMadeAtOnce);

/// Listens on an address.
/// @param aHandler Must outlive the listener.
/// @return The listener, or `InvalidSettings` if the address can't be used.
[[nodiscard]] result<std::unique_ptr<http_listener>>
Listen(asio_loop& aLoop,
       const socket_address& aAddress,
       request_handler& aHandler,
       listener_options aOptions = {});

} // namespace arbutusferry::node
