#include "arbutusferry/node/interval_average.hpp"
#include "arbutusferry/node/item_scheduler.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

sampler_state
Sampler(const std::string& aId, std::int64_t aVersion, int aRunning = 0)
{
  sampler_state state;
  state.id = aId;
  state.slots = 4;
  state.running = aRunning;
  state.versions = { { "m", aVersion } };
  return state;
}

waiting_item
Item(const std::string& aGroup, std::int64_t aMinimum = 1)
{
  waiting_item item;
  item.batch = "b";
  item.model = "m";
  item.group = aGroup;
  item.minimumVersion = aMinimum;
  return item;
}

} // namespace

// Load pattern: several batches open at once, with groups carried over.
TEST_CASE("items are sorted by batch, carried-over groups and group length")
{
  waiting_item young = Item("young");
  young.batch = "later";
  young.submittedUnixMs = 2'000;
  waiting_item plain = Item("short");
  plain.groupTokenEstimate = 10;
  waiting_item lengthy = Item("long");
  lengthy.groupTokenEstimate = 900;
  waiting_item carried = Item("carried");
  carried.carried = true;
  std::vector<waiting_item> items{ young, plain, lengthy, carried };
  SortWaiting(items);
  std::vector<std::string> order;
  order.reserve(items.size());
  for (const waiting_item& item : items) {
    order.push_back(item.group);
  }
  CHECK(order ==
        std::vector<std::string>{ "carried", "long", "short", "young" });
}

TEST_CASE("items go only to samplers whose weights they allow")
{
  const std::vector<sampler_state> samplers{ Sampler("old", 3),
                                             Sampler("new", 5) };
  CHECK(ChooseSampler(Item("g", 4), samplers) == 1);
  CHECK_FALSE(ChooseSampler(Item("g", 6), samplers));
  waiting_item begun = Item("g", 1);
  begun.onlyVersion = 3;
  CHECK(ChooseSampler(begun, samplers) == 0);
  waiting_item other = Item("g", 1);
  other.model = "another";
  CHECK_FALSE(ChooseSampler(other, samplers));
}

// Load pattern: a burst of one step's items over idle samplers.
TEST_CASE("a burst spreads over samplers and stops at their slots")
{
  std::vector<sampler_state> samplers{ Sampler("a", 1), Sampler("b", 1) };
  for (int count = 0; count < 8; ++count) {
    const auto chosen =
      ChooseSampler(Item("g" + std::to_string(count)), samplers);
    REQUIRE(chosen);
    ++samplers[*chosen].running;
  }
  CHECK(samplers[0].running == 4);
  CHECK(samplers[1].running == 4);
  CHECK_FALSE(ChooseSampler(Item("x"), samplers));
}

// Load pattern: some samplers slow down while others have free slots.
TEST_CASE("a slow sampler gets items only when the others are full")
{
  std::vector<sampler_state> samplers{ Sampler("slow", 1),
                                       Sampler("a", 1, 3),
                                       Sampler("b", 1, 3) };
  samplers[0].eventIntervalMs = 140;
  samplers[1].eventIntervalMs = 40;
  samplers[2].eventIntervalMs = 41;
  CHECK(ChooseSampler(Item("g"), samplers) != 0);
  samplers[1].running = samplers[2].running = 4;
  CHECK(ChooseSampler(Item("g"), samplers) == 0);
}

TEST_CASE("a sampler that loads the model or is unusable gets no items")
{
  std::vector<sampler_state> samplers{ Sampler("a", 1) };
  samplers[0].loading = "m";
  CHECK_FALSE(ChooseSampler(Item("g"), samplers));
  samplers[0].mayHaveLoaded = true;
  CHECK(ChooseSampler(Item("g"), samplers) == 0);
  // A sampler that is known to have the weights is preferred.
  samplers.push_back(Sampler("b", 1, 3));
  CHECK(ChooseSampler(Item("g"), samplers) == 1);
  samplers.pop_back();
  samplers[0].loading = "another";
  CHECK(ChooseSampler(Item("g"), samplers));
  samplers[0].usable = false;
  CHECK_FALSE(ChooseSampler(Item("g"), samplers));
}

// Load pattern: samplers stop responding or slow down in the middle of streams.
TEST_CASE("a silent or slow run is moved, a paused one is not")
{
  sampler_state sampler = Sampler("a", 1, 1);
  run_timing run{ kStart, kStart, true };
  CHECK_FALSE(ShouldMove(run, sampler, 40, kStart + milliseconds(300)));
  CHECK(ShouldMove(run, sampler, 40, kStart + milliseconds(401)));
  // All samplers are slow: moving would not help.
  CHECK_FALSE(ShouldMove(run, sampler, 200, kStart + milliseconds(700)));
  sampler.loading = "another";
  CHECK_FALSE(ShouldMove(run, sampler, 40, kStart + milliseconds(900)));
  sampler.loading.clear();
  sampler.eventIntervalMs = 140;
  CHECK(ShouldMove(run, sampler, 40, kStart + milliseconds(10)));
  sampler.eventIntervalMs = 60;
  CHECK_FALSE(ShouldMove(run, sampler, 40, kStart + milliseconds(10)));
}

// Guards against work that is started again elsewhere although it goes on: a
// sampler that was full for a moment, is cut off from the registry or drains
// still serves its runs.
TEST_CASE("a run whose sampler takes no further items stays while it goes on")
{
  sampler_state sampler = Sampler("a", 1, 1);
  sampler.usable = false;
  run_timing run{ kStart, kStart, true };
  CHECK_FALSE(ShouldMove(run, sampler, 40, kStart + milliseconds(100)));
  run.lastEvent = kStart + milliseconds(5'000);
  CHECK_FALSE(ShouldMove(run, sampler, 40, kStart + milliseconds(5'300)));
  CHECK(ShouldMove(run, sampler, 40, kStart + milliseconds(5'401)));
  run = { kStart, kStart, false };
  CHECK(ShouldMove(run, sampler, 40, kStart + milliseconds(701)));
}

// Load pattern: the reader of all streams is busy for a while, as at the start
// of a step, and then reads their events at once. Guards against samplers that
// count as slow, or whose median falls, because of their reader.
TEST_CASE("events that are read in bursts don't change a sampler's speed")
{
  interval_average average;
  // The average of before: each interval moves it by a fifth.
  double moving = 40.0;
  double largestMoving = 0.0;
  double smallestMoving = 1'000.0;
  time_point now = kStart;
  for (int burst = 0; burst < 20; ++burst) {
    // Four runs with an event each 40 ms, read every 240 ms.
    now += milliseconds(240);
    for (int run = 0; run < 4; ++run) {
      for (int event = 0; event < 6; ++event) {
        const duration interval =
          event == 0 ? duration(milliseconds(240)) : duration::zero();
        average.Note(interval, now);
        moving += 0.2 * (event == 0 ? 240.0 - moving : -moving);
        largestMoving = std::max(largestMoving, moving);
        smallestMoving = std::min(smallestMoving, moving);
      }
    }
    if (burst > 1) {
      const auto measured = average.Milliseconds(now);
      REQUIRE(measured);
      CHECK(*measured > 40 / 1.2);
      CHECK(*measured < 40 * 1.2);
    }
  }
  CHECK(largestMoving > 1.8 * smallestMoving);
}

TEST_CASE("an average of intervals follows a sampler that becomes slow")
{
  interval_average average;
  time_point now = kStart;
  CHECK_FALSE(average.Milliseconds(now));
  for (int event = 0; event < 50; ++event) {
    average.Note(milliseconds(40), now += milliseconds(40));
  }
  CHECK(*average.Milliseconds(now) == Approx(40.0));
  for (int event = 0; event < 6; ++event) {
    average.Note(milliseconds(160), now += milliseconds(160));
  }
  CHECK(*average.Milliseconds(now) > 1.8 * 40);
  CHECK_FALSE(average.Milliseconds(now + milliseconds(3'000)));
}

// Load pattern: the last long item of a step runs alone at a sampler that is
// several times slower than the others. Guards against a speed that stays
// unknown, so that the item stays there until its step has run out of time.
TEST_CASE("the speed of a slow sampler with one run becomes known")
{
  for (const int intervalMs : { 150, 280, 390 }) {
    interval_average average;
    time_point now = kStart;
    while (!average.Milliseconds(now) && now < kStart + milliseconds(5'000)) {
      average.Note(milliseconds(intervalMs), now += milliseconds(intervalMs));
    }
    CAPTURE(intervalMs);
    REQUIRE(average.Milliseconds(now));
    CHECK(*average.Milliseconds(now) == Approx(intervalMs));
    CHECK(now - kStart <= milliseconds(4 * intervalMs));
  }
}

// Guards against runs that are moved when a load of weights ends.
TEST_CASE("silence counts from the end of a load")
{
  sampler_state sampler = Sampler("a", 1, 1);
  sampler.loadEndedAt = kStart + milliseconds(950);
  const run_timing run{ kStart, kStart, true };
  CHECK_FALSE(ShouldMove(run, sampler, 40, kStart + milliseconds(1'000)));
  CHECK(ShouldMove(run, sampler, 40, kStart + milliseconds(1'351)));
}
