#include "exchange/socket_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace arbutusferry {

namespace {

/// Longest single poll; keeps a distant deadline from overflowing the timeout.
constexpr std::int64_t kMaxPollMs = 60'000;

int
PollMilliseconds(duration aRemaining)
{
  const auto remaining =
    std::chrono::ceil<std::chrono::milliseconds>(aRemaining).count();
  return static_cast<int>(std::clamp<std::int64_t>(remaining, 0, kMaxPollMs));
}

void
ReadAddress(const sockaddr_storage& aAddress, std::string& aIp, int& aPort)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress.ss_family == AF_INET) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(&aAddress);
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    aPort = ntohs(address->sin_port);
  } else if (aAddress.ss_family == AF_INET6) {
    const auto* address = reinterpret_cast<const sockaddr_in6*>(&aAddress);
    inet_ntop(AF_INET6, &address->sin6_addr, text.data(), text.size());
    aPort = ntohs(address->sin6_port);
  }
  aIp = text.data();
}

} // namespace

socket_stream::socket_stream(socket_t aSocket, const clock_source& aClock)
  : mSocket(aSocket)
  , mClock(aClock)
{
}

void
socket_stream::SetDeadline(time_point aRead, time_point aWrite) noexcept
{
  mReadDeadline = aRead;
  mWriteDeadline = aWrite;
}

bool
socket_stream::Wait(short aEvents, time_point aDeadline)
{
  for (;;) {
    const time_point now = mClock.Now();
    if (now >= aDeadline) {
      mTimedOut = true;
      return false;
    }
    pollfd entry{ mSocket, aEvents, 0 };
    const duration remaining = aDeadline - now;
    const int ready = ::poll(&entry, 1, PollMilliseconds(remaining));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool
socket_stream::WaitReadable(duration aWait, int aWakeDescriptor) const
{
  if (mBufferBegin < mBufferEnd) {
    return true;
  }
  std::array<pollfd, 2> entries{ { { mSocket, POLLIN, 0 },
                                   { aWakeDescriptor, POLLIN, 0 } } };
  const int ready = ::poll(
    entries.data(), aWakeDescriptor < 0 ? 1 : 2, PollMilliseconds(aWait));
  return ready > 0 && (entries[0].revents & POLLIN) != 0;
}

bool
socket_stream::is_readable() const
{
  return WaitReadable(duration::zero(), -1);
}

bool
socket_stream::is_writable() const
{
  // A peer that shut down its sending side while it waits for an answer counts
  // as disconnected: HTTP clients do not half-close.
  pollfd entry{ mSocket, POLLOUT | POLLRDHUP, 0 };
  const int ready = ::poll(&entry, 1, 0);
  return ready >= 0 && (entry.revents & (POLLERR | POLLHUP | POLLRDHUP)) == 0;
}

ssize_t
socket_stream::read(char* aData, size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  if (mReadBudget == 0) {
    mOverBudget = true;
    return -1;
  }
  while (mBufferBegin == mBufferEnd) {
    if (!Wait(POLLIN, mReadDeadline)) {
      return -1;
    }
    const ssize_t received =
      ::recv(mSocket, mBuffer.data(), mBuffer.size(), MSG_DONTWAIT);
    if (received == 0) {
      return 0;
    }
    if (received < 0) {
      if (errno == EINTR || errno == EAGAIN) {
        continue;
      }
      return -1;
    }
    mBufferBegin = 0;
    mBufferEnd = static_cast<std::size_t>(received);
  }
  const std::size_t size =
    std::min({ aSize, mBufferEnd - mBufferBegin, mReadBudget });
  std::memcpy(aData, mBuffer.data() + mBufferBegin, size);
  mBufferBegin += size;
  mReadBudget -= size;
  return static_cast<ssize_t>(size);
}

ssize_t
socket_stream::write(const char* aData, size_t aSize)
{
  const time_point deadline = mWriteStall > duration::zero()
                                ? mClock.Now() + mWriteStall
                                : mWriteDeadline;
  for (;;) {
    if (!Wait(POLLOUT, deadline)) {
      return -1;
    }
    const ssize_t sent =
      ::send(mSocket, aData, aSize, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0) {
      mWritten += static_cast<std::size_t>(sent);
      return sent;
    }
    if (errno != EINTR && errno != EAGAIN) {
      return -1;
    }
  }
}

void
socket_stream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (::getpeername(mSocket, reinterpret_cast<sockaddr*>(&address), &size) ==
      0) {
    ReadAddress(address, aIp, aPort);
  }
}

void
socket_stream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) ==
      0) {
    ReadAddress(address, aIp, aPort);
  }
}

} // namespace arbutusferry
