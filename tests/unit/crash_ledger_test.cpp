#include "arbutusferry/node/crash_ledger.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

crash_report
Report(const std::string& aFingerprint, int aTarget, bool aServedBefore = false)
{
  return { aFingerprint, "t" + std::to_string(aTarget), 1, aServedBefore };
}

bool
Blocked(const crash_ledger& aLedger,
        const std::string& aFingerprint,
        time_point aNow)
{
  return aLedger.BlockedFor(aFingerprint, {}, aNow).has_value();
}

} // namespace

// Guards against a request that ends more targets than the rule allows, and
// against one that is blocked too early.
TEST_CASE("a request is blocked from the third ended target on")
{
  crash_ledger ledger;
  ledger.Add(Report("f", 1), kStart);
  ledger.Add(Report("f", 1), kStart); // The same report, from the store.
  ledger.Add(Report("f", 2), kStart);
  ledger.Add(Report("g", 3), kStart);
  CHECK_FALSE(Blocked(ledger, "f", kStart));
  const crash_report probed = Report("f", 3);
  CHECK(ledger.BlockedFor("f", { { CrashKey(probed), probed } }, kStart));
  ledger.Add(probed, kStart);
  CHECK(Blocked(ledger, "f", kStart));
  CHECK_FALSE(Blocked(ledger, "g", kStart));
  CHECK(ledger.CountBlocked() == 1);
}

// Guards against a request that many callers send being blocked since it was
// under way at targets that another one ended.
TEST_CASE("reports on a request that was served before count half")
{
  crash_ledger ledger;
  for (int target = 1; target <= 5; ++target) {
    ledger.Add(Report("f", target, true), kStart);
    CHECK_FALSE(Blocked(ledger, "f", kStart));
  }
  ledger.Add(Report("f", 6, true), kStart);
  CHECK(Blocked(ledger, "f", kStart));
}

TEST_CASE("a request that is served has none of its earlier reports")
{
  crash_ledger ledger;
  ledger.Add(Report("f", 1), kStart);
  ledger.Add(Report("f", 2), kStart);
  CHECK(ledger.NoteServed("f").size() == 2);
  ledger.Add(Report("f", 3), kStart);
  CHECK_FALSE(Blocked(ledger, "f", kStart));
  CHECK(ledger.NoteServed("other").empty());
}

// Guards against reports that a living process has ended, and against a record
// from before its end that is taken for life.
TEST_CASE("a target that writes long after its end was reported is alive")
{
  crash_ledger ledger;
  for (int target = 1; target <= 3; ++target) {
    ledger.Add(Report("f", target), kStart);
  }
  ledger.NoteAlive("t1", 1, kStart + milliseconds(100));
  ledger.NoteAlive("t1", 2, kStart + milliseconds(2'000));
  CHECK(Blocked(ledger, "f", kStart));
  ledger.NoteAlive("t1", 1, kStart + milliseconds(2'000));
  CHECK_FALSE(Blocked(ledger, "f", kStart + milliseconds(2'000)));
  CHECK(ledger.EndedKeys() == std::vector{ CrashKey(Report("f", 1)) });
  // Other nodes may not have seen that it lives yet.
  CHECK(ledger.EndReported("t1"));
  ledger.Remove(CrashKey(Report("f", 1)));
  CHECK_FALSE(ledger.EndReported("t1"));
  CHECK(ledger.EndReported("t2"));
  CHECK(ledger.EndedKeys().empty());
}

// Guards against a request that is blocked forever, and against one that ends
// three more targets after each block.
TEST_CASE("after a block the next ended target blocks a request again")
{
  crash_ledger ledger;
  for (int target = 1; target <= 4; ++target) {
    ledger.Add(Report("f", target), kStart);
  }
  CHECK(ledger.BlockedFor("f", {}, kStart + minutes(4)) == minutes(6));
  ledger.Expire(kStart + minutes(9));
  CHECK(Blocked(ledger, "f", kStart + minutes(9)));
  ledger.Expire(kStart + minutes(10));
  CHECK_FALSE(Blocked(ledger, "f", kStart + minutes(10)));
  ledger.Add(Report("f", 5), kStart + minutes(11));
  CHECK(Blocked(ledger, "f", kStart + minutes(11)));
}

TEST_CASE("fewer reports than a block needs are dropped when they are old")
{
  crash_ledger ledger;
  ledger.Add(Report("f", 1), kStart);
  ledger.Add(Report("f", 2), kStart);
  ledger.Expire(kStart + minutes(10));
  ledger.Add(Report("f", 3), kStart + minutes(10));
  CHECK_FALSE(Blocked(ledger, "f", kStart + minutes(10)));
  CHECK(ledger.EndedKeys().size() == 2);
}

// Guards against a node whose memory grows with the number of requests that
// run at ending targets.
TEST_CASE("a ledger keeps a bounded number of reports, blocked ones longest")
{
  crash_ledger ledger;
  for (int target = 1; target <= 3; ++target) {
    ledger.Add(Report("f", target), kStart);
  }
  for (int index = 0; index < 20'000; ++index) {
    ledger.Add(Report("g" + std::to_string(index), 9),
               kStart + milliseconds(index));
  }
  CHECK(ledger.Size() <= 3 * crash_ledger::kMaxReports);
  CHECK(Blocked(ledger, "f", kStart + minutes(1)));
}

TEST_CASE("a crash report is decoded as it was encoded")
{
  const crash_report report = Report("f", 7, true);
  const auto decoded = DecodeCrash(EncodeCrash(report));
  REQUIRE(decoded);
  CHECK(CrashKey(*decoded) == CrashKey(report));
  CHECK(decoded->servedBefore);
  CHECK_FALSE(DecodeCrash("{}"));
  CHECK_FALSE(DecodeCrash("x"));
}
