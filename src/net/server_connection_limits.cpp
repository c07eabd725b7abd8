#include "server_connection.hpp"

#include "arbutusferry/logging.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

/// Memory of a connection, and what is done when it reaches a limit.
namespace arbutusferry::node {

namespace {

namespace asio = boost::asio;
using net_error = boost::system::error_code;

/// Memory of an open connection without its buffers: the session, its parser
/// and the socket's state in the kernel.
constexpr std::size_t kConnectionBytes = std::size_t{ 4 } * 1024;
/// Chunk framing of small bodies that is not compared with their payload.
constexpr std::size_t kFreeFraming = std::size_t{ 64 } * 1024;
/// Response to a request whose body is given up. Sent without waiting.
constexpr std::string_view kMemoryRefusal =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
  "Content-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

bool
server_connection::ReserveBody(std::size_t aPart)
{
  const std::size_t needed = mBody.size() + aPart;
  if (needed <= mBody.capacity()) {
    return true;
  }
  // Doubles like a string would, but not beyond the end of the body.
  const std::size_t end =
    mParser->content_length()
      ? static_cast<std::size_t>(*mParser->content_length())
      : mOwner->Limits().maxBodyBytes;
  const std::size_t capacity =
    std::max(needed, std::min(2 * mBody.capacity(), end));
  // Both buffers are held while the bytes move.
  if (!mAccount.Resize(mAccount.Bytes() + capacity)) {
    return false;
  }
  // `reserve` of a string that holds bytes may double it.
  std::string grown;
  grown.reserve(capacity);
  grown += mBody;
  mBody = std::move(grown);
  return Account();
}

bool
server_connection::Account()
{
  mAccount.SetCanGiveWay(!mHandling || UnsentBytes() > 0);
  return mAccount.Resize(
    kConnectionBytes + mHeaderBytes + mInput.capacity() + mBody.capacity() +
    mOutput.capacity() + mWriting.capacity() +
    // The kernel accounts twice the bytes that a socket may hold.
    (mPaused ? 2 * mOwner->Options().receiveBufferBytes : 0));
}

void
server_connection::NoteFraming(std::size_t aBytes)
{
  mFramingBytes += aBytes;
  if (mRefusal == 0 &&
      mFramingBytes >
        kFreeFraming +
          mOwner->Options().framing.maxChunkOverhead * mBodyBytes) {
    mRefusal = 400;
    mRefusalReason = "chunk_overhead";
  }
}

void
server_connection::ReleaseBuffers()
{
  Free(mInput);
  Free(mBody);
  Free(mOutput);
  Free(mWriting);
  mWritten = 0;
  mPaused = false;
  mAccount.Clear();
}

void
server_connection::LogLimit(const char* aReason)
{
  mOwner->Options().budget->NoteRefusal(aReason);
  Log(log_level::Info,
      "client_refused",
      { { "reason", aReason },
        { "port", std::to_string(PeerPort()) },
        { "bytes", std::to_string(mAccount.Bytes()) } });
}

void
server_connection::CloseForLimit(const char* aReason)
{
  if (mClosed) {
    return;
  }
  LogLimit(aReason);
  // Called from handlers and from within other connections, so the request's
  // own handler hears of it later.
  auto onDisconnect = std::exchange(mOnDisconnect, nullptr);
  Close();
  if (onDisconnect) {
    asio::post(mOwner->Loop().Context(), std::move(onDisconnect));
  }
}

void
server_connection::GiveWay()
{
  if (!mHandling && mPhase != phase::Idle && UnsentBytes() == 0 &&
      mOwner->Options().answersWithoutMemory) {
    net_error ignored;
    mSocket.write_some(asio::buffer(kMemoryRefusal), ignored);
  }
  CloseForLimit("memory");
}

void
server_connection::Refuse(int aStatus, const char* aReason)
{
  if (aStatus == 503 && !mOwner->Options().answersWithoutMemory) {
    CloseForLimit(aReason);
    return;
  }
  LogLimit(aReason);
  Free(mBody);
  SendErrorAndClose(aStatus);
}

std::optional<std::pair<int, time_point>>
server_connection::CloseOrder() const
{
  if (mHandling || UnsentBytes() > 0) {
    return std::nullopt;
  }
  if (mPhase == phase::Body && mAccount.Progress() > 0) {
    return std::nullopt;
  }
  return std::pair(static_cast<int>(mPhase), mPhaseStart);
}

} // namespace arbutusferry::node
