#include "arbutusferry/json.hpp"

#include "support/leading_pair.hpp"
#include "wire_format.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;

namespace {

constexpr const char* kManifest = R"({"version":1,"routes":[
  {"name":"b","host":"h","path-prefix":"/b/","kind":"rollout",
   "service":"models","max-attempts":3,"retention-s":60}],
 "services":[{"name":"models","engine":{"models":[{"name":"m"}]}}],
 "tenants":[{"name":"acme","api-keys":["acme-key"]},
            {"name":"birch","api-keys":["birch-key"]}]})";

/// The same with a route for batches and a plain one that need no key.
constexpr const char* kOpenManifest = R"({"version":2,"routes":[
  {"name":"b","host":"h","path-prefix":"/b/","kind":"rollout",
   "service":"models","max-attempts":3,"retention-s":60},
  {"name":"o","host":"h","path-prefix":"/o/","kind":"rollout",
   "service":"models","max-attempts":3,"retention-s":60,"skip-auth":true},
  {"name":"p","host":"h","path-prefix":"/p/","kind":"idempotent",
   "service":"desk","skip-auth":true}],
 "services":[{"name":"models","engine":{"models":[{"name":"m"}]}},
             {"name":"desk"}],
 "tenants":[{"name":"acme","api-keys":["acme-key"]},
            {"name":"birch","api-keys":["birch-key"]}]})";

http_request
MakeCall(const char* aMethod, std::string aTarget, const std::string& aKey)
{
  http_request request;
  request.method = aMethod;
  request.target = std::move(aTarget);
  request.headers = { { "Host", "h" } };
  if (!aKey.empty()) {
    request.headers.Add("Authorization", "Bearer " + aKey);
  }
  return request;
}

http_request
MakeSubmission(const std::string& aId,
               const std::string& aPath,
               const std::string& aKey)
{
  http_request request = MakeCall("POST", aPath, aKey);
  request.headers.Add(platform::kRequestId, aId);
  request.body = R"({"step":1,"model":"m","min-version":1,"target-count":1,)"
                 R"("items":[{"id":"i-)" +
                 aId + R"(","path":")" + aPath +
                 R"(","headers":{},"body":"AAAA","tokens":9,"group":"g"}]})";
  return request;
}

} // namespace

// Guards against a caller that names another tenant in a header of the nodes'
// own messages, and runs items or reads and ends batches in its name.
TEST_CASE("the key alone decides for which tenant a batch call is made")
{
  const bool atLeader = GENERATE(true, false);
  const std::string header =
    GENERATE("Ferry-Tenant", "ferry-tenant", "FERRY-TENANT");
  CAPTURE(atLeader, header);
  leading_pair test(kManifest);
  CHECK(
    test.Call(atLeader, MakeSubmission("own", "/b/x", "birch-key")).status ==
    202);
  http_request submission = MakeSubmission("foreign", "/b/x", "acme-key");
  submission.headers.Add(header, "birch");
  submission.headers.Add("Ferry-Route", "other");
  CHECK(test.Call(atLeader, submission).status == 202);
  const batch* accepted = test.Batches().Find("foreign", "acme");
  REQUIRE(accepted);
  CHECK(accepted->Request().route == "b");
  for (const char* method : { "GET", "DELETE" }) {
    http_request call = MakeCall(method, "/lots/own?after=0", "acme-key");
    call.headers.Add(header, "birch");
    CHECK(test.Call(atLeader, call).status == 404);
  }
  CHECK_FALSE(test.Batches().Find("own", "birch")->Ended());
}

// Guards against headers of a caller's connection in a message between nodes,
// whose framing they contradict.
TEST_CASE("a message to the leader holds only the headers that it needs")
{
  leading_pair test(kManifest);
  http_request submission = MakeSubmission("b1", "/b/x", "acme-key");
  submission.headers.Add("Transfer-Encoding", "chunked");
  submission.headers.Add("Expect", "100-continue");
  submission.headers.Add("Connection", "close");
  submission.headers.Add("X-Other", "1");
  CHECK(test.Call(false, submission).status == 202);
  REQUIRE_FALSE(test.messages.empty());
  std::vector<std::string> names;
  for (const auto& [name, value] : test.messages.back().headers) {
    names.push_back(name);
  }
  CHECK(names ==
        std::vector<std::string>{
          "Host", platform::kRequestId, "Ferry-Tenant", "Ferry-Route" });
}

// Guards against a message whose tenant can be read in two ways.
TEST_CASE("a message between nodes names one tenant and one route")
{
  leading_pair test(kManifest);
  const std::vector<header_list> heads{
    { { "Ferry-Route", "b" } },
    { { "Ferry-Tenant", "acme" } },
    { { "Ferry-Tenant", "birch" },
      { "Ferry-Tenant", "acme" },
      { "Ferry-Route", "b" } },
  };
  for (const header_list& head : heads) {
    http_request message = MakeSubmission("b1", "/b/x", {});
    for (const auto& [name, value] : head) {
      message.headers.Add(name, value);
    }
    CHECK(test.CallAsNode(message).status == 400);
  }
  CHECK_FALSE(test.Batches().Find("b1", "acme"));
  CHECK_FALSE(test.Batches().Find("b1", "birch"));
}

// Guards against a batch on an open route that was accepted for no tenant, so
// that its tenant could neither read nor end it.
TEST_CASE("a batch on an open route belongs to the tenant of its key")
{
  const bool atLeader = GENERATE(true, false);
  CAPTURE(atLeader);
  leading_pair test(kManifest);
  test.SetManifest(kOpenManifest, 2);
  test.AddSampler();
  CHECK(test.Call(atLeader, MakeSubmission("b1", "/o/x", "acme-key")).status ==
        202);
  test.loop.Advance(std::chrono::milliseconds(100));
  REQUIRE_FALSE(test.toTargets.empty());
  CHECK(test.toTargets.back()->request.headers.Get("Arbutusferry-Tenant") ==
        "acme");
  for (const bool readAtLeader : { true, false }) {
    const auto read = [&](const char* aTarget, const std::string& aKey) {
      return test.Call(readAtLeader, MakeCall("GET", aTarget, aKey)).status;
    };
    CHECK(read("/lots/b1?after=0", "acme-key") == 200);
    CHECK(read("/items/b1?id=i-b1", "acme-key") == 200);
    CHECK(read("/lots/b1?after=0", "birch-key") == 404);
    CHECK(read("/lots/b1?after=0", {}) == 401);
    CHECK(read("/lots/b1?after=0", "unknown") == 401);
  }
  CHECK(test.Call(atLeader, MakeCall("DELETE", "/lots/b1", {})).status == 401);
  CHECK(
    test.Call(atLeader, MakeCall("DELETE", "/lots/b1", "acme-key")).status ==
    200);
}

// Guards against a batch that nobody can read, since it was accepted without a
// key, and reads need one.
TEST_CASE("a batch that was submitted without a key is open to all")
{
  const bool atLeader = GENERATE(true, false);
  CAPTURE(atLeader);
  leading_pair test(kManifest);
  test.SetManifest(kOpenManifest, 2);
  CHECK(test.Call(atLeader, MakeSubmission("b1", "/b/x", {})).status == 401);
  CHECK(test.Call(atLeader, MakeSubmission("b1", "/o/x", {})).status == 202);
  const auto read = [&](const std::string& aKey) {
    return test.Call(atLeader, MakeCall("GET", "/lots/b1?after=0", aKey))
      .status;
  };
  CHECK(read({}) == 200);
  CHECK(read("birch-key") == 200);
  CHECK(test.Call(atLeader, MakeCall("GET", "/items/b1?id=i-b1", {})).status ==
        200);
  CHECK(test.Call(atLeader, MakeCall("GET", "/items/b1?id=none", {})).status ==
        404);
  // Once the route is closed, a key is needed, and any is enough.
  std::string closed = kManifest;
  closed.replace(closed.find("\"version\":1"), 11, "\"version\":3");
  test.SetManifest(closed, 3);
  CHECK(read({}) == 401);
  CHECK(read("birch-key") == 200);
  CHECK(
    test.Call(atLeader, MakeCall("DELETE", "/lots/b1", "acme-key")).status ==
    200);
}

// Guards against plain requests on open routes that run for another tenant than
// that of their key, or for one that they only name.
TEST_CASE("a request on an open route runs for the tenant of its key, if any")
{
  leading_pair test(kManifest);
  test.SetManifest(kOpenManifest, 2);
  test.AddPlainTarget();
  const std::vector<std::pair<std::string, std::string>> tenantOfKey{
    { "acme-key", "acme" }, { "unknown", "" }, { "", "" }
  };
  for (const auto& [key, tenant] : tenantOfKey) {
    CAPTURE(key);
    test.toTargets.clear();
    http_request request = MakeCall("GET", "/p/x", key);
    request.headers.Add(platform::kRequestId, "r-" + key);
    request.headers.Add("Arbutusferry-Tenant", "birch");
    const auto answer = test.Send(true, request);
    REQUIRE(test.toTargets.size() == 1);
    test.toTargets.front()->Answer(200,
                                   { { "Arbutusferry-Server-Stamp", "s" } });
    CHECK(answer->response.status == 200);
    const header_list& headers = test.toTargets.front()->request.headers;
    CHECK(headers.Get("Arbutusferry-Tenant") == tenant);
    CHECK_FALSE(headers.Find("Authorization"));
  }
}
