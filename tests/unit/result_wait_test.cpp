#include "arbutusferry/node/result_wait.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr time_point kDue = kStart + milliseconds(7'500);

result_wait
ReadAt(milliseconds aTime)
{
  return { kStart + aTime, kStart + aTime + seconds(1) };
}

} // namespace

// Load pattern: the longest items of a step end almost together while its
// trainer reads twice a second. Guards against a read that returns just before
// the last of them, so that the trainer requests the next step half a second
// later.
TEST_CASE("a read near the end of a step is held for the missing items")
{
  const time_point listed = kStart + milliseconds(6'900);
  CHECK(AnswerTime(ReadAt(milliseconds(7'000)), { 60, 5, kDue }, listed) ==
        kStart + milliseconds(7'450));
  // Answered at once when the last item is listed.
  CHECK(AnswerTime(ReadAt(milliseconds(7'000)), { 60, 0, kDue }, listed) <=
        kStart + milliseconds(7'000));
}

TEST_CASE("a read that waited long for a result is held briefly for more")
{
  const time_point listed = kStart + milliseconds(7'060);
  CHECK(AnswerTime(ReadAt(milliseconds(6'300)), { 60, 2, kDue }, listed) ==
        listed + milliseconds(100));
}

// Guards against results that are ready but held back.
TEST_CASE("results are not held early in a step, nor once they are due")
{
  const time_point listed = kStart + milliseconds(1'000);
  CHECK(AnswerTime(ReadAt(milliseconds(1'200)), { 60, 40, kDue }, listed) ==
        listed);
  CHECK(AnswerTime(ReadAt(milliseconds(7'500)), { 60, 3, kDue }, listed) ==
        listed);
  // The reader allows a shorter wait.
  result_wait brief = ReadAt(milliseconds(7'000));
  brief.until = brief.since + milliseconds(200);
  CHECK(AnswerTime(brief, { 60, 3, kDue }, listed) == brief.until);
}
