#include "support/hostile_clients.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry::hostile;

namespace {

constexpr std::size_t kClients = 12;
/// Within the limit of one request; three times the machine's memory in all.
constexpr std::size_t kBodyBytes = std::size_t{ 30 } << 20;
constexpr std::size_t kShortBy = 10;

/// Every fourth client completes its body; the others stop short of its end.
client_list
BodyClients(std::uint16_t aPort)
{
  client_list clients;
  for (std::size_t index = 0; index < kClients; ++index) {
    const std::string head = PostHead("body-" + std::to_string(index)) +
                             "Content-Length: " + std::to_string(kBodyBytes) +
                             "\r\n\r\n";
    const std::size_t end = kBodyBytes - (index % 4 == 0 ? 0 : kShortBy);
    clients.push_back(std::make_unique<hostile_client>(
      aPort, [head, end](std::size_t aSent) -> std::string {
        if (aSent < head.size()) {
          return head.substr(aSent);
        }
        return Repeated("0123456789abcdef", aSent - head.size(), end);
      }));
  }
  return clients;
}

void
CheckAttack(void (*aSend)(client_list&))
{
  node_under_attack node(machine{});
  {
    client_list clients = BodyClients(node.CallerPort());
    aSend(clients);
    node.CheckWithinMachine();
    node.AwaitOrdinaryRequest();
  }
  node.AwaitMemoryReleased();
  node.AwaitOrdinaryRequest();
  node.CheckWithinMachine();
}

} // namespace

// Both guard against bodies that are legal one by one and that together exceed
// the machine's memory, since nothing adds them up.
TEST_CASE("large bodies sent whole stay within the machine's memory")
{
  CheckAttack(SendWhole);
}

TEST_CASE("large bodies sent piece by piece stay within the machine's memory")
{
  CheckAttack(SendInTurn);
}
