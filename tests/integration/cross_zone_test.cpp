#include "support/harness.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using harness::Call;
using harness::WaitUntil;

// Callers of a zone without targets must be served by targets of another zone.
TEST_CASE("an entry uses targets of another zone when its own has none")
{
  harness::cluster_options options;
  options.zones = 2;
  harness::cluster cluster(options);
  // Allows targets in the second zone only, so that none is ordered for the
  // first.
  Json::Value document = harness::ExampleDocument("shop", 2);
  for (Json::Value& entry : document["targets"]) {
    entry["zones"][0]["min_protected"] = 0;
    entry["zones"][0]["max"] = 0;
  }
  cluster.AddTarget("z2", "sampler", target_kind::Engine, 8);
  cluster.AddTarget("z2", "desk", target_kind::Service, 8);
  cluster.PublishLists();
  cluster.Apply(document);
  const std::string key = cluster.Grant("acme");
  cluster.WaitUntilReady();
  harness::http_reply last;
  WaitUntil("the entry of the first zone serves", [&] {
    last = Call(cluster.EntryAddress(0), "/quotes", "x", key);
    return last.status == 200;
  });
  CHECK(last.Outcome() == "answered");
}
