#include "soak.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace arbutusferry::lab {

namespace {

using standin::fault_mode;
using std::chrono::milliseconds;

/// How long a healed deployment may take until every accepted batch can be
/// read and ended: only one that hangs takes so long.
constexpr std::chrono::seconds kRecovery{ 40 };

} // namespace

std::uint16_t
soak::Serve(node::request_handler& aHandler)
{
  const std::uint16_t port = FreePort();
  auto listening =
    Capture([&] { return Listen(mLoop, Local(port), aHandler); });
  mListeners.push_back(
    std::move(std::get<std::unique_ptr<node::http_listener>>(listening)));
  return port;
}

void
soak::StartTargets()
{
  for (int index = 0; index < 4; ++index) {
    const std::string id = "s" + std::to_string(index);
    auto sampler = std::make_unique<lab_sampler>(mLoop, mFindings, id);
    sampler->onRun = [this](const std::string& aItem, std::int64_t) {
      mItemsRun.insert(aItem);
    };
    const std::string address = "127.0.0.1:" + std::to_string(Serve(*sampler));
    mStore.Put("keyed.servers", id, sampler->Record(address, "z0", false));
    mSamplerAddresses.push_back(address);
    mSamplers.push_back(std::move(sampler));
  }
  for (int index = 0; index < 2; ++index) {
    auto desk = std::make_unique<lab_desk>(mLoop);
    desk->id = "d" + std::to_string(index);
    desk->runs = &mDeskRuns;
    desk->failOf20 = 1;
    const std::string address = "127.0.0.1:" + std::to_string(Serve(*desk));
    mStore.Put("keyed.servers",
               desk->id,
               R"({"service":"desk","zone":"z0","slots":8,"state":"ready",)"
               R"("born":1,"address":")" +
                 address + "\"}");
    mDesks.push_back(std::move(desk));
  }
}

void
soak::PutManifest()
{
  mStore.Put("keyed.op", "config", R"({"version":5,"routes":[
    {"name":"b","host":"lab.example","path-prefix":"/b/","kind":"rollout",
     "service":"models","max-attempts":3,"retention-s":60,"timeout-ms":5000},
    {"name":"i","host":"lab.example","path-prefix":"/i/","kind":"idempotent",
     "service":"desk","max-attempts":2,"timeout-ms":2000},
    {"name":"n","host":"lab.example","path-prefix":"/n/","kind":"non_idempotent",
     "service":"desk","max-attempts":2,"timeout-ms":2000}],
    "services":[{"name":"models","engine":{"models":[{"name":"m0"},{"name":"m1"}]}},
     {"name":"desk"}],"limits":{},"tenants":[{"name":"acme","api-keys":["key"]}]})");
}

void
soak::StartNodes()
{
  const std::string store = "127.0.0.1:" + std::to_string(Serve(mStore));
  const std::string duties = "127.0.0.1:" + std::to_string(Serve(mDuties));
  for (int index = 0; index < mOptions.nodes; ++index) {
    auto entry = std::make_unique<node_process>();
    entry->index = index;
    if (!entry->store.Start("127.0.0.1:0", store)) {
      Found("a proxy could not be started");
      return;
    }
    entry->settings = "/tmp/node-soak-" + std::to_string(getpid()) + "-" +
                      std::to_string(index) + ".json";
    const auto address = [](std::uint16_t aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    std::ofstream(entry->settings)
      << R"({"vm":"vm)" << index << R"(","zone":"z0","zones":["z0"],)"
      << R"("cpu_share":1.0,"listen_callers":)" << address(entry->callers)
      << R"(,"listen_ready":)" << address(entry->ready) << R"(,"listen_peers":)"
      << address(entry->peers) << R"(,"listen_metrics":)"
      << address(entry->metrics) << R"(,"store":")" << entry->store.Address()
      << R"(","duties":")" << duties
      << R"(","max_record_bytes":262144,"max_call_bytes":2097152,)"
      << R"("lease_ms":3000,"cancel_within_ms":3000,"fences_checked":true,"usage_window_s":1,)"
      << R"("usage_due_s":10,"batch_readable_s":120,"stop_within_s":4})";
    entry->Spawn(mOptions);
    mNodes.push_back(std::move(entry));
  }
}

void
soak::Later(duration aDelay, std::function<void()> aFunction)
{
  mTimers.push_back(mLoop.After(aDelay, std::move(aFunction)));
}

void
soak::RestartEnded()
{
  for (const auto& entry : mNodes) {
    if (entry->Reap()) {
      entry->Spawn(mOptions);
    }
  }
}

void
soak::Fault()
{
  if (mHealed) {
    return;
  }
  ++mFaults;
  node_process& target = *mNodes[Roll(mNodes.size())];
  const milliseconds time(200 + Roll(2'300));
  const auto proxy = [&](fault_mode aMode) {
    standin::fault_setting setting;
    setting.mode = aMode;
    setting.delayMs = 150;
    target.store.Set(setting);
    Later(time, [&target] { target.store.Set({}); });
  };
  switch (Roll(13)) {
    case 0:
      target.Signal(SIGKILL);
      break;
    case 1:
      target.Signal(SIGTERM);
      break;
    case 2:
      target.Signal(SIGSTOP);
      Later(time, [&target] { target.Signal(SIGCONT); });
      break;
    case 3:
      target.Signal(SIGHUP);
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
      lab_sampler& sampler = *mSamplers[Roll(mSamplers.size())];
      sampler.SetDark(true);
      Later(time, [&sampler] { sampler.SetDark(false); });
      break;
    }
    case 10:
      mStore.loseOf10 = 3;
      Later(time, [this] { mStore.loseOf10 = 0; });
      break;
    case 11:
      mStore.lateOf10 = 3;
      Later(time, [this] { mStore.lateOf10 = 0; });
      break;
    default:
      if (Roll(3) == 0) {
        for (const auto& entry : mNodes) {
          entry->Signal(SIGKILL);
        }
      } else {
        mStore.busy = true;
        Later(time, [this] { mStore.busy = false; });
      }
      break;
  }
  Later(milliseconds(100 + Roll(700)), [this] { Fault(); });
}

void
soak::Heal()
{
  mHealed = true;
  mStore.busy = false;
  mStore.loseOf10 = mStore.lateOf10 = 0;
  for (const auto& sampler : mSamplers) {
    sampler->SetDark(false);
  }
  for (const auto& entry : mNodes) {
    entry->store.Set({});
    entry->Signal(SIGCONT);
  }
}

int
soak::Run()
{
  StartTargets();
  PutManifest();
  StartNodes();
  const auto reaper = std::make_unique<node::periodic_timer>(
    mLoop, milliseconds(150), [this] { RestartEnded(); });
  Later(milliseconds(1'500), [this] {
    Call();
    Train();
    Fault();
  });
  const auto runFor = [this](duration aTime, const auto& aDone) {
    const time_point end = mLoop.Now() + aTime;
    while (mLoop.Now() < end && !aDone()) {
      mLoop.Context().run_for(milliseconds(50));
      mLoop.Context().restart();
    }
  };
  runFor(mOptions.time, [] { return false; });
  Heal();
  runFor(kRecovery, [this] { return Settled(); });
  for (const auto& entry : mBatches) {
    if (!entry->ended) {
      Found(entry->id +
            (entry->accepted ? ": not read to its end" : ": not accepted") +
            " after everything healed");
    }
  }
  for (const auto& [request, runs] : mDeskRuns) {
    if (runs > 1 && mOnce.contains(request)) {
      Found(request + ": may not be repeated, and has run " +
            std::to_string(runs) + " times");
    }
    if (mRefused.contains(request)) {
      Found(request + ": refused as not run, and has run");
    }
  }
  std::size_t accepted = 0;
  std::size_t results = 0;
  for (const auto& entry : mBatches) {
    accepted += entry->accepted ? 1 : 0;
    results += entry->results.size();
  }
  std::printf(
    "seed %llu: %llu faults, %zu batches of %zu accepted, %zu results "
    "read, %llu of %llu calls answered, %zu findings\n",
    static_cast<unsigned long long>(mOptions.seed),
    static_cast<unsigned long long>(mFaults),
    accepted,
    mBatches.size(),
    results,
    static_cast<unsigned long long>(mAnswered),
    static_cast<unsigned long long>(mCalls),
    mFindings.size());
  for (const std::string& text : mFindings) {
    std::printf("finding: %s\n", text.c_str());
  }
  for (const auto& entry : mNodes) {
    unlink(entry->settings.c_str());
  }
  return mFindings.empty() && results > 0 ? 0 : 1;
}

} // namespace arbutusferry::lab
