#pragma once

#include "registry/target_registry.hpp"
#include "support/node_fakes.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusferry::node {

inline const log_partition kFleetTargets{ "servers", 0, true };

/// One node with its registry of targets. A target's record is its weight
/// version, with a leading "d" while it drains.
class fleet_member final
  : public target_sink
  , private record_observer
{
public:
  fleet_member(manual_loop& aLoop,
               memory_store& aStore,
               http_client& aClient,
               const std::string& aVm,
               const socket_address& aAddress,
               const registry_size& aSize)
    : nodes(aVm + "/1")
    , log(aLoop, aStore)
    , registry(
        { aLoop,
          aClient,
          nodes,
          metrics,
          *this,
          [this, &aSize] {
            registry_size seen = aSize;
            if (countsTargets && !targets.empty()) {
              seen.targets = targets.size();
            }
            return seen;
          },
          [this] { return operatorRead; },
          [this] { return nodesRead; },
          [this] { return !log.down; },
          [this](const std::string& aId) { return endReported.contains(aId); },
          [this] {
            std::vector<target_entry> present;
            for (const auto& [id, entry] : targets) {
              present.push_back(entry);
            }
            return present;
          } },
        { aVm, aAddress, 0.5 },
        "z1",
        aVm + "/1")
    , follower(aLoop, log, kFleetTargets, Timing(aAddress.port), *this)
    , vm(aVm)
    , address(aAddress)
  {
  }

  void UpdateTarget(const target_entry& aTarget, std::uint64_t) override
  {
    targets[aTarget.id] = aTarget;
    ++updates;
  }
  void RemoveTarget(const std::string& aId, std::uint64_t) override
  {
    targets.erase(aId);
  }
  void NoteTargetsRead(duration) override { ++reads; }
  [[nodiscard]] bool Reads() const
  {
    return registry.Source() != source_reason::Follower;
  }

  node_directory nodes;
  metrics_registry metrics;
  memory_log log;
  target_registry registry;
  keyed_follower follower;
  std::string vm;
  socket_address address;
  std::map<std::string, target_entry> targets;
  std::set<std::string> endReported;
  /// Whether the size follows from the known targets, once there are any.
  bool countsTargets = false;
  bool operatorRead = true;
  bool nodesRead = true;
  std::size_t updates = 0;
  std::size_t reads = 0;
  bool killed = false;
  bool frozen = false;
  bool oldBuild = false;

private:
  static keyed_follower::timing Timing(std::uint64_t aSeed)
  {
    keyed_follower::timing timing;
    timing.batchDelay = std::chrono::milliseconds(50);
    timing.newestOnly = true;
    timing.retrySeed = aSeed;
    return timing;
  }
  void OnRecord(const std::string& aKey,
                const std::string* aValue,
                std::uint64_t aOffset) override
  {
    if (!aValue) {
      registry.RemoveTarget(aKey, aOffset);
      return;
    }
    target_entry target;
    target.id = aKey;
    target.service = "sampler";
    target.address = { "127.0.0.1", 9'000 };
    target.draining = aValue->starts_with('d');
    target.modelVersions["m"] =
      std::stoll(target.draining ? aValue->substr(1) : *aValue);
    registry.UpdateTarget(target, aOffset);
  }
  void OnCaughtUp() override { registry.NoteTargetsRead({}); }
};

/// Nodes of one zone that reach each other and a store without a network.
class registry_fleet final : public http_client
{
public:
  explicit registry_fleet(int aNodes)
  {
    for (int index = 0; index < aNodes; ++index) {
      members.push_back(std::make_unique<fleet_member>(
        loop,
        store,
        *this,
        "vm" + std::to_string(index),
        socket_address{ "127.0.0.1", static_cast<std::uint16_t>(index + 1) },
        size));
    }
    for (const auto& member : members) {
      for (const auto& other : members) {
        member->nodes.Update(
          { other->vm, other->vm + "/1", "z1", other->address, 0.5 });
      }
    }
  }

  void Put(const std::string& aId, const std::string& aValue)
  {
    (void)store.Append({ kFleetTargets, { { aId, aValue } }, {}, {} });
  }
  void Start()
  {
    for (const auto& member : members) {
      member->registry.Start(member->follower);
    }
  }
  [[nodiscard]] std::size_t CountReading() const
  {
    std::size_t count = 0;
    for (const auto& member : members) {
      count += !member->killed && member->Reads() ? 1 : 0;
    }
    return count;
  }
  fleet_member* Find(source_reason aReason)
  {
    for (const auto& member : members) {
      if (!member->killed && member->registry.Source() == aReason) {
        return member.get();
      }
    }
    return nullptr;
  }
  /// @return Whether all running members know the same as a condition says.
  template<typename Condition>
  [[nodiscard]] bool All(Condition aCondition) const
  {
    for (const auto& member : members) {
      if (!member->killed && !aCondition(*member)) {
        return false;
      }
    }
    return true;
  }

  std::shared_ptr<http_exchange> Send(
    const socket_address& aPeer,
    http_request aRequest,
    const exchange_options& aOptions,
    std::shared_ptr<response_sink> aSink) override
  {
    ++messages;
    auto exchange = std::make_shared<routed_exchange>(std::move(aSink));
    fleet_member* peer = nullptr;
    for (const auto& member : members) {
      if (member->address == aPeer) {
        peer = member.get();
      }
    }
    const auto fail = [exchange](exchange_failure aFailure) {
      if (const auto sink = std::exchange(exchange->sink, nullptr)) {
        sink->OnFailure(aFailure);
      }
    };
    if (!peer || peer->killed) {
      loop.Post(kLatency, [fail] { fail(exchange_failure::Refused); });
      return exchange;
    }
    loop.Post(aOptions.readTimeout,
              [fail] { fail(exchange_failure::Timeout); });
    if (!peer->frozen) {
      loop.Post(kLatency, [this, peer, exchange, request = aRequest] {
        const auto out = std::make_shared<routed_responder>(loop, exchange);
        if (peer->oldBuild) {
          http_response unknown;
          unknown.status = 404;
          out->Send(unknown);
        } else if (!peer->killed) {
          peer->registry.Service().Serve(request, out);
        }
      });
    }
    return exchange;
  }
  void Probe(const socket_address&,
             std::chrono::milliseconds,
             std::function<void(std::optional<exchange_failure>)>) override
  {
  }

  manual_loop loop;
  memory_store store;
  registry_size size{ 300, 3'000, 80.0 };
  std::vector<std::unique_ptr<fleet_member>> members;
  std::size_t messages = 0;

private:
  static constexpr std::chrono::milliseconds kLatency{ 2 };

  struct routed_exchange final : http_exchange
  {
    explicit routed_exchange(std::shared_ptr<response_sink> aSink)
      : sink(std::move(aSink))
    {
    }
    void Cancel() override { sink.reset(); }
    std::shared_ptr<response_sink> sink;
  };

  class routed_responder final : public responder
  {
  public:
    routed_responder(manual_loop& aLoop,
                     std::shared_ptr<routed_exchange> aExchange)
      : mLoop(aLoop)
      , mExchange(std::move(aExchange))
    {
    }
    void Send(http_response aResponse) override
    {
      mLoop.Post(
        kLatency, [exchange = mExchange, response = std::move(aResponse)] {
          if (const auto sink = std::exchange(exchange->sink, nullptr)) {
            sink->OnHead(response.status, response.headers);
            sink->OnBody(response.body);
            sink->OnEnd();
          }
        });
    }
    void Begin(int, const header_list&) override {}
    void Write(std::string_view) override {}
    void End() override {}
    void Abort() override {}
    [[nodiscard]] bool Closed() const override { return !mExchange->sink; }
    [[nodiscard]] std::size_t UnsentBytes() const override { return 0; }
    [[nodiscard]] std::uint16_t PeerPort() const override { return 0; }
    void OnDisconnect(std::function<void()>) override {}

  private:
    manual_loop& mLoop;
    std::shared_ptr<routed_exchange> mExchange;
  };
};

} // namespace arbutusferry::node
