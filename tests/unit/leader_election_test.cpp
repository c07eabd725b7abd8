#include "arbutusferry/node/leader_election.hpp"

#include "node-soak/holder_rule.hpp"
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
  return { aHolder, aHolder, { "10.0.0.1", 80 }, "z", aFence, aReleased, {} };
}

leader_election
Election(const std::string& aName, leader_election::timing aTiming = {})
{
  return { Record(aName, 0), aTiming, kStart };
}

} // namespace

TEST_CASE("a leader record survives encoding, and malformed bytes are refused")
{
  const leader_record record = Record("n1/a", 7, true);
  const auto decoded = DecodeLeader(EncodeLeader(record));
  REQUIRE(decoded);
  CHECK(decoded->holder == "n1/a");
  CHECK(decoded->fence == 7);
  CHECK(decoded->released);
  CHECK(FormatAddress(decoded->address) == "10.0.0.1:80");
  CHECK_FALSE(DecodeLeader("{}"));
  CHECK_FALSE(DecodeLeader("\xff\x01"));
  CHECK_FALSE(DecodeLeader(R"({"holder":1,"vm":"v","address":"1.1.1.1:1",)"
                           R"("zone":"z","fence":1,"released":false})"));
}

TEST_CASE("a silent holder is replaced, with a higher fence")
{
  leader_election election = Election("b");
  election.Observe(4, Record("a", 5), kStart);
  CHECK_FALSE(election.ShouldWrite(kStart + milliseconds(800)));
  CHECK(election.ShouldWrite(kStart + milliseconds(950)));
  CHECK(election.NextRecord(5, kStart).fence > 5);
}

// Guards against a change of leader after each outage of the store, in which
// the holder can't renew and every node counts its silence.
TEST_CASE("silence counts only while the topic can be read")
{
  leader_election election = Election("b");
  election.Observe(4, Record("a", 5), kStart);
  const time_point back = kStart + milliseconds(7'000);
  election.ResetSilence(back);
  CHECK_FALSE(election.ShouldWrite(back + milliseconds(100)));
  CHECK(election.ShouldWrite(back + milliseconds(950)));
}

// Guards against changes of leader while the store answers slowly, so that
// renewals are far apart.
TEST_CASE("where renewals arrive slowly, the timeout follows their interval")
{
  leader_election election = Election("b");
  time_point now = kStart;
  for (std::uint64_t offset = 1; offset < 6; ++offset) {
    election.Observe(offset, Record("a", 1), now);
    now += milliseconds(600);
  }
  const time_point last = now - milliseconds(600);
  CHECK_FALSE(election.ShouldWrite(last + milliseconds(1'500)));
  CHECK(election.ShouldWrite(last + milliseconds(1'900)));
}

// Guards against counting a holder's own record twice: after its append, and
// when it is read from the topic.
TEST_CASE("a record that is observed twice changes nothing")
{
  leader_election election = Election("b");
  election.Observe(4, Record("a", 5), kStart);
  election.Observe(4, Record("a", 5), kStart + milliseconds(800));
  CHECK(election.ShouldWrite(kStart + milliseconds(950)));
}

TEST_CASE(
  "leadership that was released, or whose holder ended, is claimed at once")
{
  leader_election election = Election("b");
  election.Observe(4, Record("a", 5), kStart);
  election.HolderEnded("another", kStart);
  CHECK_FALSE(election.ShouldWrite(kStart + milliseconds(10)));
  election.HolderEnded("a", kStart);
  CHECK(election.ShouldWrite(kStart + milliseconds(10)));

  leader_election second = Election("b");
  second.Observe(4, Record("a", 5), kStart);
  second.Observe(5, Record("a", 5, true), kStart);
  CHECK(second.ShouldWrite(kStart + milliseconds(10)));
  CHECK_FALSE(second.Holder());
}

// Guards against the weakest node becoming leader after all processes were
// killed.
TEST_CASE("a weak node lets others claim first, also from an ended holder")
{
  leader_election::timing weak;
  weak.claimDelay = milliseconds(500);
  leader_election election = Election("b", weak);
  election.Observe(4, Record("a", 5), kStart);
  election.HolderEnded("a", kStart);
  CHECK_FALSE(election.ShouldWrite(kStart + milliseconds(400)));
  // Further notices of the same end don't restart the delay.
  election.HolderEnded("a", kStart + milliseconds(400));
  CHECK(election.ShouldWrite(kStart + milliseconds(500)));
}

// Guards against seconds without a leader after its process ended and was
// started again, where others have to wait for the lease.
TEST_CASE("a process claims at once after an earlier one of its own VM")
{
  leader_election::timing timing;
  timing.minElectionTimeout = timing.maxElectionTimeout = milliseconds(3'500);
  timing.claimDelay = milliseconds(500);
  leader_record own = Record("a/2", 0);
  own.vm = "a";
  leader_record earlier = Record("a/1", 5);
  earlier.vm = "a";
  leader_election successor{ own, timing, kStart };
  leader_election other = Election("b", timing);
  for (leader_election* election : { &successor, &other }) {
    election->Observe(4, earlier, kStart);
  }
  CHECK(successor.ShouldWrite(kStart));
  CHECK(successor.NextRecord(5, kStart).fence > 5);
  CHECK_FALSE(other.ShouldWrite(kStart + milliseconds(3'900)));

  SECTION("also after an outage of the store")
  {
    successor.ResetSilence(kStart + milliseconds(100));
    CHECK(successor.ShouldWrite(kStart + milliseconds(100)));
  }
  SECTION("but not once another VM leads")
  {
    successor.Observe(6, Record("b", 7), kStart + milliseconds(100));
    CHECK_FALSE(successor.ShouldWrite(kStart + milliseconds(3'000)));
  }
}

// Guards against holders that take turns within a lease (A, B, A), where VMs
// are restarted one after the other: a new process doesn't know that its VM led
// a moment ago.
TEST_CASE("a VM that led within the lease makes no claim after a restart")
{
  const auto process = [](const std::string& aVm, const std::string& aHolder) {
    leader_record record = Record(aHolder, 0);
    record.vm = aVm;
    return leader_election{ record, {}, kStart };
  };
  std::vector<leader_record> topic;
  const auto lead = [&](leader_election& aElection, time_point aNow) {
    for (std::size_t offset = 0; offset < topic.size(); ++offset) {
      aElection.Observe(offset, topic[offset], aNow);
    }
    topic.push_back(aElection.NextRecord(topic.size(), aNow));
    aElection.Sent(aNow);
    aElection.Observe(topic.size() - 1, topic.back(), aNow);
    REQUIRE(aElection.Leads());
  };
  const auto release = [&](const leader_election& aElection, time_point aNow) {
    topic.push_back(aElection.NextRecord(topic.size(), aNow));
    topic.back().released = true;
  };
  // Only the newest record of the topic is there when a process starts.
  const auto start = [&](leader_election& aElection, time_point aNow) {
    aElection.Observe(topic.size() - 1, topic.back(), aNow);
  };

  leader_election first = process("a", "a/1");
  lead(first, kStart);
  release(first, kStart + milliseconds(500));
  leader_election second = process("b", "b/1");
  lead(second, kStart + milliseconds(600));
  release(second, kStart + milliseconds(1'000));
  leader_election third = process("c", "c/1");
  lead(third, kStart + milliseconds(1'100));
  const time_point end = kStart + milliseconds(1'500);

  SECTION("the leader before it releases its term")
  {
    release(third, end);
    for (const char* vm : { "a", "b" }) {
      leader_election restarted = process(vm, std::string(vm) + "/2");
      start(restarted, end);
      CHECK_FALSE(restarted.ShouldWrite(end + milliseconds(1'500)));
      CHECK(restarted.ShouldWrite(end + milliseconds(4'500)));
    }
    leader_election other = process("d", "d/1");
    start(other, end);
    CHECK(other.ShouldWrite(end));
  }
  SECTION("the leader before it has led for longer than that")
  {
    const time_point later = kStart + milliseconds(6'000);
    lead(third, later);
    release(third, later);
    leader_election restarted = process("a", "a/2");
    start(restarted, later);
    CHECK(restarted.ShouldWrite(later));
  }
  SECTION("the VMs are part of the record")
  {
    const auto decoded = DecodeLeader(EncodeLeader(topic.back()));
    REQUIRE(decoded);
    CHECK(decoded->ledBefore == std::vector<std::string>{ "a", "b" });
  }
}

TEST_CASE("a leader record of an earlier build names no VMs before it")
{
  const auto decoded = DecodeLeader(
    R"({"holder":"v/1","vm":"v","address":"1.1.1.1:1","zone":"z","fence":1,)"
    R"("released":false})");
  REQUIRE(decoded);
  CHECK(decoded->ledBefore.empty());
}

// Guards against holders that act in the order A, B, A within the lease.
TEST_CASE("a process that lost leadership makes no claims for a time")
{
  leader_election election = Election("a");
  election.Observe(1, Record("a", 1), kStart);
  REQUIRE(election.Leads());
  election.Observe(2, Record("b", 2), kStart + milliseconds(10));
  CHECK_FALSE(election.Leads());
  CHECK_FALSE(election.ShouldWrite(kStart + milliseconds(3'900)));
  // A claim of its own that is appended late does not restore it either.
  election.Observe(3, Record("a", 3), kStart + milliseconds(500));
  CHECK_FALSE(election.Leads());
  CHECK(election.ShouldWrite(kStart + milliseconds(4'100)));
}

TEST_CASE("where targets don't check fences, a holder acts only while its "
          "last renewal is young")
{
  leader_election::timing timing;
  timing.minElectionTimeout = timing.maxElectionTimeout = milliseconds(3'500);
  timing.leaseValidity = milliseconds(2'500);
  leader_election election = Election("a", timing);
  election.Sent(kStart);
  election.Observe(1, Record("a", 1), kStart + milliseconds(5));
  CHECK(election.MayAct(kStart + milliseconds(2'000)));
  CHECK_FALSE(election.MayAct(kStart + milliseconds(2'600)));
  election.Confirmed(kStart + milliseconds(2'000));
  CHECK(election.MayAct(kStart + milliseconds(4'000)));
}

TEST_CASE("a leader's state is authoritative only while no other process "
          "can lead")
{
  leader_election election = Election("a");
  election.Sent(kStart);
  election.Observe(1, Record("a", 1), kStart);
  CHECK(election.IsSoleLeader(kStart + milliseconds(800)));
  CHECK_FALSE(election.IsSoleLeader(kStart + milliseconds(950)));
}

namespace {

/// Processes that claim leadership through a topic, with pauses, lost reads and
/// late appends.
struct election_history
{
  struct process
  {
    std::string vm;
    leader_election election;
    std::size_t read = 0;
    int paused = 0;
    std::optional<std::pair<std::size_t, leader_record>> late;
    int lateTicks = 0;
  };

  explicit election_history(std::uint64_t aSeed,
                            bool aConditional,
                            leader_election::timing aTiming = {})
    : random(aSeed)
    , conditional(aConditional)
    , timing(aTiming)
  {
    for (int index = 0; index < 4; ++index) {
      const std::string name = "p" + std::to_string(index);
      processes.push_back({ name, Election(name, timing), 0, 0, {}, 0 });
    }
  }

  /// Ends a process, with a release of its term or without, and starts another
  /// one on its VM.
  void Restart(process& aProcess)
  {
    if (aProcess.election.Leads() && random() % 2 == 0) {
      leader_record release = aProcess.election.NextRecord(aProcess.read, now);
      release.released = true;
      Append(aProcess.read, release);
    }
    leader_record record = Record(aProcess.vm, 0);
    record.holder += "/" + std::to_string(++restarts);
    aProcess.election = { record, timing, now };
    // The topic's newest record is all that a new process reads.
    aProcess.read = topic.empty() ? 0 : topic.size() - 1;
    aProcess.paused = static_cast<int>(random() % 40);
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

  /// @return Whether the record was appended.
  bool Append(std::size_t aEnd, const leader_record& aRecord)
  {
    if (conditional && aEnd != topic.size()) {
      return false;
    }
    topic.push_back(aRecord);
    return true;
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
        aProcess.election.Observe(aProcess.read, topic[aProcess.read], now);
      }
    }
    if (aProcess.election.Leads()) {
      holders[aProcess.election.Fence()].insert(&aProcess);
    }
    if (aProcess.election.MayAct(now)) {
      ++acts;
      if (auto violated =
            turns.Note(aProcess.vm, aProcess.election.Fence(), now)) {
        violations.push_back(std::move(*violated));
      }
    }
    if (restart && random() % (aProcess.election.Leads() ? 40 : 400) == 0) {
      Restart(aProcess);
      return;
    }
    if (aProcess.election.ShouldWrite(now) && !aProcess.late) {
      const leader_record record =
        aProcess.election.NextRecord(aProcess.read, now);
      aProcess.election.Sent(now);
      if (random() % 5 == 0) {
        aProcess.late = { aProcess.read, record };
        aProcess.lateTicks = 1 + static_cast<int>(random() % 80);
      } else if (Append(aProcess.read, record)) {
        aProcess.election.Confirmed(now);
      }
    }
  }

  /// @return Whether two processes ever led under one fencing token.
  [[nodiscard]] bool SharedFence() const
  {
    return std::any_of(holders.begin(), holders.end(), [](const auto& aEntry) {
      return aEntry.second.size() > 1;
    });
  }

  std::mt19937_64 random;
  bool conditional;
  leader_election::timing timing;
  bool restart = false; ///< Whether processes end and start again.
  int restarts = 0;
  int acts = 0;
  node_soak::holder_rule turns{ std::chrono::seconds(3) };
  std::vector<std::string> violations;
  time_point now = kStart;
  std::vector<leader_record> topic;
  std::vector<process> processes;
  std::map<std::uint64_t, std::set<const process*>> holders;
};

} // namespace

// Guards against two leaders with one fencing token, whichever call is late.
TEST_CASE("no two processes ever lead under one fencing token")
{
  CHECK(CheckHistories("fences are unique", 2'000, [](std::uint64_t aSeed) {
    election_history history(aSeed, true);
    history.Run(600);
    RC_ASSERT(!history.SharedFence());
    RC_ASSERT(history.holders.size() > 1U);
  }));
}

TEST_CASE("without the condition on the topic's end, fencing tokens are shared")
{
  int shared = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    election_history history(seed, false);
    history.Run(600);
    shared += history.SharedFence() ? 1 : 0;
  }
  CHECK(shared > 0);
}

// Guards against holders that take turns within a lease, and against orders
// under an older fencing token, where targets don't check it: leadership passes
// on within a second, but its new holder waits before it acts.
TEST_CASE("where targets don't check fences, holders act one after the other")
{
  leader_election::timing timing;
  timing.leaseValidity = milliseconds(2'500);
  timing.leaseWait = milliseconds(3'500);
  CHECK(CheckHistories("turns are kept", 2'000, [&](std::uint64_t aSeed) {
    election_history history(aSeed, true, timing);
    history.restart = true;
    history.Run(1'200);
    RC_ASSERT(history.violations.empty());
    RC_ASSERT(!history.SharedFence());
    RC_ASSERT(history.acts > 0);
  }));
}

TEST_CASE("without a wait for the lease, holders take turns within it")
{
  leader_election::timing timing;
  timing.leaseValidity = milliseconds(2'500);
  int violated = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    election_history history(seed, true, timing);
    history.restart = true;
    history.Run(1'200);
    violated += history.violations.empty() ? 0 : 1;
  }
  CHECK(violated > 0);
}

// Guards against seconds in which nobody leads: batches need no lease.
TEST_CASE("where targets don't check fences, a silent holder is replaced soon")
{
  leader_election::timing timing;
  timing.leaseValidity = milliseconds(2'500);
  timing.leaseWait = milliseconds(3'500);
  leader_election election = Election("b", timing);
  election.Observe(4, Record("a", 5), kStart);
  const time_point claimed = kStart + milliseconds(950);
  REQUIRE(election.ShouldWrite(claimed));
  const leader_record claim = election.NextRecord(5, claimed);
  election.Sent(claimed);
  election.Observe(5, claim, claimed);
  CHECK(election.Leads());
  CHECK_FALSE(election.MayAct(claimed));
  const time_point later = kStart + milliseconds(3'500);
  election.Confirmed(later);
  CHECK(election.MayAct(later));
}
