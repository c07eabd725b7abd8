#include "arbutusferry/node/leader_election.hpp"

#include "support/property.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

leader_record
Record(const std::string& aHolder, std::uint64_t aFence, bool aReleased = false)
{
  return { aHolder, aHolder, { "10.0.0.1", 80 }, "z", aFence, aReleased };
}

role_claim
Claim(const std::string& aName, role_claim::timing aTiming = {})
{
  return { Record(aName, 0), aTiming, kStart };
}

} // namespace

TEST_CASE("a role record survives encoding, and foreign bytes are no record")
{
  const leader_record record = Record("n1/a", 7, true);
  const auto decoded = DecodeRole(EncodeRole(record));
  REQUIRE(decoded);
  CHECK(decoded->holder == "n1/a");
  CHECK(decoded->fence == 7);
  CHECK(decoded->released);
  CHECK(FormatAddress(decoded->address) == "10.0.0.1:80");
  CHECK_FALSE(DecodeRole("{}"));
  CHECK_FALSE(DecodeRole("\xff\x01"));
  CHECK_FALSE(DecodeRole(R"({"holder":1,"vm":"v","address":"1.1.1.1:1",)"
                         R"("zone":"z","fence":1,"released":false})"));
}

TEST_CASE("a silent holder is replaced, with a higher fence")
{
  role_claim claim = Claim("b");
  claim.Observe(4, Record("a", 5), kStart);
  CHECK_FALSE(claim.ShouldWrite(kStart + milliseconds(800)));
  CHECK(claim.ShouldWrite(kStart + milliseconds(950)));
  CHECK(claim.NextRecord(5).fence > 5);
}

// Guards against a change of leader after every outage of the store: the
// holder could not renew, and every node counted its silence.
TEST_CASE("silence counts only while the topic can be read")
{
  role_claim claim = Claim("b");
  claim.Observe(4, Record("a", 5), kStart);
  const time_point back = kStart + milliseconds(7'000);
  claim.Regained(back);
  CHECK_FALSE(claim.ShouldWrite(back + milliseconds(100)));
  CHECK(claim.ShouldWrite(back + milliseconds(950)));
}

// Guards against changes of leader while the store answers slowly, so that
// renewals are far apart.
TEST_CASE("where renewals come slowly, silence is judged by their interval")
{
  role_claim claim = Claim("b");
  time_point now = kStart;
  for (std::uint64_t offset = 1; offset < 6; ++offset) {
    claim.Observe(offset, Record("a", 1), now);
    now += milliseconds(600);
  }
  const time_point last = now - milliseconds(600);
  CHECK_FALSE(claim.ShouldWrite(last + milliseconds(1'500)));
  CHECK(claim.ShouldWrite(last + milliseconds(1'900)));
}

// Guards against a holder's own record, known from its append, that is counted
// a second time when it is read.
TEST_CASE("a record that is observed twice changes nothing")
{
  role_claim claim = Claim("b");
  claim.Observe(4, Record("a", 5), kStart);
  claim.Observe(4, Record("a", 5), kStart + milliseconds(800));
  CHECK(claim.ShouldWrite(kStart + milliseconds(950)));
}

TEST_CASE("a released role, or one whose process ended, is claimed at once")
{
  role_claim claim = Claim("b");
  claim.Observe(4, Record("a", 5), kStart);
  claim.HolderEnded("another", kStart);
  CHECK_FALSE(claim.ShouldWrite(kStart + milliseconds(10)));
  claim.HolderEnded("a", kStart);
  CHECK(claim.ShouldWrite(kStart + milliseconds(10)));

  role_claim second = Claim("b");
  second.Observe(4, Record("a", 5), kStart);
  second.Observe(5, Record("a", 5, true), kStart);
  CHECK(second.ShouldWrite(kStart + milliseconds(10)));
  CHECK_FALSE(second.Holder());
}

// Guards against the weakest node that leads after all processes were killed.
TEST_CASE("a weak node lets others claim first, also from an ended holder")
{
  role_claim::timing weak;
  weak.rank = milliseconds(500);
  role_claim claim = Claim("b", weak);
  claim.Observe(4, Record("a", 5), kStart);
  claim.HolderEnded("a", kStart);
  CHECK_FALSE(claim.ShouldWrite(kStart + milliseconds(400)));
  // Further signs of the same end don't start the wait anew.
  claim.HolderEnded("a", kStart + milliseconds(400));
  CHECK(claim.ShouldWrite(kStart + milliseconds(500)));
}

// Guards against holders that act in the order A, B, A within the lease.
TEST_CASE("a process that lost the role stays away")
{
  role_claim claim = Claim("a");
  claim.Observe(1, Record("a", 1), kStart);
  REQUIRE(claim.Leads());
  claim.Observe(2, Record("b", 2), kStart + milliseconds(10));
  CHECK_FALSE(claim.Leads());
  CHECK_FALSE(claim.ShouldWrite(kStart + milliseconds(3'900)));
  // Its own claim that was carried out late does not bring it back either.
  claim.Observe(3, Record("a", 3), kStart + milliseconds(500));
  CHECK_FALSE(claim.Leads());
  CHECK(claim.ShouldWrite(kStart + milliseconds(4'100)));
}

TEST_CASE("where targets don't check fences, a holder acts only while its "
          "last renewal is young")
{
  role_claim::timing timing;
  timing.silence = timing.longestSilence = milliseconds(3'500);
  timing.mayActFor = milliseconds(2'500);
  role_claim claim = Claim("a", timing);
  claim.Sent(kStart);
  claim.Observe(1, Record("a", 1), kStart + milliseconds(5));
  CHECK(claim.MayAct(kStart + milliseconds(2'000)));
  CHECK_FALSE(claim.MayAct(kStart + milliseconds(2'600)));
  claim.Confirmed(kStart + milliseconds(2'000));
  CHECK(claim.MayAct(kStart + milliseconds(4'000)));
}

TEST_CASE("a leader is certain of what it does not know only while nobody "
          "else can lead")
{
  role_claim claim = Claim("a");
  claim.Sent(kStart);
  claim.Observe(1, Record("a", 1), kStart);
  CHECK(claim.Certain(kStart + milliseconds(800)));
  CHECK_FALSE(claim.Certain(kStart + milliseconds(950)));
}

namespace {

/// Processes that claim one role through a topic, with pauses, lost reads and
/// appends that are carried out late.
struct role_history
{
  struct process
  {
    role_claim claim;
    std::size_t read = 0;
    int paused = 0;
    std::optional<std::pair<std::size_t, leader_record>> late;
    int lateTicks = 0;
  };

  explicit role_history(std::uint64_t aSeed, bool aConditional)
    : random(aSeed)
    , conditional(aConditional)
  {
    for (int index = 0; index < 4; ++index) {
      processes.push_back({ Claim("p" + std::to_string(index)), 0, 0, {}, 0 });
    }
  }

  void Run(int aTicks)
  {
    for (int tick = 0; tick < aTicks; ++tick) {
      now += milliseconds(50);
      for (process& entry : processes) {
        Step(entry);
      }
    }
  }

  void Append(std::size_t aEnd, const leader_record& aRecord)
  {
    if (!conditional || aEnd == topic.size()) {
      topic.push_back(aRecord);
    }
  }

  void Step(process& aProcess)
  {
    if (aProcess.late && --aProcess.lateTicks <= 0) {
      Append(aProcess.late->first, aProcess.late->second);
      aProcess.late.reset();
    }
    if (aProcess.paused > 0) {
      --aProcess.paused;
      return;
    }
    if (random() % 150 == 0) {
      aProcess.paused = 10 + static_cast<int>(random() % 60);
      return;
    }
    if (random() % 8 != 0) {
      for (; aProcess.read < topic.size(); ++aProcess.read) {
        aProcess.claim.Observe(aProcess.read, topic[aProcess.read], now);
      }
    }
    if (aProcess.claim.Leads()) {
      holders[aProcess.claim.Fence()].insert(&aProcess);
    }
    if (aProcess.claim.ShouldWrite(now) && !aProcess.late) {
      const leader_record record = aProcess.claim.NextRecord(aProcess.read);
      aProcess.claim.Sent(now);
      if (random() % 5 == 0) {
        aProcess.late = { aProcess.read, record };
        aProcess.lateTicks = 1 + static_cast<int>(random() % 80);
      } else {
        Append(aProcess.read, record);
      }
    }
  }

  /// @return Whether two processes ever led under one fence.
  [[nodiscard]] bool SharedFence() const
  {
    return std::any_of(holders.begin(), holders.end(), [](const auto& aEntry) {
      return aEntry.second.size() > 1;
    });
  }

  std::mt19937_64 random;
  bool conditional;
  time_point now = kStart;
  std::vector<leader_record> topic;
  std::vector<process> processes;
  std::map<std::uint64_t, std::set<const process*>> holders;
};

} // namespace

// Guards against two leaders with one fencing number, whatever is late.
TEST_CASE("no two processes ever lead under one fence")
{
  CHECK(CheckHistories("fences are unique", 2'000, [](std::uint64_t aSeed) {
    role_history history(aSeed, true);
    history.Run(600);
    RC_ASSERT(!history.SharedFence());
    RC_ASSERT(history.holders.size() > 1U);
  }));
}

TEST_CASE("without the condition on the topic's end, fences are shared")
{
  int shared = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    role_history history(seed, false);
    history.Run(600);
    shared += history.SharedFence() ? 1 : 0;
  }
  CHECK(shared > 0);
}
