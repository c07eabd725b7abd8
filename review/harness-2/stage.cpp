#include "stage.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

/// Interval of a sampler's status reports to the store.
constexpr std::int64_t kBeatMs = 1'200;
/// Time of a change of weights.
constexpr std::int64_t kLoadMs = 900;
/// An order without an answer leaves its channel open for this time.
constexpr std::int64_t kSilentMs = 30'000;
constexpr std::int64_t kReadyMs = 15'000;
/// Traffic starts some seconds after the machines; `contact-ms` is 3 s.
constexpr std::int64_t kInTouchMs = 4'000;
constexpr int kTimeLimitMs = 5'000;
constexpr int kSubmissions = 5;

std::string
Compact(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value
Parse(const std::string& aText)
{
  Json::Value value;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(
           aText.data(), aText.data() + aText.size(), &value, nullptr)
           ? value
           : Json::Value(Json::objectValue);
}

std::string
Address(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool
WriteAll(int aSocket, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t size =
      send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

} // namespace

std::string
NewId()
{
  static std::mt19937_64 sRandom{ std::random_device{}() };
  static std::mutex sMutex;
  const std::lock_guard lock(sMutex);
  char text[17];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(sRandom()));
  return text;
}

std::string
ZoneOf(int aNode)
{
  return std::string("hill-") + static_cast<char>('a' + aNode);
}

store_link::store_link(int aStorePort)
  : mStorePort(aStorePort)
  , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(mSocket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(mSocket, 512) != 0 ||
      getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no port to listen on");
  }
  mPort = ntohs(address.sin_port);
  // The process ends without waiting for these threads.
  std::thread([this] { Accept(); }).detach();
}

void
store_link::Accept()
{
  for (;;) {
    const int accepted = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
      std::thread([this, accepted] { Pass(accepted); }).detach();
    }
  }
}

int
store_link::SilenceReads(const std::string& aTopic)
{
  const std::lock_guard lock(mMutex);
  int count = 0;
  for (connection& entry : mConnections) {
    if (entry.request.starts_with("GET /log-read?topic=" + aTopic + "&")) {
      entry.silent = true;
      ++count;
    }
  }
  return count;
}

void
store_link::Pass(int aSocket)
{
  const int on = 1;
  const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(mStorePort);
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bool open = connect(target,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
  std::list<connection>::iterator entry;
  {
    const std::lock_guard lock(mMutex);
    entry = mConnections.emplace(mConnections.end());
  }
  while (open) {
    pollfd sides[2] = { { aSocket, POLLIN, 0 }, { target, POLLIN, 0 } };
    poll(sides, 2, -1);
    for (int side = 0; side < 2 && open; ++side) {
      if (sides[side].revents == 0) {
        continue;
      }
      char buffer[16384];
      const ssize_t size = recv(sides[side].fd, buffer, sizeof(buffer), 0);
      open = size > 0;
      if (!open) {
        break;
      }
      const std::string_view bytes(buffer, static_cast<std::size_t>(size));
      bool silent = false;
      {
        const std::lock_guard lock(mMutex);
        if (side == 0) {
          entry->request = bytes.substr(0, 200);
        }
        silent = entry->silent;
      }
      if (side == 0 && bytes.starts_with("POST /log-append") &&
          bytes.substr(0, bytes.find('\r')).find("&at=") !=
            std::string_view::npos) {
        mLastCondition = NowMs();
      }
      open = silent || WriteAll(sides[1 - side].fd, bytes);
    }
  }
  {
    const std::lock_guard lock(mMutex);
    mConnections.erase(entry);
  }
  close(aSocket);
  close(target);
}

stage_sampler::stage_sampler(stage_sampler_settings aSettings,
                             platform_store& aStore)
  : mSettings(std::move(aSettings))
  , mStore(aStore)
  , mId("i-" + NewId().substr(0, 8))
  , mServer([this](const request& aRequest, channel& aChannel) {
    Serve(aRequest, aChannel);
  })
{
  // The process ends without waiting for this thread.
  std::thread([this] { Beat(); }).detach();
}

void
stage_sampler::Note(const std::string& aText) const
{
  review::Note("sampler " + mId + ": " + aText);
}

Json::Value
stage_sampler::Models() const
{
  Json::Value model(Json::objectValue);
  model["name"] = kModel;
  model["version"] = Json::Int64(mVersion);
  model["adapters"] = Json::Value(Json::arrayValue);
  Json::Value models(Json::arrayValue);
  models.append(std::move(model));
  return models;
}

void
stage_sampler::Beat()
{
  for (std::uint64_t beat = 1;; ++beat) {
    Json::Value entry(Json::objectValue);
    entry["service"] = mSettings.service;
    entry["address"] = Address(mServer.Port());
    entry["zone"] = mSettings.zone;
    entry["version"] = "v1";
    entry["slots"] = mSettings.slots;
    entry["state"] = "ready";
    entry["cold-left-ms"] = 0;
    entry["born"] = Json::Int64(1'700'000'000'000);
    entry["seq"] = Json::UInt64(beat);
    if (mSettings.service == kModels) {
      const std::lock_guard lock(mMutex);
      entry["stage"] = "dual";
      entry["models"] = Models();
    }
    mStore.Put("keyed.servers", mId, Compact(entry));
    SleepMs(kBeatMs);
  }
}

std::vector<sampler_run>
stage_sampler::Runs()
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

std::map<std::string, std::string>
stage_sampler::WholeAnswers()
{
  const std::lock_guard lock(mMutex);
  return mWhole;
}

void
stage_sampler::Serve(const request& aRequest, channel& aChannel)
{
  if (aRequest.target == "/report") {
    Json::Value report(Json::objectValue);
    {
      const std::lock_guard lock(mMutex);
      report["stage"] = "dual";
      report["models"] = Models();
      report["busy"] = mBusy;
      report["seq"] = Json::UInt64(mOrders);
      report["in-flight"] = mRunning;
      report["queue-depth"] = 0;
    }
    aChannel.Send(
      200, { { "Content-Type", "application/json" } }, Compact(report));
    return;
  }
  const std::string expected =
    Field(aRequest.fields, "Arbutusferry-Expect-Instance");
  if (!expected.empty() && expected != mId) {
    aChannel.Send(421, { { "Arbutusferry-Instance-Id", mId } }, {});
    return;
  }
  if (aRequest.target == "/order") {
    ServeOrder(aRequest, aChannel);
    return;
  }
  const std::string id = Field(aRequest.fields, "Arbutusferry-Request-Id");
  if (id.empty()) {
    aChannel.Send(400, { { "Arbutusferry-Not-Run", "1" } }, {});
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    const std::string version =
      Field(aRequest.fields, "Arbutusferry-Expect-Version");
    const field_list echo{ { "Arbutusferry-Request-Id", id } };
    if (!version.empty() && version != std::to_string(mVersion) && !mBusy) {
      aChannel.Send(421, echo, {});
      return;
    }
    if (mBusy || mRunning >= mSettings.slots) {
      aChannel.Send(503, { echo.front(), { "Arbutusferry-Not-Run", "1" } }, {});
      return;
    }
    ++mRunning;
    mRuns.push_back({ id, Field(aRequest.fields, "Arbutusferry-Tenant") });
    Note("runs " + id + " for tenant '" + mRuns.back().tenant + "'");
  }
  if (mSettings.service == kModels) {
    RunItem(aRequest, id, aChannel);
  } else {
    RunPlain(id, aChannel);
  }
  const std::lock_guard lock(mMutex);
  --mRunning;
}

void
stage_sampler::ServeOrder(const request& aRequest, channel& aChannel)
{
  const Json::Value order = Parse(aRequest.body);
  std::int64_t late = -1;
  {
    const std::lock_guard lock(mMutex);
    late = std::exchange(mSettings.firstOrderLateMs, -1);
  }
  Note("gets order " + aRequest.body +
       (late >= 0 ? ", which it doesn't answer" : ""));
  if (late < 0) {
    aChannel.Send(TakeOrder(order), {}, {});
    return;
  }
  std::thread([this, order, late] {
    SleepMs(late);
    Note("carries out its late order: " + std::to_string(TakeOrder(order)));
  }).detach();
  for (const std::int64_t until = NowMs() + kSilentMs;
       NowMs() < until && !aChannel.Closed();) {
    SleepMs(20);
  }
}

int
stage_sampler::TakeOrder(const Json::Value& aOrder)
{
  const std::lock_guard lock(mMutex);
  if (aOrder["fence"].asUInt64() < mFence) {
    return 412;
  }
  mFence = aOrder["fence"].asUInt64();
  const std::int64_t version = aOrder["version"].asInt64();
  if (version == mVersion && !mBusy) {
    return 200;
  }
  if (mBusy || (aOrder.isMember("expected-rev") &&
                aOrder["expected-rev"].asUInt64() != mOrders)) {
    return 409;
  }
  ++mOrders;
  mBusy = true;
  const bool keep = aOrder["mode"].asString() == "keep";
  std::thread([this, version, keep] { Load(version, keep); }).detach();
  return 202;
}

void
stage_sampler::Load(std::int64_t aVersion, bool aKeepRuns)
{
  for (bool wait = !aKeepRuns; wait;) {
    SleepMs(10);
    const std::lock_guard lock(mMutex);
    wait = mRunning > 0;
  }
  SleepMs(kLoadMs);
  const std::lock_guard lock(mMutex);
  mVersion = aVersion;
  mBusy = false;
  Note("has version " + std::to_string(aVersion));
}

void
stage_sampler::RunItem(const request& aRequest,
                       const std::string& aId,
                       channel& aChannel)
{
  const auto version = [this] {
    const std::lock_guard lock(mMutex);
    return mVersion;
  };
  const std::string last = Field(aRequest.fields, "Last-Event-Id");
  std::int64_t made = version();
  aChannel.Begin(200,
                 { { "Content-Type", "text/event-stream" },
                   { "Arbutusferry-Request-Id", aId },
                   { "Arbutusferry-Server-Stamp", mId + "." + aId },
                   { "Arbutusferry-Weight-Versions", std::to_string(made) } });
  for (int event = last.empty() ? 1 : std::stoi(last) + 1;
       event <= mSettings.events;
       ++event) {
    SleepMs(mSettings.eventMs);
    if (aChannel.Closed()) {
      return;
    }
    std::string text;
    if (const std::int64_t now = version(); now != made) {
      made = now;
      text = "arbutusferry-weight-versions: " + std::to_string(now) + "\n";
    }
    aChannel.Chunk(text + "id: " + std::to_string(event) + "\ndata: " + aId +
                   " piece " + std::to_string(event) + "\n\n");
  }
  aChannel.End();
}

void
stage_sampler::RunPlain(const std::string& aId, channel& aChannel)
{
  std::string body;
  for (int line = 0; line < 20; ++line) {
    body += "booked " + aId + " at " + mId + "\n";
  }
  const field_list fields{ { "Arbutusferry-Request-Id", aId },
                           { "Arbutusferry-Server-Stamp", mId + "." + aId } };
  bool broken = false;
  {
    const std::lock_guard lock(mMutex);
    broken = mSettings.answersPerBroken > 0 &&
             ++mPlainAnswers % mSettings.answersPerBroken == 0;
    if (!broken) {
      mWhole[aId] = body;
    }
  }
  if (!broken) {
    aChannel.Send(200, fields, body);
    return;
  }
  Note("breaks off its answer to " + aId + " after half of " +
       std::to_string(body.size()) + " bytes");
  aChannel.Begin(200, fields);
  aChannel.Chunk(std::string_view(body).substr(0, body.size() / 2));
  SleepMs(10);
  aChannel.Reset();
}

stage::stage()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(pattern.data())) {
    throw std::runtime_error("no temporary folder");
  }
  mFolder = pattern;
}

stage_sampler&
stage::AddSampler(stage_sampler_settings aSettings)
{
  mSamplers.push_back(
    std::make_unique<stage_sampler>(std::move(aSettings), mStore));
  return *mSamplers.back();
}

void
stage::PutManifest(int aVersion, const std::vector<stage_route>& aRoutes)
{
  Json::Value manifest(Json::objectValue);
  manifest["version"] = aVersion;
  for (const stage_route& entry : aRoutes) {
    Json::Value added(Json::objectValue);
    added["name"] = entry.name;
    added["host"] = kHost;
    added["path-prefix"] = entry.prefix;
    added["kind"] = entry.kind;
    added["timeout-ms"] = 10'000;
    added["target-latency-ms"] = 400;
    added["priority"] = 0;
    added["service"] = entry.service;
    added["max-attempts"] = 3;
    added["skip-auth"] = entry.open;
    if (entry.kind == "rollout") {
      added["retention-s"] = 40.0;
      added["result-due-ms"] = 7'500;
      added["single-version"] = entry.singleVersion;
      added["sticky"] = true;
      added["resumable"] = true;
    }
    manifest["routes"].append(std::move(added));
  }
  for (const char* name : { kModels, kDesk }) {
    Json::Value added(Json::objectValue);
    added["name"] = name;
    added["health-path"] = "/health";
    added["max-connections"] = 160;
    added["protocol"] = "h1";
    added["tls"] = false;
    if (name == kModels) {
      Json::Value model(Json::objectValue);
      model["name"] = kModel;
      added["engine"]["slots"] = 12;
      added["engine"]["models"].append(std::move(model));
    }
    manifest["services"].append(std::move(added));
  }
  for (const auto& [name, key] :
       { std::pair(kTenant, kKey), std::pair(kOtherTenant, kOtherKey) }) {
    Json::Value tenant(Json::objectValue);
    tenant["name"] = name;
    tenant["api-keys"].append(key);
    manifest["tenants"].append(std::move(tenant));
  }
  Json::Value& limits = manifest["limits"];
  limits["max-header-bytes"] = 16'384;
  limits["max-body-bytes"] = 33'554'432;
  limits["header-timeout-ms"] = 3'000;
  limits["idle-timeout-ms"] = 15'000;
  mStore.Put("keyed.op", "config", Compact(manifest));
  Note("operator: manifest " + std::to_string(aVersion) + " acknowledged");
}

void
stage::NameVersion(std::int64_t aVersion)
{
  Json::Value named(Json::objectValue);
  named["model"] = kModel;
  named["version"] = Json::Int64(aVersion);
  mStore.Put("keyed.op", std::string("version/") + kModel, Compact(named));
  Note("trainer: names version " + std::to_string(aVersion));
}

void
stage::StartNode(const std::string& aProgram, int aNode)
{
  node& entry = mNodes[Index(aNode)];
  const std::string name = "front-" + ZoneOf(aNode) + "-1";
  // The fields of deploy/node.json, with the bounds of the small deployments.
  Json::Value settings(Json::objectValue);
  settings["vm"] = name;
  settings["zone"] = ZoneOf(aNode);
  for (int zone = 0; zone < kNodes; ++zone) {
    settings["zones"].append(ZoneOf(zone));
    settings["regions"][ZoneOf(zone)] = "hill";
  }
  settings["cpu_share"] = 0.5;
  settings["listen_callers"] = Address(entry.callers);
  settings["listen_ready"] = Address(entry.ready);
  settings["listen_peers"] = Address(ReservePort());
  settings["listen_metrics"] = Address(ReservePort());
  settings["store"] = Address(entry.link->Port());
  settings["duties"] = Address(mDuties.Port());
  settings["max_record_bytes"] = 262'144;
  settings["store_read_mb_s"] = 80.0;
  settings["max_call_bytes"] = 2'097'152;
  settings["lease_ms"] = 3'000;
  settings["cancel_within_ms"] = 3'000;
  settings["fences_checked"] = true;
  settings["usage_window_s"] = 5;
  settings["usage_due_s"] = 10;
  settings["batch_readable_s"] = 120;
  settings["stop_within_s"] = 8;
  settings["memory_mb"] = 320;
  settings["max_descriptors"] = 8'200;
  const std::string file = mFolder + "/" + name + ".json";
  std::ofstream(file) << settings.toStyledString();
  const std::string log =
    std::getenv("KEEP_LOGS")
      ? std::string(std::getenv("KEEP_LOGS")) + "/" + name + ".log"
      : "/dev/null";
  const pid_t parent = getpid();
  entry.process = fork();
  if (entry.process == 0) {
    // Ends with this program, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(
      aProgram.c_str(), aProgram.c_str(), "--settings", file.c_str(), nullptr);
    _exit(127);
  }
  Note("platform: starts " + name);
}

bool
stage::Start(const std::string& aProgram)
{
  for (int index = 0; index < kNodes; ++index) {
    node& added = mNodes.emplace_back();
    added.link = std::make_unique<store_link>(mStore.Port());
    added.callers = ReservePort();
    added.ready = ReservePort();
    StartNode(aProgram, index);
  }
  const std::int64_t until = NowMs() + kReadyMs;
  for (const node& entry : mNodes) {
    for (;;) {
      const call_result result =
        Call(entry.ready, { "GET", "/ready", { { "Host", "n" } }, {} }, 500);
      if (result.end == call_end::Answered && result.answer.status == 200) {
        break;
      }
      if (NowMs() >= until) {
        Note("a node isn't ready");
        return false;
      }
      SleepMs(50);
    }
  }
  SleepMs(kInTouchMs);
  return Leader() >= 0;
}

void
stage::EndAll()
{
  for (node& entry : mNodes) {
    if (entry.process > 0) {
      kill(entry.process, SIGKILL);
      waitpid(entry.process, nullptr, 0);
      entry.process = -1;
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

int
stage::Leader() const
{
  int leader = -1;
  std::int64_t newest = -1;
  for (int index = 0; index < static_cast<int>(mNodes.size()); ++index) {
    const std::int64_t at = mNodes[Index(index)].link->LastConditionMs();
    if (at > newest) {
      newest = at;
      leader = index;
    }
  }
  return leader;
}

call_result
stage::Ask(int aNode, const request& aRequest)
{
  call_result result =
    Call(mNodes[Index(aNode)].callers, aRequest, kTimeLimitMs + 1'500);
  Note("client: " + aRequest.method + " " + aRequest.target + " at node " +
       std::to_string(aNode + 1) + ": " + DescribeEnd(result));
  return result;
}

bool
stage::Submit(int aNode, const request& aSubmission)
{
  for (int attempt = 0; attempt < kSubmissions; ++attempt) {
    const call_result result = Ask(aNode, aSubmission);
    if (result.end == call_end::Answered && result.answer.status == 202) {
      return true;
    }
    SleepMs(300);
  }
  return false;
}

bool
stage::ReadAll(int aNode,
               const std::string& aBatch,
               const std::string& aKey,
               const field_list& aFields,
               std::vector<Json::Value>& aResults)
{
  aResults.clear();
  for (;;) {
    const call_result result = Ask(
      aNode,
      KeyCall("GET",
              "/lots/" + aBatch + "?after=" + std::to_string(aResults.size()),
              aKey,
              aFields));
    if (result.end != call_end::Answered || result.answer.status != 200) {
      return false;
    }
    const Json::Value page = Parse(result.answer.body);
    if (page["results"].empty()) {
      return true;
    }
    for (const Json::Value& entry : page["results"]) {
      aResults.push_back(entry);
    }
  }
}

std::vector<Json::Value>
stage::AwaitResults(int aNode,
                    const std::string& aBatch,
                    const std::string& aKey,
                    std::size_t aCount,
                    std::int64_t aTimeoutMs)
{
  std::vector<Json::Value> results;
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (results.size() < aCount && NowMs() < until) {
    SleepMs(500);
    std::vector<Json::Value> read;
    if (ReadAll(aNode, aBatch, aKey, {}, read)) {
      results = std::move(read);
    }
  }
  Note("client: " + std::to_string(results.size()) + " results were read");
  return results;
}

std::vector<sampler_run>
stage::Runs()
{
  std::vector<sampler_run> all;
  for (const auto& entry : mSamplers) {
    const auto runs = entry->Runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

request
KeyCall(const std::string& aMethod,
        const std::string& aTarget,
        const std::string& aKey,
        const field_list& aFields)
{
  request call{ aMethod,
                aTarget,
                { { "Host", kHost },
                  { "Authorization", "Bearer " + aKey },
                  { "Arbutusferry-Deadline-Ms",
                    std::to_string(kTimeLimitMs) } },
                {} };
  call.fields.insert(call.fields.end(), aFields.begin(), aFields.end());
  return call;
}

request
BatchCall(const std::string& aPrefix,
          const std::string& aBatch,
          const std::vector<std::string>& aItems,
          const std::string& aKey,
          const field_list& aFields)
{
  Json::Value body(Json::objectValue);
  body["step"] = 1;
  body["model"] = kModel;
  body["min-version"] = 1;
  body["target-count"] =
    Json::UInt64(std::max<std::size_t>(1, aItems.size() / 4 * 9 / 10));
  for (std::size_t index = 0; index < aItems.size(); ++index) {
    const std::string& id = aItems[index];
    Json::Value item(Json::objectValue);
    item["id"] = id;
    item["path"] = aPrefix + "3/" + id.substr(12);
    item["headers"]["Arbutusferry-Model"] = kModel;
    item["headers"]["Arbutusferry-Token-Usage"] = "271,130";
    item["headers"]["Arbutusferry-Prompt-Prefix"] =
      "9c2e41:255," + id.substr(0, 6) + ":16";
    item["body"] = "q83vEjRWeJA=";
    item["tokens"] = 401;
    item["group"] = "g" + std::to_string(index / 4);
    body["items"].append(std::move(item));
  }
  request call = KeyCall("POST", aPrefix + aBatch, aKey, aFields);
  call.fields.emplace_back("Arbutusferry-Request-Id", aBatch);
  call.fields.emplace_back("Content-Type", "application/json");
  call.body = Compact(body);
  return call;
}

int
RunCase(int aCount,
        char** aArguments,
        const std::function<std::optional<std::vector<std::string>>(
          stage& aStage,
          const std::string& aProgram)>& aCase)
{
  return RunScenario(
    aCount, aArguments, [&](const scenario_paths& aPaths) -> verdict {
      // Its threads serve until the process ends, so it is never destroyed.
      auto& all = *new stage;
      std::optional<std::vector<std::string>> broken;
      try {
        broken = aCase(all, aPaths.node);
      } catch (const std::exception& error) {
        Note(std::string("the case could not run: ") + error.what());
      }
      all.EndAll();
      if (!broken) {
        return verdict::CouldNotRun;
      }
      for (const std::string& line : *broken) {
        Note("BROKEN: " + line);
      }
      return broken->empty() ? verdict::Held : verdict::Broken;
    });
}

} // namespace review
