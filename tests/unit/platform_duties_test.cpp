#include "arbutusferry/node/platform_duties.hpp"

#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

struct fake_duty_client final : duty_client
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

struct usage_fixture
{
  std::unique_ptr<usage_reporter> MakeReporter()
  {
    usage_reporter::parts parts{ loop,
                                 duties,
                                 3,
                                 milliseconds(5'000),
                                 milliseconds(10'000),
                                 {},
                                 [] { return true; },
                                 [this] { ++superseded; } };
    parts.persist = [this](std::int64_t aWindow,
                           const team_counts& aCounts,
                           const std::function<void()>& aDone) {
      persisted[aWindow] = EncodeCounts(aCounts);
      aDone();
    };
    return std::make_unique<usage_reporter>(std::move(parts), persisted);
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
  fake_duty_client duties;
  std::map<std::int64_t, std::string> persisted;
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
  const auto record = DecodeUsage(EncodeUsage(meter.Snapshot()));
  CHECK_FALSE(meter.Changed());
  REQUIRE(record);
  usage_totals totals;
  totals.Add("p1", *record);
  totals.Add("p2", { { 2, { { "acme", 5 } } } });
  // A record that was saved twice, or an older one, changes nothing.
  totals.Add("p1", *record);
  totals.Add("p1", { { 2, { { "acme", 1 } } } });
  CHECK(totals.Total(2) == team_counts{ { "acme", 7 } });
  CHECK(totals.Total(3) == team_counts{ { "birch", 1 } });
  CHECK_FALSE(DecodeUsage("[]"));
  CHECK_FALSE(DecodeUsage(R"({"x":{"a":1}})"));
}

TEST_CASE("a window is reported once, after its counts have settled")
{
  usage_fixture test;
  const std::int64_t window = test.Window();
  auto reporter = test.MakeReporter();
  reporter->Add("p", { { window, { { "acme", 4 } } } });
  test.loop.Advance(milliseconds(5'000));
  reporter->Tick();
  CHECK(test.Reported(window).empty());
  test.loop.Advance(milliseconds(4'000));
  reporter->Tick();
  reporter->Tick();
  CHECK(test.Reported(window) == std::vector<team_counts>{ { { "acme", 4 } } });
}

// Guards against two reports of one window with different counts.
TEST_CASE("repeats, also by a later leader, carry the counts persisted first")
{
  usage_fixture test;
  const std::int64_t window = test.Window();
  auto reporter = test.MakeReporter();
  reporter->Add("p", { { window, { { "acme", 4 } } } });
  test.duties.answer = duty_status::Failed;
  test.loop.Advance(milliseconds(9'000));
  reporter->Tick();
  reporter = test.MakeReporter();
  reporter->Add("p", { { window, { { "acme", 9 } } } });
  reporter->Tick();
  test.duties.answer = duty_status::Done;
  reporter->Tick();
  reporter->Tick();
  CHECK(test.Reported(window) ==
        std::vector<team_counts>(3, { { "acme", 4 } }));
}

// Load pattern: the leader's wall clock jumps ahead and back. Guards against
// counting a window again after it was forgotten as too old.
TEST_CASE("a window is not persisted again when the clock jumps back")
{
  usage_fixture test;
  const std::int64_t window = test.Window();
  auto reporter = test.MakeReporter();
  reporter->Add("p", { { window, { { "acme", 4 } } } });
  test.loop.Advance(milliseconds(9'000));
  reporter->Tick();
  test.loop.clockStep = milliseconds(60'000);
  reporter->Tick();
  test.loop.clockStep = {};
  reporter->Add("p", { { window, { { "acme", 9 } } } });
  reporter->Tick();
  for (const team_counts& counts : test.Reported(window)) {
    CHECK(counts == team_counts{ { "acme", 4 } });
  }
  CHECK(DecodeCounts(test.persisted[window]) == team_counts{ { "acme", 4 } });
}

TEST_CASE("a report refused for a higher fencing token ends the term")
{
  usage_fixture test;
  auto reporter = test.MakeReporter();
  test.duties.answer = duty_status::Conflict;
  test.loop.Advance(milliseconds(9'000));
  reporter->Tick();
  CHECK(test.superseded > 0);
}

// Load pattern: the service may grow to more targets than it has.
TEST_CASE("targets are ordered once, and again when some are missing")
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
