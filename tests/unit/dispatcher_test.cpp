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
MakeItem(const std::string& aTenant = "a")
{
  work_item item;
  item.tenant = aTenant;
  item.targetClass = "c";
  item.estimatedTokens = 10;
  return item;
}

/// A dispatcher with everything it told its callers.
struct fixture
{
  std::unique_ptr<dispatcher> front;
  time_point now{ 100s };
  std::vector<assignment> assigned;
  std::vector<error_info> failed;

  explicit fixture(std::size_t aMaxQueue = 4096)
  {
    dispatcher_options options;
    options.zone = "z1";
    options.maxQueuePerTenant = aMaxQueue;
    front = MakeDispatcher(options);
  }

  void Targets(std::vector<target_info> aTargets,
               std::optional<std::vector<slot_grant>> aGrants = std::nullopt,
               std::size_t aIndex = 0,
               std::size_t aEntries = 1)
  {
    front->UpdateTargets(
      std::move(aTargets), std::move(aGrants), now + 5s, aIndex, aEntries, now);
  }

  work_id Submit(work_item aItem)
  {
    return front->Submit(
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
    front->Complete(assigned[aIndex].id, { 10, aFailed }, now);
  }
};

} // namespace

// Guards against callbacks that run under the lock and dead-lock callers.
TEST_CASE("A callback may call the dispatcher")
{
  fixture f;
  f.Targets({ MakeTarget("t1") });
  int ended = 0;
  for (int i = 0; i < 5; ++i) {
    f.front->Submit(
      MakeItem(),
      [&](std::variant<assignment, error_info> aOutcome) {
        f.front->Complete(std::get<assignment>(aOutcome).id, { 10 }, f.now);
        ++ended;
      },
      f.now);
  }
  CHECK(ended == 5);
  CHECK(f.front->InFlight().empty());
}

// Guards against work that is refused or lost without a truthful error.
TEST_CASE("Bounds, deadlines and cancellation end waiting work")
{
  fixture f(2);
  f.Submit(MakeItem());
  auto timed = MakeItem();
  timed.deadline = f.now + 1s;
  f.Submit(timed);
  f.Submit(MakeItem());
  REQUIRE(f.failed.size() == 1);
  CHECK(f.failed[0].code == error_code::Overloaded);
  CHECK_FALSE(f.front->TryRetry("a", f.now));
  f.now += 1s;
  f.front->Tick(f.now);
  REQUIRE(f.failed.size() == 2);
  CHECK(f.failed[1].code == error_code::Unavailable);
  f.Targets({ MakeTarget("t1") });
  CHECK(f.assigned.size() == 1);
  f.Submit(MakeItem());
  timed.deadline = f.now + 1s;
  f.Submit(timed);
  const auto last = f.Submit(MakeItem());
  CHECK(f.front->Cancel(last));
  CHECK_FALSE(f.front->Cancel(last));
  f.now += 1s;
  f.front->Tick(f.now);
  REQUIRE(f.failed.size() == 3);
  CHECK(f.failed[2].code == error_code::Timeout);
  CHECK(f.assigned.size() == 2);
}
