#include "entry/call_runner.hpp"
#include "support/dispatch_fakes.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <iostream>
#include <random>
#include <thread>

using namespace arbutusferry;
using namespace arbutusferry::test;
using namespace std::chrono_literals;

namespace {

class mock_transport : public upstream_transport
{
public:
  MAKE_MOCK4(Exchange,
             upstream_answer(const target_info&,
                             const upstream_request&,
                             const event_handler&,
                             exchange_control&),
             override);
};

struct runner_fixture
{
  manual_clock_source clock;
  metrics_registry metrics;
  immediate_dispatcher work;

  call_result Run(upstream_transport& aTransport,
                  bool aIdempotent,
                  bool aRetryAfterEvents = true)
  {
    call_runner runner(work, aTransport, clock, metrics);
    call_plan plan;
    plan.item.team = "a";
    plan.item.targetClass = "c";
    plan.item.idempotent = aIdempotent;
    plan.item.deadline = clock.Now() + 10s;
    plan.retryAfterEvents = aRetryAfterEvents;
    exchange_control control;
    return runner.Run(std::move(plan), control);
  }
};

} // namespace

// Guards against non-idempotent calls that run twice, and against calls that
// ran but are reported as not run. The naive caller, for comparison, retries on
// any error.
TEST_CASE(
  "Calls that are not idempotent run at most once, outcomes are correct")
{
  constexpr unsigned kSeeds = 200;
  int naiveDuplicates = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    for (const bool idempotent : { false, true }) {
      CAPTURE(seed, idempotent);
      std::mt19937 random(seed);
      runner_fixture fixture;
      fixture.work.retries = static_cast<int>(random() % 6);
      int runs = 0;
      const auto attempt = [&](int& aRuns) {
        switch (random() % 5) {
          case 0:
            return Failed(outcome::NotRun);
          case 1:
            return Failed(outcome::Unknown); // The request was lost.
          case 2:
            ++aRuns;
            return Failed(outcome::Unknown); // The answer was lost.
          case 3:
            ++aRuns;
            return Answered("no", 503);
          default:
            ++aRuns;
            return Answered("yes");
        }
      };
      scripted_transport transport(
        [&](const auto&, const auto&, const auto&, auto&) {
          return attempt(runs);
        });
      const call_result result = fixture.Run(transport, idempotent);
      CHECK(fixture.work.wrongCompletions == 0);
      CHECK(fixture.work.open.empty());
      if (!idempotent) {
        CHECK(runs <= 1);
      }
      if (result.answer.result == outcome::NotRun) {
        CHECK(runs == 0);
      }
      if (result.answer.result == outcome::Answered) {
        CHECK(runs >= 1);
      }
      int naiveRuns = 0;
      for (int i = 0; i < 6; ++i) {
        const auto answer = attempt(naiveRuns);
        if (answer.result == outcome::Answered && answer.status == 200) {
          break;
        }
      }
      naiveDuplicates += naiveRuns > 1 ? 1 : 0;
    }
  }
  std::cout << "retry on any error ran " << naiveDuplicates << " of "
            << kSeeds * 2 << " requests more than once (seeds 0 to "
            << kSeeds - 1 << ")\n";
  CHECK(naiveDuplicates > 0);
}

// Guards against retry storms.
TEST_CASE("Retries stop at the budget, at the deadline and at a full queue")
{
  runner_fixture fixture;
  int calls = 0;
  scripted_transport failing([&](const auto&, const auto&, const auto&, auto&) {
    ++calls;
    return Failed(outcome::Unknown);
  });
  fixture.work.retries = 2;
  const auto result = fixture.Run(failing, true);
  CHECK(calls == 3);
  CHECK(result.attempts == 3);
  CHECK(fixture.work.items.back().avoid.size() == 2);
  CHECK(fixture.work.failures == 3);

  scripted_transport slow([&](const auto&, const auto&, const auto&, auto&) {
    ++calls;
    fixture.clock.Advance(10s);
    return Failed(outcome::Unknown);
  });
  calls = 0;
  fixture.work.retries = 5;
  CHECK(fixture.Run(slow, true).answer.result == outcome::Unknown);
  CHECK(calls == 1);

  scripted_transport once([&](const auto&, const auto&, const auto&, auto&) {
    fixture.work.refusals = 1;
    return Failed(outcome::Unknown);
  });
  // The refused retry must not turn the first outcome into `not_run`.
  CHECK(fixture.Run(once, true).answer.result == outcome::Unknown);
  fixture.work.refusals = 1;
  const auto refused = fixture.Run(once, true);
  CHECK(refused.answer.result == outcome::NotRun);
  CHECK(refused.answer.error->code == error_code::Overloaded);
}

// Guards against a caller that receives the events of two attempts.
TEST_CASE("A stream is not repeated after its first event reached the caller")
{
  for (const bool mayRepeat : { false, true }) {
    runner_fixture fixture;
    fixture.work.retries = 1;
    mock_transport transport;
    trompeloeil::sequence order;
    auto broken = Failed(outcome::Unknown);
    broken.eventsDelivered = true;
    REQUIRE_CALL(
      transport,
      Exchange(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .IN_SEQUENCE(order)
      .RETURN(broken);
    std::unique_ptr<trompeloeil::expectation> second;
    if (mayRepeat) {
      second = NAMED_REQUIRE_CALL(transport,
                                  Exchange(trompeloeil::_,
                                           trompeloeil::_,
                                           trompeloeil::_,
                                           trompeloeil::_))
                 .IN_SEQUENCE(order)
                 .RETURN(Answered());
    }
    const auto result = fixture.Run(transport, true, mayRepeat);
    CHECK(result.answer.result ==
          (mayRepeat ? outcome::Answered : outcome::Unknown));
  }
}

// Guards against calls that stay in the queue after their caller disconnected.
TEST_CASE("A cancelled call leaves the queue")
{
  runner_fixture fixture;
  fixture.work.hold = true;
  mock_transport transport; // Expects no call.
  call_runner runner(fixture.work, transport, fixture.clock, fixture.metrics);
  exchange_control control;
  call_result result;
  std::thread caller([&] { result = runner.Run({}, control); });
  control.Cancel(); // Before or after the submission.
  caller.join();
  CHECK(result.answer.result == outcome::NotRun);
  CHECK(fixture.work.held.empty());
}
