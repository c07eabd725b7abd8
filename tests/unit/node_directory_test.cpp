#include "arbutusferry/node/node_directory.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

node_entry
Node(const std::string& aVm, const std::string& aZone, const char* aRun = "1")
{
  return { aVm, aVm + "/" + aRun, aZone, { "10.0.0." + aVm.substr(1), 9000 } };
}

node_directory
Directory()
{
  node_directory nodes("n1/1");
  for (const char* vm : { "n1", "n2", "n3" }) {
    nodes.Update(Node(vm, "a"));
  }
  nodes.Update(Node("n4", "b"));
  return nodes;
}

} // namespace

TEST_CASE(
  "a sampler's relay is in its zone, is not the leader, and stays the same")
{
  node_directory nodes = Directory();
  std::set<std::string> used;
  for (int index = 0; index < 50; ++index) {
    const std::string sampler = "s" + std::to_string(index);
    const auto relay = nodes.ChooseRelay(sampler, "a", kStart);
    REQUIRE(relay);
    CHECK(relay->zone == "a");
    used.insert(relay->vm);
    CHECK(nodes.ChooseRelay(sampler, "a", kStart + seconds(9))->vm ==
          relay->vm);
  }
  CHECK(used == std::set<std::string>{ "n2", "n3" });
  CHECK(nodes.ChooseRelay("s", "b", kStart)->vm == "n4");
  CHECK_FALSE(nodes.ChooseRelay("s", "c", kStart));
  nodes.Remove("n4");
  CHECK_FALSE(nodes.ChooseRelay("s", "b", kStart));
}

// Guards against items that repeatedly wait for an unreachable node.
TEST_CASE("an unreachable node is backed off, longer each time")
{
  node_directory nodes = Directory();
  const socket_address gone = Node("n4", "b").address;
  nodes.NoteFailure(gone, kStart);
  CHECK_FALSE(nodes.ChooseRelay("s", "b", kStart + milliseconds(900)));
  CHECK(nodes.ChooseRelay("s", "b", kStart + milliseconds(1'000)));
  nodes.NoteFailure(gone, kStart + seconds(1));
  // Further failures of calls that were in progress don't count.
  nodes.NoteFailure(gone, kStart + seconds(1));
  CHECK_FALSE(nodes.ChooseRelay("s", "b", kStart + milliseconds(2'900)));
  CHECK(nodes.ChooseRelay("s", "b", kStart + seconds(3)));
  // A restart clears the backoff.
  nodes.NoteFailure(gone, kStart + seconds(3));
  nodes.Update(Node("n4", "b", "2"));
  CHECK(nodes.ChooseRelay("s", "b", kStart + seconds(3)));
}

// Load pattern: a relaying node freezes, or one sampler falls silent. Guards
// against backing off all samplers of a zone because of one node.
TEST_CASE("silence is attributed to a node only if nothing arrives through it")
{
  node_directory nodes = Directory();
  const socket_address address = Node("n4", "b").address;
  nodes.NoteAlive(address, kStart);
  CHECK_FALSE(nodes.NoteSilence(address, kStart + milliseconds(100)));
  CHECK(nodes.ChooseRelay("s", "b", kStart + milliseconds(100)));
  CHECK(nodes.NoteSilence(address, kStart + milliseconds(400)));
  CHECK_FALSE(nodes.ChooseRelay("s", "b", kStart + milliseconds(400)));
  // The other streams through it get the same result.
  CHECK(nodes.NoteSilence(address, kStart + milliseconds(450)));
}

TEST_CASE("a node's clock advances from its last response")
{
  node_directory nodes = Directory();
  CHECK_FALSE(nodes.ClockOf("n4", kStart));
  nodes.NoteClock(Node("n4", "b").address, 5'000, kStart);
  CHECK(nodes.ClockOf("n4", kStart + milliseconds(700)) == 5'700);
  // A new incarnation may run on another machine.
  nodes.Update(Node("n4", "b", "2"));
  CHECK_FALSE(nodes.ClockOf("n4", kStart));
}

TEST_CASE("node records survive encoding, and malformed ones are refused")
{
  const auto node = DecodeNode(EncodeNode(Node("n2", "a")));
  REQUIRE(node);
  CHECK(node->vm == "n2");
  CHECK(node->instance == "n2/1");
  CHECK(node->zone == "a");
  CHECK(node->address == Node("n2", "a").address);
  CHECK_FALSE(DecodeNode("{}"));
  CHECK_FALSE(DecodeNode("nothing"));
  CHECK_FALSE(DecodeNode(R"({"vm":"n","address":"host:1"})"));
}
