#include "arbutusferry/json.hpp"
#include "arbutusferry/step.hpp"
#include "support/dispatch_fakes.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace arbutusferry;
using namespace arbutusferry::test;
using namespace std::chrono_literals;

namespace {

/// Faults of the simulated engine.
enum class fault
{
  None,
  Reset,
  Truncated,
  Unversioned,
  OldVersion,
  Error,
};

/// Simulates an engine: emits the events of one sample with a fault.
upstream_answer
Generate(const upstream_request& aRequest,
         const event_handler& aOnEvent,
         fault aFault,
         std::int64_t aVersion)
{
  const auto body = ParseJson(aRequest.body, "test").value();
  if (aFault == fault::Error) {
    return Answered("overloaded", 503);
  }
  const std::int64_t count = body["max_tokens"].asInt64();
  for (std::int64_t i = 0; i < count; ++i) {
    if (aFault == fault::Reset && i == 1) {
      return Failed(outcome::Unknown);
    }
    if (aFault == fault::Truncated && i == 1) {
      continue;
    }
    Json::Value event;
    event["index"] = static_cast<Json::Int64>(i);
    event["tokens"].append(body["seed"]);
    event["text"] = "x";
    if (aFault != fault::Unversioned) {
      event["weight_version"] =
        static_cast<Json::Int64>(aFault == fault::OldVersion ? 0 : aVersion);
    }
    if (i + 1 == count) {
      event["finish_reason"] = "length";
      event["usage"]["completion_tokens"] = static_cast<Json::Int64>(count);
      event["usage"]["prompt_tokens"] = 2;
    }
    if (!aOnEvent(event)) {
      return Failed(outcome::Unknown);
    }
  }
  return Answered();
}

struct session_fixture
{
  manual_clock_source clock;
  metrics_registry metrics;
  immediate_dispatcher work;
  std::deque<std::function<void()>> tasks;
  bool withdrawn = false;
  std::int64_t generated = 0;
  step_request step;
  std::shared_ptr<step_session> session;

  session_fixture()
  {
    step.step = "s";
    step.model = "m";
    step.weightVersion = 7;
    step.groups = { { "g0", 3, "p", 100, 3 }, { "g1", 2, "q", 200, 3 } };
  }

  void Start(upstream_transport& aTransport, const std::string& aCursor = {})
  {
    step_parts parts;
    parts.work = &work;
    parts.transport = &aTransport;
    parts.clock = &clock;
    parts.metrics = &metrics;
    parts.execute = [this](std::function<void()> aTask) {
      tasks.push_back(std::move(aTask));
      return true;
    };
    parts.withdrawn = [this] { return withdrawn; };
    parts.delivered = [this](std::int64_t, std::int64_t aTokens) {
      generated += aTokens;
    };
    parts.team = "a";
    parts.targetClass = "c";
    parts.stalenessBound = 2;
    parts.deadline = clock.Now() + 1h;
    parts.pollTimeout = duration::zero();
    const std::uint64_t hash = StepHash(step);
    const std::size_t count = SampleCount(step);
    session = step_session::Start(
      step,
      aCursor.empty() ? delivery_cursor(hash, count)
                      : delivery_cursor::Decode(aCursor, hash, count).value(),
      parts);
  }

  /// Runs one queued attempt, if any, and returns the next records of the
  /// stream.
  std::vector<Json::Value> RunAndPoll(bool& aMore)
  {
    if (!tasks.empty()) {
      const auto task = std::move(tasks.front());
      tasks.pop_front();
      task();
    }
    clock.Advance(200ms);
    std::string text;
    aMore = session->Next(text);
    std::vector<Json::Value> records;
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      records.push_back(ParseJson(text.substr(0, end), "test").value());
      text.erase(0, end + 1);
    }
    return records;
  }
};

} // namespace

// Guards against lost, duplicated, stale and wrongly versioned samples while
// engines fail and the trainer loses its connection.
TEST_CASE("Every sample arrives once, versioned and fresh, under any fault")
{
  constexpr unsigned kSeeds = 30;
  int faults = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    scripted_transport transport([&](const auto&,
                                     const upstream_request& aRequest,
                                     const event_handler& aOnEvent,
                                     auto&) {
      const auto kind = static_cast<fault>(random() % 10);
      faults += kind > fault::None && kind <= fault::Error ? 1 : 0;
      return Generate(aRequest,
                      aOnEvent,
                      kind > fault::Error ? fault::None : kind,
                      5 + static_cast<std::int64_t>(random() % 3));
    });
    std::string cursor;
    std::set<std::pair<std::string, std::int64_t>> received;
    bool done = false;
    for (int post = 0; post < 50 && !done; ++post) {
      session_fixture fixture;
      fixture.work.retries = 1000;
      fixture.Start(transport, cursor);
      bool more = true;
      while (more && !done) {
        for (const Json::Value& record : fixture.RunAndPoll(more)) {
          if (record["done"].asBool()) {
            done = true;
          } else {
            REQUIRE(
              received
                .emplace(record["group"].asString(), record["index"].asInt64())
                .second);
            CHECK(record["segments"].size() == 1);
            CHECK(record["segments"][0]["version"].asInt64() >= 5);
            CHECK(record["segments"][0]["to"].asInt64() == 3);
            CHECK(record["tokens"][0].asInt64() ==
                  (record["group"].asString() == "g0" ? 100 : 200) +
                    record["index"].asInt64());
          }
          cursor = record["cursor"].asString();
        }
        if (random() % 8 == 0) {
          break; // The connection is lost between two records.
        }
      }
      fixture.session->Cancel();
      while (!fixture.tasks.empty()) {
        fixture.tasks.front()();
        fixture.tasks.pop_front();
      }
      CHECK(fixture.work.open.empty());
      CHECK(fixture.work.wrongCompletions == 0);
    }
    CHECK(done);
    CHECK(received.size() == 5);
  }
  std::cout << "seeds 0 to " << kSeeds - 1 << ", " << faults
            << " faulty attempts\n";
  CHECK(faults > 0);
}

// Guards against retries that multiply the load on failing engines, and against
// a step that waits for a budget which only its own successes would refill.
TEST_CASE("Without retry budget a step repeats samples after a backoff")
{
  session_fixture fixture;
  int calls = 0;
  bool broken = true;
  scripted_transport transport(
    [&](const auto&, const auto& aRequest, const auto& aOnEvent, auto&) {
      ++calls;
      return Generate(
        aRequest, aOnEvent, broken ? fault::Reset : fault::None, 7);
    });
  fixture.Start(transport);
  bool more = true;
  // One attempt per iteration of 200 ms; the first retries come 1 s after the
  // retry budget refused them.
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.RunAndPoll(more).empty());
  }
  CHECK(calls == 5);
  // In 60 s a sample is sent immediately, then after 1, 2, 4, 8, 8, ...
  // seconds.
  for (int i = 0; i < 295; ++i) {
    CHECK(fixture.RunAndPoll(more).empty());
  }
  constexpr int kSamples = 5;
  constexpr int kAttemptsInOneMinute = 10;
  CHECK(calls <= kSamples * kAttemptsInOneMinute);
  CHECK(calls >= kSamples * 5);
  CHECK(more);
  broken = false;
  std::size_t records = 0;
  for (int i = 0; i < 100 && more; ++i) {
    records += fixture.RunAndPoll(more).size();
  }
  CHECK(records == kSamples + 1); // The last record ends the step.
  CHECK_FALSE(more);
}

// Guards against a backoff although the retry budget allows a retry.
TEST_CASE("With retry budget a step repeats samples immediately")
{
  session_fixture fixture;
  int calls = 0;
  scripted_transport transport(
    [&](const auto&, const auto& aRequest, const auto& aOnEvent, auto&) {
      ++calls;
      return Generate(
        aRequest, aOnEvent, calls <= 5 ? fault::Reset : fault::None, 7);
    });
  fixture.work.retries = 5;
  fixture.Start(transport);
  bool more = true;
  std::size_t records = 0;
  for (int i = 0; i < 30 && more; ++i) {
    records += fixture.RunAndPoll(more).size();
  }
  CHECK(records == 6);
  CHECK(fixture.generated == 15);
  CHECK_FALSE(more);
}

// Guards against stragglers that stall a step, and against delivering both
// answers of a sample.
TEST_CASE("A straggler gets a second attempt, the first valid answer wins")
{
  session_fixture fixture;
  fixture.step.groups = { { "g0", 8, "p", 100, 3 } };
  bool cancelled = false;
  scripted_transport transport([&](const auto&,
                                   const upstream_request& aRequest,
                                   const event_handler& aOnEvent,
                                   exchange_control& aControl) {
    cancelled = cancelled || aControl.Cancelled();
    return aControl.Cancelled() ? Failed(outcome::NotRun)
                                : Generate(aRequest, aOnEvent, fault::None, 7);
  });
  fixture.Start(transport);
  REQUIRE(fixture.tasks.size() == 8);
  const auto straggler = std::move(fixture.tasks.front());
  fixture.tasks.pop_front();
  bool more = true;
  std::size_t samples = 0;
  for (int i = 0; i < 30 && more; ++i) {
    for (const Json::Value& record : fixture.RunAndPoll(more)) {
      samples += record.isMember("index") ? 1 : 0;
    }
  }
  CHECK(samples == 8);
  CHECK_FALSE(more);
  CHECK(fixture.work.items.size() == 9);
  straggler(); // Ends after the step; it was cancelled.
  CHECK(cancelled);
  CHECK(fixture.work.open.empty());
  CHECK(fixture.work.failures == 0);
}

// Guards against streams that continue with a withdrawn key or past the
// deadline, and against immediate resubmission to a queue that sheds load.
TEST_CASE("A step pauses when the queue is full, and ends at key withdrawal or "
          "its deadline")
{
  scripted_transport transport(
    [&](const auto&, const auto& aRequest, const auto& aOnEvent, auto&) {
      return Generate(aRequest, aOnEvent, fault::None, 7);
    });
  session_fixture withdrawn;
  withdrawn.Start(transport);
  bool more = true;
  CHECK(withdrawn.RunAndPoll(more).size() == 1);
  withdrawn.withdrawn = true;
  const auto refusal = withdrawn.RunAndPoll(more);
  REQUIRE(refusal.size() == 1);
  CHECK(refusal[0]["error"]["message"].asString() == "key_withdrawn");
  CHECK_FALSE(more);

  session_fixture shed;
  shed.work.refusals = 5;
  shed.Start(transport);
  CHECK(shed.RunAndPoll(more).empty());
  CHECK(shed.RunAndPoll(more).empty());
  CHECK(shed.work.items.size() == 5);
  for (int i = 0; i < 6; ++i) {
    (void)shed.RunAndPoll(more);
  }
  CHECK(shed.work.items.size() == 10);
  shed.tasks.clear();
  for (int i = 0; i < 5; ++i) {
    (void)shed.RunAndPoll(more);
  }
  shed.clock.Advance(2h);
  const auto late = shed.RunAndPoll(more);
  REQUIRE(late.size() == 1);
  CHECK(late[0]["error"]["code"].asString() == "timeout");
  CHECK(late[0].isMember("cursor"));
}
