#include "arbutusferry/json.hpp"
#include "arbutusferry/usage.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace arbutusferry;

namespace {

constexpr std::chrono::seconds kWindow{ 60 };
constexpr unix_seconds kBegin = 600'000;
const usage_close_rules kRules{ kWindow,
                                std::chrono::seconds(5),
                                { "north", "south" } };

using bill = std::map<std::pair<unix_seconds, std::string>, std::int64_t>;

/// @return Billed requests by the window in which they were made.
bill
Billed(const usage_ledger& aLedger)
{
  bill billed;
  for (const auto& final : aLedger.Finals()) {
    for (const usage_line& line : final.second.lines) {
      const auto from = line.carriedFrom >= 0 ? line.carriedFrom : final.first;
      if (line.requests > 0) {
        billed[{ from, line.team }] += line.requests;
      }
    }
  }
  return billed;
}

/// Process that closes windows and reads the log with a lag.
struct closer
{
  usage_ledger ledger;
  std::size_t read = 0;
  unix_seconds skew = 0; ///< Of its wall clock, in seconds.
};

/// Simulates entry processes, a relay, a log and two closers that both believe
/// they hold the role. Messages are lost, duplicated and delayed.
class usage_simulation
{
public:
  explicit usage_simulation(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    // With different clocks they close different windows at the same time.
    closers[1].skew = static_cast<unix_seconds>(mRandom() % 90);
  }

  void Run()
  {
    for (mNow = kBegin; mNow < kBegin + 8 * kWindow.count(); ++mNow) {
      GenerateUsage();
      Step(false);
    }
    for (; mNow < kBegin + 14 * kWindow.count(); ++mNow) {
      Step(true);
    }
  }

  void ReadAll(closer& aCloser, std::size_t aEnd)
  {
    for (; aCloser.read < aEnd; ++aCloser.read) {
      const auto record =
        ReadLogRecord(ParseJson(log[aCloser.read], "log").value());
      if (const auto* batch = std::get_if<usage_batch>(&**record)) {
        aCloser.ledger.Apply(*batch);
      } else {
        aCloser.ledger.Apply(std::get<usage_closed>(**record));
      }
    }
  }

  bill expected;
  /// Bill by running totals: each increase counts for the window in which it
  /// is delivered.
  bill runningTotalBill;
  std::vector<std::string> log;
  closer closers[2];

private:
  bool Chance(std::uint64_t aPercent) { return mRandom() % 100 < aPercent; }

  void GenerateUsage()
  {
    for (int entry = 0; entry < 3; ++entry) {
      if (Chance(1)) {
        // A planned restart sends its counters to the relay and starts from 0.
        for (const auto& counter : mCounters[entry].Changed()) {
          mRelay.Merge(counter);
        }
        mCounters[entry] = {};
        mTotals[entry].clear();
        ++mGeneration[entry];
      }
      if (Chance(40)) {
        const std::string team = Chance(50) ? "north" : "south";
        const auto window = WindowStart(mNow, kWindow);
        const auto amount = static_cast<std::int64_t>(mRandom() % 9 + 1);
        mCounters[entry].Add(
          team, window, Instance(entry), { amount, amount * 10, amount });
        expected[{ window, team }] += amount;
        mTotals[entry][team] += amount;
      }
    }
  }

  void Step(bool aReliable)
  {
    for (int entry = 0; entry < 3; ++entry) {
      const auto changed = mCounters[entry].Changed();
      const bool lost = !aReliable && Chance(30);
      if (!changed.empty() && !lost) {
        mInFlight.push_back({ changed, entry, mTotals[entry] });
        if (aReliable || Chance(50)) {
          mCounters[entry].Acknowledge(changed);
        }
      }
    }
    while (!mInFlight.empty() && (aReliable || Chance(60))) {
      const std::size_t which = mRandom() % mInFlight.size();
      Deliver(mInFlight[which]);
      if (aReliable || Chance(70)) {
        mInFlight.erase(mInFlight.begin() + static_cast<std::ptrdiff_t>(which));
      }
    }
    if (mNow % 10 == 0) {
      const usage_batch batch{ "a", mRelay.Changed() };
      log.push_back(WriteJson(WriteLogRecord(batch)));
      if (aReliable || Chance(70)) {
        mRelay.Acknowledge(batch.counters);
      }
    }
    for (closer& closer : closers) {
      if (aReliable || Chance(20)) {
        ReadAll(closer, log.size());
      }
      // A stale closer repeats its records; they must have no effect.
      if (const auto report =
            closer.ledger.PlanClosing(kRules, mNow + closer.skew)) {
        log.push_back(WriteJson(WriteLogRecord(usage_closed{ *report })));
      }
    }
  }

  struct message
  {
    std::vector<usage_counter> counters;
    int entry = 0;
    std::map<std::string, std::int64_t> totals;
  };

  void Deliver(const message& aMessage)
  {
    for (const usage_counter& counter : aMessage.counters) {
      mRelay.Merge(counter);
    }
    for (const auto& [team, total] : aMessage.totals) {
      auto& last = mLast[aMessage.entry][team];
      runningTotalBill[{ WindowStart(mNow, kWindow), team }] += total - last;
      last = total;
    }
  }

  std::string Instance(int aEntry) const
  {
    return std::to_string(aEntry) + "." + std::to_string(mGeneration[aEntry]);
  }

  std::mt19937_64 mRandom;
  unix_seconds mNow = kBegin;
  usage_counter_set mCounters[3];
  usage_counter_set mRelay;
  int mGeneration[3] = {};
  std::map<std::string, std::int64_t> mTotals[3];
  std::map<std::string, std::int64_t> mLast[3];
  std::vector<message> mInFlight;
};

} // namespace

// Guards against usage that is lost, billed twice or billed to another window
// when messages are lost, repeated or late and two processes close windows.
TEST_CASE("Every counted request is billed exactly once")
{
  int runningTotalWrong = 0;
  int ledgerWrong = 0;
  constexpr int kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    usage_simulation simulation(seed);
    simulation.Run();
    for (closer& closer : simulation.closers) {
      simulation.ReadAll(closer, simulation.log.size());
      ledgerWrong += Billed(closer.ledger) == simulation.expected ? 0 : 1;
    }
    const usage_ledger& ledger = simulation.closers[0].ledger;
    CHECK(WriteJson(ledger.Save()) ==
          WriteJson(simulation.closers[1].ledger.Save()));
    CHECK(ledger.DroppedCount() == 0);
    CHECK(ledger.Finals().size() >= 12);
    usage_ledger restored;
    REQUIRE(restored.Restore(ParseJson(WriteJson(ledger.Save()), "x").value()));
    CHECK(WriteJson(restored.Save()) == WriteJson(ledger.Save()));
    CHECK(Billed(restored) == simulation.expected);
    runningTotalWrong +=
      simulation.runningTotalBill == simulation.expected ? 0 : 1;
  }
  std::cout << "usage: seeds 1 to " << kSeeds
            << ": closers with a wrong ledger (two per seed): " << ledgerWrong
            << "; seeds with a wrong running total: " << runningTotalWrong
            << '\n';
  CHECK(ledgerWrong == 0);
  CHECK(runningTotalWrong > 0);
}

// Guards against two final reports for one window and against late counters
// that are carried over twice.
TEST_CASE("The first valid closing record is final")
{
  usage_ledger ledger;
  ledger.Apply(usage_batch{ "a", { { "north", 0, "i", 5, 50, 7 } } });
  auto first = ledger.PlanClosing(kRules, 65);
  REQUIRE(first);
  CHECK_FALSE(ledger.PlanClosing(kRules, 64));
  REQUIRE(first->lines.size() == 2);
  CHECK(first->lines[0] == usage_line{ "north", 5, 50, 7, -1 });
  CHECK(first->lines[1] == usage_line{ "south", 0, 0, 0, -1 });
  CHECK(ledger.Apply(usage_closed{ *first }));
  first->lines[0].requests = 6;
  CHECK_FALSE(ledger.Apply(usage_closed{ *first }));
  CHECK(ledger.Finals().at(0).lines[0].requests == 5);

  ledger.Apply(usage_batch{ "a", { { "north", 0, "i", 8, 50, 7 } } });
  const auto second = ledger.PlanClosing(kRules, 125);
  REQUIRE(second);
  REQUIRE(second->lines.size() == 3);
  CHECK(second->lines[2] == usage_line{ "north", 3, 0, 0, 0 });
  usage_report third = *second;
  third.window = 120;
  CHECK(ledger.Apply(usage_closed{ *second }));
  CHECK_FALSE(ledger.Apply(usage_closed{ third }));
  CHECK(ledger.Unbilled(0, "north") == usage_figures{});
}

// Guards against memory that grows with every window and restarted entry
// process.
TEST_CASE("Old windows and instances are discarded")
{
  usage_ledger ledger;
  usage_counter_set counters;
  for (unix_seconds i = 0; i < 200; ++i) {
    const usage_counter counter{
      "north", i * 3600, "instance" + std::to_string(i), 1, 1, 1
    };
    counters.Merge(counter);
    ledger.Apply(usage_batch{ "a", { counter } });
    CHECK(ledger.Apply(usage_closed{ { i * 3600, 1, {} } }));
  }
  // Windows are kept until one is closed that starts more than 30 h later.
  CHECK(ledger.Finals().size() == 31);
  CHECK(ledger.Save()["windows"].size() == 31);
  ledger.Apply(usage_batch{ "a", { { "north", 3600, "late", 1, 1, 1 } } });
  CHECK(ledger.DroppedCount() == 1);
  CHECK_FALSE(ledger.Apply(usage_closed{ { 3600, 1, {} } }));
  counters.Acknowledge({ { "north", 0, "instance0", 1, 1, 1 } });
  // Two windows start before 7200 s; the counter of one is not acknowledged.
  CHECK(counters.Forget(7200) == 1);
  CHECK(counters.Size() == 198);
}
