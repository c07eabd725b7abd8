#include "server_connection.hpp"

#include "arbutusferry/http_status.hpp"
#include "arbutusferry/logging.hpp"
#include "connection_responder.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace arbutusferry::node {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using net_error = boost::system::error_code;

/// Buffered bytes of pipelined requests at which reading pauses while a request
/// is handled.
constexpr std::size_t kMaxReadAhead = std::size_t{ 64 } * 1024;

/// Memory of a header field beside its text.
constexpr std::size_t kHeaderFieldBytes = 96;
/// Memory of a request in a handler beside its text.
constexpr std::size_t kRequestBytes = std::size_t{ 1 } * 1024;
/// Copies of a body that a handler may hold: its own, and one in a message to
/// another node.
constexpr std::size_t kBodyCopies = 2;
/// Larger empty buffers are released, so that idle connections stay small.
constexpr std::size_t kMaxKeptBuffer = std::size_t{ 4 } * 1024;

void
ReleaseIfLarge(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kMaxKeptBuffer) {
    Free(aBuffer);
  }
}

} // namespace

server_connection::server_connection(connection_owner& aOwner,
                                     tcp::socket aSocket)
  : mOwner(&aOwner)
  , mSocket(std::move(aSocket))
  , mPhaseStart(aOwner.Loop().Now())
  , mAccount(aOwner.Options().budget, this)
{
  net_error ignored;
  if (aOwner.Options().maxConnectionsPerAddress > 0) {
    mPeerAddress = mSocket.remote_endpoint(ignored).address().to_string();
  }
  mSocket.set_option(tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  NewParser();
}

void
server_connection::NewParser()
{
  mPhase = phase::Idle;
  Free(mBody);
  mHeaderBytes = 0;
  mBodyBytes = 0;
  mFramingBytes = 0;
  mRefusal = 0;
  mParser.emplace(static_cast<parse_events&>(*this));
  mParser->header_limit(
    static_cast<std::uint32_t>(mOwner->Limits().maxHeaderBytes));
  mParser->body_limit(mOwner->Limits().maxBodyBytes);
}

void
server_connection::Start()
{
  if (Account()) {
    WaitReadable();
  } else {
    CloseForLimit("memory");
  }
}

void
server_connection::CheckTimeouts(time_point aNow)
{
  if (mHandling && UnsentBytes() == 0) {
    return;
  }
  const duration idleTimeout = mOwner->Limits().idleTimeout;
  bool expired = false;
  if (UnsentBytes() > 0) {
    expired = mSending.Stalled(idleTimeout, aNow);
  } else if (mPhase == phase::Body) {
    expired = mReceiving.Stalled(
      idleTimeout,
      aNow,
      mOwner->Options().framing.minBodyBytesPerSecond *
        static_cast<std::size_t>(
          std::chrono::duration_cast<std::chrono::seconds>(idleTimeout)
            .count()));
  } else if (mPhase == phase::Header) {
    expired = aNow - mPhaseStart >= mOwner->Limits().headerTimeout;
  } else {
    expired = aNow - mPhaseStart >= mOwner->IdleTimeout();
  }
  if (expired) {
    Close();
  }
}

void
server_connection::OnParsedHead()
{
  mPhase = phase::Body;
  mReceiving.Restart(mOwner->Loop().Now());
  const auto fields = static_cast<std::size_t>(
    std::distance(mParser->headers.begin(), mParser->headers.end()));
  mHeaderBytes = fields * kHeaderFieldBytes + mInput.size();
  if (fields > mOwner->Options().framing.maxHeaderFields) {
    mRefusal = 431;
    mRefusalReason = "header_fields";
  }
}

void
server_connection::OnParsedBody(std::string_view aPart)
{
  mBodyBytes += aPart.size();
  mReceiving.Note(aPart.size());
  if (mRefusal != 0) {
    return;
  }
  if (!ReserveBody(aPart.size())) {
    mRefusal = 503;
    mRefusalReason = "memory";
    Free(mBody);
    return;
  }
  mBody += aPart;
}

void
server_connection::WaitReadable()
{
  if (mReading || mClosed) {
    return;
  }
  mReading = true;
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const net_error& aError) {
                       self->mReading = false;
                       if (self->mClosed) {
                         return;
                       }
                       if (aError) {
                         self->Close();
                         return;
                       }
                       self->ReadAvailable();
                     });
}

void
server_connection::ReadAvailable()
{
  static std::array<char, kMaxReadAhead> sBuffer;
  net_error error;
  const std::size_t size = mSocket.read_some(asio::buffer(sBuffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    WaitReadable();
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (mCloseAfterResponse && !mHandling) {
    WaitReadable(); // What follows an error is no request.
    return;
  }
  mInput.append(sBuffer.data(), size);
  mAccount.NoteProgress(size);
  if (!mHandling) {
    Parse();
  }
  if (mClosed) {
    return;
  }
  ReleaseIfLarge(mInput);
  mPaused = mHandling && mInput.size() >= kMaxReadAhead;
  if (!Account()) {
    if (mHandling) {
      CloseForLimit("memory");
      return;
    }
    Refuse(503, "memory");
  }
  if (!mClosed && !mPaused) {
    WaitReadable();
  }
}

void
server_connection::Parse()
{
  while (!mHandling && !mClosed && !mCloseAfterResponse && !mInput.empty()) {
    if (mPhase == phase::Idle) {
      mPhase = phase::Header;
      mPhaseStart = mOwner->Loop().Now();
    }
    net_error error;
    const bool inBody = mPhase == phase::Body;
    const std::size_t bodyBytes = mBodyBytes;
    const std::size_t used = mParser->put(asio::buffer(mInput), error);
    mInput.erase(0, used);
    if (inBody) {
      NoteFraming(used - (mBodyBytes - bodyBytes));
    }
    if (mRefusal != 0) {
      Refuse(mRefusal, mRefusalReason);
      return;
    }
    if (error == http::error::need_more) {
      if (mPhase == phase::Header &&
          mInput.size() > mOwner->Limits().maxHeaderBytes) {
        SendErrorAndClose(431);
      } else if (mPhase == phase::Body &&
                 mInput.size() > mOwner->Options().framing.maxTrailerBytes) {
        Refuse(431, "trailers");
      }
      return;
    }
    if (error == http::error::header_limit) {
      SendErrorAndClose(431);
      return;
    }
    if (error == http::error::body_limit) {
      SendErrorAndClose(413);
      return;
    }
    if (error) {
      SendErrorAndClose(400);
      return;
    }
    if (mParser->is_done()) {
      Dispatch();
      return;
    }
    if (mPhase == phase::Body &&
        EqualIgnoringCase(mParser->headers.Get("Expect"), "100-continue") &&
        mBody.empty() && used > 0 && mOutput.empty() && mWriting.empty()) {
      mOutput = "HTTP/1.1 100 Continue\r\n\r\n";
      Flush();
    }
    if (used == 0) {
      return;
    }
  }
}

void
server_connection::Dispatch()
{
  auto& headers = mParser->headers;
  // Guards against request smuggling: with two lengths, or a length beside a
  // transfer coding, one request can hide inside another.
  if (headers.Count("Content-Length") > 1 || headers.Count("Host") > 1 ||
      (headers.Count("Content-Length") > 0 &&
       headers.Count("Transfer-Encoding") > 0)) {
    SendErrorAndClose(400);
    return;
  }
  const std::size_t memory =
    kRequestBytes + mHeaderBytes + kBodyCopies * mBody.size();
  http_request request{ std::move(mParser->method),
                        std::move(mParser->target),
                        std::move(headers),
                        std::move(mBody) };
  Free(mBody);
  mCloseAfterResponse = !mParser->keep_alive();
  mHeadRequest = request.method == "HEAD";
  mHandling = true;
  ++mRequestNumber;
  auto answer = std::make_shared<connection_responder>(
    shared_from_this(), mRequestNumber, mOwner->Options().budget);
  // The request's memory counts with the responder from now on.
  mHeaderBytes = 0;
  if (!Account() || !answer->ReserveMemory(memory)) {
    request = {};
    Refuse(503, "memory");
    return;
  }
  try {
    mOwner->Handler().Handle(std::move(request), answer);
  } catch (const std::exception& error) {
    // It may have been passed on, so there is no response that says otherwise.
    Log(log_level::Error, "request_failed", { { "error", error.what() } });
    answer->Abort();
  }
}

void
server_connection::SendErrorAndClose(int aStatus)
{
  mHandling = true;
  mHeadRequest = false;
  ++mRequestNumber;
  mCloseAfterResponse = true;
  Send(mRequestNumber, { aStatus, {}, {} });
}

void
server_connection::AppendHead(int aStatus, header_list aHeaders)
{
  mCloseAfterResponse = mCloseAfterResponse || mOwner->Draining();
  aHeaders.Remove("Connection");
  if (IsBodilessHttpStatus(aStatus) && aStatus != 304) {
    aHeaders.Remove("Content-Length"); // RFC 9110, section 8.6.
  }
  if (mCloseAfterResponse) {
    aHeaders.Add("Connection", "close");
  }
  const auto reason = http::obsolete_reason(static_cast<http::status>(aStatus));
  mOutput += "HTTP/1.1 " + std::to_string(aStatus) + " " +
             std::string(reason.data(), reason.size()) + "\r\n";
  AppendHeaders(mOutput, aHeaders);
}

void
server_connection::Send(std::uint64_t aRequestNumber, http_response aResponse)
{
  if (ResponseClosed(aRequestNumber)) {
    return;
  }
  mBodiless = mHeadRequest || IsBodilessHttpStatus(aResponse.status);
  aResponse.headers.Remove("Transfer-Encoding");
  if (!mBodiless) {
    aResponse.headers.Remove("Content-Length");
    aResponse.headers.Add("Content-Length",
                          std::to_string(aResponse.body.size()));
  }
  AppendHead(aResponse.status, std::move(aResponse.headers));
  if (!mBodiless) {
    mOutput += aResponse.body;
  }
  Complete();
}

void
server_connection::Begin(std::uint64_t aRequestNumber,
                         int aStatus,
                         const header_list& aHeaders)
{
  if (ResponseClosed(aRequestNumber)) {
    return;
  }
  header_list headers = aHeaders;
  mBodiless = mHeadRequest || IsBodilessHttpStatus(aStatus);
  mChunked = !mBodiless && !headers.Find("Content-Length");
  if (mChunked) {
    headers.Add("Transfer-Encoding", "chunked");
  }
  AppendHead(aStatus, std::move(headers));
  Flush();
}

void
server_connection::Write(std::uint64_t aRequestNumber, std::string_view aPart)
{
  if (ResponseClosed(aRequestNumber) || aPart.empty() || mBodiless) {
    return;
  }
  if (mChunked) {
    std::array<char, 20> size{};
    const int digits =
      std::snprintf(size.data(), size.size(), "%zx\r\n", aPart.size());
    mOutput.append(size.data(), static_cast<std::size_t>(digits));
    mOutput += aPart;
    mOutput += "\r\n";
  } else {
    mOutput += aPart;
  }
  Flush();
  if (!mClosed && !Account()) {
    CloseForLimit("memory");
  }
}

void
server_connection::End(std::uint64_t aRequestNumber)
{
  if (ResponseClosed(aRequestNumber)) {
    return;
  }
  if (mChunked) {
    mOutput += "0\r\n\r\n";
  }
  Complete();
}

void
server_connection::Complete()
{
  mHandling = false;
  mOnDisconnect = nullptr;
  mPhaseStart = mOwner->Loop().Now();
  mSending.Restart(mPhaseStart);
  NewParser();
  Flush();
  if (!mClosed && !Account()) {
    CloseForLimit("memory");
  }
  if (!mClosed && !mCloseAfterResponse) {
    // The next request may already be buffered. Posting keeps its handler from
    // running inside the handler of this one.
    asio::post(mOwner->Loop().Context(), [self = shared_from_this()] {
      if (!self->mClosed) {
        self->mPaused = false;
        self->Parse();
        if (!self->mClosed) {
          ReleaseIfLarge(self->mInput);
          self->WaitReadable();
        }
      }
    });
  }
}

void
server_connection::Flush()
{
  if (mClosed || !mWriting.empty()) {
    return;
  }
  if (mOutput.empty()) {
    if (mCloseAfterResponse && !mHandling) {
      Close();
    }
    return;
  }
  mWriting.swap(mOutput);
  mWritten = 0;
  mSending.Restart(mOwner->Loop().Now());
  WriteSome();
}

void
server_connection::WriteSome()
{
  mSocket.async_write_some(
    asio::buffer(mWriting) + mWritten,
    [self = shared_from_this()](const net_error& aError, std::size_t aBytes) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->mSending.Note(aBytes);
      self->mAccount.NoteProgress(aBytes);
      self->mWritten += aBytes;
      if (self->mWritten < self->mWriting.size()) {
        self->WriteSome();
        return;
      }
      self->mWriting.clear();
      self->mWritten = 0;
      ReleaseIfLarge(self->mWriting);
      ReleaseIfLarge(self->mOutput);
      (void)self->Account();
      if (!self->mHandling && self->mPhase == phase::Idle) {
        self->mPhaseStart = self->mOwner->Loop().Now();
      }
      self->Flush();
    });
}

void
server_connection::Abort(std::uint64_t aRequestNumber)
{
  if (!ResponseClosed(aRequestNumber)) {
    mOnDisconnect = nullptr;
    Close();
  }
}

bool
server_connection::Idle() const
{
  net_error ignored;
  return !mHandling && mPhase == phase::Idle && mInput.empty() &&
         UnsentBytes() == 0 && mSocket.available(ignored) == 0;
}

std::uint16_t
server_connection::PeerPort() const
{
  net_error failed;
  const auto peer = mSocket.remote_endpoint(failed);
  return failed ? 0 : peer.port();
}

void
server_connection::OnDisconnect(std::uint64_t aRequestNumber,
                                std::function<void()> aFunction)
{
  if (!ResponseClosed(aRequestNumber)) {
    mOnDisconnect = std::move(aFunction);
  }
}

void
server_connection::Close()
{
  if (mClosed) {
    return;
  }
  const auto self = shared_from_this();
  mClosed = true;
  net_error ignored;
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  mSocket.close(ignored);
  ReleaseBuffers();
  mOwner->Remove(self);
  if (const auto onDisconnect = std::exchange(mOnDisconnect, nullptr)) {
    onDisconnect();
  }
}

} // namespace arbutusferry::node
