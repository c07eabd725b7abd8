#include "support/sample_environment.hpp"

#include <catch2/catch.hpp>
#include <functional>

using namespace arbutusferry;

namespace {

std::string
Problem(const Json::Value& aValue)
{
  const auto outcome =
    Capture([&] { return ReadEnvironment(aValue, "env.json"); });
  if (outcome.index() == 0) {
    return "";
  }
  CHECK(std::get<1>(outcome).peer == "env.json");
  return std::get<1>(outcome).message;
}

} // namespace

// Guards against two processes that disagree on the hash of one document,
// which would make every promotion void.
TEST_CASE("The canonical form is stable and does not depend on order")
{
  const environment_document document = SampleEnvironment();
  const Json::Value canonical = WriteEnvironment(document);
  const auto parsed = ParseJson(WriteJson(canonical), "x").value();
  const auto again = ReadEnvironment(parsed, "x").value();
  CHECK(WriteEnvironment(again) == canonical);
  CHECK(EnvironmentHash(again) == EnvironmentHash(document));
  environment_document reordered = document;
  std::swap(reordered.teams[0], reordered.teams[1]);
  std::swap(reordered.routes[0], reordered.routes[3]);
  CHECK(EnvironmentHash(reordered) == EnvironmentHash(document));
  reordered.teams[0].share += 0.001;
  CHECK(EnvironmentHash(reordered) != EnvironmentHash(document));
}

// Guards against a document that is accepted although a part of it would be
// ignored or refers to nothing.
TEST_CASE("Invalid documents are rejected with the name of the field")
{
  using edit = std::function<void(Json::Value&)>;
  const std::vector<std::pair<edit, std::string>> cases = {
    { [](auto& aV) { aV["tenant"] = 1; }, "\"tenant\"" },
    { [](auto& aV) { aV["environment"] = "a b"; }, "\"environment\"" },
    { [](auto& aV) { aV["tenants"][0]["share"] = 0; }, "\"tenants[0].share\"" },
    { [](auto& aV) { aV["tenants"][1]["name"] = "north"; },
      "\"tenants[1].name\"" },
    { [](auto& aV) { aV["models"][0]["target_class"] = "x"; },
      "\"models[0].target_class\"" },
    { [](auto& aV) { aV["routes"][0]["model"] = "x"; }, "\"routes[0].model\"" },
    { [](auto& aV) { aV["routes"][0]["target_class"] = "desk"; },
      "\"routes[0].target_class\"" },
    { [](auto& aV) { aV["routes"][1]["idempotent"] = false; },
      "\"routes[1].idempotent\"" },
    { [](auto& aV) { aV["routes"][2]["tenants"][0] = "x"; },
      "\"routes[2].tenants\"" },
    { [](auto& aV) { aV["routes"][2]["path"] = "/orders/../x"; },
      "\"routes[2].path\"" },
    { [](auto& aV) { aV["routes"][2]["path"] = "/v1/x"; },
      "\"routes[2].path\"" },
    { [](auto& aV) { aV["routes"][3]["path"] = "/orders"; },
      "\"routes[3].path\"" },
    { [](auto& aV) { aV["routes"][3]["access"] = "all"; },
      "\"routes[3].access\"" },
    { [](auto& aV) { aV["routes"][3].removeMember("access"); },
      "\"routes[3].access\"" },
    { [](auto& aV) { aV["routes"][3]["tenants"].append("north"); },
      "\"routes[3].tenants\"" },
    { [](auto& aV) { aV["targets"][0]["zones"][1]["zone"] = "a"; },
      "\"targets[0].zones[1].zone\"" },
    { [](auto& aV) { aV["targets"][1]["zones"][0]["max"] = 0; },
      "\"targets[1].zones[0].max\"" },
    { [](auto& aV) { aV["usage"]["window_s"] = 0; }, "\"usage.window_s\"" },
    { [](auto& aV) { aV["isolation"]["x"] = 0; }, "\"isolation.x\"" },
  };
  CHECK(Problem(SampleEnvironmentJson()).empty());
  for (const auto& [change, field] : cases) {
    Json::Value value = SampleEnvironmentJson();
    change(value);
    CHECK_THAT(Problem(value), Catch::Contains(field));
  }
}

// Guards against an escaped or relative path that reaches a keyed service by
// an open route.
TEST_CASE("Service routes match whole segments and only plain paths")
{
  const environment_document document = SampleEnvironment();
  const auto route = [&](const char* aPath) {
    const route_config* found = document.FindServiceRoute(aPath);
    return found == nullptr ? std::string() : found->name;
  };
  CHECK(route("/orders") == "orders");
  CHECK(route("/orders/7?x=1") == "orders");
  CHECK(route("/orders/quotes/7%20a/") == "quotes");
  CHECK(route("/ordersx").empty());
  for (const char* path : { "/orders/quotes/../7",
                            "/orders/quotes/%2e%2E/7",
                            "/orders/quotes%2f%252e%252e/7",
                            "/orders//quotes",
                            "/orders/%71uotes",
                            "/orders/quotes/..\\x",
                            "orders",
                            "" }) {
    CAPTURE(path);
    CHECK(route(path).empty());
  }
}
