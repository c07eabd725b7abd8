#include "arbutusferry/node/platform_duties.hpp"

#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

struct fake_duties final : duty_client
{
  void ReportUsage(std::int64_t aWindow,
                   const team_counts& aCounts,
                   std::uint64_t,
                   std::function<void(duty_status)> aDone) override
  {
    reports.emplace_back(aWindow, aCounts);
    aDone(answer);
  }
  void OrderTargets(const std::string&,
                    const std::string&,
                    int,
                    std::uint64_t,
                    std::function<void(duty_status)> aDone) override
  {
    aDone(answer);
  }
  std::vector<std::pair<std::int64_t, team_counts>> reports;
  duty_status answer = duty_status::Done;
};

struct usage_test
{
  std::unique_ptr<usage_desk> Desk()
  {
    usage_desk::parts parts{ loop,
                             duties,
                             3,
                             milliseconds(5'000),
                             milliseconds(10'000),
                             {},
                             [] { return true; },
                             [this] { ++superseded; } };
    parts.fix = [this](std::int64_t aWindow,
                       const team_counts& aCounts,
                       const std::function<void()>& aDone) {
      fixed[aWindow] = EncodeCounts(aCounts);
      aDone();
    };
    return std::make_unique<usage_desk>(std::move(parts), fixed);
  }
  [[nodiscard]] std::int64_t Window() const
  {
    return loop.UnixMilliseconds() / 5'000;
  }
  [[nodiscard]] std::vector<team_counts> Reported(std::int64_t aWindow) const
  {
    std::vector<team_counts> found;
    for (const auto& [window, counts] : duties.reports) {
      if (window == aWindow) {
        found.push_back(counts);
      }
    }
    return found;
  }

  manual_loop loop;
  fake_duties duties;
  std::map<std::int64_t, std::string> fixed;
  int superseded = 0;
};

} // namespace

TEST_CASE("counts are kept by window, and saved records add up")
{
  usage_meter meter(5'000);
  meter.Count("acme", 12'000);
  meter.Count("acme", 14'999);
  meter.Count("birch", 15'000);
  CHECK(meter.Changed());
  const auto record = DecodeUsage(EncodeUsage(meter.Take()));
  CHECK_FALSE(meter.Changed());
  REQUIRE(record);
  usage_sum sum;
  sum.Add("p1", *record);
  sum.Add("p2", { { 2, { { "acme", 5 } } } });
  // A record that was saved twice, or an older one, changes nothing.
  sum.Add("p1", *record);
  sum.Add("p1", { { 2, { { "acme", 1 } } } });
  CHECK(sum.Total(2) == team_counts{ { "acme", 7 } });
  CHECK(sum.Total(3) == team_counts{ { "birch", 1 } });
  CHECK_FALSE(DecodeUsage("[]"));
  CHECK_FALSE(DecodeUsage(R"({"x":{"a":1}})"));
}

TEST_CASE("a window is reported once, after its counts have settled")
{
  usage_test test;
  const std::int64_t window = test.Window();
  auto desk = test.Desk();
  desk->Add("p", { { window, { { "acme", 4 } } } });
  test.loop.Advance(milliseconds(5'000));
  desk->Tick();
  CHECK(test.Reported(window).empty());
  test.loop.Advance(milliseconds(4'000));
  desk->Tick();
  desk->Tick();
  CHECK(test.Reported(window) == std::vector<team_counts>{ { { "acme", 4 } } });
}

// Guards against two reports of one window with different figures.
TEST_CASE("repeats, also by a later leader, carry the figures fixed first")
{
  usage_test test;
  const std::int64_t window = test.Window();
  auto desk = test.Desk();
  desk->Add("p", { { window, { { "acme", 4 } } } });
  test.duties.answer = duty_status::Failed;
  test.loop.Advance(milliseconds(9'000));
  desk->Tick();
  desk = test.Desk();
  desk->Add("p", { { window, { { "acme", 9 } } } });
  desk->Tick();
  test.duties.answer = duty_status::Done;
  desk->Tick();
  desk->Tick();
  CHECK(test.Reported(window) ==
        std::vector<team_counts>(3, { { "acme", 4 } }));
}

// Load pattern: the leader's time of day jumps ahead and back. Guards against a
// window that was forgotten as too old and is then counted anew.
TEST_CASE("a window is not fixed again when the clock jumps back")
{
  usage_test test;
  const std::int64_t window = test.Window();
  auto desk = test.Desk();
  desk->Add("p", { { window, { { "acme", 4 } } } });
  test.loop.Advance(milliseconds(9'000));
  desk->Tick();
  test.loop.clockStep = milliseconds(60'000);
  desk->Tick();
  test.loop.clockStep = {};
  desk->Add("p", { { window, { { "acme", 9 } } } });
  desk->Tick();
  for (const team_counts& counts : test.Reported(window)) {
    CHECK(counts == team_counts{ { "acme", 4 } });
  }
  CHECK(DecodeCounts(test.fixed[window]) == team_counts{ { "acme", 4 } });
}

TEST_CASE("a report that meets a higher fence ends the term")
{
  usage_test test;
  auto desk = test.Desk();
  test.duties.answer = duty_status::Conflict;
  test.loop.Advance(milliseconds(9'000));
  desk->Tick();
  CHECK(test.superseded > 0);
}

// Load pattern: the service may grow to more targets than it has.
TEST_CASE("targets are ordered once and again when some stay away")
{
  service_entry service;
  service.name = "models";
  service.scaling = scaling_bounds{ 1, 2, milliseconds(4'000) };
  const environment_view environment(1, {}, { service }, {}, {}, false);
  target_view targets;
  scale_plan plan;
  time_point now{ std::chrono::hours(1) };
  auto due = plan.Due(environment, targets, { "z1", "z2" }, now);
  REQUIRE(due.size() == 2);
  CHECK(due[0].count == 2);
  CHECK(plan.Due(environment, targets, { "z1", "z2" }, now).empty());
  plan.Note(due[0], duty_status::Done, now);
  plan.Note(due[1], duty_status::Failed, now);
  now += milliseconds(2'500);
  due = plan.Due(environment, targets, { "z1", "z2" }, now);
  REQUIRE(due.size() == 1);
  CHECK(due[0].zone == "z2");
  plan.Note(due[0], duty_status::Done, now);
  for (int index = 0; index < 4; ++index) {
    target_entry entry;
    entry.id = "t" + std::to_string(index);
    entry.service = "models";
    entry.zone = index < 2 ? "z1" : "z2";
    targets.Update(entry, now);
  }
  now += milliseconds(60'000);
  CHECK(plan.Due(environment, targets, { "z1", "z2" }, now).empty());
  targets.Remove("t3", now);
  due = plan.Due(environment, targets, { "z1", "z2" }, now);
  REQUIRE(due.size() == 1);
  CHECK(due[0].zone == "z2");
}
