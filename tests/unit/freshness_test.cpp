#include "control/node_state.hpp"

#include "arbutusferry/json.hpp"
#include "support/property.hpp"
#include "support/sample_environment.hpp"

#include <memory>
#include <random>

using namespace arbutusferry;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
constexpr int kTimeoutTicks = 20; ///< Ticks that a client waits for an answer.
constexpr std::size_t kReadLimit = 64;

/// Clock of one process with its own start and rate.
class local_clock final : public clock_source
{
public:
  time_point start;
  double rate = 1.0;
  const int* tick = nullptr;

  [[nodiscard]] time_point Now() const noexcept override
  {
    const duration elapsed = kTick * *tick;
    return start + std::chrono::duration_cast<duration>(elapsed * rate);
  }
  [[nodiscard]] unix_seconds UnixNow() const noexcept override { return 0; }
};

const char* const kZones[] = { "a", "b", "c" };

struct pending_call
{
  int arrives = 0; ///< Tick at which the request or, once answered, the
                   ///< answer arrives.
  int started = 0;
  bool answered = false;
  std::size_t server = 0;
  int serverRun = 0;
  time_point sent;
  zone_sync_request request;
  zone_sync_response answer;
  zone_summary_request summaryRequest;
  zone_summary_response summary;
};

struct node
{
  std::string vm;
  std::string zone;
  local_clock clock;
  std::unique_ptr<node_state> state;
  int run = 0;     ///< Number of starts.
  int downFor = 0; ///< Ticks until the restart.
  int cutLog = 0;  ///< Ticks until the platform can be reached again.
  log_offset offset = kNoOffset;
  std::optional<pending_call> sync;
  std::optional<pending_call> exchange;
  list_versions seen;
  std::int64_t answered = 0;
  std::map<std::string, list_versions> zonesSeen;
  /// Log read whose answer has not arrived: its tick, send time and records.
  std::optional<std::pair<int, std::pair<time_point, log_batch>>> read;
};

struct withdrawal
{
  std::string id;
  std::string key;
  std::size_t through = 0; ///< Node that the operator called.
  int run = 0;
  int acceptedAt = -1; ///< Tick at which that node had read it back.
};

/// Simulation of the control processes of three zones with partitions, lost
/// and late messages, restarts, and a log that drops old records.
class zone_simulation
{
public:
  zone_simulation(std::uint64_t aSeed, int aFaultLength)
    : mRandom(aSeed)
    , mFaultLength(aFaultLength)
  {
    for (const std::string zone : kZones) {
      for (int index = 0; index < 2; ++index) {
        auto added = std::make_unique<node>();
        added->zone = zone;
        added->vm = zone + std::to_string(index);
        added->clock.start = time_point(milliseconds(mRandom() % 1'000'000));
        added->clock.rate = 0.99 + static_cast<double>(mRandom() % 2001) / 1e5;
        added->clock.tick = &mNow;
        mVms.push_back({ added->vm, zone, "e", "c", false });
        mNodes.push_back(std::move(added));
      }
    }
    for (auto& each : mNodes) {
      Start(*each);
    }
    const auto document =
      ReadEnvironment(SampleEnvironmentJson(), "sample").value();
    Append("doc",
           environment_applied{ stage::Production, kNoOffset, document });
    for (int key = 0; key < 40; ++key) {
      const std::string id = "k" + std::to_string(key);
      Append("grant-" + id,
             key_granted{ "trust",
                          stage::Production,
                          "north",
                          id,
                          "salt",
                          std::string(64, '0') });
    }
  }

  void Run(int aTicks, bool aFaults)
  {
    for (const int end = mNow + aTicks; mNow < end; ++mNow) {
      Step(aFaults);
    }
  }

  /// Cuts a zone off from the platform and from all other zones.
  void Isolate(const std::string& aZone, int aTicks)
  {
    for (const char* other : kZones) {
      if (other != aZone) {
        mCuts[std::minmax(aZone, std::string(other))] = aTicks;
      }
    }
    for (auto& each : mNodes) {
      each->cutLog = each->zone == aZone ? aTicks : each->cutLog;
    }
  }

  /// Makes the log unreachable for all processes.
  void Outage(int aTicks) { mOutage = aTicks; }

  /// Makes the log unreachable for all processes but one.
  void CutLogExceptOne(int aTicks)
  {
    const std::size_t spared = mRandom() % mNodes.size();
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      mNodes[index]->cutLog = index == spared ? 0 : aTicks;
    }
  }

  void WithdrawNext() { Withdraw(); }

  /// Appends a checkpoint and truncates the log up to it.
  void Checkpoint()
  {
    for (auto& each : mNodes) {
      checkpoint record;
      each->state->WithFeed([&](const config_feed& aFeed) {
        record.through = aFeed.ReadFrom() - 1;
        record.state = aFeed.SaveCheckpoint();
      });
      if (each->state->ReadsLog() && !record.state.isNull()) {
        Append("checkpoint", record);
        mFirst = record.through + 1;
        return;
      }
    }
  }

  [[nodiscard]] bool Converged() const
  {
    std::set<std::string> states;
    for (const auto& each : mNodes) {
      states.insert(each->state->WithFeed([&](const config_feed& aFeed) {
        Json::Value saved = aFeed.State().Save();
        saved.removeMember("offset");
        saved.removeMember("records");
        saved.removeMember("void_records");
        return WriteJson(saved);
      }));
    }
    return states.size() == 1;
  }

  bool served = true;      ///< Every process accepts keys now.
  int violations = 0;      ///< A withdrawn key was accepted after the bound.
  int naiveViolations = 0; ///< The same if the last view is trusted for ever.
  int reversals = 0;       ///< An offset decreased.
  int accepted = 0;        ///< Withdrawals in force.
  int keysSeen = 0;        ///< Valid keys found; proves that keys were granted.

private:
  [[nodiscard]] bool Chance(int aOneIn)
  {
    return mRandom() % static_cast<unsigned>(aOneIn) == 0;
  }

  void Start(node& aNode)
  {
    control_options options;
    options.vm = aNode.vm;
    options.zone = aNode.zone;
    options.environment = "trust";
    aNode.state = std::make_unique<node_state>(options, aNode.clock);
    ++aNode.run;
    aNode.offset = kNoOffset;
    aNode.sync.reset();
    aNode.exchange.reset();
    aNode.read.reset();
    aNode.seen = {};
    aNode.answered = 0;
    aNode.zonesSeen.clear();
  }

  void Append(const std::string& aId, const log_record& aRecord)
  {
    const auto offset = static_cast<log_offset>(mLog.size());
    mLog.push_back({ offset, aId, WriteLogRecord(aRecord) });
  }

  void Withdraw()
  {
    std::vector<std::size_t> reaching;
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      if (mNodes[index]->downFor == 0 && mNodes[index]->cutLog == 0) {
        reaching.push_back(index);
      }
    }
    if (reaching.empty() || mOutage > 0 || mWithdrawals.size() >= 40) {
      return;
    }
    const std::size_t through = reaching[mRandom() % reaching.size()];
    const node& chosen = *mNodes[through];
    withdrawal next;
    next.key = "k" + std::to_string(mWithdrawals.size());
    next.id = "withdraw-" + next.key;
    next.through = through;
    next.run = chosen.run;
    Append(next.id, key_withdrawn{ "trust", stage::Production, next.key });
    mWithdrawals.push_back(next);
  }

  void Step(bool aFaults)
  {
    for (auto& [zones, left] : mCuts) {
      left = std::max(0, left - 1);
    }
    mOutage = std::max(0, mOutage - 1);
    if (aFaults) {
      MakeFaults();
    }
    // A request can reach its server after the sender timed out.
    std::erase_if(mAbandoned, [&](const pending_call& aCall) {
      node& server = *mNodes[aCall.server];
      if (aCall.arrives <= mNow && server.downFor == 0 &&
          server.run == aCall.serverRun) {
        (void)server.state->ZoneSync(aCall.request);
      }
      return aCall.arrives <= mNow;
    });
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      node& each = *mNodes[index];
      each.cutLog = std::max(0, each.cutLog - 1);
      if (each.downFor > 0) {
        if (--each.downFor == 0) {
          Start(each);
        }
        continue;
      }
      each.state->UpdateReadsLog(false);
      ReadLog(each, aFaults);
      SyncZone(each, aFaults);
      ExchangeSummaries(each, aFaults);
    }
    Check();
  }

  void MakeFaults()
  {
    const auto length = [&] {
      return static_cast<int>(mRandom() % static_cast<unsigned>(mFaultLength));
    };
    if (Chance(60)) {
      const std::string one = kZones[mRandom() % 3];
      const std::string other = kZones[mRandom() % 3];
      mCuts[std::minmax(one, other)] = length();
    }
    if (Chance(80)) {
      mNodes[mRandom() % mNodes.size()]->cutLog = length();
    }
    if (Chance(120)) {
      const std::string zone = kZones[mRandom() % 3];
      for (auto& each : mNodes) {
        each->cutLog = each->zone == zone ? length() : each->cutLog;
      }
    }
    if (Chance(150)) {
      CutLogExceptOne(length());
    }
    if (Chance(250)) {
      mOutage = length();
    }
    if (Chance(200)) {
      mNodes[mRandom() % mNodes.size()]->downFor = 1 + length() / 4;
    }
    if (Chance(25)) {
      Withdraw();
    }
    if (Chance(200)) {
      Checkpoint();
    }
  }

  int Delay(bool aFaults)
  {
    return aFaults && Chance(15) ? static_cast<int>(mRandom() % 80)
                                 : static_cast<int>(mRandom() % 2);
  }

  void ReadLog(node& aNode, bool aFaults)
  {
    if (aNode.read && aNode.read->first <= mNow) {
      const time_point sent = aNode.read->second.first;
      const log_batch batch = std::move(aNode.read->second.second);
      aNode.read.reset();
      aNode.state->UpdateFeed([&](config_feed& aFeed) {
        return aFeed.OnLogBatch(batch, kReadLimit, sent, aNode.clock.Now());
      });
    }
    if (!aNode.state->ReadsLog() || aNode.read || aNode.cutLog > 0 ||
        mOutage > 0) {
      return;
    }
    aNode.state->WithZoneView(
      [&](zone_view& aZoneView) { aZoneView.SetVms(mVms); });
    log_batch batch;
    batch.first = mFirst;
    const log_offset from = aNode.state->WithFeed(
      [](const config_feed& aFeed) { return aFeed.ReadFrom(); });
    batch.next = from;
    batch.truncated = from < mFirst;
    for (auto offset = static_cast<std::size_t>(from);
         !batch.truncated && offset < mLog.size() &&
         batch.records.size() < kReadLimit;
         ++offset) {
      batch.records.push_back(mLog[offset]);
      batch.next = static_cast<log_offset>(offset) + 1;
    }
    aNode.read = { mNow + Delay(aFaults),
                   { aNode.clock.Now(), std::move(batch) } };
  }

  [[nodiscard]] bool Connected(const node& aOne, const node& aOther)
  {
    const auto cut = mCuts.find(std::minmax(aOne.zone, aOther.zone));
    return aOther.downFor == 0 && (cut == mCuts.end() || cut->second == 0);
  }

  [[nodiscard]] std::optional<std::size_t> Find(const std::string& aVm) const
  {
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      if (mNodes[index]->vm == aVm) {
        return index;
      }
    }
    return std::nullopt;
  }

  /// Advances a call by one tick.
  /// @return True when its answer arrived.
  template<typename Serve>
  bool Advance(std::optional<pending_call>& aCall,
               node& aNode,
               bool aFaults,
               Serve aServe)
  {
    node& server = *mNodes[aCall->server];
    if (aCall->arrives <= mNow && Connected(aNode, server) &&
        server.run == aCall->serverRun) {
      if (aCall->answered) {
        return true;
      }
      aServe(server);
      aCall->answered = true;
      aCall->arrives = mNow + Delay(aFaults);
    }
    return false;
  }

  void SyncZone(node& aNode, bool aFaults)
  {
    if (aNode.sync) {
      pending_call& call = *aNode.sync;
      if (Advance(aNode.sync, aNode, aFaults, [&](node& aServer) {
            call.answer = aServer.state->ZoneSync(call.request);
          })) {
        REQUIRE(aNode.state->OnZoneSync(call.request, call.answer, call.sent));
        aNode.seen = call.answer.versions;
        aNode.answered = call.answer.number;
        aNode.sync.reset();
      } else if (mNow - call.started > kTimeoutTicks) {
        aNode.state->WithZoneView([&](zone_view& aZoneView) {
          aZoneView.Membership().OnFailed(mNodes[call.server]->vm,
                                          aNode.clock.Now());
        });
        aNode.answered = 0;
        if (!call.answered) {
          mAbandoned.push_back(std::move(call));
        }
        aNode.sync.reset();
      }
      return;
    }
    const std::string relay =
      aNode.state->WithZoneView([&](zone_view& aZoneView) {
        return aZoneView.Membership().Relay(aNode.clock.Now());
      });
    const auto server = Find(relay);
    if (relay == aNode.vm || !server) {
      return;
    }
    pending_call call;
    call.request = aNode.state->MakeZoneSyncRequest(aNode.seen, aNode.answered);
    call.request.holdMs = 0;
    Send(aNode, std::move(call), *server, aFaults, aNode.sync);
  }

  void Send(const node& aNode,
            pending_call aCall,
            std::size_t aServer,
            bool aFaults,
            std::optional<pending_call>& aSlot)
  {
    aCall.started = mNow;
    aCall.arrives = mNow + 1 + Delay(aFaults);
    aCall.server = aServer;
    aCall.serverRun = mNodes[aServer]->run;
    aCall.sent = aNode.clock.Now();
    aSlot = std::move(aCall);
  }

  void ExchangeSummaries(node& aNode, bool aFaults)
  {
    if (aNode.exchange) {
      pending_call& call = *aNode.exchange;
      if (Advance(aNode.exchange, aNode, aFaults, [&](node& aServer) {
            call.summary = aServer.state->ZoneSummary(call.summaryRequest);
          })) {
        REQUIRE(aNode.state->OnZoneSummary(call.summary, call.sent));
        aNode.zonesSeen[call.summary.zone] = call.summary.versions;
        aNode.exchange.reset();
      } else if (mNow - call.started > kTimeoutTicks) {
        aNode.exchange.reset();
      }
      return;
    }
    if (!aNode.state->IsRelay()) {
      return;
    }
    const std::string zone = kZones[mRandom() % 3];
    const auto relay = FirstRelay(mVms, zone, {});
    if (zone == aNode.zone || !relay) {
      return;
    }
    const std::size_t server = Find(relay->id).value();
    pending_call call;
    call.summaryRequest.zone = aNode.zone;
    call.summaryRequest.member = aNode.vm;
    call.summaryRequest.offset = aNode.state->WithFeed(
      [](const config_feed& aFeed) { return aFeed.State().Offset(); });
    call.summaryRequest.seen = aNode.zonesSeen[mNodes[server]->zone];
    Send(aNode, std::move(call), server, aFaults, aNode.exchange);
  }

  void Check()
  {
    for (withdrawal& each : mWithdrawals) {
      const node& through = *mNodes[each.through];
      if (each.acceptedAt < 0 && through.run == each.run &&
          through.downFor == 0 &&
          through.state->WithFeed([&](const config_feed& aFeed) {
            return aFeed.State().FindRecord(each.id).has_value();
          })) {
        each.acceptedAt = mNow;
        ++accepted;
      }
    }
    served = true;
    for (auto& each : mNodes) {
      if (each->downFor > 0) {
        served = false;
        continue;
      }
      each->state->WithFeed([&](const config_feed& aFeed) {
        reversals += aFeed.State().Offset() < each->offset ? 1 : 0;
        each->offset = aFeed.State().Offset();
        const bool accepts =
          aFeed.Freshness().MayAcceptKeys(each->clock.Now(), kMaxViewAge);
        served = served && accepts;
        const bool ever = aFeed.Freshness().Age(each->clock.Now()).has_value();
        for (const withdrawal& key : mWithdrawals) {
          // The clocks may run 1 % slow, and ticks are 100 ms.
          const bool late =
            key.acceptedAt >= 0 &&
            (mNow - key.acceptedAt) * kTick > kMaxViewAge + milliseconds(200);
          const auto* config = aFeed.State().Find("trust", stage::Production);
          const bool valid = config != nullptr &&
                             config->keys.count(key.key) > 0 &&
                             !config->keys.at(key.key).withdrawn;
          keysSeen += valid ? 1 : 0;
          violations += late && valid && accepts ? 1 : 0;
          naiveViolations += late && valid && ever ? 1 : 0;
        }
      });
    }
  }

  std::mt19937_64 mRandom;
  int mFaultLength;
  int mNow = 0;
  int mOutage = 0;
  log_offset mFirst = 0;
  std::vector<std::unique_ptr<node>> mNodes;
  std::vector<vm_info> mVms;
  std::vector<raw_log_record> mLog;
  std::map<std::pair<std::string, std::string>, int> mCuts;
  std::vector<withdrawal> mWithdrawals;
  std::vector<pending_call> mAbandoned;
};

} // namespace

// Guards against a withdrawn key that is accepted after the maximum view age
// and against an offset that decreases, under partitions between zones, within
// a zone and from the platform, restarts, late messages and log truncation.
TEST_CASE("Withdrawn keys stop and offsets never decrease in any partition")
{
  int naive = 0;
  int accepted = 0;
  CHECK(CheckHistories("withdrawn keys stop", 60, [&](std::uint64_t aSeed) {
    zone_simulation simulation(aSeed, 300);
    simulation.Run(100, false);
    RC_ASSERT(simulation.served);
    // Without the log, the reports of all processes keep the views fresh.
    simulation.Outage(200);
    simulation.Run(200, false);
    RC_ASSERT(simulation.served);
    simulation.Run(100, false);
    // Changes accepted by the one process with access to the log must be seen.
    simulation.CutLogExceptOne(200);
    for (int round = 0; round < 10; ++round) {
      simulation.WithdrawNext();
      simulation.Run(20, false);
    }
    RC_ASSERT(simulation.violations == 0);
    simulation.Run(1200, true);
    RC_ASSERT(simulation.violations == 0);
    RC_ASSERT(simulation.reversals == 0);
    // After the faults every process accepts keys again and has the same view.
    simulation.Run(600, false);
    RC_ASSERT(simulation.violations == 0);
    RC_ASSERT(simulation.reversals == 0);
    RC_ASSERT(simulation.served);
    RC_ASSERT(simulation.Converged());
    naive += simulation.naiveViolations > 0 ? 1 : 0;
    accepted += simulation.accepted;
  }));
  CHECK(accepted > 500);
  CHECK(naive > 0);
  WARN("trusting the last view for ever failed in "
       << naive << " of 60 histories with " << accepted << " withdrawals");
}

// Guards against a zone that serves an old view after an hour of isolation,
// when the log no longer has the records it missed.
TEST_CASE("A zone loads the checkpoint after an hour of isolation")
{
  zone_simulation simulation(7, 300);
  simulation.Run(100, false);
  REQUIRE(simulation.served);
  simulation.Isolate("a", 36'000);
  for (int round = 0; round < 9; ++round) {
    simulation.WithdrawNext();
    simulation.Run(4000, false);
    simulation.Checkpoint();
    CHECK(simulation.violations == 0);
  }
  simulation.Run(300, false);
  CHECK(simulation.keysSeen > 0);
  CHECK(simulation.naiveViolations > 0);
  CHECK(simulation.violations == 0);
  CHECK(simulation.reversals == 0);
  CHECK(simulation.served);
  CHECK(simulation.Converged());
}
