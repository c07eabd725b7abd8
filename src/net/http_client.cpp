#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/asio_net.hpp"
#include "message_parser.hpp"
#include "probe_connection.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <deque>
#include <map>
#include <optional>

namespace arbutusferry::node {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using net_error = boost::system::error_code;
using std::chrono::milliseconds;

/// How long an idle connection is reusable if the peer sends no Keep-Alive
/// timeout: the header states whole seconds, so a peer that omits it may close
/// within less than a second.
constexpr milliseconds kDefaultKeepAlive{ 300 };
/// A connection is not reused this shortly before its peer closes it: longer
/// than a request takes to reach the peer.
constexpr milliseconds kKeepAliveMargin{ 400 };
constexpr std::size_t kReadBufferBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxIdleConnectionsPerPeer = 64;
/// Fewer bytes of a response that is made at once don't extend its timeout.
constexpr std::size_t kMinBytesMadeAtOnce = 256;
constexpr std::size_t kMaxHeaderBytes = std::size_t{ 64 } * 1024;
/// A request body up to this size is copied behind its head; a larger one is
/// sent from where it is.
constexpr std::size_t kMaxCopiedBody = std::size_t{ 16 } * 1024;
/// Larger buffers are released after each exchange, so that idle connections
/// stay small.
constexpr std::size_t kMaxKeptBuffer = std::size_t{ 16 } * 1024;

class asio_client;

/// @return The id that the response must name; empty if there is none.
std::string_view
RequestId(const http_request& aRequest, const exchange_options& aOptions)
{
  return aOptions.echoHeader.empty()
           ? std::string_view()
           : aRequest.headers.Get(aOptions.echoHeader);
}

/// One connection to a peer, which carries one exchange at a time.
class client_connection final
  : public std::enable_shared_from_this<client_connection>
  , private parse_events
{
public:
  client_connection(asio_loop& aLoop, asio_client& aClient, std::string aPeer)
    : mLoop(aLoop)
    , mClient(aClient)
    , mPeer(std::move(aPeer))
    , mSocket(aLoop.Context())
  {
  }

  void Connect(const socket_address& aAddress);
  void Begin(http_request aRequest,
             const exchange_options& aOptions,
             std::shared_ptr<response_sink> aSink);
  /// Ends the exchange of a sink; does nothing if the connection already serves
  /// another one.
  void Cancel(const response_sink* aSink);
  void Close();
  [[nodiscard]] bool Reusable(time_point aNow) const
  {
    return mConnected && !mClosed && aNow < mReuseDeadline;
  }
  [[nodiscard]] const std::string& Peer() const noexcept { return mPeer; }
  /// @return The id that the last response had to name; empty if none.
  [[nodiscard]] const std::string& LastRequestId() const noexcept
  {
    return mRequestId;
  }

private:
  void OnParsedHead() override;
  void OnParsedBody(std::string_view aPart) override;
  void Write();
  void OnWriteError(const net_error& aError);
  void OnEndOfData();
  void ConcludeAtEndOfData();
  /// @return Whether the end of the data completes the response.
  [[nodiscard]] bool EndsWithConnection() const;
  void WaitReadable();
  void ReadAvailable();
  void Parse();
  void Finish();
  void Fail(exchange_failure aFailure);
  /// Ends an exchange whose response exceeds a limit.
  void FailTooLong(const char* aPart);
  void ArmReadTimer();
  void NewParser();
  void SetReuseDeadline(time_point aNow);

  asio_loop& mLoop;
  asio_client& mClient;
  std::string mPeer;
  tcp::socket mSocket;
  bool mConnected = false;
  bool mClosed = false;
  bool mRequestWritten = false;
  bool mReset = false; ///< Sending the request met an error of the connection.
  bool mDiscardMessage = false; ///< Interim or for another request.
  bool mHeadRequest = false;
  std::string mOutput;
  request_body mOutputBody; ///< Sent behind `mOutput`.
  std::string mInput;
  std::size_t mBodyBytes = 0; ///< Of the response so far.
  std::string mRequestId;
  exchange_options mOptions;
  std::shared_ptr<response_sink> mSink;
  std::optional<message_parser<false>> mParser;
  std::unique_ptr<timer> mTimer;
  time_point mLastActivity;
  std::size_t mUncounted = 0; ///< Bytes read since the last activity.
  time_point mReuseDeadline;
};

class client_exchange final : public http_exchange
{
public:
  client_exchange(const std::shared_ptr<client_connection>& aConnection,
                  const std::shared_ptr<response_sink>& aSink)
    : mConnection(aConnection)
    , mSink(aSink)
  {
  }
  void Cancel() override;

private:
  std::weak_ptr<client_connection> mConnection;
  std::weak_ptr<response_sink> mSink;
};

class asio_client final : public http_client
{
public:
  asio_client(asio_loop& aLoop, std::size_t aMaxMadeAtOnce)
    : mLoop(aLoop)
    , mMaxMadeAtOnce(aMaxMadeAtOnce)
  {
  }
  ~asio_client() override
  {
    WithoutThrowing([this] {
      for (const auto& [peer, list] : std::exchange(mIdle, {})) {
        for (const auto& connection : list) {
          connection->Close();
        }
      }
    });
  }
  asio_client(const asio_client&) = delete;
  asio_client& operator=(const asio_client&) = delete;

  std::shared_ptr<http_exchange> Send(
    const socket_address& aPeer,
    http_request aRequest,
    const exchange_options& aOptions,
    std::shared_ptr<response_sink> aSink) override
  {
    const std::string peer = FormatAddress(aPeer);
    auto connection = TakeIdle(peer, RequestId(aRequest, aOptions));
    const bool fresh = !connection;
    if (fresh) {
      connection = std::make_shared<client_connection>(mLoop, *this, peer);
    }
    auto exchange = std::make_shared<client_exchange>(connection, aSink);
    connection->Begin(std::move(aRequest), aOptions, std::move(aSink));
    if (fresh) {
      connection->Connect(aPeer);
    }
    return exchange;
  }

  void Probe(
    const socket_address& aPeer,
    milliseconds aTimeout,
    std::function<void(std::optional<exchange_failure>)> aDone) override
  {
    std::make_shared<probe_connection>(mLoop, std::move(aDone))
      ->Start(aPeer, aTimeout);
  }

  /// @return Longest body of a response that is made at once.
  [[nodiscard]] std::size_t MaxMadeAtOnce() const noexcept
  {
    return mMaxMadeAtOnce;
  }

  void AddIdle(const std::shared_ptr<client_connection>& aConnection)
  {
    auto& list = mIdle[aConnection->Peer()];
    list.push_back(aConnection);
    if (list.size() > kMaxIdleConnectionsPerPeer) {
      auto oldest = list.front();
      list.pop_front();
      oldest->Close();
    }
  }

  void RemoveIdle(const client_connection* aConnection)
  {
    const auto found = mIdle.find(aConnection->Peer());
    if (found == mIdle.end()) {
      return;
    }
    std::erase_if(found->second, [&](const auto& aEntry) {
      return aEntry.get() == aConnection;
    });
    if (found->second.empty()) {
      mIdle.erase(found);
    }
  }

private:
  /// Takes the most recently used idle connection, since the others are closed
  /// by the peer sooner. A request that is repeated gets another connection: a
  /// late second copy of its first response would have the id of the next.
  std::shared_ptr<client_connection> TakeIdle(const std::string& aPeer,
                                              std::string_view aRequestId)
  {
    const auto found = mIdle.find(aPeer);
    if (found == mIdle.end()) {
      return nullptr;
    }
    const time_point now = mLoop.Now();
    auto& list = found->second;
    for (std::size_t left = list.size(); left > 0; --left) {
      const auto at = list.begin() + static_cast<std::ptrdiff_t>(left - 1);
      auto connection = *at;
      if (connection->Reusable(now) && !aRequestId.empty() &&
          connection->LastRequestId() == aRequestId) {
        continue;
      }
      list.erase(at);
      if (connection->Reusable(now)) {
        return connection;
      }
      connection->Close();
      if (!mIdle.contains(aPeer)) {
        break;
      }
    }
    return nullptr;
  }

  asio_loop& mLoop;
  std::size_t mMaxMadeAtOnce;
  std::map<std::string, std::deque<std::shared_ptr<client_connection>>> mIdle;
};

void
client_exchange::Cancel()
{
  const auto connection = mConnection.lock();
  const auto sink = mSink.lock();
  if (connection && sink) {
    connection->Cancel(sink.get());
  }
  mConnection.reset();
}

void
client_connection::Connect(const socket_address& aAddress)
{
  net_error error;
  const auto address = asio::ip::make_address(aAddress.ip, error);
  auto self = shared_from_this();
  if (error) {
    asio::post(mLoop.Context(),
               [self] { self->Fail(exchange_failure::NotSent); });
    return;
  }
  mTimer = mLoop.After(mOptions.connectTimeout,
                       [this] { Fail(exchange_failure::NotSent); });
  mSocket.async_connect(
    { address, aAddress.port }, [self](const net_error& aError) {
      if (self->mClosed) {
        return;
      }
      if (const auto failure = ConnectFailure(aError)) {
        self->Fail(*failure);
        return;
      }
      net_error ignored;
      self->mSocket.set_option(tcp::no_delay(true), ignored);
      self->mSocket.non_blocking(true, ignored);
      self->mConnected = true;
      if (self->mOptions.mayWrite && !self->mOptions.mayWrite()) {
        self->Fail(exchange_failure::NotSent);
        return;
      }
      self->Write();
      self->WaitReadable();
    });
}

void
client_connection::Begin(http_request aRequest,
                         const exchange_options& aOptions,
                         std::shared_ptr<response_sink> aSink)
{
  mOptions = aOptions;
  mSink = std::move(aSink);
  mRequestWritten = false;
  mReset = false;
  mUncounted = 0;
  mBodyBytes = 0;
  mHeadRequest = aRequest.method == "HEAD";
  mRequestId = RequestId(aRequest, mOptions);
  NewParser();
  mOutput = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  if (!aRequest.body.empty() || aRequest.method == "POST" ||
      aRequest.method == "PUT" || aRequest.method == "PATCH") {
    aRequest.headers.Remove("Content-Length");
    aRequest.headers.Add("Content-Length",
                         std::to_string(aRequest.body.size()));
  }
  AppendHeaders(mOutput, aRequest.headers);
  if (aRequest.body.size() <= kMaxCopiedBody) {
    mOutput += aRequest.body.Text();
  } else {
    mOutputBody = std::move(aRequest.body);
  }
  if (mConnected) {
    Write();
  }
}

void
client_connection::NewParser()
{
  mDiscardMessage = false;
  mParser.emplace(static_cast<parse_events&>(*this));
  mParser->skip(mHeadRequest);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->body_limit(boost::none);
}

void
client_connection::Write()
{
  mLastActivity = mLoop.Now();
  ArmReadTimer();
  asio::async_write(
    mSocket,
    std::array<asio::const_buffer, 2>{ asio::buffer(mOutput),
                                       asio::buffer(mOutputBody.Text()) },
    [self = shared_from_this()](const net_error& aError, std::size_t) {
      if (self->mClosed) {
        return;
      }
      self->mOutput.clear();
      if (self->mOutput.capacity() > kMaxKeptBuffer) {
        self->mOutput.shrink_to_fit();
      }
      self->mOutputBody = {};
      self->mRequestWritten = !aError;
      if (aError) {
        self->OnWriteError(aError);
      }
    });
}

void
client_connection::OnWriteError(const net_error& aError)
{
  Log(log_level::Info,
      "request_write_failed",
      { { "peer", mPeer }, { "error", aError.message() } });
  // A peer may respond and close before it has read the whole request, so the
  // read decides how the exchange ends. But a connection reports its reset only
  // once: the read finds the end of the data instead. Only a peer that has
  // ended its side in order makes the write fail with a broken pipe.
  mReset = aError != asio::error::broken_pipe;
}

void
client_connection::ArmReadTimer()
{
  const duration remaining =
    mOptions.readTimeout - (mLoop.Now() - mLastActivity) + milliseconds(1);
  mTimer = mLoop.After(remaining, [this] {
    if (mLoop.Now() - mLastActivity >= mOptions.readTimeout) {
      Fail(exchange_failure::Timeout);
    } else {
      ArmReadTimer();
    }
  });
}

void
client_connection::WaitReadable()
{
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const net_error& aError) {
                       if (self->mClosed) {
                         return;
                       }
                       if (aError) {
                         self->Fail(exchange_failure::Broken);
                         return;
                       }
                       self->ReadAvailable();
                     });
}

void
client_connection::ReadAvailable()
{
  // One thread serves all connections, so they share the buffer.
  static std::array<char, kReadBufferBytes> sBuffer;
  net_error error;
  const std::size_t size = mSocket.read_some(asio::buffer(sBuffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    WaitReadable();
    return;
  }
  if (!mSink) {
    // Data or end of file on an idle connection: it can't be reused.
    Close();
    return;
  }
  mUncounted += size;
  if (!mOptions.madeAtOnce || mUncounted >= kMinBytesMadeAtOnce) {
    mLastActivity = mLoop.Now();
    mUncounted = 0;
  }
  mInput.append(sBuffer.data(), size);
  if (size > 0) {
    Parse();
  }
  if (mClosed) {
    return;
  }
  if (error == asio::error::eof && mSink) {
    OnEndOfData();
  } else if (error) {
    Fail(exchange_failure::Broken);
  } else {
    WaitReadable();
  }
}

void
client_connection::OnEndOfData()
{
  if (mRequestWritten) {
    ConcludeAtEndOfData();
    return;
  }
  // A write that met a reset may have its completion queued behind this one.
  asio::post(mLoop.Context(), [self = shared_from_this()] {
    if (!self->mClosed) {
      self->ConcludeAtEndOfData();
    }
  });
}

void
client_connection::ConcludeAtEndOfData()
{
  if (!EndsWithConnection()) {
    Fail(exchange_failure::Broken);
    return;
  }
  Close();
  std::exchange(mSink, nullptr)->OnEnd();
}

bool
client_connection::EndsWithConnection() const
{
  return mParser->is_header_done() && mParser->need_eof() && !mDiscardMessage &&
         !mReset;
}

void
client_connection::Parse()
{
  const auto self = shared_from_this();
  while (mSink && !mInput.empty()) {
    net_error error;
    const std::size_t used = mParser->put(asio::buffer(mInput), error);
    if (mClosed) {
      return;
    }
    mInput.erase(0, used);
    if (error == http::error::need_more) {
      // Only a chunk's header or trailers can grow without an end.
      if (mInput.size() > kMaxHeaderBytes) {
        FailTooLong("framing");
      }
      return;
    }
    if (error) {
      Fail(exchange_failure::Protocol);
      return;
    }
    if (mOptions.madeAtOnce && mBodyBytes > mClient.MaxMadeAtOnce()) {
      FailTooLong("body");
      return;
    }
    if (mParser->is_done()) {
      if (mDiscardMessage) {
        NewParser();
        continue;
      }
      Finish();
      return;
    }
    if (used == 0) {
      return;
    }
  }
}

void
client_connection::OnParsedHead()
{
  const auto& headers = mParser->headers;
  const auto responseId = headers.Find(
    mOptions.echoHeader.empty() ? std::string_view(" ") : mOptions.echoHeader);
  mDiscardMessage = !IsFinalHttpStatus(mParser->status) ||
                    (responseId && *responseId != mRequestId);
  if (!mDiscardMessage && mSink) {
    const auto sink = mSink;
    sink->OnHead(mParser->status, headers);
  }
}

void
client_connection::OnParsedBody(std::string_view aPart)
{
  mBodyBytes += aPart.size();
  if (!mDiscardMessage && mSink) {
    const auto sink = mSink;
    sink->OnBody(aPart);
  }
}

void
client_connection::SetReuseDeadline(time_point aNow)
{
  duration timeout = kDefaultKeepAlive;
  const std::string_view keepAlive = mParser->headers.Get("Keep-Alive");
  if (const auto at = keepAlive.find("timeout=");
      at != std::string_view::npos) {
    std::string_view digits = keepAlive.substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    if (const auto seconds = ParseInteger(digits)) {
      timeout = std::chrono::seconds(*seconds) - kKeepAliveMargin;
    }
  }
  mReuseDeadline = aNow + timeout;
}

void
client_connection::Finish()
{
  mTimer.reset();
  const auto sink = std::exchange(mSink, nullptr);
  if (mParser->keep_alive() && mInput.empty() && mRequestWritten) {
    SetReuseDeadline(mLoop.Now());
    mClient.AddIdle(shared_from_this());
  } else {
    Close();
  }
  sink->OnEnd();
}

void
client_connection::Fail(exchange_failure aFailure)
{
  const auto self = shared_from_this();
  const auto sink = std::exchange(mSink, nullptr);
  Close();
  if (sink) {
    sink->OnFailure(aFailure);
  }
}

void
client_connection::FailTooLong(const char* aPart)
{
  Log(log_level::Warning,
      "response_too_long",
      { { "peer", mPeer }, { "part", aPart } });
  Fail(exchange_failure::Protocol);
}

void
client_connection::Cancel(const response_sink* aSink)
{
  if (mSink.get() == aSink) {
    mSink.reset();
    Close();
  }
}

void
client_connection::Close()
{
  if (mClosed) {
    return;
  }
  const auto self = shared_from_this();
  mClosed = true;
  mTimer.reset();
  net_error ignored;
  mSocket.close(ignored);
  mClient.RemoveIdle(this);
}

} // namespace

std::unique_ptr<http_client>
MakeHttpClient(asio_loop& aLoop, std::size_t aMaxMadeAtOnce)
{
  return std::make_unique<asio_client>(aLoop, aMaxMadeAtOnce);
}

} // namespace arbutusferry::node
