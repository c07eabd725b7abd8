#include "support/hostile_clients.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace arbutusferry::hostile;

namespace {

/// More than the machine's descriptors.
constexpr std::size_t kClients = 400;

} // namespace

// Guards against open connections that take all descriptors, so that none is
// left for targets, the store and other nodes.
TEST_CASE("many connections leave descriptors for the node's own")
{
  node_under_attack node(machine{});
  {
    client_list clients;
    for (std::size_t index = 0; index < kClients; ++index) {
      const std::string head = PostHead("part-" + std::to_string(index));
      clients.push_back(std::make_unique<hostile_client>(
        node.CallerPort(), [head](std::size_t aSent) -> std::string {
          return head.substr(std::min(aSent, head.size()));
        }));
    }
    SendInTurn(clients);
    node.CheckWithinMachine();
    node.AwaitOrdinaryRequest();
    node.CheckWithinMachine();
  }
  node.AwaitOrdinaryRequest();
  node.CheckWithinMachine();
}
