#pragma once

#include "admission/node_admission.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/software_watch.hpp"

#include "http_protocols.hpp"
#include "support/node_fakes.hpp"
#include "support/unlimited_admission.hpp"

#include <deque>
#include <random>

namespace arbutusferry::node {

/// Load of a run; the defaults are the reference load of docs/hard-load.md.
struct overload
{
  double factor = 1.4; ///< Offered requests per capacity during the burst.
  int nodes = 90;
  std::vector<double> speeds{ 1, 1, 1 }; ///< Of each target.
  std::chrono::milliseconds burst{ 6'000 };
  std::chrono::milliseconds deadline{ 800 };
  double calmPerSecond = 9;
  /// Share of the requests that have priority 0; the others have 1.
  double highPriority = 1;
  double greedyTeam = 0; ///< Share of the first of three teams; 0: one team.
  /// Targets that are lost two seconds after the burst's begin.
  std::size_t lost = 0;
  /// Time of a message between a node and a target.
  std::chrono::milliseconds hop{ 1 };
  /// Speed of the other targets from then on.
  double laterSpeed = 1;
  std::uint64_t seed = 1;
  std::function<std::unique_ptr<call_admission>(event_loop&, metrics_registry&)>
    admission; ///< Null: `unlimited_admission`.
};

/// What callers of one priority and team got.
struct served
{
  int offered = 0;
  int inTime = 0;
  int late = 0;
  int refused = 0; ///< Also after the return.
  int failed = 0;
};

/// Runs nodes with a common set of targets, each with slots and a queue, and
/// callers that return once, at another node, when they are refused.
class overload_model
{
public:
  static constexpr int kSlots = 6;
  static constexpr std::size_t kQueue = 24;
  static constexpr double kWorkMs = 25;
  static constexpr std::chrono::milliseconds kLatencyTarget{ 150 };

  explicit overload_model(const overload& aLoad)
    : mLoad(aLoad)
    , mRandom(aLoad.seed)
    , mTargets(aLoad.speeds.size())
  {
    // Thousands of lines of requests would hide the results.
    static const bool kQuiet = [] {
      InitLogging("overload_model", log_level::Error);
      return true;
    }();
    (void)kQuiet;
    for (int index = 0; index < aLoad.nodes; ++index) {
      mNodes.push_back(std::make_unique<model_node>(*this, index));
      // Uneven shares of the load: the busiest node gets seven times as much
      // as the least busy one.
      mWeights.push_back(0.25 + 1.5 * Uniform());
    }
  }

  /// Requests per second that the targets can complete.
  [[nodiscard]] double Capacity() const
  {
    double capacity = 0;
    for (const double speed : mLoad.speeds) {
      capacity += speed * kSlots * 1'000 / kWorkMs;
    }
    return capacity;
  }

  /// Runs two seconds of calm, the burst, and two seconds of calm.
  void Run()
  {
    const duration calm = std::chrono::seconds(2);
    mBurstStart = loop.Now() + calm;
    mBurstEnd = mBurstStart + mLoad.burst;
    Arrive();
    loop.Advance(calm + std::chrono::seconds(2));
    for (std::size_t index = 0; index < mLoad.lost; ++index) {
      mTargets[index].up = false;
      for (const auto& sent : std::exchange(mTargets[index].held, {})) {
        sent->Fail(exchange_failure::Broken);
      }
    }
    for (double& speed : mLoad.speeds) {
      speed *= mLoad.laterSpeed;
    }
    loop.Advance(mLoad.burst + std::chrono::seconds(2));
  }

  manual_loop loop;
  std::map<int, served> byPriority;
  std::map<std::string, served> byTeam;
  std::map<std::int64_t, served>
    bySecond;                     ///< Of arrival, since the burst's begin.
  std::vector<duration> answered; ///< Times of responses to the burst.
  int sends = 0;
  int runs = 0;
  std::map<std::string, int> runsOf; ///< By request id.

private:
  using sent_ptr = std::shared_ptr<scripted_client::sent>;

  struct model_target
  {
    bool up = true;
    int running = 0;
    std::vector<sent_ptr> held; ///< Running or queued.
    std::deque<sent_ptr> queue;
  };

  struct model_node
  {
    model_node(overload_model& aModel, int aIndex)
      : model(aModel)
    {
      client.onSend = [this](const sent_ptr& aSent) {
        ++model.sends;
        model.loop.Post(model.mLoad.hop,
                        [this, aSent] { model.Arrive(aSent); });
      };
      for (std::size_t index = 0; index < model.mTargets.size(); ++index) {
        target_entry entry;
        entry.id = "t" + std::to_string(index);
        entry.service = "desk";
        entry.address = { "10.0.0.1", static_cast<std::uint16_t>(index) };
        entry.zone = "z" + std::to_string(index % 3);
        entry.slots = kSlots;
        targets.Update(entry, model.loop.Now());
      }
      zone = "z" + std::to_string(aIndex % 3);
    }
    overload_model& model;
    std::string zone;
    scripted_client client;
    target_view targets;
    node_directory nodes{ "vm/1" };
    memory_store store;
    memory_log log{ model.loop, store };
    software_watch software{ { model.loop, log, targets } };
    shared_stream_origins origins{
      { model.loop, client, nodes, software, "vm" }
    };
    ignored_crashes crashes;
    ignored_runs runs;
    metrics_registry metrics;
    limit_coordinator limits{ { model.loop,
                                client,
                                targets,
                                [] { return true; },
                                [] { return std::nullopt; } } };
    call_forwarder forwarder{
      { model.loop,
        client,
        targets,
        model.mProtocol,
        model.mCallers,
        limits,
        origins,
        crashes,
        runs,
        metrics,
        zone },
      model.mLoad.admission ? model.mLoad.admission(model.loop, metrics)
                            : std::make_unique<unlimited_admission>(model.loop)
    };
  };

  struct caller
  {
    std::string id;
    std::string team;
    int priority = 0;
    std::size_t node = 0;
    time_point begun;
    time_point submitted;
    bool returned = false;
  };

  class caller_responder final : public responder
  {
  public:
    caller_responder(overload_model& aModel, caller aCaller)
      : mModel(aModel)
      , mCaller(std::move(aCaller))
    {
    }
    void Send(http_response aResponse) override
    {
      mModel.OnResponse(mCaller, aResponse);
    }
    void Begin(int, const header_list&) override {}
    void Write(std::string_view) override {}
    void End() override {}
    void Abort() override {}
    [[nodiscard]] bool Closed() const override { return false; }
    [[nodiscard]] std::size_t UnsentBytes() const override { return 0; }
    [[nodiscard]] std::uint16_t PeerPort() const override { return 0; }
    void OnDisconnect(std::function<void()>) override {}

  private:
    overload_model& mModel;
    caller mCaller;
  };

  double Uniform() { return static_cast<double>(mRandom() >> 11U) * 0x1.0p-53; }

  /// A caller arrives; schedules the next one.
  void Arrive()
  {
    const time_point now = loop.Now();
    if (now >= mBurstEnd + std::chrono::seconds(2)) {
      return;
    }
    if (now > time_point(std::chrono::hours(1))) {
      caller next;
      next.id = "r" + std::to_string(++mCallerCount);
      next.team = mLoad.greedyTeam == 0          ? "t0"
                  : Uniform() < mLoad.greedyTeam ? "t0"
                  : Uniform() < 0.5              ? "t1"
                                                 : "t2";
      next.priority = Uniform() < mLoad.highPriority ? 0 : 1;
      next.begun = now;
      next.node = DrawNode();
      if (InBurst(now)) {
        ++byPriority[next.priority].offered;
        ++byTeam[next.team].offered;
      }
      ++bySecond[Second(now)].offered;
      Submit(next);
    }
    const double rate =
      InBurst(now) ? mLoad.factor * mCapacity : mLoad.calmPerSecond;
    auto pause = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(-std::log(1 - Uniform()) / rate));
    if (now < mBurstStart) {
      pause = std::min(pause, mBurstStart - now);
    }
    loop.Post(pause, [this] { Arrive(); });
  }

  [[nodiscard]] bool InBurst(time_point aTime) const
  {
    return aTime >= mBurstStart && aTime < mBurstEnd;
  }
  [[nodiscard]] std::int64_t Second(time_point aTime) const
  {
    return std::chrono::floor<std::chrono::seconds>(aTime - mBurstStart)
      .count();
  }

  std::size_t DrawNode()
  {
    while (true) {
      const auto node = static_cast<std::size_t>(
        Uniform() * static_cast<double>(mNodes.size()));
      if (Uniform() * 1.75 < mWeights[node]) {
        return node;
      }
    }
  }

  void Submit(caller aCaller)
  {
    aCaller.submitted = loop.Now();
    admitted_call call;
    call.id = aCaller.id;
    call.team = aCaller.team;
    call.service = "desk";
    call.route.kind = route_kind::Idempotent;
    call.route.maxAttempts = 2;
    call.route.latencyTarget = kLatencyTarget;
    call.route.priority = aCaller.priority;
    call.request.method = "POST";
    call.request.target = "/x";
    call.request.body = aCaller.id;
    call.request.headers.Add("Arbutusferry-Request-Id", aCaller.id);
    call.deadline = aCaller.begun + mLoad.deadline;
    call.timeout = call.deadline;
    auto& node = *mNodes[aCaller.node];
    node.forwarder.Forward(std::move(call),
                           std::make_shared<caller_responder>(*this, aCaller));
  }

  void OnResponse(caller aCaller, const http_response& aResponse)
  {
    const time_point now = loop.Now();
    const duration taken = now - aCaller.submitted;
    if (aResponse.status == 503 && !aCaller.returned) {
      const auto seconds =
        ParseDecimal(aResponse.headers.Get("Retry-After")).value_or(0);
      const duration left = aCaller.begun + mLoad.deadline - now;
      const auto pause = std::min(std::chrono::duration_cast<duration>(
                                    std::chrono::duration<double>(seconds)),
                                  left / 3);
      if (left > std::chrono::milliseconds(10)) {
        aCaller.returned = true;
        aCaller.node = (aCaller.node + 1 + mNodes.size() / 3) % mNodes.size();
        loop.Post(pause, [this, aCaller] { Submit(aCaller); });
        return;
      }
    }
    const auto count = [&](served& aServed) {
      if (aResponse.status == 200) {
        ++(taken <= kLatencyTarget ? aServed.inTime : aServed.late);
      } else {
        ++(aResponse.status == 503 ? aServed.refused : aServed.failed);
      }
    };
    count(bySecond[Second(aCaller.begun)]);
    if (InBurst(aCaller.begun)) {
      count(byPriority[aCaller.priority]);
      count(byTeam[aCaller.team]);
      if (aResponse.status == 200) {
        answered.push_back(taken);
      }
    }
  }

  void Arrive(const sent_ptr& aSent)
  {
    model_target& target = mTargets[aSent->peer.port];
    if (!target.up) {
      aSent->Fail(exchange_failure::Refused);
    } else if (target.running < kSlots) {
      target.held.push_back(aSent);
      Begin(target, aSent);
    } else if (target.queue.size() < kQueue) {
      target.held.push_back(aSent);
      target.queue.push_back(aSent);
    } else {
      loop.Post(mLoad.hop, [aSent] {
        aSent->Answer(503, { { "Arbutusferry-Not-Run", "1" } });
      });
    }
  }

  /// Runs a request, also one whose sender has cancelled it meanwhile.
  void Begin(model_target& aTarget, const sent_ptr& aSent)
  {
    ++aTarget.running;
    ++runs;
    ++runsOf[aSent->request.body];
    const double speed =
      mLoad.speeds[static_cast<std::size_t>(&aTarget - mTargets.data())];
    // Spread 0.5 around the mean; one in a hundred takes five times as long.
    const double work =
      kWorkMs / 1.04 / speed * (0.5 + Uniform()) * (Uniform() < 0.01 ? 5 : 1);
    loop.Post(
      std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(work)),
      [this, &aTarget, aSent] {
        if (std::erase(aTarget.held, aSent) > 0) {
          loop.Post(mLoad.hop, [aSent] {
            aSent->Answer(200, { { "Arbutusferry-Server-Stamp", "s" } });
          });
        }
        --aTarget.running;
        if (!aTarget.queue.empty() && aTarget.up) {
          const sent_ptr next = aTarget.queue.front();
          aTarget.queue.pop_front();
          Begin(aTarget, next);
        }
      });
  }

  overload mLoad;
  double mCapacity = Capacity(); ///< At the start.
  std::mt19937_64 mRandom;
  std::vector<model_target> mTargets;
  std::vector<double> mWeights;
  platform::http_target_protocol mProtocol;
  platform::http_caller_protocol mCallers;
  std::vector<std::unique_ptr<model_node>> mNodes;
  time_point mBurstStart;
  time_point mBurstEnd;
  int mCallerCount = 0;
};

} // namespace arbutusferry::node
