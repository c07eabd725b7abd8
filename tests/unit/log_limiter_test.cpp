#include "arbutusferry/log_limiter.hpp"
#include "arbutusferry/logging.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <unistd.h>

using namespace arbutusferry;
using std::chrono::milliseconds;

TEST_CASE("the limit on lines of one event does not affect other events")
{
  time_point now{ std::chrono::hours(1) };
  log_limiter limiter(3);
  int written = 0;
  for (int line = 0; line < 10; ++line) {
    written += limiter.Allow("a", now) ? 1 : 0;
  }
  CHECK(written == 3);
  CHECK(limiter.Allow("b", now));
  now += milliseconds(1'000);
  CHECK(limiter.Allow("a", now));
  const auto dropped = limiter.TakeDropped(now);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].event == "a");
  CHECK(dropped[0].lines == 7);
  CHECK(limiter.TakeDropped(now).empty());
}

// Guards against a daemon that blocks because nobody reads its log.
TEST_CASE("lines are dropped, without blocking, when the log is not read")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  log_bounds bounds;
  bounds.linesPerSecond = 1'000'000;
  InitBoundedLogging("test", log_level::Info, bounds);
  // More than a pipe's buffer holds; a blocking write would never return.
  for (int line = 0; line < 5'000; ++line) {
    Log(log_level::Info, "line", { { "text", std::string(100, 'x') } });
  }
  std::string text(1 << 20, '\0');
  text.resize(static_cast<std::size_t>(
    std::max<ssize_t>(0, read(ends[0], text.data(), text.size()))));
  Log(log_level::Info, "again");
  dup2(saved, STDOUT_FILENO);
  // Whole lines arrived in order.
  CHECK(text.size() > 10'000);
  CHECK(text.starts_with("{\"time\""));
  CHECK(text.find("\"event\":\"line\"") != std::string::npos);
}
