#pragma once

#include "arbutusferry/node/ferry_node.hpp"
#include "arbutusferry/node/run_relay.hpp"

#include "batch_handler.hpp"
#include "http_protocols.hpp"
#include "record_observers.hpp"
#include "request_handlers.hpp"
#include "support/ignored_duties.hpp"
#include "support/leader_fixture.hpp"

#include <catch2/catch.hpp>

namespace arbutusferry::node {

/// Two nodes with one store, of which the first leads. Messages between them
/// arrive at once; requests to targets are recorded.
class leading_pair
{
public:
  explicit leading_pair(const std::string& aManifest)
  {
    SetManifest(aManifest, 1);
    for (auto* process : { &mLeader, &mFollower }) {
      process->client.onSend = [this](const auto& aSent) { Carry(aSent); };
      process->node.NoteOrdersRead();
      process->node.Start();
      loop.Advance(std::chrono::seconds(5));
    }
    REQUIRE(mLeader.node.Leader());
    REQUIRE(mFollower.node.OtherLeader());
  }

  /// Applies an environment document at both nodes.
  void SetManifest(const std::string& aManifest, std::uint64_t aOffset)
  {
    for (auto* process : { &mLeader, &mFollower }) {
      process->operatorRecords.OnRecord("config", &aManifest, aOffset);
    }
  }
  /// Sends a caller's request to the leader, or to the other node.
  std::shared_ptr<recording_responder> Send(bool aLeader,
                                            const http_request& aRequest)
  {
    auto answer = std::make_shared<recording_responder>();
    (aLeader ? mLeader : mFollower).callers.Handle(aRequest, answer);
    return answer;
  }
  /// Sends a caller's request and waits for the response.
  http_response Call(bool aLeader, const http_request& aRequest)
  {
    const auto answer = Send(aLeader, aRequest);
    loop.Advance(std::chrono::milliseconds(1'200));
    CHECK(answer->answers == 1);
    return answer->response;
  }
  /// Sends a message of a node to the leader.
  http_response CallAsNode(const http_request& aRequest)
  {
    const auto answer = std::make_shared<recording_responder>();
    mLeader.peers.Handle(aRequest, answer);
    loop.Advance(std::chrono::milliseconds(50));
    return answer->response;
  }
  /// Adds a sampler of the service `models` that has a model `m`.
  void AddSampler()
  {
    target_entry sampler;
    sampler.id = "s1";
    sampler.service = "models";
    sampler.address = { "10.0.0.1", 80 };
    sampler.modelVersions = { { "m", 1 } };
    AddTarget(std::move(sampler));
  }
  /// Adds a target of the service `desk`.
  void AddPlainTarget()
  {
    target_entry target;
    target.id = "d1";
    target.service = "desk";
    target.address = { "10.0.0.2", 80 };
    AddTarget(std::move(target));
  }
  [[nodiscard]] batch_leader& Batches() { return *mLeader.node.Leader(); }

  manual_loop loop;
  /// Requests to targets, in order.
  std::vector<std::shared_ptr<scripted_client::sent>> toTargets;
  /// Messages from the other node to the leader.
  std::vector<http_request> messages;

private:
  struct process
  {
    process(manual_loop& aLoop, memory_store& aStore, std::string aVm)
      : log(aLoop, aStore)
      , node({ aLoop, client, log, protocol, callerProtocol, duties },
             Settings(std::move(aVm)))
    {
    }
    static node_settings Settings(std::string aVm)
    {
      node_settings settings;
      settings.peerAddress = { aVm == "vm1" ? "10.0.1.1" : "10.0.1.2", 9'000 };
      settings.vm = std::move(aVm);
      settings.zone = "z";
      settings.zones = { "z" };
      return settings;
    }

    scripted_client client;
    memory_log log;
    platform::http_target_protocol protocol;
    platform::http_caller_protocol callerProtocol;
    ignored_duties duties;
    ferry_node node;
    platform::batch_handler batches{ node, client };
    platform::caller_handler callers{ node, batches };
    platform::operator_record_observer operatorRecords{ node };
    run_relay peers{ { node.Loop(),
                       node.TargetClient(),
                       protocol,
                       [this] { return node.HighestFence(); },
                       [] {},
                       batches } };
  };

  void AddTarget(target_entry aTarget)
  {
    aTarget.zone = "z";
    aTarget.slots = 4;
    for (auto* process : { &mLeader, &mFollower }) {
      process->node.UpdateTarget(aTarget);
    }
  }
  void Carry(const std::shared_ptr<scripted_client::sent>& aSent)
  {
    if (aSent->peer.port != 9'000) {
      toTargets.push_back(aSent);
      return;
    }
    loop.Post(std::chrono::milliseconds(1), [this, aSent] {
      messages.push_back(aSent->request);
      process& receiver = aSent->peer.ip == "10.0.1.1" ? mLeader : mFollower;
      receiver.peers.Handle(aSent->request,
                            std::make_shared<sink_responder>(aSent));
    });
  }

  memory_store mStore;
  process mLeader{ loop, mStore, "vm1" };
  process mFollower{ loop, mStore, "vm2" };
};

} // namespace arbutusferry::node
