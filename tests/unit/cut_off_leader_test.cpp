#include "arbutusferry/node/ferry_node.hpp"

#include "http_protocols.hpp"
#include "support/ignored_duties.hpp"
#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr const char* kNodeIp = "10.0.1.1";

/// Whole nodes with one store, and samplers that accept connections of nodes
/// whose links are up.
struct leader_fleet
{
  explicit leader_fleet(int aNodes)
  {
    for (int index = 0; index < aNodes; ++index) {
      members.push_back(std::make_unique<member>(*this, index));
    }
    for (const auto& added : members) {
      for (int index = 0; index < 4; ++index) {
        target_entry entry;
        entry.id = "s" + std::to_string(index);
        entry.service = "models";
        entry.address = { "10.0.0." + std::to_string(index + 1), 80 };
        entry.zone = "z";
        added->node.UpdateTarget(entry);
      }
      added->node.NoteOrdersRead();
      added->node.Start();
    }
  }

  struct member
  {
    member(leader_fleet& aFleet, int aIndex)
      : fleet(aFleet)
      , node({ fleet.loop,
               client,
               log,
               fleet.protocol,
               fleet.callers,
               fleet.duties },
             Settings(aIndex))
    {
      client.onSend = [this](const auto& aSent) { OnSend(aSent); };
      client.onProbe = [this](const auto& aProbe) {
        fleet.loop.Post(milliseconds(1), [this, aProbe] {
          aProbe.done(linked ? std::nullopt
                             : std::optional(exchange_failure::Refused));
        });
      };
    }

    static node_settings Settings(int aIndex)
    {
      node_settings settings;
      settings.vm = "vm" + std::to_string(aIndex);
      settings.zone = "z";
      settings.peerAddress = { kNodeIp,
                               static_cast<std::uint16_t>(aIndex + 1) };
      settings.zones = { "z" };
      return settings;
    }

    void OnSend(const std::shared_ptr<scripted_client::sent>& aSent)
    {
      fleet.loop.Post(milliseconds(1), [this, aSent] {
        if (aSent->peer.ip == kNodeIp) {
          ferry_node& peer = fleet.members[aSent->peer.port - 1U]->node;
          const auto answer = std::make_shared<sink_responder>(aSent);
          if (target_gateway::IsGatewayPath(aSent->request.target)) {
            peer.Gateway().Serve(aSent->request, answer);
          } else {
            aSent->Answer(404);
          }
        } else if (linked) {
          aSent->Answer(200, { { "Arbutusferry-Server-Stamp", "s" } });
        } else {
          aSent->Fail(exchange_failure::Refused);
        }
      });
    }

    leader_fleet& fleet;
    scripted_client client;
    memory_log log{ fleet.loop, fleet.store };
    bool linked = true; ///< To all samplers.
    ferry_node node;
  };

  /// @return Index of the leader, or -1.
  [[nodiscard]] int Leader() const
  {
    for (std::size_t index = 0; index < members.size(); ++index) {
      if (members[index]->node.Leader()) {
        return static_cast<int>(index);
      }
    }
    return -1;
  }

  /// Makes a node notice whether it reaches targets.
  void Send(int aMember)
  {
    exchange_options options;
    options.directOnly = true;
    members[static_cast<std::size_t>(aMember)]->node.TargetClient().Send(
      { "10.0.0.1", 80 },
      {},
      options,
      std::make_shared<response_collector>(
        [](const http_response*, exchange_failure) {}));
  }

  manual_loop loop;
  memory_store store;
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_duties duties;
  std::vector<std::unique_ptr<member>> members;
};

} // namespace

// Guards against weights that are not ordered and steps that wait while the
// leader is cut off from all samplers and other nodes reach them.
TEST_CASE("a leader that is cut off from all targets hands over")
{
  leader_fleet fleet(4);
  fleet.loop.Advance(milliseconds(4'000));
  const int first = fleet.Leader();
  REQUIRE(first >= 0);
  // Half of the others are cut off too; they must not take over.
  const auto cut = [&](int aMember) {
    return aMember == first || aMember == (first + 1) % 4;
  };
  for (int index = 0; index < 4; ++index) {
    fleet.members[static_cast<std::size_t>(index)]->linked = !cut(index);
  }
  fleet.Send(first);
  fleet.loop.Advance(milliseconds(3'000));
  const int second = fleet.Leader();
  REQUIRE(second >= 0);
  CHECK_FALSE(cut(second));
  fleet.loop.Advance(milliseconds(10'000));
  CHECK(fleet.Leader() == second);
}

// Guards against a leadership that changes hands again and again while nobody
// reaches the samplers.
TEST_CASE("a leader stays when no other node reaches targets either")
{
  leader_fleet fleet(3);
  fleet.loop.Advance(milliseconds(4'000));
  const int first = fleet.Leader();
  REQUIRE(first >= 0);
  for (const auto& entry : fleet.members) {
    entry->linked = false;
  }
  for (int second = 0; second < 8; ++second) {
    for (int index = 0; index < 3; ++index) {
      fleet.Send(index);
    }
    fleet.loop.Advance(milliseconds(1'000));
  }
  CHECK(fleet.Leader() == first);
}
