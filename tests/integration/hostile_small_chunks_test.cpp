#include "support/hostile_clients.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace arbutusferry::hostile;

namespace {

constexpr std::size_t kClients = 32;
/// 4 MiB of payload for each client in chunks of two bytes, which take seven
/// bytes each: twice the machine's memory in all.
constexpr std::size_t kChunks = std::size_t{ 2 } << 20;
/// Half of the smallest machine's memory, so that a node which parses small
/// chunks slowly is filled within seconds.
constexpr std::size_t kMemoryMb = 64;

/// @return Whether a client stops short of its body's end: three of four do.
bool
StopsShort(std::size_t aIndex)
{
  return aIndex % 4 != 0;
}

client_list
ChunkClients(std::uint16_t aPort)
{
  const std::string chunk = "2\r\nxx\r\n";
  client_list clients;
  for (std::size_t index = 0; index < kClients; ++index) {
    const std::string head = PostHead("chunks-" + std::to_string(index)) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    const std::string last = StopsShort(index) ? "" : "0\r\n\r\n";
    clients.push_back(std::make_unique<hostile_client>(
      aPort, [=](std::size_t aSent) -> std::string {
        if (aSent < head.size()) {
          return head.substr(aSent);
        }
        const std::size_t end = kChunks * chunk.size();
        const std::size_t sent = aSent - head.size();
        return sent < end ? Repeated(chunk, sent, end)
                          : last.substr(std::min(sent - end, last.size()));
      }));
  }
  return clients;
}

} // namespace

// Guards against bodies in very small chunks, which cost more than the bytes
// that they carry, and that together exceed the machine's memory.
TEST_CASE("bodies in small chunks stay within the machine's memory")
{
  node_under_attack node(machine{ .memoryMb = kMemoryMb });
  {
    client_list clients = ChunkClients(node.CallerPort());
    SendInTurn(clients);
    node.CheckWithinMachine();
    node.AwaitOrdinaryRequest();
  }
  node.AwaitMemoryReleased();
  node.AwaitOrdinaryRequest();
  node.CheckWithinMachine();
}
