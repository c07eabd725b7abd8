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
  CHECK(test.Call(atLeader, std::move(submission)).status == 202);
  const batch* accepted = test.Batches().Find("foreign", "acme");
  REQUIRE(accepted);
  CHECK(accepted->Request().route == "b");
  for (const char* method : { "GET", "DELETE" }) {
    http_request call = MakeCall(method, "/lots/own?after=0", "acme-key");
    call.headers.Add(header, "birch");
    CHECK(test.Call(atLeader, std::move(call)).status == 404);
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
  CHECK(test.Call(false, std::move(submission)).status == 202);
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
    CHECK(test.CallAsNode(std::move(message)).status == 400);
  }
  CHECK_FALSE(test.Batches().Find("b1", "acme"));
  CHECK_FALSE(test.Batches().Find("b1", "birch"));
}
