#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

using namespace arbutusferry;
using harness::Call;
using harness::CallWithPermit;
using harness::cluster;
using harness::http_reply;
using harness::Parse;
using harness::Send;
using harness::SendJson;
using harness::TakePermits;
using harness::WaitUntil;
using standin::fault_mode;

namespace {

/// Two zones, each with two VMs and one service behind a fault proxy.
class booking_fixture
{
public:
  explicit booking_fixture(int aDeadlineMs = 0)
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
      // Limits how long a call waits for a service that a fault makes
      // unreachable.
      if (route["name"] == "bookings" && aDeadlineMs > 0) {
        route["deadline_ms"] = aDeadlineMs;
      }
    }
    mCluster.Apply(document);
    mKey = mCluster.Grant("acme");
    mCluster.WaitUntilReady();
    for (std::size_t vm = 0; vm < 4; ++vm) {
      WaitUntil("entry " + std::to_string(vm) + " serves", [&] {
        return Call(mCluster.EntryAddress(vm), "/quotes", "probe", mKey)
                 .status == 200;
      });
    }
    // An entry that does not know the owner of a permit yet correctly answers
    // "unknown", which would hide what the tests check.
    int probe = 0;
    for (std::size_t vm = 1; vm < 4; ++vm) {
      WaitUntil("entry " + std::to_string(vm) + " knows entry 0", [&] {
        const std::string permit =
          TakePermits(mCluster.EntryAddress(0), "bookings", mKey, 1)[0];
        return Book(vm, "probe-" + std::to_string(probe++), permit).status ==
               200;
      });
    }
  }

  [[nodiscard]] cluster& Cluster() { return mCluster; }
  [[nodiscard]] const std::string& Key() const { return mKey; }

  /// @return Number of times a booking reached a service.
  [[nodiscard]] int CountRuns(const std::string& aBody)
  {
    int runs = 0;
    for (const auto& target : mCluster.Targets()) {
      runs += harness::CountReceivedBodies(target.DirectAddress(),
                                           "/bookings")[aBody];
    }
    return runs;
  }

  void SetFault(const standin::fault_setting& aSetting)
  {
    for (auto& target : mCluster.Targets()) {
      target.proxy->Set(aSetting);
    }
  }

  void SetBehavior(const std::string& aText)
  {
    for (const auto& target : mCluster.Targets()) {
      SendJson(target.DirectAddress(), "PUT", "/admin/behavior", Parse(aText));
    }
  }

  [[nodiscard]] http_reply Book(std::size_t aVm,
                                const std::string& aBody,
                                const std::string& aPermit)
  {
    return CallWithPermit(
      mCluster.EntryAddress(aVm), "/bookings", aBody, mKey, aPermit);
  }

private:
  cluster mCluster;
  std::string mKey;
};

} // namespace

// Baseline without permits: a caller that retries after a lost response books
// twice.
TEST_CASE("a retry without a permit after a lost answer books twice")
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
  CHECK(harness::CountReceivedBodies(service.Address(), "/bookings")["slot"] ==
        2);
}

// A reset can leave the outcome undecided at any byte: resending would book
// twice, and reporting "not run" would lose a booking that the service
// accepted.
TEST_CASE("a booking runs at most once through resets at any byte")
{
  booking_fixture fixture;
  int number = 0;
  for (const bool toClient : { false, true }) {
    for (const int bytes : { 0, 1, 40, 120, 200, 260, 300, 2000 }) {
      const std::string body = "slot-" + std::to_string(number++);
      INFO(body << " reset after " << bytes << (toClient ? " to client" : ""));
      const std::string permit = TakePermits(
        fixture.Cluster().EntryAddress(0), "bookings", fixture.Key(), 1)[0];
      standin::fault_setting reset;
      reset.mode = fault_mode::ResetAfter;
      reset.bytes = bytes;
      reset.toClient = toClient;
      fixture.SetFault(reset);
      const http_reply first = fixture.Book(0, body, permit);
      fixture.SetFault({});
      const int runs = fixture.CountRuns(body);
      CHECK(runs <= 1);
      CHECK_FALSE(first.Outcome().empty());
      if (first.Outcome() == "not_run") {
        CHECK(runs == 0);
      }
      if (first.Outcome() == "answered") {
        CHECK(runs == 1);
        CHECK(first.Parsed()["body"].asString() == body);
      }
      // The caller retries through another entry of the same zone and through
      // an entry of the other zone.
      for (const std::size_t vm : { 1, 2 }) {
        const http_reply again = fixture.Book(vm, body, permit);
        CHECK_FALSE(again.Outcome().empty());
        if (first.Outcome() == "unknown") {
          CHECK(again.Outcome() == "unknown");
        }
      }
      CHECK(fixture.CountRuns(body) <= 1);
    }
  }
}

// The entry that owns the permit is killed after sending the booking: no other
// entry may run it again.
TEST_CASE("a booking runs once when its entry is killed after the send")
{
  booking_fixture fixture;
  const std::string permit = TakePermits(
    fixture.Cluster().EntryAddress(0), "bookings", fixture.Key(), 1)[0];
  fixture.SetBehavior(R"({"delay_ms":60000})");
  http_reply first;
  std::jthread sender([&] { first = fixture.Book(0, "slot", permit); });
  WaitUntil("the service received the booking",
            [&] { return fixture.CountRuns("slot") == 1; });
  fixture.Cluster().Vms()[0].entry->Kill();
  sender.join();
  CHECK(first.status == 0);
  fixture.SetBehavior(R"({"delay_ms":0})");
  for (const std::size_t vm : { 1, 2 }) {
    const http_reply again = fixture.Book(vm, "slot", permit);
    CHECK(again.Outcome() == "unknown");
  }
  CHECK(fixture.CountRuns("slot") == 1);
}

// Guards against a retry that starts a second run while the first is in
// progress.
TEST_CASE("a retry through another entry waits for the same answer")
{
  booking_fixture fixture;
  const auto permits = TakePermits(
    fixture.Cluster().EntryAddress(0), "bookings", fixture.Key(), 1);
  fixture.SetBehavior(R"({"delay_ms":500})");
  std::vector<http_reply> replies(4);
  std::vector<std::thread> senders;
  for (std::size_t vm = 0; vm < 4; ++vm) {
    senders.emplace_back(
      [&, vm] { replies[vm] = fixture.Book(vm, "slot", permits[0]); });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  for (const http_reply& reply : replies) {
    INFO(reply.status << " " << reply.body);
    CHECK(reply.status == 200);
    CHECK(reply.body == replies[0].body);
  }
  CHECK(fixture.CountRuns("slot") == 1);
  // The permit is bound to the body of its first use.
  const http_reply other = fixture.Book(1, "other", permits[0]);
  CHECK(other.status == 409);
  CHECK(other.Outcome() == "not_run");
  CHECK(fixture.CountRuns("other") == 0);
}

// Without a hand-over, permits are lost when their entry stops as planned.
TEST_CASE("permits survive a planned stop of their entry")
{
  booking_fixture fixture;
  const auto permits = TakePermits(
    fixture.Cluster().EntryAddress(0), "bookings", fixture.Key(), 2);
  const http_reply first = fixture.Book(0, "slot", permits[0]);
  REQUIRE(first.status == 200);
  CHECK(fixture.Cluster().Vms()[0].entry->Terminate() == 0);
  // The other entries learn the new owner of the permit table at the next sync.
  http_reply again;
  WaitUntil("the permit is answered from the handed-over table", [&] {
    again = fixture.Book(1, "slot", permits[0]);
    REQUIRE(fixture.CountRuns("slot") == 1);
    return again.status == 200;
  });
  CHECK(again.body == first.body);
  http_reply fresh;
  WaitUntil("an unused permit is decided by the new owner", [&] {
    fresh = fixture.Book(2, "slot-2", permits[1]);
    return fresh.status == 200;
  });
  CHECK(fixture.CountRuns("slot-2") == 1);
}

// Random faults find combinations that the single cases miss.
TEST_CASE("bookings with random faults and retries run at most once")
{
  booking_fixture fixture(1000);
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
      const auto owner = static_cast<std::size_t>(below(4));
      const std::string permit = TakePermits(
        fixture.Cluster().EntryAddress(owner), "bookings", fixture.Key(), 1)[0];
      standin::fault_setting fault;
      const fault_mode modes[] = { fault_mode::Pass,
                                   fault_mode::ResetAfter,
                                   fault_mode::Truncate,
                                   fault_mode::LoseAnswer,
                                   fault_mode::Refuse };
      fault.mode = modes[below(5)];
      fault.bytes = below(400);
      fault.toClient = below(2) == 1;
      fixture.SetFault(fault);
      for (int attempt = 0; attempt < 3; ++attempt) {
        const http_reply reply = fixture.Book(
          attempt == 0 ? owner : static_cast<std::size_t>(below(4)),
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
  fixture.SetFault({});
  std::map<std::string, int> runs;
  for (const auto& target : fixture.Cluster().Targets()) {
    for (const auto& [body, count] :
         harness::CountReceivedBodies(target.DirectAddress(), "/bookings")) {
      runs[body] += count;
    }
  }
  int answered = 0;
  for (const booking& each : bookings) {
    INFO("seed " << seed << " " << each.body << " " << runs[each.body]
                 << " runs, last " << each.outcomes.back());
    CHECK(runs[each.body] <= 1);
    const bool wasAnswered =
      std::count(each.outcomes.begin(), each.outcomes.end(), "answered") > 0;
    const bool wasUnknown =
      std::count(each.outcomes.begin(), each.outcomes.end(), "unknown") > 0;
    if (wasAnswered) {
      ++answered;
      CHECK(runs[each.body] == 1);
    } else if (!wasUnknown) {
      // Every attempt was reported as not run, so no run may have happened.
      CHECK(runs[each.body] == 0);
    }
  }
  CHECK(answered > 0);
}
