#include "arbutusferry/node/version_plan.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
const std::set<std::string> kModels{ "a", "b", "c" };

std::vector<version_plan::sampler>
Samplers(int aCount)
{
  std::vector<version_plan::sampler> samplers;
  for (int index = 0; index < aCount; ++index) {
    version_plan::sampler entry;
    entry.id = "s" + std::to_string(100 + index);
    entry.versions = { { "a", 1 }, { "b", 1 }, { "c", 1 } };
    samplers.push_back(entry);
  }
  return samplers;
}

std::map<std::string, int>
Counts(const version_plan& aPlan,
       const std::vector<version_plan::sampler>& aSamplers)
{
  std::map<std::string, int> counts;
  for (const auto& entry : aSamplers) {
    ++counts[aPlan.AssignedModel(entry.id)];
  }
  return counts;
}

} // namespace

TEST_CASE("samplers are divided evenly and keep their models")
{
  version_plan plan;
  auto samplers = Samplers(11);
  plan.Assign(samplers, kModels);
  for (const auto& [model, count] : Counts(plan, samplers)) {
    CHECK(count >= 3);
    CHECK(count <= 4);
  }
  std::map<std::string, std::string> before;
  for (const auto& entry : samplers) {
    before[entry.id] = plan.AssignedModel(entry.id);
  }
  // Two leave and one comes: at most one of the others changes its model.
  samplers.erase(samplers.begin(), samplers.begin() + 2);
  samplers.push_back(Samplers(12).back());
  plan.Assign(samplers, kModels);
  const auto moved =
    std::count_if(samplers.begin(), samplers.end(), [&](const auto& aEntry) {
      return before.contains(aEntry.id) &&
             before[aEntry.id] != plan.AssignedModel(aEntry.id);
    });
  CHECK(moved <= 1);
}

// Load pattern: a new leader finds samplers that hold different versions.
TEST_CASE("a sampler is assigned to the model whose weights it has")
{
  version_plan plan;
  for (const std::string& model : kModels) {
    plan.SetNewestVersion(model, 6);
  }
  auto samplers = Samplers(3);
  samplers[0].versions["c"] = 6;
  samplers[1].versions["a"] = 6;
  samplers[2].versions["b"] = 6;
  plan.Assign(samplers, kModels);
  CHECK(plan.AssignedModel("s100") == "c");
  CHECK(plan.AssignedModel("s101") == "a");
  CHECK(plan.AssignedModel("s102") == "b");
  CHECK(plan.Orders(samplers, {}, kStart).empty());
}

TEST_CASE("the newest version of a model never decreases")
{
  version_plan plan;
  CHECK(plan.SetNewestVersion("a", 3));
  CHECK_FALSE(plan.SetNewestVersion("a", 2));
  CHECK_FALSE(plan.SetNewestVersion("a", 3));
  CHECK(plan.NewestVersion("a") == 3);
  CHECK(plan.NewestVersion("b") == 1);
}

// Load pattern: new weights for all samplers of a model at once.
TEST_CASE("few samplers load at a time, the one furthest behind first")
{
  version_plan plan;
  auto samplers = Samplers(6);
  plan.Assign(samplers, { "a" });
  plan.SetNewestVersion("a", 4);
  samplers[3].versions["a"] = 0;
  auto orders = plan.Orders(samplers, {}, kStart);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].sampler == samplers[3].id);
  CHECK(orders[0].version == 4);
  samplers[0].loading = true;
  samplers[1].loading = true;
  CHECK(plan.Orders(samplers, {}, kStart).empty());
  samplers[0].loading = samplers[1].loading = false;
  samplers[3].notBefore = kStart + milliseconds(500);
  samplers[4].usable = false;
  orders = plan.Orders(samplers, {}, kStart);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].sampler != samplers[3].id);
  CHECK(orders[1].sampler != samplers[4].id);
}

// Load pattern: two models publish versions at the same time, and the step of
// the one whose samplers are less far behind waits. Guards against a step that
// starts seconds late because the other model's samplers load first.
TEST_CASE("samplers load first for the model whose items wait")
{
  version_plan plan;
  auto samplers = Samplers(6);
  plan.Assign(samplers, { "a", "b" });
  plan.SetNewestVersion("a", 9);
  plan.SetNewestVersion("b", 3);
  const auto orders =
    plan.Orders(samplers, { { "b", { .waiting = 40, .slots = 0 } } }, kStart);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].model == "b");
  CHECK(orders[1].model == "b");
}

// Load pattern: two models publish versions at the same time, and few items
// wait. Guards against all loads going to one model while another has none.
TEST_CASE("an order's slots are subtracted from the items that wait")
{
  version_plan plan;
  auto samplers = Samplers(6);
  plan.Assign(samplers, { "a", "b" });
  plan.SetNewestVersion("a", 3);
  plan.SetNewestVersion("b", 3);
  std::map<std::string, version_plan::demand> demands{
    { "a", { .waiting = 20, .slots = 0 } },
    { "b", { .waiting = 16, .slots = 0 } }
  };
  for (auto& entry : samplers) {
    entry.slots = 12;
  }
  const auto orders = plan.Orders(samplers, demands, kStart);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].model == "a");
  CHECK(orders[1].model == "b");
}

// Load pattern: no step waits. Guards against a model that has no sampler with
// its newest weights when its next step comes.
TEST_CASE("without waiting items the model with the fewest current samplers "
          "loads first")
{
  version_plan plan;
  auto samplers = Samplers(6);
  plan.Assign(samplers, { "a", "b" });
  plan.SetNewestVersion("a", 8);
  plan.SetNewestVersion("b", 3);
  for (auto& entry : samplers) {
    entry.versions["b"] = 2;
  }
  // One sampler of `a` has its newest weights.
  const auto current =
    std::find_if(samplers.begin(), samplers.end(), [&](const auto& aEntry) {
      return plan.AssignedModel(aEntry.id) == "a";
    });
  current->versions["a"] = 8;
  const auto orders = plan.Orders(samplers, {}, kStart);
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].model == "b");
}

// Load pattern: most samplers name limits. Guards against a model whose items
// wait because all of its samplers are limited.
TEST_CASE("samplers are divided by capacity when some are limited")
{
  version_plan plan;
  auto samplers = Samplers(12);
  for (auto& entry : samplers) {
    entry.capacity = 16;
  }
  plan.Assign(samplers, kModels);
  std::map<std::string, int> capacities;
  for (auto& entry : samplers) {
    entry.capacity = plan.AssignedModel(entry.id) == "a" ? 2 : 16;
  }
  plan.Assign(samplers, kModels);
  for (const auto& entry : samplers) {
    capacities[plan.AssignedModel(entry.id)] += entry.capacity;
  }
  for (const auto& [model, capacity] : capacities) {
    CAPTURE(model);
    CHECK(capacity >= 34);
  }
  // Repeated divisions move nothing.
  std::map<std::string, std::string> before;
  for (const auto& entry : samplers) {
    before[entry.id] = plan.AssignedModel(entry.id);
  }
  plan.Assign(samplers, kModels);
  for (const auto& entry : samplers) {
    CHECK(before[entry.id] == plan.AssignedModel(entry.id));
  }
}
