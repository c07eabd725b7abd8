#pragma once

#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/crash_watch.hpp"
#include "arbutusferry/node/peer_handler.hpp"
#include "arbutusferry/node/software_watch.hpp"

#include "http_protocols.hpp"
#include "support/leader_fixture.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Nodes that forward calls to the targets of one plain service, with targets
/// that end and start again.
class call_fleet
{
public:
  static constexpr const char* kService = "desk";
  static constexpr const char* kNodeIp = "10.0.1.1";
  /// Body of a request that makes each target end that begins to run it.
  static constexpr const char* kCrashingBody = "crash";
  /// Time for which a target runs a request.
  static constexpr std::chrono::milliseconds kRunTime{ 5 };
  /// Interval at which targets write to the registry.
  static constexpr std::chrono::milliseconds kHeartbeat{ 1'200 };

  /// A node's links to all targets.
  enum class link_state
  {
    Up,
    Silent,  ///< Nothing arrives; connections are never made.
    Refused, ///< New connections are refused.
  };

  struct target
  {
    target_entry entry;
    bool up = true;
    int starts = 1;
    std::vector<std::shared_ptr<scripted_client::sent>> running;
    std::vector<time_point> arrivals; ///< Of requests that it runs.
  };

  struct fleet_node
  {
    fleet_node(call_fleet& aFleet, int aIndex)
      : index(aIndex)
      , fleet(aFleet)
    {
      client.onSend = [this](const auto& aSent) { fleet.OnSend(*this, aSent); };
      client.onProbe = [this](const auto& aProbe) {
        fleet.OnProbe(*this, aProbe);
      };
      crashes.Start();
    }
    int index;
    call_fleet& fleet;
    std::string vm = "vm" + std::to_string(index);
    link_state link = link_state::Up; ///< To all targets.
    scripted_client client;
    target_view targets;
    node_directory directory{ vm + "/1" };
    memory_log log{ fleet.loop, fleet.store };
    software_watch software{ { fleet.loop, log, targets } };
    shared_stream_origins origins{
      { fleet.loop, client, directory, software, vm }
    };
    limit_coordinator limits{ { fleet.loop,
                                client,
                                targets,
                                [this] {
                                  return fleet.leader.value_or(index) == index;
                                },
                                [this]() -> std::optional<socket_address> {
                                  if (!fleet.leader || *fleet.leader < 0) {
                                    return std::nullopt;
                                  }
                                  return NodeAddress(*fleet.leader);
                                } } };
    target_client targetClient{
      { fleet.loop, client, directory, targets, "z" }
    };
    target_gateway gateway{ fleet.loop, targetClient };
    crash_watch crashes{ { fleet.loop, targetClient, log } };
    ignoring_handler other;
    peer_handler peers{ limits, origins, gateway, other };
    call_forwarder forwarder{ { fleet.loop,
                                targetClient,
                                targets,
                                fleet.protocol,
                                fleet.callers,
                                limits,
                                origins,
                                crashes,
                                fleet.runs,
                                fleet.metrics,
                                "z" } };
  };

  call_fleet(int aNodes, int aTargets)
  {
    for (int index = 0; index < aNodes; ++index) {
      AddNode();
    }
    for (int index = 0; index < aTargets; ++index) {
      target added;
      added.entry.id = "t" + std::to_string(index);
      added.entry.service = kService;
      added.entry.address = { "10.0.0." + std::to_string(index + 1), 80 };
      added.entry.zone = "z";
      added.entry.slots = 8;
      added.entry.bornUnixMs = loop.UnixMilliseconds();
      targets.push_back(std::move(added));
    }
    WriteHeartbeats();
  }

  /// Adds a node that knows all others, as they know it.
  void AddNode()
  {
    nodes.push_back(
      std::make_unique<fleet_node>(*this, static_cast<int>(nodes.size())));
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        node->directory.Update(
          { other->vm, other->vm + "/1", "z", NodeAddress(other->index) });
      }
    }
  }

  [[nodiscard]] static socket_address NodeAddress(int aNode)
  {
    return { kNodeIp, static_cast<std::uint16_t>(aNode + 1) };
  }

  [[nodiscard]] static http_request Request(const std::string& aBody)
  {
    http_request request;
    request.method = "POST";
    request.target = "/x";
    request.body = aBody;
    return request;
  }

  std::shared_ptr<recording_responder> Call(
    int aNode,
    const std::string& aBody,
    route_kind aKind = route_kind::Idempotent)
  {
    admitted_call call;
    call.id = "r" + std::to_string(++mCalls);
    call.team = "acme";
    call.service = kService;
    call.route.kind = aKind;
    call.route.maxAttempts = 2;
    call.route.latencyTarget = std::chrono::milliseconds(150);
    call.homes = homes;
    call.request = Request(aBody);
    call.request.headers.Add("Arbutusferry-Request-Id", call.id);
    call.deadline = loop.Now() + std::chrono::milliseconds(800);
    call.timeout = call.deadline;
    auto answer = std::make_shared<recording_responder>();
    nodes[static_cast<std::size_t>(aNode)]->forwarder.Forward(std::move(call),
                                                              answer);
    return answer;
  }

  /// Resets the connections of all targets; their processes live on.
  void ResetConnections()
  {
    for (target& entry : targets) {
      for (const auto& sent : std::exchange(entry.running, {})) {
        sent->Fail(exchange_failure::Broken);
      }
    }
  }

  /// Ends a target's process: its connections break and new ones are refused.
  /// The registry removes it 3 s later; it is back under another id after
  /// `downTime`.
  void EndTarget(std::size_t aIndex)
  {
    target& ended = targets[aIndex];
    if (!ended.up) {
      return;
    }
    ended.up = false;
    for (const auto& sent : std::exchange(ended.running, {})) {
      sent->Fail(exchange_failure::Broken);
    }
    const std::string id = ended.entry.id;
    loop.Post(std::chrono::seconds(3), [this, id] {
      for (const auto& node : nodes) {
        node->targets.Remove(id, loop.Now());
      }
    });
    loop.Post(downTime, [this, aIndex] {
      target& back = targets[aIndex];
      back.up = true;
      back.entry.id =
        "t" + std::to_string(aIndex) + "-" + std::to_string(++back.starts);
      back.entry.bornUnixMs = loop.UnixMilliseconds();
      WriteEntry(back);
    });
  }

  [[nodiscard]] std::size_t Ended() const
  {
    std::size_t ended = 0;
    for (const target& entry : targets) {
      ended += static_cast<std::size_t>(entry.starts - (entry.up ? 1 : 0));
    }
    return ended;
  }

  manual_loop loop;
  memory_store store;
  platform::http_target_protocol protocol;
  platform::http_caller_protocol callers;
  ignored_runs runs;
  metrics_registry metrics;
  std::vector<std::unique_ptr<fleet_node>> nodes;
  std::vector<target> targets;
  /// Index of the node that grants starts; -1 if none does. Unset, each does.
  std::optional<int> leader;
  home_regions homes; ///< Of the calls that are made.
  duration downTime = std::chrono::milliseconds(2'900);
  /// Time by which a process that ends closes its connections first.
  duration endDelay{};
  /// When each request with `kCrashingBody` began to run at a target.
  std::vector<time_point> crashingRuns;
  std::set<std::string> erroring; ///< Targets that respond with errors.
  int served = 0; ///< Other requests that a target ran to their end.
  std::map<std::string, int> runsOf; ///< By request id.
  std::int64_t longestDeadline = 0;  ///< In ms, that a target was given.
  /// Header that targets add to their responses, if it has a name.
  header_list::entry extraHeader;
  int relayed = 0; ///< Requests between nodes that aren't about streams.

private:
  void WriteEntry(const target& aTarget)
  {
    for (const auto& node : nodes) {
      node->targets.Update(aTarget.entry, loop.Now());
      node->crashes.NoteRecord(aTarget.entry);
    }
  }

  void WriteHeartbeats()
  {
    for (const target& entry : targets) {
      if (entry.up) {
        WriteEntry(entry);
      }
    }
    loop.Post(kHeartbeat, [this] { WriteHeartbeats(); });
  }

  void OnSend(fleet_node& aNode,
              const std::shared_ptr<scripted_client::sent>& aSent)
  {
    if (aSent->peer.ip == kNodeIp) {
      relayed +=
        shared_stream_origins::IsOriginPath(aSent->request.target) ? 0 : 1;
      loop.Post(std::chrono::milliseconds(1), [this, aSent] {
        nodes[aSent->peer.port - 1U]->peers.Handle(
          aSent->request, std::make_shared<sink_responder>(aSent));
      });
      return;
    }
    loop.Post(std::chrono::milliseconds(1), [this, &aNode, aSent] {
      switch (aNode.link) {
        case link_state::Up:
          // As the client does when the connection is made.
          if (aSent->options.mayWrite && !aSent->options.mayWrite()) {
            aSent->Fail(exchange_failure::NotSent);
          } else {
            Arrive(aSent);
          }
          break;
        case link_state::Silent:
          loop.Post(aSent->options.connectTimeout,
                    [aSent] { aSent->Fail(exchange_failure::NotSent); });
          break;
        case link_state::Refused:
          aSent->Fail(exchange_failure::Refused);
          break;
      }
    });
  }

  void OnProbe(fleet_node& aNode, const scripted_client::probe& aProbe)
  {
    loop.Post(std::chrono::milliseconds(1), [this, &aNode, aProbe] {
      if (aNode.link == link_state::Silent) {
        loop.Post(aProbe.timeout,
                  [aProbe] { aProbe.done(exchange_failure::NotSent); });
        return;
      }
      aProbe.done(TargetAt(aProbe.peer).up && aNode.link == link_state::Up
                    ? std::nullopt
                    : std::optional(exchange_failure::Refused));
    });
  }

  [[nodiscard]] target& TargetAt(const socket_address& aAddress)
  {
    return *std::find_if(
      targets.begin(), targets.end(), [&](const auto& aTarget) {
        return aTarget.entry.address == aAddress;
      });
  }

  void Arrive(const std::shared_ptr<scripted_client::sent>& aSent)
  {
    target& found = TargetAt(aSent->peer);
    if (!found.up) {
      aSent->Fail(exchange_failure::Refused);
      return;
    }
    if (aSent->request.headers.Get("Arbutusferry-Expect-Instance") !=
        found.entry.id) {
      aSent->Answer(421);
      return;
    }
    if (!aSent->sink) {
      return;
    }
    const bool crashes = aSent->request.body == kCrashingBody;
    if (crashes) {
      crashingRuns.push_back(loop.Now());
    }
    ++runsOf[std::string(
      aSent->request.headers.Get("Arbutusferry-Request-Id"))];
    longestDeadline = std::max(
      longestDeadline,
      ParseInteger(aSent->request.headers.Get("Arbutusferry-Deadline-Ms"))
        .value_or(0));
    found.arrivals.push_back(loop.Now());
    found.running.push_back(aSent);
    const auto index = static_cast<std::size_t>(&found - targets.data());
    loop.Post(kRunTime, [this, index, aSent, crashes] {
      if (std::erase(targets[index].running, aSent) == 0) {
        return; // The target has ended meanwhile.
      }
      if (crashes) {
        targets[index].running.push_back(aSent);
        if (endDelay > duration::zero()) {
          for (const auto& sent : std::exchange(targets[index].running, {})) {
            sent->Fail(exchange_failure::Broken);
          }
        }
        loop.Post(endDelay, [this, index] { EndTarget(index); });
        return;
      }
      if (erroring.contains(targets[index].entry.id)) {
        aSent->Answer(500, { { "Arbutusferry-Server-Stamp", "s" } });
        return;
      }
      ++served;
      header_list headers{ { "Arbutusferry-Server-Stamp", "s" } };
      if (!extraHeader.first.empty()) {
        headers.Add(extraHeader.first, extraHeader.second);
      }
      aSent->Answer(200, headers, "done");
    });
  }

  int mCalls = 0;
};

} // namespace arbutusferry::node
