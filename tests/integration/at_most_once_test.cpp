#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

using namespace arbutusferry;
using harness::Call;
using harness::CallOnce;
using harness::cluster;
using harness::http_reply;
using harness::Parse;
using harness::Send;
using harness::SendJson;
using harness::TakePermits;
using harness::WaitUntil;
using standin::fault_mode;

namespace {

/// Two zones with two VMs and a service behind a proxy each.
class booking_desk
{
public:
  explicit booking_desk(int aDeadlineMs = 0)
    : mCluster([] {
      harness::cluster_options options;
      options.zones = 2;
      options.vmsPerZone = 2;
      return options;
    }())
  {
    for (std::size_t zone = 0; zone < 2; ++zone) {
      mCluster.AddTarget(
        mCluster.ZoneName(zone), "desk", target_kind::Service, 16, true);
    }
    mCluster.PublishLists();
    Json::Value document = harness::ExampleDocument("shop", 2);
    for (Json::Value& route : document["routes"]) {
      // Bounds how long a call waits for a service that a fault made
      // unreachable.
      if (route["name"] == "bookings" && aDeadlineMs > 0) {
        route["deadline_ms"] = aDeadlineMs;
      }
    }
    mCluster.Apply(document);
    mKey = mCluster.Grant("acme");
    mCluster.WaitReady();
    for (std::size_t vm = 0; vm < 4; ++vm) {
      WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
        return Call(mCluster.Entry(vm), "/quotes", "probe", mKey).status == 200;
      });
    }
    // An entry that does not know the owner of a permit answers unknown, which
    // is right but not what the tests are about.
    int probe = 0;
    for (std::size_t vm = 1; vm < 4; ++vm) {
      WaitUntil("entry " + std::to_string(vm) + " knows entry 0", [&] {
        const std::string permit =
          TakePermits(mCluster.Entry(0), "bookings", mKey, 1)[0];
        return Book(vm, "probe-" + std::to_string(probe++), permit).status ==
               200;
      });
    }
  }

  [[nodiscard]] cluster& Cluster() { return mCluster; }
  [[nodiscard]] const std::string& Key() const { return mKey; }

  /// @return How often a booking reached a service.
  [[nodiscard]] int Runs(const std::string& aBody)
  {
    int runs = 0;
    for (const auto& target : mCluster.Targets()) {
      runs += harness::SeenBodies(target.Direct(), "/bookings")[aBody];
    }
    return runs;
  }

  void Fault(const standin::fault_setting& aSetting)
  {
    for (auto& target : mCluster.Targets()) {
      target.proxy->Set(aSetting);
    }
  }

  void Behavior(const std::string& aText)
  {
    for (const auto& target : mCluster.Targets()) {
      SendJson(target.Direct(), "PUT", "/admin/behavior", Parse(aText));
    }
  }

  [[nodiscard]] http_reply Book(std::size_t aVm,
                                const std::string& aBody,
                                const std::string& aPermit)
  {
    return CallOnce(mCluster.Entry(aVm), "/bookings", aBody, mKey, aPermit);
  }

private:
  cluster mCluster;
  std::string mKey;
};

} // namespace

// Without permits a caller that repeats after a lost answer books twice.
TEST_CASE("a lost answer books twice when the caller repeats on its own")
{
  harness::child_process service("service", "fake-service", {});
  standin::tcp_proxy proxy;
  REQUIRE(proxy.Start("127.0.0.1:0", service.Address()));
  standin::fault_setting lost;
  lost.mode = fault_mode::LoseAnswer;
  lost.count = 1;
  proxy.Set(lost);
  CHECK(Send(proxy.Address(), "POST", "/bookings", "slot").status == 0);
  CHECK(Send(proxy.Address(), "POST", "/bookings", "slot").status == 200);
  CHECK(harness::SeenBodies(service.Address(), "/bookings")["slot"] == 2);
}

// A reset at any byte leaves the outcome open; sending again would book twice,
// and calling it not run would lose the booking the service took.
TEST_CASE("a booking runs at most once through resets at any byte")
{
  booking_desk desk;
  int number = 0;
  for (const bool toClient : { false, true }) {
    for (const int bytes : { 0, 1, 40, 120, 200, 260, 300, 2000 }) {
      const std::string body = "slot-" + std::to_string(number++);
      INFO(body << " reset after " << bytes << (toClient ? " to client" : ""));
      const std::string permit =
        TakePermits(desk.Cluster().Entry(0), "bookings", desk.Key(), 1)[0];
      standin::fault_setting reset;
      reset.mode = fault_mode::ResetAfter;
      reset.bytes = bytes;
      reset.toClient = toClient;
      desk.Fault(reset);
      const http_reply first = desk.Book(0, body, permit);
      desk.Fault({});
      const int runs = desk.Runs(body);
      CHECK(runs <= 1);
      CHECK_FALSE(first.Outcome().empty());
      if (first.Outcome() == "not_run") {
        CHECK(runs == 0);
      }
      if (first.Outcome() == "answered") {
        CHECK(runs == 1);
        CHECK(first.Parsed()["body"].asString() == body);
      }
      // The caller repeats through another entry of the zone and of another.
      for (const std::size_t vm : { 1, 2 }) {
        const http_reply again = desk.Book(vm, body, permit);
        CHECK_FALSE(again.Outcome().empty());
        if (first.Outcome() == "unknown") {
          CHECK(again.Outcome() == "unknown");
        }
      }
      CHECK(desk.Runs(body) <= 1);
    }
  }
}

// The owner that decides is gone: nobody else may run the booking.
TEST_CASE("a booking runs once when its entry is killed after the send")
{
  booking_desk desk;
  const std::string permit =
    TakePermits(desk.Cluster().Entry(0), "bookings", desk.Key(), 1)[0];
  desk.Behavior(R"({"delay_ms":60000})");
  http_reply first;
  std::jthread sender([&] { first = desk.Book(0, "slot", permit); });
  WaitUntil("the service received the booking",
            [&] { return desk.Runs("slot") == 1; });
  desk.Cluster().Vms()[0].entry->Kill();
  sender.join();
  CHECK(first.status == 0);
  desk.Behavior(R"({"delay_ms":0})");
  for (const std::size_t vm : { 1, 2 }) {
    const http_reply again = desk.Book(vm, "slot", permit);
    CHECK(again.Outcome() == "unknown");
  }
  CHECK(desk.Runs("slot") == 1);
}

// A repeat that starts a second run while the first is still running.
TEST_CASE("a repeat through another entry waits for the same answer")
{
  booking_desk desk;
  const auto permits =
    TakePermits(desk.Cluster().Entry(0), "bookings", desk.Key(), 1);
  desk.Behavior(R"({"delay_ms":500})");
  std::vector<http_reply> replies(4);
  std::vector<std::thread> senders;
  for (std::size_t vm = 0; vm < 4; ++vm) {
    senders.emplace_back(
      [&, vm] { replies[vm] = desk.Book(vm, "slot", permits[0]); });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  for (const http_reply& reply : replies) {
    INFO(reply.status << " " << reply.body);
    CHECK(reply.status == 200);
    CHECK(reply.body == replies[0].body);
  }
  CHECK(desk.Runs("slot") == 1);
  // The permit is bound to the body it came with first.
  const http_reply other = desk.Book(1, "other", permits[0]);
  CHECK(other.status == 409);
  CHECK(other.Outcome() == "not_run");
  CHECK(desk.Runs("other") == 0);
}

// An entry that leaves as planned takes its permits with it without hand-over.
TEST_CASE("permits survive a planned stop of their entry")
{
  booking_desk desk;
  const auto permits =
    TakePermits(desk.Cluster().Entry(0), "bookings", desk.Key(), 2);
  const http_reply first = desk.Book(0, "slot", permits[0]);
  REQUIRE(first.status == 200);
  CHECK(desk.Cluster().Vms()[0].entry->Terminate() == 0);
  // The other entries learn from the next sync who took the table over.
  http_reply again;
  WaitUntil("the permit is answered from the handed over table", [&] {
    again = desk.Book(1, "slot", permits[0]);
    REQUIRE(desk.Runs("slot") == 1);
    return again.status == 200;
  });
  CHECK(again.body == first.body);
  http_reply fresh;
  WaitUntil("an unused permit is decided by the new owner", [&] {
    fresh = desk.Book(2, "slot-2", permits[1]);
    return fresh.status == 200;
  });
  CHECK(desk.Runs("slot-2") == 1);
}

// Many bookings with random faults: finds combinations that single cases miss.
TEST_CASE("bookings with random resets and repeats run at most once")
{
  booking_desk desk(1000);
  const std::uint64_t seed = 20261204;
  constexpr int kThreads = 4;
  constexpr int kBookings = 12;
  struct booking
  {
    std::string body;
    std::vector<std::string> outcomes;
  };
  std::mutex mutex;
  std::vector<booking> bookings;
  std::vector<std::string> failures;
  const auto book = [&](int aCaller) {
    boost::random::mt19937_64 random(seed + static_cast<unsigned>(aCaller));
    const auto below = [&](int aLimit) {
      return boost::random::uniform_int_distribution<int>(0,
                                                          aLimit - 1)(random);
    };
    for (int number = 0; number < kBookings; ++number) {
      booking each;
      each.body = "b-" + std::to_string(aCaller) + "-" + std::to_string(number);
      const auto home = static_cast<std::size_t>(below(4));
      const std::string permit =
        TakePermits(desk.Cluster().Entry(home), "bookings", desk.Key(), 1)[0];
      standin::fault_setting fault;
      const fault_mode modes[] = { fault_mode::Pass,
                                   fault_mode::ResetAfter,
                                   fault_mode::Truncate,
                                   fault_mode::LoseAnswer,
                                   fault_mode::Refuse };
      fault.mode = modes[below(5)];
      fault.bytes = below(400);
      fault.toClient = below(2) == 1;
      desk.Fault(fault);
      for (int attempt = 0; attempt < 3; ++attempt) {
        const http_reply reply =
          desk.Book(attempt == 0 ? home : static_cast<std::size_t>(below(4)),
                    each.body,
                    permit);
        each.outcomes.push_back(reply.Outcome());
        if (reply.Outcome() == "answered") {
          break;
        }
      }
      const std::lock_guard lock(mutex);
      bookings.push_back(std::move(each));
    }
  };
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int caller = 0; caller < kThreads; ++caller) {
    callers.emplace_back([&, caller] {
      try {
        book(caller);
      } catch (const std::exception& error) {
        const std::lock_guard lock(mutex);
        failures.emplace_back(error.what());
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::string& failure : failures) {
    UNSCOPED_INFO(failure);
  }
  CHECK(failures.empty());
  desk.Fault({});
  std::map<std::string, int> runs;
  for (const auto& target : desk.Cluster().Targets()) {
    for (const auto& [body, count] :
         harness::SeenBodies(target.Direct(), "/bookings")) {
      runs[body] += count;
    }
  }
  int answered = 0;
  for (const booking& each : bookings) {
    INFO("seed " << seed << " " << each.body << " " << runs[each.body]
                 << " runs, last " << each.outcomes.back());
    CHECK(runs[each.body] <= 1);
    const bool ever =
      std::count(each.outcomes.begin(), each.outcomes.end(), "answered") > 0;
    const bool open =
      std::count(each.outcomes.begin(), each.outcomes.end(), "unknown") > 0;
    if (ever) {
      ++answered;
      CHECK(runs[each.body] == 1);
    } else if (!open) {
      // Every attempt was called not run, so nothing may have run.
      CHECK(runs[each.body] == 0);
    }
  }
  CHECK(answered > 0);
}
