#include "arbutusferry/json.hpp"
#include "common/tcp_proxy.hpp"
#include "lab.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <random>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

DEFINE_uint64(seed, 1, "seed of faults and load");
DEFINE_int32(seconds, 8, "seconds of load and faults");
DEFINE_int32(nodes, 4, "number of node processes");
DEFINE_string(node_program, "", "path of arbutusferry-node");
DEFINE_string(logs, "", "existing directory for the nodes' logs");

namespace arbutusferry::lab {

namespace {

using standin::fault_mode;
using std::chrono::milliseconds;

constexpr const char* kHost = "lab.example";
/// How long a healed deployment may take until every accepted batch can be
/// read and ended: only one that hangs takes so long.
constexpr std::chrono::seconds kRecovery{ 40 };

/// @return A free port that this run has not had before.
std::uint16_t
FreePort()
{
  static std::set<std::uint16_t> sGiven;
  for (;;) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::address_v4::loopback(), 0 });
    const std::uint16_t port = acceptor.local_endpoint().port();
    if (sGiven.insert(port).second) {
      return port;
    }
  }
}

socket_address
Local(std::uint16_t aPort)
{
  return { "127.0.0.1", aPort };
}

/// One node process, its ports and the proxy on its way to the store.
struct node_process
{
  int index = 0;
  std::uint16_t callers = FreePort();
  std::uint16_t ready = FreePort();
  std::uint16_t peers = FreePort();
  std::uint16_t metrics = FreePort();
  standin::tcp_proxy store;
  std::string settings;
  pid_t pid = -1;
  bool paused = false;

  void Spawn()
  {
    const std::string log =
      FLAGS_logs.empty()
        ? "/dev/null"
        : FLAGS_logs + "/node-" + std::to_string(index) + ".log";
    pid = fork();
    if (pid == 0) {
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, STDOUT_FILENO);
      dup2(file, STDERR_FILENO);
      execl(FLAGS_node_program.c_str(),
            "arbutusferry-node",
            "--settings",
            settings.c_str(),
            nullptr);
      _exit(127);
    }
  }
  void Signal(int aSignal) const
  {
    if (pid > 0) {
      kill(pid, aSignal);
    }
  }
  /// @return Whether the process has ended.
  bool Reap()
  {
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
      pid = -1;
      paused = false;
    }
    return pid < 0;
  }
};

/// A batch as its trainer sees it.
struct trained_batch
{
  std::string id;
  std::size_t model = 0;
  std::int64_t minimum = 1;
  std::size_t items = 0;
  bool accepted = false;
  bool tried = false;
  bool endSent = false;
  bool ended = false;
  bool busy = false;
  time_point started;
  std::vector<std::string> results; ///< As first read, by position.
};

class soak
{
public:
  soak()
    : mRandom(FLAGS_seed)
    , mStore(mLoop)
    , mDuties(mFindings)
    , mClient(node::MakeHttpClient(mLoop))
  {
  }
  ~soak()
  {
    for (const auto& entry : mNodes) {
      entry->Signal(SIGKILL);
      if (entry->pid > 0) {
        waitpid(entry->pid, nullptr, 0);
      }
    }
  }
  soak(const soak&) = delete;
  soak& operator=(const soak&) = delete;

  int Run();

private:
  std::uint64_t Roll(std::uint64_t aBelow) { return mRandom() % aBelow; }
  std::uint16_t Serve(node::request_handler& aHandler);
  void StartTargets();
  void StartNodes();
  void PutManifest();
  void Fault();
  void Heal();
  void Later(duration aDelay, std::function<void()> aFunction);
  void RestartEnded();
  void Train();
  void Step(trained_batch& aBatch);
  void Submit(trained_batch& aBatch);
  void Read(trained_batch& aBatch);
  void End(trained_batch& aBatch);
  void CheckResult(const trained_batch& aBatch, const Json::Value& aResult);
  void Call();
  void Send(node::http_request aRequest, node::whole_response::callback aDone);
  void Found(std::string aText) { mFindings.push_back(std::move(aText)); }
  [[nodiscard]] bool Settled() const;

  std::mt19937_64 mRandom;
  findings mFindings;
  node::asio_loop mLoop;
  lab_store mStore;
  lab_duties mDuties;
  std::unique_ptr<node::http_client> mClient;
  std::vector<std::unique_ptr<lab_sampler>> mSamplers;
  std::vector<std::string> mSamplerAddresses;
  std::vector<std::unique_ptr<lab_desk>> mDesks;
  std::vector<std::unique_ptr<node::http_listener>> mListeners;
  std::vector<std::unique_ptr<node_process>> mNodes;
  std::vector<std::unique_ptr<trained_batch>> mBatches;
  std::map<std::string, int> mDeskRuns;
  std::set<std::string> mRefused; ///< Requests that were promised not to run.
  std::set<std::string> mOnce;    ///< Requests that must not run twice.
  std::set<std::string> mItemsRun;
  std::int64_t mNamed[2] = { 1, 1 };
  std::uint64_t mCalls = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mFaults = 0;
  bool mHealed = false;
  std::vector<std::unique_ptr<node::timer>> mTimers;
};

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
  for (int index = 0; index < FLAGS_nodes; ++index) {
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
    entry->Spawn();
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
      entry->Spawn();
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

void
soak::Send(node::http_request aRequest, node::whole_response::callback aDone)
{
  aRequest.headers.Add("Host", kHost);
  aRequest.headers.Add("Authorization", "Bearer key");
  node::exchange_options options;
  options.connect = milliseconds(500);
  options.silence = milliseconds(4'000);
  mClient->Send(Local(mNodes[Roll(mNodes.size())]->callers),
                std::move(aRequest),
                options,
                std::make_shared<node::whole_response>(std::move(aDone)));
}

void
soak::Call()
{
  if (mHealed) {
    return;
  }
  const bool repeatable = Roll(2) == 0;
  const std::string id = "r" + std::to_string(++mCalls);
  if (!repeatable) {
    mOnce.insert(id);
  }
  node::http_request request{ "POST",
                              repeatable ? "/i/x" : "/n/x",
                              { { "Arbutusferry-Request-Id", id },
                                { "Arbutusferry-Deadline-Ms", "2000" } },
                              "body" };
  Send(std::move(request),
       [this, id](const node::http_response* aResponse, auto) {
         if (!aResponse) {
           return;
         }
         const int status = aResponse->status;
         if (status == 200) {
           ++mAnswered;
           if (aResponse->body != "done " + id ||
               aResponse->headers.Get("Arbutusferry-Server-Stamp").empty()) {
             Found(id + ": the answer is not its own: " + aResponse->body);
           }
         } else if (status == 503 || status == 429) {
           mRefused.insert(id);
         } else if (status / 100 == 4) {
           Found(id + ": refused with " + std::to_string(status));
         }
       });
  Later(milliseconds(20 + Roll(40)), [this] { Call(); });
}

void
soak::Train()
{
  if (mHealed) {
    return;
  }
  auto added = std::make_unique<trained_batch>();
  added->model = Roll(2);
  added->minimum = std::max<std::int64_t>(1, mNamed[added->model] - 1);
  added->id = "b" + std::to_string(mBatches.size());
  added->items = 4 + Roll(8);
  added->started = mLoop.Now();
  trained_batch& entry = *added;
  mBatches.push_back(std::move(added));
  Step(entry);
  if (Roll(3) == 0) {
    const std::size_t model = Roll(2);
    ++mNamed[model];
    const std::string name = "m" + std::to_string(model);
    mStore.Put("keyed.op",
               "version/" + name,
               R"({"model":")" + name + R"(","version":)" +
                 std::to_string(mNamed[model]) + "}");
  }
  Later(milliseconds(400 + Roll(600)), [this] { Train(); });
}

void
soak::Step(trained_batch& aBatch)
{
  if (aBatch.ended || aBatch.busy) {
    return;
  }
  aBatch.busy = true;
  const bool complete = aBatch.results.size() == aBatch.items;
  const bool late = mLoop.Now() - aBatch.started > std::chrono::seconds(6);
  if (!aBatch.accepted) {
    if (mHealed && !aBatch.tried) {
      aBatch.ended = true;
      return;
    }
    Submit(aBatch);
  } else if (complete || (late && !mHealed)) {
    End(aBatch);
  } else {
    Read(aBatch);
  }
}

void
soak::Submit(trained_batch& aBatch)
{
  aBatch.tried = true;
  Json::Value body(Json::objectValue);
  const std::string model = "m" + std::to_string(aBatch.model);
  body["model"] = model;
  body["step"] = 1;
  body["min-version"] = Json::Int64(aBatch.minimum);
  body["target-count"] = 1;
  for (std::size_t index = 0; index < aBatch.items; ++index) {
    Json::Value item(Json::objectValue);
    // The second letter of an item names its model.
    item["id"] = "i" + std::to_string(aBatch.model) + aBatch.id + "-" +
                 std::to_string(index);
    item["path"] = "/b/x";
    item["headers"]["Arbutusferry-Model"] = model;
    item["body"] = "AAAA";
    item["group"] = "g" + std::to_string(index / 4);
    body["items"].append(std::move(item));
  }
  Send({ "POST",
         "/b/x",
         { { "Arbutusferry-Request-Id", aBatch.id } },
         WriteJson(body) },
       [this, &aBatch](const node::http_response* aResponse, auto) {
         aBatch.busy = false;
         if (aResponse && aResponse->status == 202) {
           aBatch.accepted = true;
         } else if (aResponse && aResponse->status / 100 == 4 &&
                    aResponse->status != 429) {
           Found(aBatch.id + ": refused with " +
                 std::to_string(aResponse->status));
         }
         Later(milliseconds(100), [this, &aBatch] { Step(aBatch); });
       });
}

void
soak::CheckResult(const trained_batch& aBatch, const Json::Value& aResult)
{
  const std::string item = aResult["id"].asString();
  if (aResult["state"].asString() != "completed") {
    if (!aBatch.endSent) {
      Found(item + ": errored");
    }
    return;
  }
  std::set<std::int64_t> made;
  std::string text = aResult["text"].asString() + "\n";
  std::size_t events = 0;
  while (!text.empty()) {
    const std::string line = text.substr(0, text.find('\n'));
    text.erase(0, line.size() + 1);
    const auto version = line.rfind(".v");
    std::string expected = item;
    expected += '.';
    expected += std::to_string(++events);
    if (line.substr(0, version) != expected) {
      expected += " is ";
      expected += line;
      Found(std::move(expected));
      return;
    }
    made.insert(std::stoll(line.substr(version + 2)));
  }
  std::set<std::int64_t> named;
  for (const Json::Value& version : aResult["versions"]) {
    named.insert(version.asInt64());
  }
  if (events != EventsOf(item)) {
    Found(item + ": " + std::to_string(events) + " events of " +
          std::to_string(EventsOf(item)));
  }
  if (made != named) {
    Found(item + ": the versions are not those that made it");
  }
  if (*made.begin() < aBatch.minimum) {
    Found(item + ": made by a version below the minimum");
  }
}

void
soak::Read(trained_batch& aBatch)
{
  // Now and then from an earlier position: it must hold what it held.
  const std::size_t after = aBatch.results.empty() || Roll(4) != 0
                              ? aBatch.results.size()
                              : Roll(aBatch.results.size());
  Send({ "GET",
         "/lots/" + aBatch.id + "?after=" + std::to_string(after),
         { { "Arbutusferry-Wait-Ms", "300" } },
         {} },
       [this, &aBatch, after](const node::http_response* aResponse, auto) {
         aBatch.busy = false;
         if (aResponse && aResponse->status == 404) {
           Found(aBatch.id + ": accepted and not found");
         }
         if (aResponse && aResponse->status == 200) {
           const auto parsed =
             Capture([&] { return ParseJson(aResponse->body, "results"); });
           const auto* page = std::get_if<Json::Value>(&parsed);
           if (!page || (*page)["total"].asUInt64() != aBatch.items) {
             Found(aBatch.id + ": a page that is none");
             return;
           }
           std::size_t position = after;
           for (const Json::Value& result : (*page)["results"]) {
             const std::string text = WriteJson(result);
             if (position < aBatch.results.size()) {
               if (aBatch.results[position] != text) {
                 Found(aBatch.id + ": position " + std::to_string(position) +
                       " has changed");
               }
             } else {
               CheckResult(aBatch, result);
               aBatch.results.push_back(text);
             }
             ++position;
           }
         }
         Later(milliseconds(60), [this, &aBatch] { Step(aBatch); });
       });
}

void
soak::End(trained_batch& aBatch)
{
  aBatch.endSent = true;
  Send({ "DELETE", "/lots/" + aBatch.id, {}, {} },
       [this, &aBatch](const node::http_response* aResponse, auto) {
         aBatch.busy = false;
         if (aResponse && aResponse->status == 200) {
           aBatch.ended = true;
           return;
         }
         if (aResponse && aResponse->status == 404) {
           Found(aBatch.id + ": accepted and not found at its end");
         }
         Later(milliseconds(100), [this, &aBatch] { Step(aBatch); });
       });
}

bool
soak::Settled() const
{
  return std::all_of(mBatches.begin(), mBatches.end(), [](const auto& aBatch) {
    return aBatch->ended;
  });
}

int
soak::Run()
{
  StartTargets();
  PutManifest();
  StartNodes();
  const auto reaper = std::make_unique<node::periodic>(
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
  runFor(std::chrono::seconds(FLAGS_seconds), [] { return false; });
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
    static_cast<unsigned long long>(FLAGS_seed),
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

} // namespace

} // namespace arbutusferry::lab

int
main(int aCount, char** aArguments)
{
  try {
    gflags::SetUsageMessage(
      "Runs node processes under load and random faults, and checks what "
      "callers and targets see.");
    gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_node_program.empty()) {
      std::fputs("node-soak: --node_program is needed\n", stderr);
      return 2;
    }
    arbutusferry::lab::soak run;
    return run.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "node-soak: %s\n", error.what());
    return 1;
  }
}
