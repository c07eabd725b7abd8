#include "arbutusferry/dispatcher.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace std::chrono_literals;

namespace {

target_info
MakeTarget(const std::string& aId, const std::string& aZone = "z1")
{
  target_info info;
  info.id = aId;
  info.zone = aZone;
  info.targetClass = "c";
  info.address = "127.0.0.1:1";
  info.slots = 2;
  return info;
}

work_item
MakeItem(const std::string& aTeam = "a")
{
  work_item item;
  item.team = aTeam;
  item.targetClass = "c";
  item.estimatedTokens = 10;
  return item;
}

/// A dispatcher and the outcomes it reported.
struct fixture
{
  std::unique_ptr<arbutusferry::dispatcher> dispatcher;
  time_point now{ 100s };
  std::vector<assignment> assigned;
  std::vector<error_info> failed;

  explicit fixture(std::size_t aMaxQueue = 4096)
  {
    dispatcher_options options;
    options.zone = "z1";
    options.maxQueuePerTeam = aMaxQueue;
    dispatcher = MakeDispatcher(options);
  }

  void Targets(std::vector<target_info> aTargets,
               std::optional<std::vector<slot_grant>> aGrants = std::nullopt,
               std::size_t aIndex = 0,
               std::size_t aEntries = 1)
  {
    dispatcher->UpdateTargets(
      std::move(aTargets), std::move(aGrants), now + 5s, aIndex, aEntries, now);
  }

  work_id Submit(work_item aItem)
  {
    return dispatcher->Submit(
      std::move(aItem),
      [this](std::variant<assignment, error_info> aOutcome) {
        if (auto* found = std::get_if<assignment>(&aOutcome)) {
          assigned.push_back(*found);
        } else {
          failed.push_back(std::get<error_info>(aOutcome));
        }
      },
      now);
  }

  void End(std::size_t aIndex, bool aFailed = false)
  {
    dispatcher->Complete(assigned[aIndex].id, { 10, aFailed }, now);
  }
};

} // namespace

// Guards against a deadlock when a callback, run under the lock, calls the
// dispatcher.
TEST_CASE("A callback may call the dispatcher")
{
  fixture f;
  f.Targets({ MakeTarget("t1") });
  int ended = 0;
  for (int i = 0; i < 5; ++i) {
    f.dispatcher->Submit(
      MakeItem(),
      [&](std::variant<assignment, error_info> aOutcome) {
        f.dispatcher->Complete(
          std::get<assignment>(aOutcome).id, { 10 }, f.now);
        ++ended;
      },
      f.now);
  }
  CHECK(ended == 5);
  CHECK(f.dispatcher->InFlight().empty());
}

// Guards against items that end without an error or with the wrong one.
TEST_CASE("Full queues, deadlines and cancellation end waiting items")
{
  fixture f(2);
  f.Submit(MakeItem());
  auto timed = MakeItem();
  timed.deadline = f.now + 1s;
  f.Submit(timed);
  f.Submit(MakeItem());
  REQUIRE(f.failed.size() == 1);
  CHECK(f.failed[0].code == error_code::Overloaded);
  CHECK_FALSE(f.dispatcher->TryRetry("a", f.now));
  f.now += 1s;
  f.dispatcher->Tick(f.now);
  REQUIRE(f.failed.size() == 2);
  CHECK(f.failed[1].code == error_code::Unavailable);
  f.Targets({ MakeTarget("t1") });
  CHECK(f.assigned.size() == 1);
  f.Submit(MakeItem());
  timed.deadline = f.now + 1s;
  f.Submit(timed);
  const auto last = f.Submit(MakeItem());
  CHECK(f.dispatcher->Cancel(last));
  CHECK_FALSE(f.dispatcher->Cancel(last));
  f.now += 1s;
  f.dispatcher->Tick(f.now);
  REQUIRE(f.failed.size() == 3);
  CHECK(f.failed[2].code == error_code::Timeout);
  CHECK(f.assigned.size() == 2);
}

// Guards against new work for a target that is about to stop.
TEST_CASE("A leaving target gets no new work")
{
  fixture f;
  auto leaving = MakeTarget("t1");
  f.Targets({ leaving, MakeTarget("t2") });
  for (int i = 0; i < 20; ++i) {
    f.Submit(MakeItem());
  }
  REQUIRE(f.assigned.size() == 4);
  leaving.state = target_state::Leaving;
  f.Targets({ leaving, MakeTarget("t2") });
  for (std::size_t i = 0; i < 4; ++i) {
    f.End(i);
  }
  // A target may leave the list while its exchanges run; they still complete.
  f.Targets({ MakeTarget("t2") });
  REQUIRE(f.assigned.size() > 4);
  for (std::size_t i = 4; i < f.assigned.size(); ++i) {
    CHECK(f.assigned[i].target.id == "t2");
    f.End(i);
  }
  CHECK(f.assigned.size() == 20);
  CHECK(f.dispatcher->InFlight().empty());
}

// Guards against work on targets that may not run it, such as non-idempotent
// requests on reclaimable targets or samples from old weights.
TEST_CASE("Pool and weight version restrict the targets")
{
  fixture f;
  auto reclaimable = MakeTarget("t1");
  reclaimable.pool = target_pool::Reclaimable;
  reclaimable.weightVersion = 4;
  f.Targets({ reclaimable });
  f.Submit(MakeItem());
  auto sample = MakeItem();
  sample.kind = work_kind::Sample;
  sample.minVersion = 5;
  f.Submit(sample);
  CHECK(f.assigned.empty());
  sample.minVersion = 4;
  f.Submit(sample);
  auto idempotent = MakeItem();
  idempotent.idempotent = true;
  f.Submit(idempotent);
  REQUIRE(f.assigned.size() == 2);
  f.Targets({ reclaimable, MakeTarget("t2") });
  REQUIRE(f.assigned.size() == 3);
  CHECK(f.assigned[2].target.id == "t2");
  reclaimable.weightVersion = 5;
  f.Targets({ reclaimable, MakeTarget("t2") });
  f.End(0);
  REQUIRE(f.assigned.size() == 4);
  CHECK(f.assigned[3].target.id == "t1");
}

// Guards against an item that waits until its deadline because all remaining
// targets have failed it once.
TEST_CASE("Targets to avoid are used when there is no other")
{
  fixture f;
  auto item = MakeItem();
  item.avoid = { "t1" };
  f.Targets({ MakeTarget("t1"), MakeTarget("t2") });
  for (int i = 0; i < 2; ++i) {
    f.Submit(item);
  }
  f.Submit(item);
  REQUIRE(f.assigned.size() == 2);
  CHECK(f.assigned[0].target.id == "t2");
  CHECK(f.assigned[1].target.id == "t2");
  f.Targets({ MakeTarget("t1"), MakeTarget("far", "z2") });
  REQUIRE(f.assigned.size() == 3);
  CHECK(f.assigned[2].target.id == "far");
  f.Targets({ MakeTarget("t1") });
  f.Submit(item);
  REQUIRE(f.assigned.size() == 4);
  CHECK(f.assigned[3].target.id == "t1");
}

// Guards against cross-zone traffic without need, and against waiting in a zone
// that cannot serve.
TEST_CASE("Other zones serve when the own zone takes longer")
{
  fixture f;
  f.Targets({ MakeTarget("t1"), MakeTarget("far", "z2") });
  for (int i = 0; i < 3; ++i) {
    f.Submit(MakeItem());
  }
  // No exchange has ended yet, so the expected wait is below the round trip.
  REQUIRE(f.assigned.size() == 2);
  f.now += 2s;
  f.End(0);
  REQUIRE(f.assigned.size() == 3);
  CHECK(f.assigned[2].target.id == "t1");
  f.Submit(MakeItem());
  REQUIRE(f.assigned.size() == 4);
  CHECK(f.assigned[3].target.id == "far");
  auto busy = MakeTarget("far", "z2");
  busy.running = 3;
  f.Targets({ MakeTarget("t1"), busy });
  f.Submit(MakeItem());
  CHECK(f.assigned.size() == 4);
}

// Guards against entries without any slots, and against entries that together
// use more slots than a target has.
TEST_CASE("Fallback slots of all entries add up to the slots of each target")
{
  std::vector<target_info> targets;
  for (int t = 0; t < 100; ++t) {
    targets.push_back(MakeTarget("t" + std::to_string(t)));
    targets.back().slots = 1 + t % 8;
  }
  std::map<std::string, std::int64_t> all;
  for (std::size_t index = 0; index < 28; ++index) {
    fixture f;
    f.Targets(targets, std::nullopt, index, 28);
    for (int i = 0; i < 100; ++i) {
      f.Submit(MakeItem());
    }
    CHECK(f.assigned.size() >= 8);
    for (const auto& [target, count] : f.dispatcher->InFlight()) {
      all[target] += count;
    }
  }
  for (const auto& target : targets) {
    CHECK(all[target.id] == target.slots);
  }
}

// Guards against a crashed target that attracts all work because it fails every
// exchange immediately and so appears idle.
TEST_CASE("A target that fails repeatedly gets only probes")
{
  fixture f;
  f.Targets({ MakeTarget("t1") });
  for (int i = 0; i < 50; ++i) {
    f.Submit(MakeItem());
  }
  const auto failAll = [&] {
    for (std::size_t i = 0; i < f.assigned.size(); ++i) {
      f.End(i, true);
    }
  };
  failAll();
  const auto before = f.assigned.size();
  CHECK(before <= 5);
  f.now += 999ms;
  f.dispatcher->Tick(f.now);
  CHECK(f.assigned.size() == before);
  f.now += 1ms;
  f.dispatcher->Tick(f.now);
  REQUIRE(f.assigned.size() == before + 1);
  f.End(before, true);
  f.now += 1999ms;
  f.dispatcher->Tick(f.now);
  CHECK(f.assigned.size() == before + 1);
  f.now += 1ms;
  f.dispatcher->Tick(f.now);
  REQUIRE(f.assigned.size() == before + 2);
  f.End(before + 1);
  CHECK(f.assigned.size() > before + 3);
}

// Guards against a share at one entry that ignores the team's work at others.
TEST_CASE("Team grants replace the shares until they expire")
{
  fixture f;
  f.Targets({ MakeTarget("t1") });
  f.dispatcher->UpdateTeamGrants({ { "a", "c", 1 }, { "b", "c", 4 } },
                                 f.now + 5s);
  for (int i = 0; i < 400; ++i) {
    f.Submit(MakeItem("a"));
    f.Submit(MakeItem("b"));
  }
  std::map<std::string, int> served;
  const auto serve = [&](std::size_t aFrom, std::size_t aTo) {
    std::map<std::string, std::int64_t> before;
    for (const auto& line : f.dispatcher->Demand()) {
      before[line.team] = line.waiting;
    }
    for (std::size_t i = aFrom; i < aTo; ++i) {
      f.End(i);
    }
    for (const auto& line : f.dispatcher->Demand()) {
      served[line.team] = static_cast<int>(before[line.team] - line.waiting);
    }
  };
  serve(0, 100);
  CHECK(served["a"] == Approx(20).margin(2));
  f.now += 5s;
  f.dispatcher->Tick(f.now);
  serve(100, 200);
  CHECK(served["a"] == Approx(50).margin(2));
}
