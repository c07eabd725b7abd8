#include "support/harness.hpp"

#include "common/token_sequence.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace arbutusferry;
using harness::child_process;
using harness::Parse;
using harness::Send;
using harness::SendJson;

// Other tests rely on the requests that the service records: these must show
// whether a request ran, independent of the response that the caller got.
TEST_CASE("the proxy injects each fault and the service records what ran")
{
  child_process service("service", "fake-service", {});
  child_process proxy("proxy", "fault-proxy", { "--to=" + service.Address() });
  const std::string admin = proxy.Ready()["admin"].asString();
  const auto fault = [&](const std::string& aText) {
    SendJson(admin, "PUT", "/fault", Parse(aText));
  };
  const auto total = [&] {
    return SendJson(service.Address(), "GET", "/admin/seen")["total"].asInt();
  };

  CHECK(Send(proxy.Address(), "POST", "/a", "one").status == 200);
  CHECK(total() == 1);

  fault(R"({"mode":"reset_after","bytes":10,"count":1})");
  CHECK(Send(proxy.Address(), "POST", "/a", "two").status == 0);
  CHECK(total() == 1);
  CHECK(Send(proxy.Address(), "POST", "/a", "three").status == 200);

  fault(R"({"mode":"lose_answer"})");
  CHECK(Send(proxy.Address(), "POST", "/a", "four").status == 0);
  CHECK(total() == 3);

  fault(R"({"mode":"truncate","bytes":80})");
  CHECK(Send(proxy.Address(), "POST", "/a", "five").status == 0);
  CHECK(total() == 4);

  fault(R"({"mode":"refuse"})");
  CHECK(Send(proxy.Address(), "POST", "/a", "six").status == 0);
  CHECK(total() == 4);

  // Bytes held back during a network partition arrive after it, as on a real
  // network.
  fault(R"({"mode":"cut"})");
  int lateStatus = 0;
  std::thread late(
    [&] { lateStatus = Send(proxy.Address(), "POST", "/a", "seven").status; });
  fault(R"({"mode":"pass"})");
  late.join();
  CHECK(lateStatus == 200);
  CHECK(total() == 5);
  CHECK(proxy.Terminate() == 0);
  CHECK(service.Terminate() == 0);
}

TEST_CASE("the engine streams, swaps weights and injects faults")
{
  child_process engine("engine", "fake-engine", { "--tokens_per_s=2000" });
  const auto complete = [&] {
    return Send(engine.Address(),
                "POST",
                "/v1/completions",
                R"({"prompt":"p","seed":7,"max_tokens":10,"stream":true})",
                { { "X-Request-Id", "r1" } });
  };
  const auto setBehavior = [&](const std::string& aText) {
    SendJson(engine.Address(), "PUT", "/admin/behavior", Parse(aText));
  };
  harness::http_reply reply = complete();
  CHECK(reply.status == 200);
  CHECK(reply.headers["X-Request-Id"] == "r1");
  CHECK(reply.body.find("\"weight_version\":1") != std::string::npos);
  CHECK(reply.body.find("[DONE]") != std::string::npos);
  CHECK(reply.body.find(standin::TokenText(standin::TokenAt("p", 7, 9))) !=
        std::string::npos);

  setBehavior(R"({"swap_after_tokens":4})");
  reply = complete();
  CHECK(reply.body.find("\"weight_version\":1") != std::string::npos);
  CHECK(reply.body.find("\"weight_version\":2") != std::string::npos);

  setBehavior(R"({"truncate_after":4,"fault_count":1})");
  CHECK(complete().status == 0);
  CHECK(complete().status == 200);

  setBehavior(
    R"({"truncate_after":-1,"drop_version_labels":true,"fault_count":1})");
  CHECK(complete().body.find("weight_version") == std::string::npos);

  const auto swap = [&](const std::string& aText) {
    return Send(engine.Address(), "POST", "/admin/weights", aText).status;
  };
  CHECK(swap(R"({"fencing":5,"model":"m","version":3})") == 200);
  CHECK(swap(R"({"fencing":4,"model":"m","version":4})") == 409);
  setBehavior(R"({"fail_swaps":1})");
  CHECK(swap(R"({"fencing":5,"model":"m","version":4})") == 500);
  CHECK(swap(R"({"fencing":5,"model":"m","version":4})") == 200);

  setBehavior(R"({"crash_after_tokens":4})");
  CHECK(complete().status == 0);
  CHECK(engine.WaitForExit() == 134);
}

TEST_CASE("the platform injects lost answers, log truncation and outages")
{
  child_process platform("platform", "fake-platform", { "--views=1" });
  const std::string address = platform.Address();
  const auto append = [&](const std::string& aId) {
    return Send(address,
                "POST",
                "/log/append",
                R"({"id":")" + aId + R"(","record":{"type":"x"}})")
      .status;
  };
  const auto read = [&](int aFrom) {
    return Send(
      address, "GET", "/log/read?limit=10&from=" + std::to_string(aFrom));
  };
  CHECK(append("a") == 200);
  SendJson(
    address, "PUT", "/admin/faults", Parse(R"({"append_answers_lost":1})"));
  CHECK(append("b") == 0);
  CHECK(read(0).Parsed()["records"].size() == 2);
  SendJson(address, "PUT", "/admin/faults", Parse(R"({"retain":1})"));
  CHECK(read(0).status == 410);
  CHECK(read(0).Parsed()["first"].asInt() == 1);
  SendJson(address, "PUT", "/admin/faults", Parse(R"({"log":"down"})"));
  CHECK(append("c") == 503);
  CHECK(read(1).status == 503);
  SendJson(address, "PUT", "/admin/faults", Parse(R"({"log":"up"})"));

  const auto order = [&](int aFencing, const std::string& aStop) {
    return Send(address,
                "PUT",
                "/orders/z1",
                R"({"order_id":"o","fencing":)" + std::to_string(aFencing) +
                  R"(,"counts":[{"class":"sampler","pool":"protected",)"
                  R"("count":1}],"stop":[)" +
                  aStop + "]}")
      .status;
  };
  CHECK(order(5, "") == 200);
  CHECK(order(4, "") == 409);
  Json::Value targets = SendJson(address, "GET", "/targets")["targets"];
  REQUIRE(targets.size() == 1);
  const std::string first = targets[0]["address"].asString();
  CHECK(Send(first, "GET", "/load").status == 200);
  CHECK(order(6, "\"" + targets[0]["id"].asString() + "\"") == 200);
  CHECK(Send(first, "GET", "/load").status == 0);
  targets = SendJson(address, "GET", "/targets")["targets"];
  REQUIRE(targets.size() == 1);
  CHECK(targets[0]["address"].asString() != first);

  const auto report = [&](int aFencing, int aRequests) {
    return Send(address,
                "PUT",
                "/usage/3600",
                R"({"window":3600,"fencing":)" + std::to_string(aFencing) +
                  R"(,"lines":[{"tenant":"a","requests":)" +
                  std::to_string(aRequests) + "}]}")
      .status;
  };
  CHECK(report(5, 1) == 200);
  CHECK(report(5, 1) == 200);
  CHECK(report(5, 2) == 409);
  CHECK(report(4, 1) == 409);

  Json::Value rewrite = Parse(R"({"view":1,"rewrites":{}})");
  rewrite["rewrites"][targets[0]["address"].asString()] = "127.0.0.1:9";
  SendJson(address, "PUT", "/admin/rewrites", rewrite);
  const std::string view = platform.Ready()["views"][0].asString();
  CHECK(SendJson(view, "GET", "/targets")["targets"][0]["address"].asString() ==
        "127.0.0.1:9");
  CHECK(platform.Terminate() == 0);
}
