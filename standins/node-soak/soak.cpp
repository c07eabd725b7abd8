#include "soak.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace arbutusferry::node_soak {

namespace {

using standin::fault_mode;
using std::chrono::milliseconds;

/// Maximum time after the last fault until every accepted batch has been read
/// and ended; only a hanging deployment takes this long.
constexpr std::chrono::seconds kRecoveryTimeout{ 40 };
/// Last of the kinds of faults that disturb one node.
constexpr std::uint64_t kLastNodeFault = 8;
/// First of the kinds of faults that disturb the store, or all nodes.
constexpr std::uint64_t kFirstStoreFault = 10;
/// Time after the end of a fault for which a node is excused from rules that
/// hold for undisturbed nodes only (`contact-ms` of the platform).
constexpr std::chrono::seconds kContactTime{ 3 };
/// Time after a pause or cut of a node in which what it had sent before may
/// arrive (`thaw-ms` of the platform).
constexpr milliseconds kThawTime{ 300 };
/// Between two planned stops, and the longest run of a plain request meanwhile.
constexpr milliseconds kStopInterval{ 1'300 };
constexpr milliseconds kLongestRun{ 800 };

} // namespace

std::uint16_t
soak_test::StartListener(node::request_handler& aHandler)
{
  const std::uint16_t port = FreePort();
  auto listening =
    Capture([&] { return Listen(mLoop, LoopbackAddress(port), aHandler); });
  mListeners.push_back(
    std::move(std::get<std::unique_ptr<node::http_listener>>(listening)));
  return port;
}

void
soak_test::StartTargets()
{
  mDutyService.checksFences = mOptions.fencesChecked;
  mDutyService.excused = [this](const node::responder& aResponder) {
    return HeldUp(aResponder);
  };
  // Four samplers of items, then six of streams; two software versions.
  for (int index = 0; index < 10; ++index) {
    const std::string id = "s" + std::to_string(index);
    auto sampler = std::make_unique<fake_sampler>(mLoop, mFindings, id);
    sampler->service = index < 4 ? "models" : "streams";
    sampler->software = index % 2 == 0 ? "s1" : "s2";
    sampler->onItemStarted = [this](const std::string& aItem, std::int64_t) {
      mStartedItems.insert(aItem);
    };
    sampler->onItemFinished = [this](const std::string& aItem) {
      mFinishedItems.insert(aItem);
    };
    sampler->checksFences = mOptions.fencesChecked;
    sampler->delaysOrders = !mOptions.stopsOnly;
    sampler->excused = [this](const node::responder& aResponder) {
      return HeldUp(aResponder);
    };
    const std::string address =
      "127.0.0.1:" + std::to_string(StartListener(*sampler));
    // The last sampler of items and one of streams.
    const std::string zone =
      mOptions.zones && (index == 3 || index == 5) ? "z1" : "z0";
    sampler->onRequest = [this, zone](const node::responder& aResponder) {
      OnZoneRequest(zone, aResponder);
    };
    mStore.PutRecord(
      "keyed.servers", id, sampler->Record(address, zone, false));
    mSamplerAddresses.push_back(address);
    mSamplers.push_back(std::move(sampler));
  }
  for (int index = 0; index < 2; ++index) {
    auto service = std::make_unique<fake_plain_service>(mLoop, mFindings);
    service->id = "d" + std::to_string(index);
    service->runCounts = &mServiceRunCounts;
    service->faultyRepliesPer20 = mOptions.stopsOnly ? 0 : 1;
    service->longestRun = mOptions.stopsOnly ? kLongestRun : milliseconds(0);
    service->onRewardCall = [this](const std::string& aItem,
                                   const node::responder& aResponder) {
      OnRewardCall(aItem, aResponder);
    };
    service->onScored = [this](const std::string& aItem,
                               const std::string& aScore) {
      OnScored(aItem, aScore);
    };
    const std::string address =
      "127.0.0.1:" + std::to_string(StartListener(*service));
    mStore.PutRecord(
      "keyed.servers",
      service->id,
      R"({"service":"desk","zone":"z0","slots":8,"state":"ready",)"
      R"("born":1,"address":")" +
        address + "\"}");
    mServices.push_back(std::move(service));
  }
  mUploads = std::make_unique<upload_target>(mLoop);
  mStore.PutRecord("keyed.servers",
                   "u0",
                   R"({"service":"uploads","zone":"z0","slots":8,)"
                   R"("state":"ready","born":1,"address":"127.0.0.1:)" +
                     std::to_string(mUploads->Port()) + "\"}");
  for (int index = 0; index < 4; ++index) {
    mFragile.push_back(std::make_unique<fragile_target>(
      mLoop, mStore, "f" + std::to_string(index)));
    mFragile.back()->onEnd = [this](std::uint16_t aSenderPort) {
      OnFragileEnd(aSenderPort);
    };
    mFragile.back()->Start();
  }
}

void
soak_test::NameLimits()
{
  const auto findSender = [this](const node::responder& aResponder) {
    std::vector<pid_t> processes;
    for (const auto& process : mNodes) {
      processes.push_back(process->pid);
    }
    const auto owner = FindSocketOwner(aResponder.PeerPort(), processes);
    return owner ? std::to_string(*owner) : std::string();
  };
  const auto start = [&](limited_requests& aLimit) {
    aLimit.findSender = findSender;
    aLimit.SetLimit(0.5 + static_cast<double>(RandomBelow(20)) / 10);
    mLimits.push_back(&aLimit);
  };
  for (std::size_t index = 1; index < 4; ++index) {
    start(mSamplers[index]->limit);
  }
  for (const auto& service : mServices) {
    start(service->limit);
  }
}

void
soak_test::Excuse(node_process& aProcess, duration aFor)
{
  aProcess.excusedUntil =
    std::max(aProcess.excusedUntil, mLoop.Now() + aFor + kContactTime);
  aProcess.heldUpUntil =
    std::max(aProcess.heldUpUntil, mLoop.Now() + aFor + kThawTime);
  for (limited_requests* limit : mLimits) {
    limit->Excuse(std::to_string(aProcess.index),
                  mLoop.Now() + aFor + kContactTime);
  }
}

void
soak_test::PutConfig()
{
  mStore.PutRecord("keyed.op",
                   "config",
                   R"({"version":5,"routes":[
    {"name":"b","host":"lab.example","path-prefix":"/b/","kind":"rollout",
     "service":"models","max-attempts":3,"retention-s":60,"timeout-ms":5000},
    {"name":"o","host":"lab.example","path-prefix":"/o/","kind":"rollout",
     "service":"models","max-attempts":3,"retention-s":60,"timeout-ms":5000,
     "skip-auth":true},
    {"name":"v","host":"lab.example","path-prefix":"/v/","kind":"rollout",
     "service":"models","max-attempts":3,"retention-s":60,"timeout-ms":5000,
     "single-version":)" +
                     std::string(SingleVersions() ? "true" : "false") +
                     R"(},
    {"name":"s","host":"lab.example","path-prefix":"/s/","kind":"stream",
     "service":"streams","resumable":true,"max-attempts":2,"timeout-ms":4000},
    {"name":"i","host":"lab.example","path-prefix":"/i/","kind":"idempotent",
     "service":"desk","max-attempts":2,"timeout-ms":2000},
    {"name":"c","host":"lab.example","path-prefix":"/c/","kind":"idempotent",
     "service":"fragile","max-attempts":2,"timeout-ms":800},
    {"name":"k","host":"lab.example","path-prefix":"/k/","kind":"idempotent",
     "service":"kiln","max-attempts":2,"timeout-ms":800},
    {"name":"ui","host":"lab.example","path-prefix":"/ui/","kind":"idempotent",
     "service":"uploads","max-attempts":2,"timeout-ms":2000},
    {"name":"un","host":"lab.example","path-prefix":"/un/",
     "kind":"non_idempotent","service":"uploads","max-attempts":2,
     "timeout-ms":2000},
    {"name":"us","host":"lab.example","path-prefix":"/us/","kind":"stream",
     "service":"uploads","max-attempts":2,"timeout-ms":2000},
    {"name":"n","host":"lab.example","path-prefix":"/n/","kind":"non_idempotent",
     "service":"desk","max-attempts":2,"timeout-ms":2000}],
    "services":[{"name":"models","engine":{"models":[{"name":"m0"},{"name":"m1"}]}},
     {"name":"streams"},{"name":"desk"},{"name":"fragile"},{"name":"uploads"},
     {"name":"kiln","cold-start-s":4,"coldstart-per-s":7.8}],"limits":{},"tenants":[{"name":"acme","api-keys":["key"]}]})");
}

void
soak_test::StartNodes()
{
  const std::string store =
    "127.0.0.1:" + std::to_string(StartListener(mStore));
  const std::string duties =
    "127.0.0.1:" + std::to_string(StartListener(mDutyService));
  for (int index = 0; index < mOptions.nodes; ++index) {
    auto process = std::make_unique<node_process>();
    process->index = index;
    if (!process->storeProxy.Start("127.0.0.1:0", store)) {
      AddFinding("cannot start the store proxy");
      return;
    }
    process->settingsPath = "/tmp/node-soak-" + std::to_string(getpid()) + "-" +
                            std::to_string(index) + ".json";
    const auto address = [](std::uint16_t aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    std::ofstream(process->settingsPath)
      << R"({"vm":"vm)" << index << R"(","zone":"z)"
      << (mOptions.zones ? index % 2 : 0) << R"(","zones":["z0"],)"
      << R"("cpu_share":1.0,"listen_callers":)" << address(process->callerPort)
      << R"(,"listen_ready":)" << address(process->readyPort)
      << R"(,"listen_peers":)" << address(process->peerPort)
      << R"(,"listen_metrics":)" << address(process->metricsPort)
      << R"(,"store":")" << process->storeProxy.Address() << R"(","duties":")"
      << duties
      << R"(","max_record_bytes":262144,"max_call_bytes":2097152,)"
      // A store that serves 500 bytes a second can't serve all nodes.
      << (mOptions.zoneReaders ? R"("store_read_mb_s":0.0005,)" : "")
      << R"("lease_ms":3000,"cancel_within_ms":3000,)"
      << (mOptions.fencesChecked ? R"("fences_checked":true,)"
                                 : R"("fences_checked":false,)")
      << R"("usage_window_s":1,)"
      << R"("usage_due_s":10,"batch_readable_s":120,"stop_within_s":4})";
    process->Spawn(mOptions);
    mNodes.push_back(std::move(process));
  }
}

void
soak_test::RunAfter(duration aDelay, std::function<void()> aFunction)
{
  mTimers.push_back(mLoop.After(aDelay, std::move(aFunction)));
}

void
soak_test::RestartExitedNodes()
{
  for (const auto& process : mNodes) {
    if (process->ReapIfExited()) {
      Excuse(*process, duration::zero());
      process->Spawn(mOptions);
    }
  }
}

void
soak_test::StopNextNode()
{
  node_process& next = *mNodes[mFaultCount % mNodes.size()];
  const std::size_t stopping = static_cast<std::size_t>(
    std::count_if(mNodes.begin(), mNodes.end(), [](const auto& aProcess) {
      return aProcess->stopping;
    }));
  if (!next.stopping && stopping + 1 < mNodes.size()) {
    ++mFaultCount;
    Excuse(next, duration::zero());
    next.stopping = true;
    next.Signal(SIGTERM);
  }
  RunAfter(kStopInterval, [this] { InjectFault(); });
}

void
soak_test::InjectFault()
{
  if (mFaultsCleared) {
    return;
  }
  if (mOptions.stopsOnly) {
    StopNextNode();
    return;
  }
  ++mFaultCount;
  node_process& chosen = *mNodes[RandomBelow(mNodes.size())];
  const milliseconds faultDuration(200 + RandomBelow(2'300));
  const std::uint64_t kind = RandomBelow(13);
  if (kind <= kLastNodeFault) {
    Excuse(chosen, faultDuration);
  }
  if (kind >= kFirstStoreFault) {
    mStoreExcusedUntil = mLoop.Now() + faultDuration + kContactTime;
  }
  const auto proxy = [&](fault_mode aMode) {
    standin::fault_setting setting;
    setting.mode = aMode;
    setting.delayMs = 150;
    chosen.storeProxy.Set(setting);
    RunAfter(faultDuration, [&chosen] { chosen.storeProxy.Set({}); });
  };
  switch (kind) {
    case 0:
      chosen.Signal(SIGKILL);
      break;
    case 1:
      chosen.Signal(SIGTERM);
      break;
    case 2:
      chosen.Signal(SIGSTOP);
      RunAfter(faultDuration, [&chosen] { chosen.Signal(SIGCONT); });
      break;
    case 3:
      chosen.Signal(SIGHUP);
      break;
    case 4:
      proxy(fault_mode::Cut);
      break;
    case 5:
      proxy(fault_mode::CutToClient);
      break;
    case 6:
      proxy(fault_mode::CutToServer);
      break;
    case 7:
      proxy(fault_mode::Delay);
      break;
    case 8:
      proxy(fault_mode::Refuse);
      break;
    case 9: {
      fake_sampler& sampler = *mSamplers[RandomBelow(mSamplers.size())];
      sampler.SetOffline(true);
      RunAfter(faultDuration, [&sampler] { sampler.SetOffline(false); });
      break;
    }
    case 10:
      mStore.lostRepliesPer10 = 3;
      RunAfter(faultDuration, [this] { mStore.lostRepliesPer10 = 0; });
      break;
    case 11:
      mStore.delayedAppendsPer10 = 3;
      RunAfter(faultDuration, [this] { mStore.delayedAppendsPer10 = 0; });
      break;
    default:
      if (RandomBelow(3) == 0) {
        for (const auto& process : mNodes) {
          Excuse(*process, duration::zero());
          process->Signal(SIGKILL);
        }
      } else {
        mStore.unavailable = true;
        RunAfter(faultDuration, [this] { mStore.unavailable = false; });
      }
      break;
  }
  // With limits and zones, pauses leave time in which they bind the nodes.
  const milliseconds pause(
    100 + RandomBelow(mOptions.limits || mOptions.zones ? 4'000 : 700));
  RunAfter(pause, [this] { InjectFault(); });
}

void
soak_test::ClearFaults()
{
  mFaultsCleared = true;
  mStore.unavailable = false;
  mStore.lostRepliesPer10 = mStore.delayedAppendsPer10 = 0;
  for (const auto& sampler : mSamplers) {
    sampler->SetOffline(false);
    sampler->delaysOrders = false;
  }
  for (limited_requests* limit : mLimits) {
    mLargestPeak = std::max(mLargestPeak, limit->Peak());
    limit->SetLimit(std::nullopt);
  }
  for (const auto& process : mNodes) {
    process->storeProxy.Set({});
    process->Signal(SIGCONT);
  }
}

int
soak_test::Run()
{
  StartTargets();
  if (mOptions.zones) {
    StartZones();
  }
  PutConfig();
  StartNodes();
  const auto reaper = std::make_unique<node::periodic_timer>(
    mLoop, milliseconds(150), [this] { RestartExitedNodes(); });
  RunAfter(milliseconds(1'500), [this] {
    CallService();
    CallFragileTargets();
    SendUpload();
    if (mOptions.zones) {
      OrderEvacuation();
      RestartZoneTargets();
      CallZoneTargets();
    }
    StartStream();
    BreakStreams();
    StartBatch();
    if (mOptions.limits) {
      NameLimits();
    }
    InjectFault();
  });
  const auto runFor = [this](duration aDuration, const auto& aDone) {
    const time_point end = mLoop.Now() + aDuration;
    while (mLoop.Now() < end && !aDone()) {
      mLoop.Context().run_for(milliseconds(50));
      mLoop.Context().restart();
    }
  };
  runFor(mOptions.loadDuration, [] { return false; });
  ClearFaults();
  runFor(kRecoveryTimeout, [this] { return AllBatchesEnded(); });
  for (const auto& batch : mBatches) {
    if (!batch->ended) {
      AddFinding(
        batch->id +
        (batch->accepted ? ": results not read completely" : ": not accepted") +
        " after all faults were cleared");
    }
  }
  for (const auto& [request, runs] : mServiceRunCounts) {
    if (runs > 1 && mNonIdempotent.contains(request)) {
      AddFinding(request + ": non-idempotent request ran " +
                 std::to_string(runs) + " times");
    }
    if (mRejected.contains(request)) {
      AddFinding(request + ": rejected as not run, but it ran");
    }
  }
  CheckResumedStreams();
  CheckCrashes();
  if (mOptions.zones) {
    PrintZones();
  }
  std::size_t accepted = 0;
  std::size_t results = 0;
  for (const auto& batch : mBatches) {
    accepted += batch->accepted ? 1 : 0;
    results += batch->results.size();
  }
  std::printf(
    "seed %llu: %llu faults, %zu batches of %zu accepted, %zu results "
    "read, %llu of %llu calls answered, %llu streams (%llu rejected by "
    "samplers), %zu of %zu resumptions at undisturbed nodes went on, at most "
    "%zu requests in 4 s at a "
    "limited target, %zu ends of fragile targets (%zu late), %llu of %llu "
    "calls beside them served, %llu reward calls, %llu calls at stopping "
    "nodes, %llu of %llu uploads answered, %zu findings\n",
    static_cast<unsigned long long>(mOptions.seed),
    static_cast<unsigned long long>(mFaultCount),
    accepted,
    mBatches.size(),
    results,
    static_cast<unsigned long long>(mAnsweredCount),
    static_cast<unsigned long long>(mCallCount),
    static_cast<unsigned long long>(mStreamCount),
    static_cast<unsigned long long>(mRejectedStreams),
    mResumedStreams.served,
    mResumedStreams.sent,
    mLargestPeak,
    mFragileEnds,
    mLateEnds,
    static_cast<unsigned long long>(mFragileServed),
    static_cast<unsigned long long>(mFragileCalls),
    static_cast<unsigned long long>(mRewardCalls),
    static_cast<unsigned long long>(mCallsAtStopping),
    static_cast<unsigned long long>(mWholeUploads),
    static_cast<unsigned long long>(mUploadCount),
    mFindings.size());
  for (const std::string& text : mFindings) {
    std::printf("finding: %s\n", text.c_str());
  }
  for (const auto& process : mNodes) {
    unlink(process->settingsPath.c_str());
  }
  return mFindings.empty() && results > 0 ? 0 : 1;
}

} // namespace arbutusferry::node_soak
