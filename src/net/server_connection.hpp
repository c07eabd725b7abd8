#pragma once

#include "arbutusferry/node/asio_net.hpp"
#include "arbutusferry/node/transfer_watch.hpp"
#include "message_parser.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusferry::node {

class server_connection;

/// Interface of the listener to the connections that it accepted.
class connection_owner
{
public:
  virtual ~connection_owner() = default;
  [[nodiscard]] virtual asio_loop& Loop() noexcept = 0;
  [[nodiscard]] virtual request_handler& Handler() noexcept = 0;
  [[nodiscard]] virtual const listener_limits& Limits() const noexcept = 0;
  /// @return Whether every response closes its connection.
  [[nodiscard]] virtual bool Draining() const noexcept = 0;
  /// @return Time after which an idle connection is closed.
  [[nodiscard]] virtual duration IdleTimeout() const noexcept = 0;
  /// Releases a closed connection.
  virtual void Remove(
    const std::shared_ptr<server_connection>& aConnection) = 0;
};

/// An accepted connection, which handles one request at a time.
class server_connection final
  : public std::enable_shared_from_this<server_connection>
  , private parse_events
{
public:
  server_connection(connection_owner& aOwner,
                    boost::asio::ip::tcp::socket aSocket);

  void Start() { WaitReadable(); }
  void CheckTimeouts(time_point aNow);
  void Close();

  void Send(std::uint64_t aRequestNumber, http_response aResponse);
  void Begin(std::uint64_t aRequestNumber,
             int aStatus,
             const header_list& aHeaders);
  void Write(std::uint64_t aRequestNumber, std::string_view aPart);
  void End(std::uint64_t aRequestNumber);
  void Abort(std::uint64_t aRequestNumber);
  void OnDisconnect(std::uint64_t aRequestNumber,
                    std::function<void()> aFunction);
  /// @return Whether the response to a request is complete or its connection
  /// closed.
  [[nodiscard]] bool ResponseClosed(std::uint64_t aRequestNumber) const
  {
    return mClosed || aRequestNumber != mRequestNumber || !mHandling;
  }
  /// @return Whether no part of a request has arrived whose response is not
  /// written yet.
  [[nodiscard]] bool Idle() const;
  [[nodiscard]] std::uint16_t PeerPort() const;
  [[nodiscard]] std::size_t UnsentBytes() const
  {
    return mWriting.size() - mWritten + mOutput.size();
  }

private:
  enum class phase
  {
    Idle,
    Header,
    Body,
  };

  void OnParsedHead() override;
  void OnParsedBody(std::string_view aPart) override;
  void NewParser();
  void WaitReadable();
  void ReadAvailable();
  void Parse();
  void Dispatch();
  void SendErrorAndClose(int aStatus);
  void Flush();
  void WriteSome();
  void Complete();
  void AppendHead(int aStatus, header_list aHeaders);

  connection_owner* mOwner;
  boost::asio::ip::tcp::socket mSocket;
  std::optional<message_parser<true>> mParser;
  phase mPhase = phase::Idle;
  time_point mPhaseStart;
  std::string mInput;
  std::string mBody;
  std::string mOutput;       ///< Queued behind `mWriting`.
  std::string mWriting;      ///< Buffer of the write in progress.
  std::size_t mWritten = 0;  ///< Bytes of `mWriting` that are written.
  transfer_watch mReceiving; ///< Body of the request.
  transfer_watch mSending;   ///< Write in progress.
  std::function<void()> mOnDisconnect;
  std::uint64_t mRequestNumber = 0;
  bool mHandling = false;
  bool mReading = false;
  bool mClosed = false;
  bool mCloseAfterResponse = false;
  bool mChunked = false;
  bool mHeadRequest = false;
};

} // namespace arbutusferry::node
