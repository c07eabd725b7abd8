#include "recovery/isolation_check.hpp"

#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

struct isolation_test
{
  isolation_test()
  {
    nodes.Update({ "a1", "a1/1", "a", { "10.0.0.1", 9000 } });
    nodes.Update({ "a2", "a2/1", "a", { "10.0.0.2", 9000 } });
  }

  void AddOtherZones()
  {
    for (std::uint16_t index = 0; index < 4; ++index) {
      const std::string vm = "b" + std::to_string(index);
      nodes.Update(
        { vm,
          vm + "/1",
          "b",
          { "10.0.1.1", static_cast<std::uint16_t>(9000 + index) } });
    }
  }
  /// Lets time pass with steps at the node's interval.
  void Run(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      loop.Advance(kStep);
      if (storeAnswers) {
        contact = loop.Now();
      }
      check.Step(contact);
    }
  }

  static constexpr milliseconds kStep{ 100 };
  manual_loop loop;
  scripted_client client;
  node_directory nodes{ "a1/1" };
  isolation_check check{ { loop, client, nodes, "a1", "a" } };
  time_point contact = loop.Now();
  bool storeAnswers = true;
};

/// Lets all probes fail, or those of nodes in reach succeed.
void
AnswerProbes(isolation_test& aTest, std::optional<exchange_failure> aOutcome)
{
  aTest.client.onProbe = [&aTest,
                          aOutcome](const scripted_client::probe& aProbe) {
    aTest.loop.Post(milliseconds(1),
                    [done = aProbe.done, aOutcome] { done(aOutcome); });
  };
}

} // namespace

// Guards against callers who stay with nodes of a zone that is cut off: none of
// them reaches the leader, and each read of results fails after 1.9 s.
TEST_CASE("a node without the store and all other zones is isolated until one "
          "of them answers")
{
  isolation_test test;
  test.AddOtherZones();
  AnswerProbes(test, exchange_failure::Timeout);
  test.storeAnswers = false;
  test.Run(milliseconds(800));
  CHECK_FALSE(test.check.Isolated());
  test.Run(milliseconds(400));
  CHECK(test.check.Isolated());
  AnswerProbes(test, std::nullopt);
  test.Run(milliseconds(700));
  CHECK_FALSE(test.check.Isolated());
  AnswerProbes(test, exchange_failure::Timeout);
  test.Run(milliseconds(700));
  CHECK(test.check.Isolated());
  test.storeAnswers = true;
  test.Run(milliseconds(100));
  CHECK_FALSE(test.check.Isolated());
}

// Guards against a whole fleet out of rotation while only the store is away.
TEST_CASE("an outage of the store alone isolates no node")
{
  isolation_test test;
  test.AddOtherZones();
  test.storeAnswers = false;
  AnswerProbes(test, std::nullopt);
  test.Run(milliseconds(10'000));
  CHECK_FALSE(test.check.Isolated());
  AnswerProbes(test, exchange_failure::Refused);
  test.Run(milliseconds(2'000));
  CHECK_FALSE(test.check.Isolated());
}

// Guards against a deployment of one node, or one that knows no other yet, that
// takes itself out of rotation.
TEST_CASE("a node that knows no other is not isolated")
{
  isolation_test test;
  test.nodes.Remove("a2");
  test.storeAnswers = false;
  AnswerProbes(test, exchange_failure::Timeout);
  test.Run(milliseconds(5'000));
  CHECK_FALSE(test.check.Isolated());
  CHECK(test.client.probes.empty());
}

// Guards against extra connections while the store answers, and against many
// while it is away.
TEST_CASE("nodes are probed only while the store is silent, and seldom")
{
  isolation_test test;
  test.AddOtherZones();
  AnswerProbes(test, std::nullopt);
  test.Run(milliseconds(5'000));
  CHECK(test.client.probes.empty());
  test.storeAnswers = false;
  test.Run(milliseconds(5'000));
  CHECK(test.client.probes.size() <= 30);
}
