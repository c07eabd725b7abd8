#include "arbutusferry/node/asio_net.hpp"

#include "arbutusferry/logging.hpp"

#include <boost/asio/steady_timer.hpp>

namespace arbutusferry::node {

namespace {

class asio_timer final : public timer
{
public:
  asio_timer(boost::asio::io_context& aContext,
             duration aDelay,
             std::function<void()> aFunction)
    : mTimer(aContext)
  {
    mTimer.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(aDelay));
    mTimer.async_wait(
      [function = std::move(aFunction), alive = std::weak_ptr<bool>(mAlive)](
        const boost::system::error_code& aError) {
        // Destroying the timer cancels only a pending wait; the check covers a
        // wait whose handler is already queued.
        if (!aError && !alive.expired()) {
          function();
        }
      });
  }

private:
  boost::asio::steady_timer mTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace

time_point
asio_loop::Now() const noexcept
{
  return boot_clock::now();
}

unix_seconds
asio_loop::UnixNow() const noexcept
{
  return UnixMilliseconds() / 1000;
}

std::int64_t
asio_loop::UnixMilliseconds() const noexcept
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::unique_ptr<timer>
asio_loop::After(duration aDelay, std::function<void()> aFunction)
{
  return std::make_unique<asio_timer>(mContext, aDelay, std::move(aFunction));
}

void
asio_loop::Run()
{
  while (!mContext.stopped()) {
    try {
      mContext.run();
    } catch (const std::exception& error) {
      Log(log_level::Error, "callback_failed", { { "error", error.what() } });
    }
  }
}

} // namespace arbutusferry::node
