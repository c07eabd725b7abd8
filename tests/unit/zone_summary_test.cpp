#include "control/zone_view.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace std::chrono_literals;

// Guards against targets of another zone that never get a weight version: they
// take no versioned work, so a step stalls when the own zone's engine crashes.
TEST_CASE("An entry learns the weight versions of another zone's targets")
{
  target_info target;
  target.id = "far";
  target.zone = "z2";
  target.targetClass = "c";
  target.address = "127.0.0.1:1";
  target.slots = 2;
  zone_view near("vm1", "z1", "i1");
  zone_view far("vm2", "z2", "i2");
  near.SetTargets({ target });
  far.SetTargets({ target });
  far.SetLoad({ "far", 3, 1, 7 }, true);

  zone_summary_response sent;
  far.FillSummary(sent, {});
  const auto received =
    ReadZoneSummaryResponse(WriteZoneSummaryResponse(sent), "test").value();
  near.OnSummary(received, time_point{ 1s });
  node_sync_response answer;
  near.FillEntryAnswer(answer, std::nullopt);
  REQUIRE(answer.targets.size() == 1);
  CHECK(answer.targets[0].weightVersion == 7);
  CHECK(answer.targets[0].running == 3);

  // Loads that a zone reports for targets of other zones are ignored.
  zone_summary_response other;
  other.zone = "z3";
  other.loads = { { "far", 0, 0, 9 } };
  near.OnSummary(other, time_point{ 2s });
  node_sync_response later;
  near.FillEntryAnswer(later, std::nullopt);
  CHECK(later.targets.at(0).weightVersion == 7);
}
