#include "harness.hpp"

#include <set>

/// The operator adds a route while the leader's connection for the operator's
/// records is silent. A batch that another node accepts on the new route must
/// run.

namespace {

using namespace review;

verdict
Scenario(rig& aRig)
{
  Json::Value routes(Json::arrayValue);
  routes.append(MakeRoute("batches", "/b/", "rollout", "models"));
  aRig.PutRecord("keyed.op", "config", ToJsonText(MakeManifest(3, routes)));
  std::set<std::string> reached;
  for (const char* id : { "s1", "s2" }) {
    sampler& added = aRig.AddSampler(id, "models", "zone-a", 16, { "m0" });
    aRig.OnLoop([&] {
      added.plan = [&](const node::http_request& aRequest) {
        reached.insert(
          std::string(aRequest.headers.Get("Arbutusferry-Request-Id")));
        run_plan made;
        made.events.assign(20, "event");
        made.eventGapMs = 10;
        return made;
      };
    });
  }
  silent_proxy* proxy = nullptr;
  node_process& first = aRig.AddNodeBehindProxy("vm-1", "zone-a", proxy);
  first.Start();
  if (!aRig.AwaitLeader(15'000)) {
    return verdict::NotRun;
  }
  node_process& second = aRig.AddNode("vm-2", "zone-b");
  second.Start();
  if (!second.AwaitReady(10'000)) {
    return verdict::NotRun;
  }
  SleepMs(1'500);
  if (Trouble()) {
    std::pair<std::size_t, std::size_t> counts;
    aRig.OnLoop([&] { counts = proxy->Silence("topic=keyed.op"); });
    aRig.record.Note(std::to_string(counts.first) + " of " +
                     std::to_string(counts.second) +
                     " connections of vm-1 to the store fall silent");
    if (counts.first == 0) {
      return verdict::NotRun;
    }
  }
  routes.append(MakeRoute("added", "/n/", "rollout", "models"));
  aRig.PutRecord("keyed.op", "config", ToJsonText(MakeManifest(4, routes)));
  aRig.record.Note("the store acknowledges manifest 4, which adds a route");
  SleepMs(200);
  Json::Value items(Json::arrayValue);
  for (const char* id : { "i-1", "i-2", "i-3" }) {
    items.append(MakeItem(id, std::string("/n/") + id, "m0", "prompt"));
  }
  batch_client batch(aRig, kHost, "key-acme", "/n/", "7c41e09b52d6a3f8");
  const answer accepted = batch.Submit(second, items, "m0");
  if (accepted.status != 202) {
    aRig.record.Note("the batch was not accepted");
    return Trouble() ? verdict::Held : verdict::NotRun;
  }
  std::map<std::string, std::string> states;
  const std::int64_t until = NowMs() + 10'000;
  while (states.size() < 3 && NowMs() < until) {
    const answer page = batch.Results(second, states.size());
    const Json::Value parsed = FromJsonText(page.body);
    for (const Json::Value& entry : parsed["results"]) {
      states[entry["id"].asString()] = entry["state"].asString();
    }
  }
  bool broken = false;
  for (const auto& [id, state] : states) {
    bool ran = false;
    aRig.OnLoop([&] { ran = reached.contains(id); });
    if (state == "errored") {
      aRig.record.Note(
        "MIXED: " + id + " is errored, and " +
        (ran ? "no sampler answered 500 or 422" : "has reached no sampler") +
        "; its route exists and its batch is open");
      broken = true;
    }
  }
  if (!broken && states.size() < 3) {
    return verdict::NotRun;
  }
  if (broken) {
    (void)batch.Body(second, "i-1");
  }
  return broken ? verdict::Broken : verdict::Held;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Scenario);
}
