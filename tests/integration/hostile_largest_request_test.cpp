#include "support/hostile_clients.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry::hostile;

// Guards against limits that refuse the largest legal request to an idle node,
// and against copies of its body that don't fit into the smallest machine.
TEST_CASE("the largest legal request is served on the smallest machine")
{
  const std::string body(std::size_t{ 32 } << 20, 'x');
  node_under_attack node(machine{});
  for (int count = 0; count < 3; ++count) {
    CHECK(node.Send("/i/largest", body).status == 200);
    CHECK(node.SendChunked("/i/largest", body).status == 200);
  }
  node.CheckWithinMachine();
  node.AwaitMemoryReleased();
}
