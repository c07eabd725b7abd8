#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

struct single_version_test : leader_test
{
  explicit single_version_test(bool aSingle = true)
  {
    SetSingle(aSingle);
    for (const char* id : { "s1", "s2" }) {
      target_entry entry = targets.Find(id)->entry;
      entry.software = "v1"; // Else no events are kept.
      targets.Update(entry, loop.Now());
    }
  }

  void SetSingle(bool aSingle)
  {
    route.singleVersion = aSingle;
    environment = environment_view(
      environment.Version() + 1, { route }, { service }, {}, {}, false);
  }
  /// The samplers load a version at once, as on a late order to go on under it.
  void LoadEverywhere(std::int64_t aVersion)
  {
    for (auto& [address, sampler] : samplers.samplers) {
      sampler.version = aVersion;
    }
  }
};

/// @return Whether all results of a batch are complete texts of one version.
bool
AllOfOneVersion(const batch& aBatch, std::size_t aEvents)
{
  return aBatch.Complete() &&
         std::all_of(aBatch.Results().begin(),
                     aBatch.Results().end(),
                     [&](const batch_result& aResult) {
                       return aResult.state == result_state::Completed &&
                              aResult.versions.size() == 1 &&
                              aResult.text ==
                                ExpectedText(
                                  aBatch.Request().items[aResult.item].id,
                                  aEvents);
                     });
}

} // namespace

// Guards against an order to go on with the runs under the new version, which
// was sent while no item ran and is carried out late, in the middle of a text.
TEST_CASE("orders for models of single-version routes let runs finish first")
{
  const bool single = GENERATE(true, false);
  CAPTURE(single);
  single_version_test test(single);
  const auto leader = test.StartLeader(1);
  leader->SetNewestVersion("m", 2);
  test.loop.Advance(milliseconds(300));
  REQUIRE_FALSE(test.samplers.orders.empty());
  for (const std::string& order : test.samplers.orders) {
    CHECK(order.find(single ? R"("mode":"wait")" : R"("mode":"keep")") !=
          std::string::npos);
  }
}

// Guards against a text of two versions where a sampler loads weights in the
// middle of it all the same, as on an order of an earlier leader or document.
TEST_CASE("a text whose sampler loads other weights begins again")
{
  const bool relayed = GENERATE(false, true);
  CAPTURE(relayed);
  single_version_test test;
  std::optional<relay_node> relay;
  if (relayed) {
    relay.emplace(test);
  }
  test.samplers.ordersUnanswered = true;
  const auto leader = test.StartLeader(1);
  leader->SetNewestVersion("m", 2);
  leader->Submit(test.Request("b", 4), [] {});
  test.loop.Advance(milliseconds(150));
  test.LoadEverywhere(2);
  test.loop.Advance(milliseconds(3'000));
  CHECK(AllOfOneVersion(*leader->Find("b", "acme"), 6));
}

// Guards against events of several versions that were kept where these were
// allowed, and go on, or are listed, where they aren't.
TEST_CASE("kept events of several versions aren't used on such a route")
{
  const std::size_t events = GENERATE(std::size_t{ 6 }, std::size_t{ 20 });
  CAPTURE(events);
  single_version_test test(false);
  auto leader = test.StartLeader(1);
  test.samplers.events = events;
  test.scorer.latency = milliseconds(900);
  batch_request first = test.Request("b1", 2);
  for (batch_item& item : first.items) {
    item.reward = reward_request{ "w-" + item.id, "h.example", "/s/x", "" };
  }
  leader->Submit(first, [] {});
  test.loop.Advance(milliseconds(150));
  test.LoadEverywhere(2);
  test.loop.Advance(milliseconds(400));
  const item_progress& kept =
    leader->Find("b1", "acme")->Items().front().progress;
  REQUIRE(kept.DistinctVersions().size() == 2);
  SECTION("in a later batch with the same items")
  {
    leader->End(*leader->Find("b1", "acme"), [] {});
    test.loop.Advance(milliseconds(100));
    test.SetSingle(true);
    leader->Submit(test.Request("b2", 2), [] {});
    test.loop.Advance(milliseconds(4'000));
    CHECK(AllOfOneVersion(*leader->Find("b2", "acme"), events));
  }
  SECTION("after a change of the document")
  {
    test.SetSingle(true);
    // Runs that haven't ended break, so that their items wait with events.
    for (const auto& sent : test.client.Open()) {
      sent->Fail(exchange_failure::Broken);
    }
    test.loop.Advance(milliseconds(4'000));
    CHECK(AllOfOneVersion(*leader->Find("b1", "acme"), events));
  }
  SECTION("at the next leader")
  {
    test.loop.Advance(milliseconds(500));
    leader.reset();
    test.SetSingle(true);
    leader = test.StartLeader(2);
    test.loop.Advance(milliseconds(4'000));
    CHECK(AllOfOneVersion(*leader->Find("b1", "acme"), events));
  }
}
