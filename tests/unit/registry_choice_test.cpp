#include "registry/registry_size.hpp"
#include "registry/source_choice.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 50 };
/// Time limit of a poll, as in `feed_follower`.
constexpr milliseconds kPollTimeout{ 500 };
constexpr std::uint64_t kSeed = 20'261;

/// The nodes of one zone, which see each other's feeds without a network.
class simulated_zone
{
public:
  struct member
  {
    zone_neighbor entry;
    std::unique_ptr<source_choice> choice;
    source_choice::inputs inputs;
    bool killed = false;
    bool frozen = false;
    bool oldBuild = false;
    bool storeCut = false;
    bool lagging = false;
    std::optional<zone_neighbor> followed;
    /// Time as of which it knows all records.
    time_point viewAt;
    time_point readsFrom; ///< A listing or a retry ends then.
    time_point freshFrom; ///< Its first read of the store ends then.
    bool reading = false;
    std::optional<time_point> pollEnds; ///< Of a poll that gets no answer.
  };

  explicit simulated_zone(int aNodes)
  {
    INFO("seed " << kSeed);
    for (int index = 0; index < aNodes; ++index) {
      member added;
      added.entry = { "vm" + std::to_string(index),
                      { "127.0.0.1", static_cast<std::uint16_t>(index + 1) },
                      0.5 };
      added.choice = std::make_unique<source_choice>(
        added.entry, "z1", kSeed + static_cast<std::uint64_t>(index));
      added.viewAt = now;
      members.push_back(std::move(added));
    }
  }

  member& At(const std::string& aVm)
  {
    return *std::find_if(
      members.begin(), members.end(), [&](const auto& aMember) {
        return aMember.entry.vm == aVm;
      });
  }
  /// @return The member whose last choice had a reason, or null.
  member* Find(source_reason aReason)
  {
    for (member& each : members) {
      if (!each.killed && !each.frozen && each.choice->Reason() == aReason) {
        return &each;
      }
    }
    return nullptr;
  }
  [[nodiscard]] std::size_t CountReading() const
  {
    return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [](const member& aMember) {
        return !aMember.killed && !aMember.frozen && !aMember.followed;
      }));
  }
  /// @return The age of the oldest view of a member that could have a newer
  /// one.
  [[nodiscard]] duration OldestView() const
  {
    duration oldest{};
    for (const member& each : members) {
      if (!each.killed && !each.frozen && !each.lagging) {
        oldest = std::max(oldest, now - each.viewAt);
      }
    }
    return oldest;
  }

  void Advance(duration aTime)
  {
    for (const time_point end = now + aTime; now < end;) {
      now += kStep;
      for (member& each : members) {
        if (!each.killed && !each.frozen) {
          Step(each);
        }
      }
      maxReading = std::max(maxReading, CountReading());
      worstView = std::max(worstView, OldestView());
      storeCalls += CountReading();
    }
  }
  /// Starts measuring anew.
  void Measure()
  {
    maxReading = 0;
    worstView = {};
  }

  time_point now{ std::chrono::hours(1) };
  std::vector<member> members;
  bool enabled = true;
  bool storeDown = false;
  duration listingTime = milliseconds(0);
  /// Time of the first read of a node that takes over.
  duration resumeTime = milliseconds(0);
  std::size_t maxReading = 0;
  std::size_t storeCalls = 0;
  duration worstView{};

private:
  void Step(member& aMember)
  {
    source_choice::inputs& inputs = aMember.inputs;
    inputs.enabled = enabled && !aMember.oldBuild;
    inputs.storeReachable = !storeDown && !aMember.storeCut;
    if (inputs.neighbors.empty()) {
      for (const member& other : members) {
        if (&other != &aMember) {
          inputs.neighbors.push_back(other.entry);
        }
      }
    }
    const auto chosen = aMember.choice->Choose(inputs, now);
    if (!chosen) {
      aMember.followed.reset();
      aMember.pollEnds.reset();
      if (!inputs.storeReachable || aMember.lagging) {
        aMember.reading = false;
      } else {
        if (!aMember.reading) {
          aMember.reading = true;
          aMember.readsFrom = now + listingTime;
          aMember.freshFrom = now + resumeTime;
        }
        if (now >= aMember.readsFrom && now >= aMember.freshFrom) {
          aMember.viewAt = now;
        }
      }
      return;
    }
    aMember.reading = false;
    if (!aMember.followed || aMember.followed->vm != chosen->vm) {
      aMember.followed = chosen;
      aMember.pollEnds.reset();
    }
    Poll(aMember, At(chosen->vm));
  }

  void Poll(member& aMember, member& aReader)
  {
    source_choice& choice = *aMember.choice;
    const std::string& vm = aReader.entry.vm;
    if (aReader.frozen) {
      if (!aMember.pollEnds) {
        aMember.pollEnds = now + kPollTimeout;
      } else if (now >= *aMember.pollEnds) {
        aMember.pollEnds.reset();
        choice.NoteFailure(vm, feed_failure::Unreachable, now);
      }
      return;
    }
    aMember.pollEnds.reset();
    if (aReader.killed) {
      choice.NoteFailure(vm, feed_failure::Unreachable, now);
    } else if (aReader.oldBuild) {
      choice.NoteFailure(vm, feed_failure::Unsupported, now);
    } else if (aReader.followed || !enabled) {
      choice.NoteFailure(vm, feed_failure::NotServing, now);
    } else if (aReader.reading && now < aReader.readsFrom) {
      choice.NoteFailure(vm, feed_failure::Starting, now);
    } else {
      const auto failure =
        choice.NoteAnswer(vm, now - aReader.viewAt, false, now);
      if (!failure) {
        aMember.viewAt = std::max(aMember.viewAt, aReader.viewAt);
      }
    }
  }
};

simulated_zone
SettledZone(int aNodes)
{
  simulated_zone zone(aNodes);
  zone.Advance(milliseconds(5'000));
  zone.Measure();
  return zone;
}

} // namespace

// Guards against messages between nodes where the deployment is small, and
// against a switch that flaps at the threshold.
TEST_CASE("zone readers begin with the deployment's size")
{
  const double rate = 80.0;
  CHECK_FALSE(NeedsZoneReaders({ 300, 122, rate }, false));
  CHECK_FALSE(NeedsZoneReaders({ 100, 1'000, rate }, false));
  CHECK(NeedsZoneReaders({ 298, 3'000, rate }, false));
  CHECK(NeedsZoneReaders({ 330, 1'200, rate }, false));
  CHECK_FALSE(NeedsZoneReaders({ 298, 3'000, 0.0 }, false));
  // 45 % of the store's rate: neither begins nor ends.
  const registry_size between{ 144, 1'000, rate };
  CHECK_FALSE(NeedsZoneReaders(between, false));
  CHECK(NeedsZoneReaders(between, true));
  CHECK_FALSE(NeedsZoneReaders({ 100, 1'000, rate }, true));
}

// Guards against a zone in which every node reads the store.
TEST_CASE("a zone has one reader and one standby")
{
  auto zone = SettledZone(40);
  zone.Advance(milliseconds(5'000));
  CHECK(zone.maxReading == source_choice::kReaders);
  CHECK(zone.worstView <= milliseconds(200));
  std::set<std::string> followed;
  for (const auto& each : zone.members) {
    if (each.followed) {
      followed.insert(each.followed->vm);
    }
  }
  CHECK(followed ==
        std::set<std::string>{ zone.Find(source_reason::Reader)->entry.vm });
}

// Guards against readers on machines that have little CPU time.
TEST_CASE("nodes with a larger CPU share read first")
{
  simulated_zone zone(20);
  for (std::size_t index = 0; index < zone.members.size(); ++index) {
    auto& entry = zone.members[index].entry;
    entry.cpuShare = index < 18 ? 0.09 : 0.5;
    zone.members[index].choice =
      std::make_unique<source_choice>(entry, "z1", kSeed + index);
  }
  zone.Advance(milliseconds(1'000));
  CHECK(zone.Find(source_reason::Reader)->entry.cpuShare == 0.5);
  CHECK(zone.Find(source_reason::Standby)->entry.cpuShare == 0.5);
}

// Guards against a leaving target that followers learn of too late because
// their reader died: 3,000 ms are allowed, 1,000 ms of them are left for the
// read and the hop.
TEST_CASE("followers of a reader that is killed or frozen get another in time")
{
  const bool frozen = GENERATE(false, true);
  auto zone = SettledZone(40);
  auto* reader = zone.Find(source_reason::Reader);
  REQUIRE(reader);
  (frozen ? reader->frozen : reader->killed) = true;
  zone.Advance(milliseconds(10'000));
  CHECK(zone.worstView <= milliseconds(1'000));
  CHECK(zone.maxReading <= 3);
}

TEST_CASE("followers of a reader and a standby that freeze together")
{
  auto zone = SettledZone(40);
  zone.Find(source_reason::Reader)->frozen = true;
  zone.Find(source_reason::Standby)->frozen = true;
  zone.Advance(milliseconds(30'000));
  CHECK(zone.worstView <= milliseconds(2'000));
  // The next two of the ranking take over before the fallback.
  CHECK(zone.maxReading <= 10);
}

// Guards against followers that keep the old view of a reader which can't read
// the store, or which reads it too slowly.
TEST_CASE("a reader that is cut off from the store or lags is replaced")
{
  const bool lagging = GENERATE(false, true);
  auto zone = SettledZone(50);
  auto* reader = zone.Find(source_reason::Reader);
  (lagging ? reader->lagging : reader->storeCut) = true;
  zone.Advance(milliseconds(10'000));
  CHECK(zone.worstView <= milliseconds(1'800));
  CHECK(zone.maxReading <= 4);
  if (!lagging) {
    // The node that is cut off follows another one itself.
    CHECK(reader->choice->Reason() == source_reason::Follower);
  }
}

// Guards against followers that give up one successor after the other before
// it has read the store, until all of them read it.
TEST_CASE("readers that fail together are replaced by few others")
{
  enum class fault
  {
    Killed,
    Frozen,
    StoreCut
  };
  const auto kind = GENERATE(fault::Killed, fault::Frozen, fault::StoreCut);
  auto zone = SettledZone(40);
  zone.resumeTime = milliseconds(300);
  for (auto* failed : { zone.Find(source_reason::Reader),
                        zone.Find(source_reason::Standby) }) {
    failed->killed = kind == fault::Killed;
    failed->frozen = kind == fault::Frozen;
    failed->storeCut = kind == fault::StoreCut;
  }
  zone.Advance(milliseconds(10'000));
  CHECK(zone.maxReading <= 6);
  CHECK(zone.worstView <= milliseconds(2'500));
  // They try the failed ones again later, each at another time.
  zone.Measure();
  zone.Advance(milliseconds(60'000));
  CHECK(zone.maxReading <= 6);
  CHECK(zone.worstView <= milliseconds(1'500));
}

// Guards against followers that are torn between two nodes which both take
// themselves for the reader.
TEST_CASE("two readers do no harm")
{
  auto zone = SettledZone(20);
  // One node takes all others for failed.
  auto* other = zone.Find(source_reason::Follower);
  for (const auto& each : zone.members) {
    other->choice->NoteFailure(
      each.entry.vm, feed_failure::Unreachable, zone.now);
  }
  zone.Advance(milliseconds(1'000));
  CHECK(zone.CountReading() == 3);
  CHECK(zone.worstView <= milliseconds(500));
  zone.Advance(milliseconds(150'000));
  CHECK(zone.CountReading() == source_choice::kReaders);
  CHECK(zone.worstView <= milliseconds(500));
}

TEST_CASE("a node alone in its zone reads the store")
{
  simulated_zone zone(1);
  zone.Advance(milliseconds(1'000));
  CHECK(zone.members[0].choice->Reason() == source_reason::Alone);
}

// Guards against a rollout in which new nodes wait for answers of old ones.
TEST_CASE("neighbors with an old build are left out")
{
  simulated_zone zone(6);
  for (std::size_t index = 0; index < 5; ++index) {
    zone.members[index].oldBuild = true;
    zone.members[index].entry.cpuShare = 0.0;
  }
  // Old builds don't say their share, so that a new node ranks first.
  zone.Advance(milliseconds(2'000));
  CHECK(zone.members[5].choice->Reason() == source_reason::Reader);

  // Even if they ranked first, the store takes over at once.
  simulated_zone equal(6);
  for (std::size_t index = 0; index < 5; ++index) {
    equal.members[index].oldBuild = true;
  }
  equal.Advance(milliseconds(2'000));
  equal.Measure();
  equal.Advance(milliseconds(2'000));
  CHECK(equal.worstView <= milliseconds(500));
}

// Guards against 300 listings at once after all power was lost.
TEST_CASE("nodes that start together wait for their reader's listing")
{
  simulated_zone zone(40);
  zone.listingTime = milliseconds(1'500);
  zone.Advance(milliseconds(10'000));
  CHECK(zone.maxReading == source_choice::kReaders);
  CHECK(zone.OldestView() <= milliseconds(500));
}

// Guards against followers that wait forever for a listing that doesn't end,
// and against all of them beginning their own at one moment.
TEST_CASE("followers stop waiting for a listing one after the other")
{
  simulated_zone zone(40);
  zone.listingTime = std::chrono::hours(1);
  std::size_t largestStep = 0;
  for (std::size_t before = 0;
       zone.now - time_point(std::chrono::hours(1)) < milliseconds(6'000);) {
    zone.Advance(kStep);
    largestStep = std::max(
      largestStep, zone.CountReading() - std::min(before, zone.CountReading()));
    before = zone.CountReading();
  }
  CHECK(zone.CountReading() == 40);
  // Spread over 1 s: 2 in 50 ms on average.
  CHECK(largestStep <= 8);
}

// Guards against all followers at the store when it has been away: their
// readers are the first to know.
TEST_CASE("the store's return moves no follower to the store")
{
  auto zone = SettledZone(40);
  zone.storeDown = true;
  zone.Advance(milliseconds(20'000));
  CHECK(zone.maxReading <= 4);
  zone.storeDown = false;
  zone.listingTime = milliseconds(800); // The readers' longest retry delay.
  zone.Measure();
  zone.Advance(milliseconds(10'000));
  CHECK(zone.maxReading <= 4);
  CHECK(zone.OldestView() <= milliseconds(500));
}

// Guards against a zone that stays in the mode of another size.
TEST_CASE("nodes return to the store when the deployment shrinks")
{
  simulated_zone zone(40);
  zone.enabled = false;
  zone.Advance(milliseconds(1'000));
  CHECK(zone.CountReading() == 40);
  zone.enabled = true;
  zone.Advance(milliseconds(3'000));
  CHECK(zone.CountReading() == source_choice::kReaders);
  zone.enabled = false;
  zone.Advance(milliseconds(200));
  CHECK(zone.CountReading() == 40);
  CHECK(zone.OldestView() <= milliseconds(200));
}
