#include "support/overload_model.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutusferry;
using namespace arbutusferry::node;

// Guards against an estimate that needs many responses per node: each of 330
// nodes sends two requests a second.
TEST_CASE("the estimate holds for 330 nodes")
{
  overload load;
  load.nodes = 330;
  load.admission = [](event_loop& aLoop, metrics_registry& aMetrics) {
    return std::make_unique<node_admission>(aLoop, aMetrics);
  };
  overload_model model(load);
  const double capacity = 6 * model.Capacity();
  model.Run();
  const double inTime = model.byPriority.at(0).inTime / capacity;
  std::sort(model.answered.begin(), model.answered.end());
  const duration median = model.answered.at(model.answered.size() / 2);
  std::cout << "seed " << load.seed << ": " << inTime
            << " of the capacity in time, median " << ToMilliseconds(median)
            << " ms\n";
  CHECK(inTime >= 0.85);
  CHECK(median <= overload_model::kLatencyTarget);
}
