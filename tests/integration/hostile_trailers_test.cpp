#include "support/hostile_clients.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry::hostile;

namespace {

constexpr std::size_t kClients = 12;
/// Three times the machine's memory in all.
constexpr std::size_t kTrailerBytes = std::size_t{ 30 } << 20;

std::unique_ptr<hostile_client>
TrailerClient(std::uint16_t aPort, std::size_t aIndex)
{
  const std::string head = PostHead("trailer-" + std::to_string(aIndex)) +
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "5\r\nhello\r\n0\r\n";
  return std::make_unique<hostile_client>(
    aPort, [head](std::size_t aSent) -> std::string {
      if (aSent < head.size()) {
        return head.substr(aSent);
      }
      return Repeated(
        "X-Trailer: 0123456789abcdef\r\n", aSent - head.size(), kTrailerBytes);
    });
}

} // namespace

// Guards against a process that keeps all trailers of a chunked body, without a
// bound, until it runs out of memory.
TEST_CASE("endless trailers stay within the machine's memory")
{
  node_under_attack node(machine{});
  {
    client_list clients;
    for (std::size_t index = 0; index < kClients; ++index) {
      clients.push_back(TrailerClient(node.CallerPort(), index));
    }
    SendInTurn(clients);
    node.CheckWithinMachine();
    node.AwaitOrdinaryRequest();
  }
  node.AwaitMemoryReleased();
  node.AwaitOrdinaryRequest();
  node.CheckWithinMachine();
}
