#include "arbutusferry/node/asio_net.hpp"
#include "memory_budget.hpp"
#include "server_connection.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <set>

namespace arbutusferry::node {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using net_error = boost::system::error_code;
using std::chrono::milliseconds;

/// How often connections are checked for timeouts; these are seconds long and
/// fire late by up to this much.
constexpr milliseconds kTimeoutCheckInterval{ 500 };
/// Delay before the next accept after an error, such as running out of file
/// descriptors.
constexpr milliseconds kAcceptBackoff{ 50 };

class asio_listener final
  : public http_listener
  , private connection_owner
{
public:
  asio_listener(asio_loop& aLoop,
                tcp::acceptor aAcceptor,
                request_handler& aHandler,
                listener_options aOptions)
    : mLoop(aLoop)
    , mAcceptor(std::move(aAcceptor))
    , mHandler(aHandler)
    , mOptions(std::move(aOptions))
  {
    if (!mOptions.budget) {
      mOptions.budget = std::make_shared<memory_budget>(
        std::numeric_limits<std::size_t>::max());
    }
    Accept();
    mTimeoutCheck = std::make_unique<periodic_timer>(
      aLoop, kTimeoutCheckInterval, [this] { CheckTimeouts(); });
  }
  ~asio_listener() override;

  void SetLimits(const listener_limits& aLimits) override { mLimits = aLimits; }
  void Drain(duration aIdle) override
  {
    mDraining = true;
    mDrainIdle = aIdle;
  }
  [[nodiscard]] bool Idle() const override
  {
    return std::all_of(
      mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
        return aConnection->Idle();
      });
  }

private:
  [[nodiscard]] asio_loop& Loop() noexcept override { return mLoop; }
  [[nodiscard]] request_handler& Handler() noexcept override
  {
    return mHandler;
  }
  [[nodiscard]] const listener_limits& Limits() const noexcept override
  {
    return mLimits;
  }
  [[nodiscard]] const listener_options& Options() const noexcept override
  {
    return mOptions;
  }
  [[nodiscard]] bool Draining() const noexcept override { return mDraining; }
  [[nodiscard]] duration IdleTimeout() const noexcept override
  {
    return mDraining ? mDrainIdle : duration(mLimits.idleTimeout);
  }
  void Remove(const std::shared_ptr<server_connection>& aConnection) override
  {
    mConnections.erase(aConnection);
    if (const auto found = mByAddress.find(aConnection->PeerAddress());
        found != mByAddress.end() && --found->second == 0) {
      mByAddress.erase(found);
    }
  }
  /// Closes the connection that can be spared best if there are too many.
  void MakeRoom();
  void Add(const std::shared_ptr<server_connection>& aConnection);

  void Accept();
  void CheckTimeouts();

  asio_loop& mLoop;
  tcp::acceptor mAcceptor;
  request_handler& mHandler;
  listener_options mOptions;
  listener_limits mLimits;
  /// Connections by address of the peer, where these are bounded.
  std::map<std::string, std::size_t> mByAddress;
  std::set<std::shared_ptr<server_connection>> mConnections;
  std::unique_ptr<periodic_timer> mTimeoutCheck;
  std::unique_ptr<timer> mBackoff;
  bool mDraining = false;
  duration mDrainIdle{};
  /// Expires with the listener: closing doesn't cancel an accept whose
  /// completion is queued already.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

asio_listener::~asio_listener()
{
  WithoutThrowing([this] {
    net_error ignored;
    mAcceptor.close(ignored);
    for (const auto& connection : std::exchange(mConnections, {})) {
      connection->Close();
    }
  });
}

void
asio_listener::Accept()
{
  mAcceptor.async_accept([this, alive = std::weak_ptr<bool>(mAlive)](
                           const net_error& aError, tcp::socket aSocket) {
    if (alive.expired() || aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      mBackoff = mLoop.After(kAcceptBackoff, [this] { Accept(); });
      return;
    }
    MakeRoom();
    connection_owner& self = *this;
    Add(std::make_shared<server_connection>(self, std::move(aSocket)));
    Accept();
  });
}

void
asio_listener::MakeRoom()
{
  if (mOptions.maxConnections == 0 ||
      mConnections.size() < mOptions.maxConnections) {
    return;
  }
  std::shared_ptr<server_connection> chosen;
  for (const auto& connection : mConnections) {
    const auto order = connection->CloseOrder();
    if (order && (!chosen || *order < *chosen->CloseOrder())) {
      chosen = connection;
    }
  }
  if (chosen) {
    chosen->CloseForLimit("connections");
  }
}

void
asio_listener::Add(const std::shared_ptr<server_connection>& aConnection)
{
  mConnections.insert(aConnection);
  std::size_t ofAddress = 0;
  if (mOptions.maxConnectionsPerAddress > 0) {
    ofAddress = ++mByAddress[aConnection->PeerAddress()];
  }
  if (mOptions.maxConnections > 0 &&
      mConnections.size() > mOptions.maxConnections) {
    aConnection->CloseForLimit("connections");
  } else if (ofAddress > mOptions.maxConnectionsPerAddress) {
    aConnection->CloseForLimit("connections_of_address");
  } else {
    aConnection->Start();
  }
}

void
asio_listener::CheckTimeouts()
{
  const time_point now = mLoop.Now();
  mOptions.budget->Check(now);
  const auto connections = mConnections;
  for (const auto& connection : connections) {
    connection->CheckTimeouts(now);
  }
}

} // namespace

result<std::unique_ptr<http_listener>>
Listen(asio_loop& aLoop,
       const socket_address& aAddress,
       request_handler& aHandler,
       listener_options aOptions)
{
  net_error error;
  const auto ip = asio::ip::make_address(aAddress.ip, error);
  tcp::acceptor acceptor(aLoop.Context());
  if (!error) {
    const tcp::endpoint endpoint(ip, aAddress.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
      acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error && aOptions.receiveBufferBytes > 0) {
      // Accepted connections inherit it.
      acceptor.set_option(asio::socket_base::receive_buffer_size(
                            static_cast<int>(aOptions.receiveBufferBytes)),
                          error);
    }
    if (!error) {
      acceptor.bind(endpoint, error);
    }
    if (!error) {
      acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
  }
  if (error) {
    return MakeError(arbutusferry::error_code::InvalidSettings,
                     "listen",
                     FormatAddress(aAddress),
                     error.message());
  }
  return std::unique_ptr<http_listener>(std::make_unique<asio_listener>(
    aLoop, std::move(acceptor), aHandler, std::move(aOptions)));
}

} // namespace arbutusferry::node
