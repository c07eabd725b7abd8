#pragma once

#include "arbutusferry/node/asio_net.hpp"
#include "arbutusferry/node/transfer_watch.hpp"
#include "memory_budget.hpp"
#include "message_parser.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusferry::node {

class server_connection;

/// Empties a buffer and frees its memory, which assigning `{}` would keep.
inline void
Free(std::string& aBuffer)
{
  std::string().swap(aBuffer);
}

/// Interface of the listener to the connections that it accepted.
class connection_owner
{
public:
  virtual ~connection_owner() = default;
  [[nodiscard]] virtual asio_loop& Loop() noexcept = 0;
  [[nodiscard]] virtual request_handler& Handler() noexcept = 0;
  [[nodiscard]] virtual const listener_limits& Limits() const noexcept = 0;
  /// @return Options whose budget is not null.
  [[nodiscard]] virtual const listener_options& Options() const noexcept = 0;
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
  , private memory_holder
{
public:
  server_connection(connection_owner& aOwner,
                    boost::asio::ip::tcp::socket aSocket);

  void Start();
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
  /// @return The address of the peer; empty if the connection is closed.
  [[nodiscard]] const std::string& PeerAddress() const noexcept
  {
    return mPeerAddress;
  }
  /// @return How well the connection can be closed to make room for another,
  /// the best first, and since when; nothing if a request is handled or bytes
  /// arrive.
  [[nodiscard]] std::optional<std::pair<int, time_point>> CloseOrder() const;
  /// Closes the connection for a limit that it or the process has reached.
  void CloseForLimit(const char* aReason);
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
  void GiveWay() override;
  /// Grows the buffer of the body for a part.
  /// @return Whether there was memory for it.
  bool ReserveBody(std::size_t aPart);
  /// Accounts for the memory that is held now.
  /// @return Whether it is available.
  bool Account();
  /// Counts the framing of chunks that was parsed.
  void NoteFraming(std::size_t aBytes);
  void ReleaseBuffers();
  /// Answers with an error, after which the connection is closed, and logs why.
  void Refuse(int aStatus, const char* aReason);
  void LogLimit(const char* aReason);
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
  std::string mPeerAddress; ///< Only where connections of one are counted.
  memory_account mAccount;
  std::string mInput;
  std::string mBody;
  std::size_t mHeaderBytes = 0;  ///< Memory of the parsed header.
  std::size_t mBodyBytes = 0;    ///< Parsed bytes of the body.
  std::size_t mFramingBytes = 0; ///< Parsed bytes around those.
  int mRefusal = 0;              ///< Status set while parsing.
  const char* mRefusalReason = "";
  std::string mOutput;       ///< Queued behind `mWriting`.
  std::string mWriting;      ///< Buffer of the write in progress.
  std::size_t mWritten = 0;  ///< Bytes of `mWriting` that are written.
  transfer_watch mReceiving; ///< Body of the request.
  transfer_watch mSending;   ///< Write in progress.
  std::function<void()> mOnDisconnect;
  std::uint64_t mRequestNumber = 0;
  bool mHandling = false;
  bool mReading = false;
  bool mPaused = false; ///< Not reading while a request is handled.
  bool mClosed = false;
  bool mCloseAfterResponse = false;
  bool mChunked = false;
  bool mHeadRequest = false;
  bool mBodiless = false; ///< The response in progress has no body.
};

} // namespace arbutusferry::node
