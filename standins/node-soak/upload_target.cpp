#include "upload_target.hpp"

#include "arbutusferry/hash.hpp"

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace arbutusferry::node_soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using net_error = boost::system::error_code;
using std::chrono::milliseconds;

/// Longest time between a part of a response and the reset.
constexpr std::uint64_t kMaxResetDelayMs = 20;

/// @return The value of a field in the head of a request, or an empty text.
std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  const auto at = aHead.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 4;
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}

/// @return Whether the response to a request ends in order.
bool
EndsInOrder(const std::string& aRequest)
{
  return Hash64(aRequest, 17) % 3 == 0;
}

std::string
EventOf(const std::string& aText)
{
  return "id: 1\ndata: " + aText + "\n\n";
}

} // namespace

std::string
WholeUploadResponse(const std::string& aRequest)
{
  return EndsInOrder(aRequest) ? EventOf("whole " + aRequest) : std::string();
}

/// One request and its connection, which its pending operations keep alive.
class upload_target::upload final : public std::enable_shared_from_this<upload>
{
public:
  upload(node::asio_loop& aLoop, tcp::socket aSocket)
    : mLoop(aLoop)
    , mSocket(std::move(aSocket))
  {
  }

  void Start()
  {
    asio::async_read_until(
      mSocket,
      asio::dynamic_buffer(mInput),
      "\r\n\r\n",
      [self = shared_from_this()](const net_error& aError, std::size_t) {
        if (!aError) {
          self->Respond();
        }
      });
  }

private:
  void Respond()
  {
    const std::string id = FieldOf(mInput, "Arbutusferry-Request-Id");
    const bool inOrder = EndsInOrder(id);
    // The part could be a whole stream of events.
    mOutput = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              "Arbutusferry-Server-Stamp: stamp\r\n"
              "Arbutusferry-Request-Id: " +
              id + "\r\n\r\n" +
              (inOrder ? WholeUploadResponse(id) : EventOf("part " + id));
    asio::async_write(mSocket,
                      asio::buffer(mOutput),
                      [self = shared_from_this(), id, inOrder](
                        const net_error& aError, std::size_t) {
                        if (aError) {
                          return;
                        }
                        if (inOrder) {
                          net_error ignored;
                          self->mSocket.shutdown(tcp::socket::shutdown_send,
                                                 ignored);
                          self->Discard();
                        } else {
                          self->ResetSoon(id);
                        }
                      });
  }

  /// Reads the rest of the request, so that closing the connection isn't a
  /// reset.
  void Discard()
  {
    mSocket.async_read_some(
      asio::buffer(mDiscarded),
      [self = shared_from_this()](const net_error& aError, std::size_t) {
        if (!aError) {
          self->Discard();
        }
      });
  }

  void ResetSoon(const std::string& aRequest)
  {
    const milliseconds delay(Hash64(aRequest, 19) % (kMaxResetDelayMs + 1));
    mTimer = mLoop.After(delay, [self = shared_from_this()] {
      const auto timer = std::move(self->mTimer);
      net_error ignored;
      self->mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
      self->mSocket.close(ignored);
    });
  }

  node::asio_loop& mLoop;
  tcp::socket mSocket;
  std::string mInput;
  std::string mOutput;
  std::array<char, 65'536> mDiscarded{};
  std::unique_ptr<node::timer> mTimer;
};

upload_target::upload_target(node::asio_loop& aLoop)
  : mLoop(aLoop)
  , mAcceptor(aLoop.Context(), { asio::ip::address_v4::loopback(), 0 })
{
  Accept();
}

void
upload_target::Accept()
{
  mAcceptor.async_accept([this](const net_error& aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      std::make_shared<upload>(mLoop, std::move(aSocket))->Start();
    }
    Accept();
  });
}

} // namespace arbutusferry::node_soak
