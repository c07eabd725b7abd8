#include "placement/placement_pass.hpp"
#include "placement/speed_choice.hpp"

#include "support/property.hpp"

#include <random>

using namespace arbutusferry;
using namespace arbutusferry::node;

namespace {

constexpr time_point kNow{ std::chrono::hours(1) };

sampler_state
Sampler(const std::string& aId, double aIntervalMs, int aRunning = 0)
{
  sampler_state state;
  state.id = aId;
  state.slots = 4;
  state.running = aRunning;
  state.versions = { { "m", 1 } };
  state.eventIntervalMs = aIntervalMs;
  return state;
}

waiting_item
Item(std::size_t aShare, double aSlackMs, int aPriority = 0)
{
  waiting_item item;
  item.batch = "b" + std::to_string(aShare);
  item.model = "m";
  item.minimumVersion = 1;
  item.contended = true;
  item.share = aShare;
  item.slackMs = aSlackMs;
  item.priority = aPriority;
  item.remainingEvents = 10.0;
  return item;
}

/// Shares of the items in the order of the queue, each being placed.
std::vector<std::size_t>
Shares(std::vector<waiting_item> aItems, std::vector<int> aSlots)
{
  item_queue queue(aItems, std::move(aSlots));
  std::vector<std::size_t> shares;
  while (const waiting_item* item = queue.Next()) {
    queue.NotePlaced(*item);
    shares.push_back(item->share);
  }
  return shares;
}

batch_request
Request(const std::string& aId, int aGroups, int aItems, std::int64_t aAt)
{
  batch_request request;
  request.id = aId;
  request.team = "acme";
  request.host = "h";
  request.route = "r";
  request.model = "m";
  request.minimumVersion = 1;
  request.submittedUnixMs = aAt;
  for (int group = 0; group < aGroups; ++group) {
    for (int item = 0; item < aItems; ++item) {
      const std::string name = aId + "g" + std::to_string(group);
      request.items.push_back(
        { name + "i" + std::to_string(item), "/p/x", {}, {}, 0, name, 500 });
    }
  }
  return request;
}

environment_view
Environment(int aRoutePriority, std::optional<int> aTeamPriority)
{
  route_entry route;
  route.name = "r";
  route.host = "h";
  route.pathPrefix = "/p/";
  route.kind = route_kind::Batch;
  route.priority = aRoutePriority;
  route.services = { { "models", 1 } };
  route.resultDue = std::chrono::milliseconds(7'500);
  return {
    1,  { route }, { { "models", {}, {} } }, { { "acme", {}, aTeamPriority } },
    {}, true
  };
}

std::vector<std::string>
Batches(placement_pass& aPass)
{
  std::vector<std::string> order;
  while (const waiting_item* item = aPass.Next()) {
    order.push_back(item->batch);
  }
  return order;
}

} // namespace

TEST_CASE("slack is the time until due less the rest of the group")
{
  const step_outlook step{ 2'000.0, 2, true };
  const std::vector<group_state> groups{ { false, 4, 10.0, 40.0 },
                                         { false, 4, 30.0, 40.0 } };
  const auto rated = RateGroups(step, groups, { 40.0, 40.0 });
  CHECK(rated[0].slackMs == Approx(1'600.0));
  CHECK(rated[1].slackMs == Approx(800.0));
  CHECK(rated[0].need == slack_class::Timely);
}

// Guards against the last tenth of a step that is treated like the nine tenths
// for which the trainer waits.
TEST_CASE("groups beyond those needed are surplus, the furthest ones first")
{
  const step_outlook step{ 5'000.0, 2, true };
  const std::vector<group_state> groups{ { false, 4, 50.0, 60.0 },
                                         { false, 4, 10.0, 40.0 },
                                         { false, 4, 20.0, 40.0 } };
  auto rated = RateGroups(step, groups, { 40.0, 40.0 });
  CHECK(rated[0].need == slack_class::Surplus);
  CHECK(rated[1].need == slack_class::Timely);
  CHECK(rated[2].need == slack_class::Timely);
  // A carried group is waited for, and comes before the others of its step.
  auto carried = groups;
  carried[0].carried = true;
  rated = RateGroups(step, carried, { 40.0, 40.0 });
  CHECK(rated[0].need == slack_class::Timely);
  CHECK(rated[0].slackMs <= rated[1].slackMs);
  CHECK(rated[2].need == slack_class::Surplus);
}

// Guards against a step that is given up because of a hint that is far off.
TEST_CASE("a step is late when even half of its longest rest does not fit")
{
  const std::vector<group_state> groups{ { false, 4, 30.0, 60.0 } };
  const event_intervals intervals{ 40.0, 40.0 };
  const auto need = [&](double aUntilDueMs, bool aKnown) {
    return RateGroups({ aUntilDueMs, 1, aKnown }, groups, intervals)[0].need;
  };
  CHECK(need(1'100.0, true) == slack_class::Timely);
  CHECK(need(500.0, true) == slack_class::Late);
  CHECK(need(500.0, false) == slack_class::Timely);
  CHECK(need(-1.0, false) == slack_class::Late);
  CHECK(RateGroups({ std::nullopt, 1, true }, groups, intervals)[0].need ==
        slack_class::Timely);
}

TEST_CASE("lengths are estimated by hint and by what completed")
{
  length_estimate lengths;
  CHECK_FALSE(lengths.Known());
  CHECK(lengths.Events(100, 50.0) == Approx(28.0));
  for (int count = 0; count < 100; ++count) {
    lengths.Note(500, count % 10 == 0 ? 50 : 10);
  }
  CHECK(lengths.Known());
  CHECK(lengths.Events(1'000, 0.0) > 16.0);
  CHECK(lengths.Events(1'000, 0.0) < 28.0);
  CHECK(lengths.MeanFactor() > 1.1);
  CHECK(RemainingEvents(20.0, 5) == Approx(15.0));
  // Longer than expected: of the heavy tail.
  CHECK(RemainingEvents(20.0, 60) == Approx(30.0));
  CHECK(RemainingEvents(20.0, 20) >= 1.0);
}

TEST_CASE("higher priorities come first, then steps that can be in time")
{
  waiting_item late = Item(0, -500.0);
  late.need = slack_class::Late;
  waiting_item surplus = Item(1, 100.0);
  surplus.need = slack_class::Surplus;
  const std::vector<waiting_item> items{
    Item(5, 50.0, 1), surplus, late, Item(2, 3'000.0), Item(3, 2'000.0)
  };
  CHECK(Shares(items, std::vector<int>(6)) ==
        std::vector<std::size_t>{ 3, 2, 0, 1, 5 });
}

// Load pattern: one greedy team of three. Guards against a team that gets slots
// in proportion to what it asks for.
TEST_CASE("slots are divided by max-min fairness, unused shares go to others")
{
  std::vector<waiting_item> items;
  items.reserve(25);
  for (int count = 0; count < 20; ++count) {
    items.push_back(Item(0, 100.0 + count));
  }
  items.push_back(Item(1, 4'000.0));
  for (int count = 0; count < 4; ++count) {
    items.push_back(Item(2, 3'000.0 + count));
  }
  // Team 0 has three slots already.
  const auto shares = Shares(items, { 3, 0, 0 });
  const auto first = [&](std::size_t aCount) {
    std::vector<int> placed(3);
    for (std::size_t at = 0; at < aCount; ++at) {
      ++placed[shares[at]];
    }
    return placed;
  };
  CHECK(first(4) == std::vector<int>{ 0, 1, 3 });
  CHECK(first(6) == std::vector<int>{ 1, 1, 4 });
  CHECK(first(25) == std::vector<int>{ 20, 1, 4 });
  CHECK(DivideByMaxMin(12.0, { 20.0, 2.0, 4.0 }) ==
        std::vector<double>{ 6.0, 2.0, 4.0 });
}

// Load pattern: more steps than can be in time. Guards against capacity that is
// spread over all of them, so that none is.
TEST_CASE("of steps that don't all fit, those due later are late")
{
  std::vector<step_work> steps(4);
  steps[0] = { 0, 0, 0, 2'000.0, 150.0 };
  steps[1] = { 0, 0, 0, 4'000.0, 300.0 };
  steps[2] = { 0, 0, 1, 4'000.0, 100.0 };
  steps[3] = { 0, 1, 2, 7'000.0, 400.0 };
  // 0.1 events/ms: team 1 needs 0.025, which leaves team 0 0.075.
  MarkLateSteps(steps, { 0.1 });
  CHECK_FALSE(steps[0].late);
  CHECK(steps[1].late);
  CHECK_FALSE(steps[2].late);
  CHECK(steps[3].late);
  for (step_work& step : steps) {
    step.late = false;
  }
  MarkLateSteps(steps, { 1.0 });
  for (const step_work& step : steps) {
    CHECK_FALSE(step.late);
  }
}

// Load pattern: speeds that differ by 1.7 to 0.7.
TEST_CASE("long items go to fast samplers and short ones to slow ones")
{
  const std::vector<sampler_state> samplers{ Sampler("slow", 57.0),
                                             Sampler("median", 40.0),
                                             Sampler("fast", 24.0) };
  waiting_item item = Item(0, 5'000.0);
  item.remainingEvents = 60.0;
  CHECK(ChooseByLength(item, samplers, 40.0, 14.0) == 2);
  item.remainingEvents = 5.0;
  CHECK(ChooseByLength(item, samplers, 40.0, 14.0) == 0);
  // A short item that wouldn't be in time there.
  item.slackMs = 50.0;
  CHECK(ChooseByLength(item, samplers, 40.0, 14.0) == 2);
  // The previous choice takes all that aren't slower than the median as alike.
  CHECK(ChooseSampler(item, samplers) == 1);
}

TEST_CASE("a group stays at the sampler that has its prompt")
{
  std::vector<sampler_state> samplers{ Sampler("idle", 40.0),
                                       Sampler("prompt", 40.0, 3),
                                       Sampler("broken", 400.0) };
  waiting_item item = Item(0, 5'000.0);
  item.group = "g";
  samplers[1].groups = { { "g", 3 } };
  CHECK(ChooseByLength(item, samplers, 40.0, 14.0) == 1);
  // The previous choice weighs the load more.
  CHECK(ChooseSampler(item, samplers) == 0);
  // A short item doesn't go to a sampler that runs move away from.
  item.group = "h";
  item.remainingEvents = 2.0;
  CHECK(ChooseByLength(item, samplers, 40.0, 14.0) == 0);
}

// Guards against moves that cost more than they gain, and against those that
// come when the run has fallen behind.
TEST_CASE("a run moves early only if it is in time elsewhere and gains enough")
{
  move_outlook run;
  run.remainingEvents = 40.0;
  run.hereMs = 57.0;
  run.thereMs = 24.0;
  run.firstEventMs = 200.0;
  run.untilDueMs = 2'000.0;
  CHECK(ShouldMoveEarly(run));
  // The previous rule moves it only above 1.8 times the median.
  CHECK_FALSE(ShouldMove({ kNow, kNow, true }, Sampler("a", 57.0), 40.0, kNow));
  run.untilDueMs = 2'400.0; // In time where it is.
  CHECK_FALSE(ShouldMoveEarly(run));
  run.untilDueMs = 1'000.0; // Late everywhere.
  CHECK_FALSE(ShouldMoveEarly(run));
  run.untilDueMs = 2'270.0;
  run.thereMs = 51.0; // Gains 240 ms at a cost of 200 ms.
  CHECK_FALSE(ShouldMoveEarly(run));
}

TEST_CASE("demands that share samplers are contended together")
{
  std::vector<sampler_state> samplers{ Sampler("a", 40.0, 1),
                                       Sampler("b", 40.0),
                                       Sampler("c", 40.0, 4) };
  samplers[0].versions = { { "m", 1 }, { "n", 1 } };
  samplers[1].versions = { { "other", 1 } };
  samplers[2].versions = { { "busy", 1 } };
  const auto states = [&](std::size_t aM, std::size_t aN) {
    const std::vector<placement_demand> demands{ { "s", "m", 1, aM },
                                                 { "s", "n", 1, aN },
                                                 { "s", "other", 1, 3 },
                                                 { "s", "busy", 1, 9 },
                                                 { "s", "m", 2, 9 } };
    std::vector<demand_state> found(demands.size());
    FindContention("s", demands, samplers, found);
    CHECK(found[2] == demand_state::Ample);
    CHECK(found[3] == demand_state::Full);
    CHECK(found[4] == demand_state::Full);
    return std::make_pair(found[0], found[1]);
  };
  CHECK(states(1, 1) ==
        std::make_pair(demand_state::Ample, demand_state::Ample));
  CHECK(states(2, 1) ==
        std::make_pair(demand_state::Contended, demand_state::Contended));
}

TEST_CASE("a team's priority goes before its route's")
{
  batch_table table;
  table.Add(Request("b", 1, 2, 0));
  const run_history history;
  std::map<std::string, service_samplers> samplers;
  samplers["models"] = SummarizeSamplers({ Sampler("a", 40.0, 3) });
  const auto priority = [&](const environment_view& aEnvironment) {
    placement_pass pass(table.All(), aEnvironment, history, kNow, 0);
    pass.Arrange(samplers);
    return pass.Next()->priority;
  };
  CHECK(priority(Environment(4, std::nullopt)) == 4);
  CHECK(priority(Environment(4, 2)) == 2);
}

// Load pattern: a step's last tenth against the next step. The order of before
// places all of the older batch first.
TEST_CASE("the surplus of a step yields to what the next step needs")
{
  batch_table table;
  batch_request old = Request("old", 2, 4, 0);
  old.neededGroups = 1;
  table.Add(std::move(old));
  batch_request next = Request("new", 1, 4, 4'000);
  next.neededGroups = 1;
  table.Add(std::move(next));
  const environment_view environment = Environment(0, std::nullopt);
  const run_history history;
  std::map<std::string, service_samplers> samplers;
  samplers["models"] = SummarizeSamplers({ Sampler("a", 40.0, 3) });
  placement_pass pass(table.All(), environment, history, kNow, 4'000);
  pass.Arrange(samplers);
  const auto order = Batches(pass);
  const std::vector<std::string> wanted{ "old", "old", "old", "old",
                                         "new", "new", "new", "new",
                                         "old", "old", "old", "old" };
  CHECK(order == wanted);
  // A step alone uses the capacity for all of its groups.
  batch_table alone;
  batch_request only = Request("only", 2, 4, 0);
  only.neededGroups = 1;
  alone.Add(std::move(only));
  placement_pass single(alone.All(), environment, history, kNow, 4'000);
  single.Arrange(samplers);
  while (const waiting_item* item = single.Next()) {
    CHECK(item->need == slack_class::Timely);
  }
}

// Load pattern: a new version of the weights, which one sampler in ten has
// loaded. Guards against a step that yields to others as late meanwhile.
TEST_CASE("a step whose weights are being loaded is not late")
{
  batch_table table;
  batch_request request = Request("b", 10, 8, 0);
  request.minimumVersion = 2;
  table.Add(std::move(request));
  run_history history;
  for (int count = 0; count < 20; ++count) {
    history.NoteCompleted("r", 500, 14);
  }
  const auto need = [&](int aSamplers) {
    std::vector<sampler_state> states{ Sampler("loaded", 40.0) };
    states.front().versions = { { "m", 2 } };
    for (int index = 1; index < aSamplers; ++index) {
      states.push_back(Sampler("old" + std::to_string(index), 40.0));
    }
    std::map<std::string, service_samplers> samplers;
    samplers["models"] = SummarizeSamplers(std::move(states));
    const environment_view environment = Environment(0, std::nullopt);
    placement_pass pass(table.All(), environment, history, kNow, 0);
    pass.Arrange(samplers);
    return pass.Next()->need;
  };
  // 80 items of 14 events, of which a sampler generates 750 in 7,500 ms.
  CHECK(need(10) == slack_class::Timely);
  CHECK(need(1) == slack_class::Late);
}

// Guards against other choices than today's where there is room for all items:
// the same items are placed by the pass, and by sorting and choosing as before.
TEST_CASE("with fewer waiting items than free slots the choices are as before")
{
  CHECK(CheckHistories("same choices", 200, [](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    const auto below = [&](std::uint64_t aBound) {
      return static_cast<int>(random() % aBound);
    };
    std::vector<sampler_state> samplers;
    std::size_t room = 0;
    for (int index = 0; index < 12; ++index) {
      samplers.push_back(
        Sampler("s" + std::to_string(index), 38.0 + below(5), below(5)));
      if (below(4) == 0) {
        samplers.back().eventIntervalMs.reset();
      }
      room += static_cast<std::size_t>(4 - samplers.back().running);
    }
    batch_table table;
    std::vector<waiting_item> before;
    std::size_t waiting = 0;
    for (int count = 0; waiting + 1 < room; ++count) {
      const auto items = std::min<std::size_t>(
        room - 1 - waiting, 1 + static_cast<std::size_t>(below(12)));
      batch_request request = Request(
        "b" + std::to_string(count), static_cast<int>(items), 1, below(9'000));
      for (batch_item& item : request.items) {
        item.lengthHint = std::int64_t{ 300 } * below(3);
        item.group = "g" + std::to_string(below(3));
      }
      request.neededGroups = 1;
      waiting += items;
      const batch& added = table.Add(std::move(request));
      for (std::size_t index = 0; index < items; ++index) {
        const batch_request& stored = added.Request();
        waiting_item item;
        item.batch = stored.id;
        item.index = index;
        item.model = stored.model;
        item.minimumVersion = 1;
        item.group = stored.items[index].group;
        item.submittedUnixMs = stored.submittedUnixMs;
        item.groupUncommitted = added.UncommittedItems(item.group);
        for (const batch_item& other : stored.items) {
          if (other.group == item.group) {
            item.groupTokenEstimate =
              std::max(item.groupTokenEstimate, other.lengthHint);
          }
        }
        before.push_back(item);
      }
    }
    const environment_view environment = Environment(3, 1);
    const run_history history;
    std::map<std::string, service_samplers> services;
    services["models"] = SummarizeSamplers(samplers);
    placement_pass pass(table.All(), environment, history, kNow, 9'000);
    pass.Arrange(services);
    RC_ASSERT(pass.ContendedItems() == std::size_t{ 0 });
    SortWaiting(before);
    std::vector<sampler_state>& states = services["models"].states;
    for (const waiting_item& expected : before) {
      const waiting_item* item = pass.Next();
      RC_ASSERT(item != nullptr);
      RC_ASSERT(item->batch == expected.batch);
      RC_ASSERT(item->index == expected.index);
      const auto chosen = ChooseSampler(expected, samplers);
      RC_ASSERT(ChooseSampler(*item,
                              states,
                              services["models"].intervals.medianMs) == chosen);
      ++samplers[*chosen].running;
      ++samplers[*chosen].groups[item->group];
      states = samplers;
    }
    RC_ASSERT(pass.Next() == nullptr);
  }));
}
