#include "arbutusferry/time.hpp"

#include <ctime>

namespace arbutusferry {

time_point
boot_clock::now() noexcept
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) +
                    std::chrono::nanoseconds(value.tv_nsec));
}

time_point
system_clock_source::Now() const noexcept
{
  return boot_clock::now();
}

unix_seconds
system_clock_source::UnixNow() const noexcept
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace arbutusferry
