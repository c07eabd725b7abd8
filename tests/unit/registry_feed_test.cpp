#include "support/registry_fleet.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr int kTargets = 300;

std::string
Id(int aIndex)
{
  return "t" + std::to_string(aIndex);
}

std::unique_ptr<registry_fleet>
StartedFleet(int aNodes)
{
  auto fleet = std::make_unique<registry_fleet>(aNodes);
  for (int index = 0; index < kTargets; ++index) {
    fleet->Put(Id(index), "1");
  }
  for (const auto& member : fleet->members) {
    member->log.pageEntries = 100;
  }
  fleet->Start();
  fleet->loop.Advance(milliseconds(3'000));
  return fleet;
}

bool
Draining(const fleet_member& aMember, const std::string& aId)
{
  const auto found = aMember.targets.find(aId);
  return found != aMember.targets.end() && found->second.draining;
}

} // namespace

// Guards against messages between nodes and other reads than today's where the
// store can serve every node.
TEST_CASE("a small deployment sends no message")
{
  registry_fleet fleet(4);
  fleet.size = { 60, 122, GENERATE(80.0, 0.0) };
  fleet.Put("a", "1");
  fleet.Start();
  fleet.loop.Advance(milliseconds(5'000));
  CHECK(fleet.messages == 0);
  CHECK(fleet.All([](const fleet_member& aMember) {
    return aMember.targets.size() == 1 && !aMember.follower.Paused() &&
           aMember.registry.Source() == source_reason::Small;
  }));
}

// Guards against a change that a follower doesn't get, or gets too late.
TEST_CASE("followers know what their reader reads")
{
  const auto fleet = StartedFleet(8);
  CHECK(fleet->CountReading() == source_choice::kReaders);
  CHECK(fleet->All([](const fleet_member& aMember) {
    return aMember.targets.size() == kTargets && aMember.reads > 0;
  }));
  fleet->Put(Id(1), "d1");
  fleet->Put(Id(2), "");
  fleet->Put(Id(3), "2");
  fleet->Put("new", "1");
  fleet->loop.Advance(milliseconds(500));
  CHECK(fleet->All([](const fleet_member& aMember) {
    return Draining(aMember, Id(1)) && !aMember.targets.contains(Id(2)) &&
           aMember.targets.at(Id(3)).modelVersions.at("m") == 2 &&
           aMember.targets.contains("new");
  }));
}

// Guards against the load that the feed is to avoid, and against a report of an
// ended target that stays although the target writes again.
TEST_CASE("repeated records reach followers only where they matter")
{
  const auto fleet = StartedFleet(4);
  const fleet_member& follower = *fleet->Find(source_reason::Follower);
  const std::size_t before = follower.updates;
  for (int index = 0; index < kTargets; ++index) {
    fleet->Put(Id(index), "1");
  }
  fleet->loop.Advance(milliseconds(1'000));
  CHECK(follower.updates == before);
  // All nodes read the reports of ended targets, the reader among them.
  for (const auto& member : fleet->members) {
    member->endReported.insert(Id(5));
  }
  fleet->Put(Id(5), "1");
  fleet->Put(Id(6), "1");
  fleet->loop.Advance(milliseconds(1'000));
  CHECK(follower.updates == before + 1);
}

// Guards against a leaving target that isn't known within 3,000 ms because the
// reader was killed or frozen at that moment.
TEST_CASE("a target leaves while its reader fails")
{
  const bool frozen = GENERATE(false, true);
  const auto fleet = StartedFleet(8);
  const std::size_t updates = fleet->Find(source_reason::Follower)->updates;
  fleet_member& reader = *fleet->Find(source_reason::Reader);
  fleet->Put(Id(1), "d1");
  fleet->Put(Id(2), "");
  reader.killed = true;
  if (frozen) {
    reader.killed = false;
    reader.frozen = true;
  }
  fleet->loop.Advance(milliseconds(1'500));
  for (const auto& member : fleet->members) {
    if (member.get() != &reader) {
      CHECK(Draining(*member, Id(1)));
      CHECK_FALSE(member->targets.contains(Id(2)));
    }
  }
  // The standby needs no snapshot to go on where the reader ended.
  CHECK(fleet->Find(source_reason::Follower)->updates <= updates + 10);
}

// Guards against followers without a source when reader and standby are lost
// together.
TEST_CASE("a target leaves while reader and standby freeze")
{
  const auto fleet = StartedFleet(8);
  fleet_member& reader = *fleet->Find(source_reason::Reader);
  fleet_member& standby = *fleet->Find(source_reason::Standby);
  reader.frozen = standby.frozen = true;
  fleet->Put(Id(1), "d1");
  fleet->loop.Advance(milliseconds(2'900));
  for (const auto& member : fleet->members) {
    if (member.get() != &reader && member.get() != &standby) {
      CHECK(Draining(*member, Id(1)));
    }
  }
}

// Guards against a rollout that stops target updates: old builds answer 404.
TEST_CASE("nodes with an old build aren't followed for long")
{
  registry_fleet fleet(5);
  for (std::size_t index = 0; index < 4; ++index) {
    fleet.members[index]->oldBuild = true;
  }
  fleet.Put("a", "1");
  fleet.members[4]->registry.Start(fleet.members[4]->follower);
  fleet.loop.Advance(milliseconds(1'500));
  CHECK(fleet.members[4]->targets.contains("a"));
  CHECK(fleet.members[4]->Reads());
}

// Guards against 300 listings by nodes that start while the store is away and
// don't know yet that their zones have readers.
TEST_CASE("no target is read before the operator's records")
{
  registry_fleet fleet(4);
  fleet.Put("a", "1");
  for (const auto& member : fleet.members) {
    member->operatorRead = false;
    member->nodesRead = false;
  }
  fleet.Start();
  fleet.loop.Advance(milliseconds(5'000));
  CHECK(fleet.All(
    [](const fleet_member& aMember) { return aMember.targets.empty(); }));
  CHECK(fleet.messages == 0);
  for (const auto& member : fleet.members) {
    member->operatorRead = true;
  }
  // The addresses of nodes may stay unknown.
  fleet.loop.Advance(milliseconds(400));
  CHECK(fleet.messages == 0);
  fleet.loop.Advance(milliseconds(1'000));
  CHECK(fleet.CountReading() == source_choice::kReaders);
  CHECK(fleet.All(
    [](const fleet_member& aMember) { return aMember.targets.contains("a"); }));
}

// Guards against a large deployment that looks small, and a listing of the
// store by every node, while the first targets arrive.
TEST_CASE("a start isn't interrupted by the number of targets so far")
{
  registry_fleet fleet(6);
  fleet.size = { 300, kTargets, 30.0 };
  REQUIRE(NeedsZoneReaders(fleet.size, false));
  REQUIRE_FALSE(NeedsZoneReaders({ 300, 100, 30.0 }, true));
  for (int index = 0; index < kTargets; ++index) {
    fleet.Put(Id(index), "1");
  }
  for (const auto& member : fleet.members) {
    member->countsTargets = true;
    member->log.pageEntries = 100;
    member->log.latency = milliseconds(150);
  }
  fleet.Start();
  for (int step = 0; step < 60; ++step) {
    fleet.loop.Advance(milliseconds(50));
    CHECK(fleet.CountReading() == source_choice::kReaders);
  }
  CHECK(fleet.All([](const fleet_member& aMember) {
    return aMember.targets.size() == kTargets;
  }));
}

// Guards against updates that stop, and against listings of the store, when the
// deployment grows past the threshold or shrinks again.
TEST_CASE("the source changes with the deployment's size")
{
  registry_fleet fleet(6);
  fleet.size.nodes = 10;
  for (int index = 0; index < 50; ++index) {
    fleet.Put(Id(index), "1");
  }
  fleet.Start();
  fleet.loop.Advance(milliseconds(2'000));
  REQUIRE(fleet.CountReading() == 6);
  fleet.size.nodes = 300;
  fleet.Put(Id(1), "");
  fleet.loop.Advance(milliseconds(3'000));
  CHECK(fleet.CountReading() == source_choice::kReaders);
  CHECK(fleet.All([](const fleet_member& aMember) {
    return !aMember.targets.contains(Id(1));
  }));
  fleet.Put(Id(2), "");
  fleet.size.nodes = 10;
  const std::size_t updates = fleet.members[0]->updates;
  fleet.loop.Advance(milliseconds(1'000));
  CHECK(fleet.CountReading() == 6);
  CHECK(fleet.All([](const fleet_member& aMember) {
    return !aMember.targets.contains(Id(2)) && aMember.targets.size() == 48;
  }));
  CHECK(fleet.members[0]->updates == updates);
  const std::size_t messages = fleet.messages;
  fleet.loop.Advance(milliseconds(5'000));
  CHECK(fleet.messages == messages);
}

// Guards against all nodes at the store when it returns, and against targets
// that are lost or revert meanwhile.
TEST_CASE("the store goes away and returns")
{
  const auto fleet = StartedFleet(8);
  for (const auto& member : fleet->members) {
    member->log.down = true;
  }
  fleet->loop.Advance(milliseconds(20'000));
  CHECK(fleet->All([](const fleet_member& aMember) {
    return aMember.targets.size() == kTargets;
  }));
  fleet->Put(Id(1), "d1");
  fleet->Put(Id(2), "");
  if (GENERATE(false, true)) {
    fleet->store.Compact();
  }
  for (const auto& member : fleet->members) {
    member->log.down = false;
  }
  std::size_t most = 0;
  for (int step = 0; step < 30; ++step) {
    fleet->loop.Advance(milliseconds(100));
    most = std::max(most, fleet->CountReading());
  }
  CHECK(most <= 3);
  CHECK(fleet->All([](const fleet_member& aMember) {
    return Draining(aMember, Id(1)) && !aMember.targets.contains(Id(2));
  }));
}

// Guards against followers that keep the view of a reader which has lost only
// its own link to the store.
TEST_CASE("a reader is cut off from the store")
{
  const auto fleet = StartedFleet(8);
  fleet_member& reader = *fleet->Find(source_reason::Reader);
  reader.log.down = true;
  fleet->Put(Id(1), "d1");
  fleet->loop.Advance(milliseconds(3'000));
  CHECK(fleet->All(
    [](const fleet_member& aMember) { return Draining(aMember, Id(1)); }));
}

// Guards against a target that comes back from the older view of another
// reader after this node has learned of its removal.
TEST_CASE("a follower's view never goes back")
{
  manual_loop loop;
  scripted_client client;
  struct recording_sink final : target_sink
  {
    void UpdateTarget(const target_entry& aTarget, std::uint64_t) override
    {
      present.insert(aTarget.id);
    }
    void RemoveTarget(const std::string& aId, std::uint64_t) override
    {
      present.erase(aId);
    }
    void NoteTargetsRead(duration aAge) override
    {
      ++reads;
      age = aAge;
    }
    std::set<std::string> present{ "a", "b" };
    int reads = 0;
    duration age{};
  } sink;
  std::vector<bool> behind;
  feed_follower follower(
    { loop,
      client,
      sink,
      [&](const std::string&, const feed_head&, bool aBehind) {
        behind.push_back(aBehind);
      },
      [](const std::string&, feed_failure) {} });
  follower.SetKnown(100, { { "a", 90 }, { "b", 50 } });
  follower.Follow({ "vm1", { "127.0.0.1", 1 }, 0.5 });
  target_changes older("vm1/1");
  target_entry entry;
  entry.service = "sampler";
  entry.address = { "127.0.0.1", 9'000 };
  for (const char* id : { "b", "removed" }) {
    entry.id = id;
    older.Update(entry, 60, false);
  }
  const auto answer = [&](std::uint64_t aNext) {
    const auto page =
      older.After(ReadFeedRequest(client.Open().front()->request)->cursor);
    const auto response = MakeFeedResponse(
      { page.next, aNext, milliseconds(5), page.snapshot, page.more },
      page.text);
    client.Open().front()->Answer(200, response.headers, response.body);
  };
  // The snapshot lacks "a", whose record this reader hasn't read yet.
  answer(80);
  CHECK(sink.present == std::set<std::string>{ "a", "b" });
  CHECK(behind == std::vector<bool>{ true });
  CHECK(sink.reads == 0);
  CHECK_FALSE(follower.Fresh());
  CHECK(follower.NextOffset() == 100);
  answer(120);
  CHECK(sink.reads == 1);
  CHECK(sink.age == milliseconds(5));
  CHECK(follower.NextOffset() == 120);
  CHECK(follower.Fresh());
}

// Guards against a reader that runs out of memory or descriptors.
TEST_CASE("polls that wait are bounded and end with their time")
{
  manual_loop loop;
  target_changes changes("vm/1");
  feed_service service(
    { loop, [&] {
       return feed_service::view{ &changes, false, 7, milliseconds(1) };
     } });
  const auto poll = [&] {
    auto out = std::make_shared<recording_responder>();
    service.Serve(MakeFeedRequest({ { "vm/1", 0, 0, 0 }, milliseconds(300) }),
                  out);
    return out;
  };
  const auto first = poll();
  const auto left = poll();
  left->Leave();
  for (std::size_t index = 2; index < feed_service::kMaxWaiting; ++index) {
    (void)poll();
  }
  const auto over = poll();
  CHECK(over->response.status == 503);
  CHECK(first->answers == 0);
  loop.Advance(milliseconds(350));
  CHECK(first->response.status == 200);
  CHECK(left->answers == 0);
  CHECK(service.Waiting() == 0);
  auto malformed = std::make_shared<recording_responder>();
  http_request request;
  request.target = kFeedPath;
  service.Serve(request, malformed);
  CHECK(malformed->response.status == 400);
}
