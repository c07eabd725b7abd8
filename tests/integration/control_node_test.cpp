#include "arbutusferry/control_node.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/rpc_codes.hpp"
#include "arbutusferry/rpc_http.hpp"
#include "common/fake_platform.hpp"
#include "control/duty.hpp"
#include "support/sample_environment.hpp"

#include <catch2/catch.hpp>
#include <future>
#include <httplib.h>
#include <thread>

using namespace arbutusferry;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Polls until the condition holds.
/// @return False if it does not hold within 30 s.
template<typename Condition>
bool
WaitUntil(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + seconds(30);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

/// Control processes of one zone, connected to a fake platform.
class zone_fixture
{
public:
  explicit zone_fixture(int aNodes)
  {
    REQUIRE(platform.Start("127.0.0.1:0", 0));
    Json::Value vms(Json::objectValue);
    vms["vms"] = Json::Value(Json::arrayValue);
    for (int index = 0; index < aNodes; ++index) {
      control_options options;
      options.vm = "a" + std::to_string(index);
      options.zone = "a";
      options.environment = "trust";
      options.listen = "127.0.0.1:0";
      options.lease = { seconds(6), seconds(2), seconds(1) };
      nodes.push_back(StartControlNode(options,
                                       MakeHttpPlatform(platform.Address(),
                                                        milliseconds(1500)),
                                       clock)
                        .value());
      Json::Value vm(Json::objectValue);
      vm["id"] = options.vm;
      vm["zone"] = "a";
      vm["entry_address"] = "127.0.0.1:1";
      vm["control_address"] = nodes.back()->Address();
      vm["state"] = "live";
      vms["vms"].append(vm);
    }
    Put("/admin/vms", vms);
  }

  void Put(const std::string& aPath, const Json::Value& aBody)
  {
    httplib::Client client("http://" + platform.Address());
    const auto answer = client.Put(aPath, WriteJson(aBody), "application/json");
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  }

  Json::Value Call(std::size_t aNode,
                   const std::string& aMethod,
                   const Json::Value& aParams)
  {
    return MakeHttpRpcClient(nodes[aNode]->Address(), seconds(15))
      ->Call(aMethod, aParams);
  }

  Json::Value Apply(std::size_t aNode, const std::string& aId, int aBase)
  {
    Json::Value params(Json::objectValue);
    params["record_id"] = aId;
    params["stage"] = "production";
    params["base"] = aBase;
    params["document"] = SampleEnvironmentJson();
    return Call(aNode, "operator.apply", params);
  }

  Json::Value Status(std::size_t aNode)
  {
    return Call(aNode, "operator.status", Json::Value(Json::objectValue));
  }

  system_clock_source clock;
  standin::fake_platform platform;
  std::vector<std::unique_ptr<control_node>> nodes;
};

} // namespace

// A change must be reported as in force only after it was read back from the
// log, and a lost response must not be reported as a failure.
TEST_CASE("Operator changes are read back from the log")
{
  zone_fixture zone(1);
  const auto applied = zone.Apply(0, "first", -1);
  CHECK(applied["outcome"].asString() == "in_force");
  CHECK(zone.Apply(0, "second", -1)["outcome"].asString() == "void");
  Json::Value faults(Json::objectValue);
  faults["append_answers_lost"] = 4;
  zone.Put("/admin/faults", faults);
  const auto changed = zone.Apply(0, "third", applied["offset"].asInt());
  CHECK(changed["outcome"].asString() == "in_force");
  Json::Value query(Json::objectValue);
  query["record_id"] = "third";
  CHECK(zone.Call(0, "operator.record", query)["outcome"].asString() ==
        "in_force");
  query["record_id"] = "never";
  CHECK(zone.Call(0, "operator.record", query)["outcome"].asString() ==
        "unknown");
  try {
    zone.Call(0, "operator.withdraw", query);
    FAIL("a record without its fields was accepted");
  } catch (const rpc_failure& failure) {
    CHECK(failure.Code() == kRpcCodeInvalidParams);
  }
}

// Guards against several members of a zone reading the log, changes that a
// member misses, and a role left without a holder after a planned stop.
TEST_CASE("A zone follows its relay and replaces a stopped relay")
{
  zone_fixture zone(3);
  const auto relayOf = [&](std::size_t aNode) {
    return zone.Status(aNode)["relay"].asString();
  };
  REQUIRE(WaitUntil([&] {
    int readers = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      readers += zone.Status(index)["reads_log"].asBool() ? 1 : 0;
    }
    return readers == 1;
  }));
  const std::string relay = relayOf(0);
  const auto first = static_cast<std::size_t>(relay.back() - '0');
  REQUIRE(WaitUntil([&] {
    return zone.Status(first)["roles"]["orders/a"].asString().rfind(relay + "/",
                                                                    0) == 0;
  }));
  const std::size_t other = (first + 1) % 3;
  const std::size_t third = (first + 2) % 3;
  REQUIRE(zone.Apply(other, "doc", -1)["outcome"].asString() == "in_force");
  REQUIRE(
    WaitUntil([&] { return zone.Status(third)["revision"].asInt() >= 0; }));
  zone.nodes[first]->Stop();
  REQUIRE(WaitUntil([&] {
    const std::string next = relayOf(other);
    if (next == relay) {
      return false;
    }
    const std::string holder = zone
                                 .Status(static_cast<std::size_t>(
                                   next.back() - '0'))["roles"]["orders/a"]
                                 .asString();
    return next == relayOf(third) && holder.rfind(next + "/", 0) == 0;
  }));
}

// An order whose sender lost its role must not complete, even if the receiver
// ignores fencing tokens (design invariant 7).
TEST_CASE("A fenced send is abandoned when the check fails")
{
  zone_fixture zone(0);
  const auto clients =
    MakeHttpPlatform(zone.platform.Address(), milliseconds(1500));
  target_order order;
  order.zone = "a";
  order.orderId = "one";
  order.fencing = 5;
  const auto refused =
    Capture([&] { return clients.orders->Send(order, [] { return false; }); });
  REQUIRE(refused.index() == 1);
  CHECK(std::get<1>(refused).code == error_code::LeaseLost);
  CHECK(clients.orders->Last("a").value().orderId.empty());
  CHECK(clients.orders->Send(order, [] { return true; }));
  CHECK(clients.orders->Last("a").value().orderId == "one");
  const auto unreachable = Capture([&] {
    return MakeHttpPlatform("127.0.0.1:1", milliseconds(500))
      .log->Append("x", Json::Value(Json::objectValue));
  });
  CHECK(std::get<1>(unreachable).code == error_code::Unreachable);
}

// Guards against a duty that is not restarted after a failure, or whose failure
// stops other duties.
TEST_CASE("A failed duty is restarted")
{
  class test_duty final : public duty
  {
  public:
    test_duty(std::promise<void>* aRan, bool aFails)
      : mRan(aRan)
      , mFails(aFails)
    {
    }
    duration Step() override
    {
      if (mFails) {
        throw std::runtime_error("expected");
      }
      if (mRan != nullptr) {
        mRan->set_value();
        mRan = nullptr;
      }
      return milliseconds(10);
    }

  private:
    std::promise<void>* mRan;
    bool mFails;
  };
  std::promise<void> restarted;
  std::promise<void> ranBeside;
  int starts = 0;
  std::vector<duty_factory> duties;
  duties.push_back({ "failing", [&]() -> std::unique_ptr<duty> {
                      return std::make_unique<test_duty>(&restarted,
                                                         starts++ == 0);
                    } });
  duties.push_back({ "steady", [&]() -> std::unique_ptr<duty> {
                      return std::make_unique<test_duty>(&ranBeside, false);
                    } });
  std::atomic<int> failures = 0;
  const auto root = StartSupervisor(
    std::move(duties), [&](const std::string& aDuty, const std::string&) {
      failures += aDuty == "failing" ? 1 : 0;
    });
  CHECK(restarted.get_future().wait_for(seconds(30)) ==
        std::future_status::ready);
  CHECK(ranBeside.get_future().wait_for(seconds(30)) ==
        std::future_status::ready);
  root->Stop();
  CHECK(failures == 1);
  CHECK(starts == 2);
}
