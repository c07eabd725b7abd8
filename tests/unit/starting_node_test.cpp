#include "net/memory_budget.hpp"
#include "request_handlers.hpp"

#include "http_protocols.hpp"
#include "record_observers.hpp"
#include "registry/node_targets.hpp"
#include "support/ignored_duties.hpp"
#include "support/node_fakes.hpp"
#include "wire_format.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::platform;
using namespace arbutusferry::node;

namespace {

constexpr const char* kManifest = R"({"version":7,"routes":[
  {"name":"a","host":"h","path-prefix":"/a/","kind":"idempotent",
   "timeout-ms":2000,"max-attempts":2,"skip-auth":false,
   "backends":[{"service":"s","weight":1}]}],
 "services":[{"name":"s","scaling":{"min":1,"max":8,"boot-timeout-s":4.0}}],
 "tenants":[{"name":"t","api-keys":["k"],"priority":1}]})";

struct starting_node
{
  [[nodiscard]] http_response Call(const std::string& aPath,
                                   const std::string& aKey)
  {
    http_request request;
    request.method = "GET";
    request.target = aPath;
    request.headers = { { "Host", "h" },
                        { "Authorization", "Bearer " + aKey },
                        { kRequestId, "r1" } };
    const auto out = std::make_shared<recording_responder>();
    callers.Handle(std::move(request), out);
    return out->response;
  }
  [[nodiscard]] int Ready()
  {
    const auto out = std::make_shared<recording_responder>();
    readiness.Handle({}, out);
    return out->response.status;
  }
  void AddTarget()
  {
    target_entry target;
    target.id = "t";
    target.service = "s";
    target.address = { "10.0.0.1", 80 };
    node.UpdateTarget(target);
  }
  static node_settings Settings()
  {
    node_settings settings;
    settings.vm = "vm";
    settings.zone = "z";
    settings.peerAddress = { "10.0.1.1", 1 };
    settings.zones = { "z" };
    return settings;
  }

  manual_loop loop;
  memory_store store;
  memory_log log{ loop, store };
  scripted_client client;
  http_target_protocol targets;
  http_caller_protocol protocol;
  ignored_duties duties;
  ferry_node node{ { loop, client, log, targets, protocol, duties },
                   Settings() };
  batch_handler batches{ node, client };
  caller_handler callers{ node, batches };
  memory_budget budget{ std::size_t{ 64 } << 20 };
  readiness_handler readiness{ node, budget };
  operator_record_observer observer{ node };
};

} // namespace

// Guards against a 404 or 401 for a route or key that only the newest document
// has, while a starting node has read an older one.
TEST_CASE("a node refuses nothing for good before it has read the environment")
{
  starting_node test;
  test.AddTarget();
  const std::string manifest = kManifest;
  test.observer.OnRecord("config", &manifest, 3);
  for (const char* path : { "/a/x", "/none" }) {
    for (const char* key : { "k", "wrong" }) {
      const http_response response = test.Call(path, key);
      CHECK(response.status == 503);
      CHECK_FALSE(response.headers.Get("Retry-After").empty());
    }
  }
  CHECK(test.client.requests.empty());
  CHECK(test.Ready() == 503);
  test.observer.OnCaughtUp();
  CHECK(test.Call("/none", "k").status == 404);
  CHECK(test.Call("/a/x", "wrong").status == 401);
  CHECK(test.Ready() == 200);
}

// Guards against a start that takes a small deployment for a large one, or the
// reverse, before it has read the targets.
TEST_CASE("the operator's maximum stands for targets that aren't known yet")
{
  starting_node test;
  const node_targets targets(test.node);
  CHECK(targets.Size(80.0).targets == 0);
  const std::string manifest = kManifest;
  test.observer.OnRecord("config", &manifest, 3);
  CHECK(targets.Size(80.0).targets == 8);
  CHECK(targets.Size(80.0).nodes == 1);
  test.AddTarget();
  CHECK(targets.Size(80.0).targets == 1);
  CHECK(targets.Present().size() == 1);
  test.node.RemoveTarget("t");
  CHECK(targets.Present().empty());
}
