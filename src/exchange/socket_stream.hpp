#pragma once

#include "arbutusferry/time.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <httplib.h>
#include <limits>
#include <string>

namespace arbutusferry {

/// Stream over a connected socket with one deadline for reading, one for
/// writing and a budget of bytes to read. Counts the bytes that the kernel
/// accepted for sending: zero proves the outcome `not_run`.
class socket_stream final : public httplib::Stream
{
public:
  socket_stream(socket_t aSocket, const clock_source& aClock);

  /// Sets the time after which reads and writes fail.
  void SetDeadline(time_point aRead, time_point aWrite) noexcept;
  /// Limits the duration of each write; replaces the write deadline.
  void SetWriteStall(duration aStall) noexcept { mWriteStall = aStall; }
  /// Sets the number of bytes that may still be read.
  void SetReadBudget(std::size_t aBytes) noexcept { mReadBudget = aBytes; }

  /// @return Bytes accepted by the kernel for sending.
  [[nodiscard]] std::size_t Written() const noexcept { return mWritten; }
  /// @return True once a read was refused because the budget was used up.
  [[nodiscard]] bool OverBudget() const noexcept { return mOverBudget; }
  /// @return True once a deadline passed.
  [[nodiscard]] bool TimedOut() const noexcept { return mTimedOut; }

  /// Waits until a byte can be read.
  /// @param aWake Descriptor that ends the wait when readable; -1 for none.
  [[nodiscard]] bool WaitReadable(duration aWait, int aWakeDescriptor) const;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aData, size_t aSize) override;
  ssize_t write(const char* aData, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  bool Wait(short aEvents, time_point aDeadline);

  socket_t mSocket;
  const clock_source& mClock;
  time_point mReadDeadline = time_point::max();
  time_point mWriteDeadline = time_point::max();
  duration mWriteStall{};
  std::size_t mReadBudget = std::numeric_limits<std::size_t>::max();
  std::size_t mWritten = 0;
  bool mOverBudget = false;
  bool mTimedOut = false;
  std::array<char, 4096> mBuffer{};
  std::size_t mBufferBegin = 0;
  std::size_t mBufferEnd = 0;
};

} // namespace arbutusferry
