#include "world.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <json/json.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using clock = std::chrono::steady_clock;

const clock::time_point kStart = clock::now();
/// `contact-ms` of the small deployments, and some room.
constexpr std::int64_t kInTouchMs = 4'000;
std::mutex sRecordMutex;
std::ofstream sRecord;
/// The nodes of the scenario, which RunScenario() ends.
node_fleet* sNodes = nullptr;

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

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                               kStart)
    .count();
}

void
SleepUntilMs(std::int64_t aMs)
{
  std::this_thread::sleep_until(kStart + std::chrono::milliseconds(aMs));
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
OpenRecord(const std::string& aFolder)
{
  sRecord.open(aFolder + "/record.txt", std::ios::trunc);
}

void
Note(const std::string& aText)
{
  const std::lock_guard lock(sRecordMutex);
  char time[32];
  std::snprintf(
    time, sizeof(time), "%8.3f ", static_cast<double>(NowMs()) / 1000.0);
  sRecord << time << aText << std::endl;
}

node_fleet::node_fleet(std::string aProgram,
                       const platform_store& aStore,
                       const platform_duties& aDuties,
                       int aCount,
                       bool aFencesChecked)
  : mProgram(std::move(aProgram))
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(pattern.data())) {
    throw std::runtime_error("no temporary folder");
  }
  mFolder = pattern;
  for (int index = 0; index < aCount; ++index) {
    node added;
    added.name = "front-z0-" + std::to_string(index + 1);
    added.settings = mFolder + "/" + added.name + ".json";
    added.callers = ReservePort();
    added.ready = ReservePort();
    const auto address = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    // The fields of deploy/node.json, with the bounds of the small deployments.
    Json::Value settings(Json::objectValue);
    settings["vm"] = added.name;
    settings["zone"] = "z0";
    settings["zones"].append("z0");
    settings["cpu_share"] = 0.5;
    settings["listen_callers"] = address(added.callers);
    settings["listen_ready"] = address(added.ready);
    settings["listen_peers"] = address(ReservePort());
    settings["listen_metrics"] = address(ReservePort());
    added.storeLink = std::make_unique<proxy_link>(aStore.Port());
    settings["store"] = address(added.storeLink->Port());
    settings["duties"] = address(aDuties.Port());
    settings["max_record_bytes"] = 262'144;
    settings["max_call_bytes"] = 2'097'152;
    settings["lease_ms"] = 3'000;
    settings["cancel_within_ms"] = 3'000;
    settings["fences_checked"] = aFencesChecked;
    settings["usage_window_s"] = 5;
    settings["usage_due_s"] = 10;
    settings["batch_readable_s"] = 120;
    settings["stop_within_s"] = 8;
    std::ofstream(added.settings) << settings.toStyledString();
    mNodes.push_back(std::move(added));
  }
  sNodes = this;
  for (int index = 0; index < aCount; ++index) {
    Start(index);
  }
}

void
node_fleet::EndAll()
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

void
node_fleet::Start(int aNode)
{
  node& entry = mNodes[static_cast<std::size_t>(aNode)];
  const std::string log =
    std::getenv("KEEP_LOGS")
      ? std::string(std::getenv("KEEP_LOGS")) + "/" + entry.name + ".log"
      : "/dev/null";
  const pid_t parent = getpid();
  entry.process = fork();
  if (entry.process == 0) {
    // Ends with this program, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int file =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execl(mProgram.c_str(),
          mProgram.c_str(),
          "--settings",
          entry.settings.c_str(),
          nullptr);
    _exit(127);
  }
  Note("platform: starts " + entry.name);
}

void
node_fleet::Signal(int aNode, int aSignal)
{
  const node& entry = mNodes[static_cast<std::size_t>(aNode)];
  Note("platform: signal " + std::to_string(aSignal) + " to " + entry.name);
  kill(entry.process, aSignal);
}

bool
node_fleet::AwaitEnd(int aNode, std::int64_t aTimeoutMs)
{
  node& entry = mNodes[static_cast<std::size_t>(aNode)];
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (waitpid(entry.process, nullptr, WNOHANG) == 0) {
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(5);
  }
  entry.process = -1;
  Note("platform: " + entry.name + " has ended");
  return true;
}

bool
node_fleet::Ready(int aNode) const
{
  const call_result result =
    Call(mNodes[static_cast<std::size_t>(aNode)].ready,
         { "GET", "/ready", { { "Host", "ready" } }, {} },
         500);
  return result.end == call_end::Answered && result.answer.status == 200;
}

bool
node_fleet::AwaitReady(std::int64_t aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  for (int index = 0; index < Count();) {
    if (Ready(index)) {
      ++index;
    } else if (NowMs() >= until) {
      return false;
    } else {
      SleepMs(50);
    }
  }
  return true;
}

void
node_fleet::CutFromStore(int aNode, bool aCut)
{
  node& entry = mNodes[static_cast<std::size_t>(aNode)];
  Note("platform: " + entry.name +
       (aCut ? " is partitioned from the store" : " reaches the store again"));
  entry.storeLink->SetCut(aCut);
}

int
node_fleet::Leader(platform_store& aStore) const
{
  const Json::Value record = Parse(aStore.Newest("keyed.af.leader", "leader"));
  for (int index = 0; index < Count(); ++index) {
    if (record["vm"].asString() ==
        mNodes[static_cast<std::size_t>(index)].name) {
      return index;
    }
  }
  return -1;
}

int
node_fleet::Sender(int aPeerPort) const
{
  std::vector<int> processes;
  for (const node& entry : mNodes) {
    if (entry.process > 0) {
      processes.push_back(entry.process);
    }
  }
  const int found = FindSender(aPeerPort, processes);
  for (int index = 0; index < Count(); ++index) {
    if (found > 0 && mNodes[static_cast<std::size_t>(index)].process == found) {
      return index;
    }
  }
  return -1;
}

bool
world::StartNodes(const std::string& aProgram, int aCount, bool aFencesChecked)
{
  nodes = std::make_unique<node_fleet>(
    aProgram, store, duties, aCount, aFencesChecked);
  for (const auto& entry : samplers) {
    entry->findSender = [this](int aPeerPort) {
      return nodes->Sender(aPeerPort);
    };
  }
  if (!nodes->AwaitReady(10'000)) {
    Note("the nodes didn't become ready");
    return false;
  }
  SleepMs(kInTouchMs);
  return true;
}

std::vector<run_start>
world::Starts() const
{
  std::vector<run_start> all;
  for (const auto& entry : samplers) {
    const auto starts = entry->Starts();
    all.insert(all.end(), starts.begin(), starts.end());
  }
  return all;
}

void
PutManifest(platform_store& aStore,
            int aVersion,
            const std::vector<route>& aRoutes)
{
  Json::Value manifest(Json::objectValue);
  manifest["version"] = aVersion;
  std::set<std::string> services;
  std::set<std::string> engines;
  for (const route& entry : aRoutes) {
    Json::Value added(Json::objectValue);
    added["name"] = entry.name;
    added["host"] = kHost;
    added["path-prefix"] = entry.prefix;
    added["kind"] = entry.kind;
    added["timeout-ms"] = entry.timeoutMs;
    added["target-latency-ms"] = 400;
    added["priority"] = 0;
    added["service"] = entry.service;
    added["max-attempts"] = entry.maxAttempts;
    added["skip-auth"] = false;
    if (entry.kind == "rollout") {
      added["retention-s"] = 40.0;
      added["result-due-ms"] = 7'500;
      added["single-version"] = false;
      added["sticky"] = true;
      added["resumable"] = true;
      engines.insert(entry.service);
    }
    services.insert(entry.service);
    manifest["routes"].append(std::move(added));
  }
  for (const std::string& name : services) {
    Json::Value added(Json::objectValue);
    added["name"] = name;
    added["health-path"] = "/health";
    added["max-connections"] = 160;
    added["protocol"] = "h1";
    added["tls"] = false;
    if (engines.contains(name)) {
      Json::Value model(Json::objectValue);
      model["name"] = kModel;
      added["engine"]["slots"] = 4;
      added["engine"]["models"].append(std::move(model));
    }
    manifest["services"].append(std::move(added));
  }
  Json::Value tenant(Json::objectValue);
  tenant["name"] = "huka270";
  tenant["api-keys"].append(kKey);
  manifest["tenants"].append(std::move(tenant));
  Json::Value& limits = manifest["limits"];
  limits["max-header-bytes"] = 16'384;
  limits["max-body-bytes"] = 33'554'432;
  limits["header-timeout-ms"] = 3'000;
  limits["idle-timeout-ms"] = 15'000;
  aStore.Put("keyed.op", "config", Compact(manifest));
  Note("operator: manifest " + std::to_string(aVersion) + " acknowledged");
}

request
TenantCall(const std::string& aMethod,
           const std::string& aTarget,
           int aDeadlineMs)
{
  return { aMethod,
           aTarget,
           { { "Host", kHost },
             { "Authorization", std::string("Bearer ") + kKey },
             { "Arbutusferry-Deadline-Ms", std::to_string(aDeadlineMs) } },
           {} };
}

request
Submission(const std::string& aPrefix,
           const std::string& aId,
           const std::vector<submitted_item>& aItems,
           int aDeadlineMs)
{
  constexpr int kPromptTokens = 271;
  Json::Value body(Json::objectValue);
  body["step"] = 0;
  body["model"] = kModel;
  body["min-version"] = 1;
  body["target-count"] =
    Json::UInt64(std::max<std::size_t>(1, aItems.size() / 4 * 9 / 10));
  for (std::size_t index = 0; index < aItems.size(); ++index) {
    const submitted_item& given = aItems[index];
    Json::Value item(Json::objectValue);
    item["id"] = given.id;
    item["path"] = aPrefix + "3/" + given.id;
    item["headers"]["Arbutusferry-Model"] = kModel;
    item["headers"]["Arbutusferry-Token-Usage"] =
      std::to_string(kPromptTokens) + "," + std::to_string(given.outputTokens);
    item["headers"]["Arbutusferry-Prompt-Prefix"] = "9c2e41:255,5d07b8:16";
    item["body"] = "q83vEjRWeJA=";
    item["tokens"] = kPromptTokens + given.outputTokens;
    item["group"] = "g" + std::to_string(index / 4);
    if (!given.rewardPath.empty()) {
      Json::Value& reward = item["scorer"];
      reward["id"] = "w-" + given.id;
      reward["host"] = kHost;
      reward["path"] = given.rewardPath;
      reward["body"] = "q83vEjRWeJA=";
    }
    body["items"].append(std::move(item));
  }
  request call = TenantCall("POST", aPrefix + aId, aDeadlineMs);
  call.fields.emplace_back("Arbutusferry-Request-Id", aId);
  call.fields.emplace_back("Content-Type", "application/json");
  call.body = Compact(body);
  return call;
}

request
Submission(const std::string& aPrefix,
           const std::string& aId,
           const std::vector<std::string>& aItems,
           int aDeadlineMs)
{
  std::vector<submitted_item> items;
  for (const std::string& id : aItems) {
    items.push_back({ id });
  }
  return Submission(aPrefix, aId, items, aDeadlineMs);
}

result_page
ReadResults(int aPort, const std::string& aBatch, std::size_t aAfter)
{
  const call_result result = Call(
    aPort,
    TenantCall(
      "GET", "/lots/" + aBatch + "?after=" + std::to_string(aAfter), 3'000),
    4'500);
  result_page page;
  if (result.end != call_end::Answered) {
    return page;
  }
  page.status = result.answer.status;
  if (page.status != 200) {
    return page;
  }
  const Json::Value body = Parse(result.answer.body);
  page.next = body["next"].asUInt64();
  for (const Json::Value& entry : body["results"]) {
    page.items.push_back(entry["id"].asString());
    page.texts.push_back(entry["text"].asString());
    page.states.push_back(entry["state"].asString());
  }
  return page;
}

std::string
DescribeEnd(const call_result& aResult)
{
  switch (aResult.end) {
    case call_end::Answered:
      return std::to_string(aResult.answer.status);
    case call_end::NotConnected:
      return "no connection";
    case call_end::Closed:
      return "channel closed without an answer";
    case call_end::TimedOut:
      break;
  }
  return "no answer in time";
}

call_result
CallWithRetries(const node_fleet& aNodes,
                int aFirstNode,
                const request& aRequest,
                int aTimeoutMs,
                int aTries)
{
  call_result result;
  for (int attempt = 0; attempt < aTries; ++attempt) {
    const int at = (aFirstNode + attempt) % aNodes.Count();
    Note("client: " + aRequest.method + " " + aRequest.target + " to node " +
         std::to_string(at + 1));
    result = Call(aNodes.CallerPort(at), aRequest, aTimeoutMs);
    Note("client: " + aRequest.method + " " + aRequest.target + ": " +
         DescribeEnd(result));
    if (result.end == call_end::Answered && result.answer.status < 500) {
      return result;
    }
    SleepMs(200);
  }
  return result;
}

void
LimitTime(int aSeconds)
{
  std::thread([aSeconds] {
    SleepMs(aSeconds * 1'000);
    Note("the scenario took too long");
    // The nodes end with this process.
    _exit(static_cast<int>(verdict::CouldNotRun));
  }).detach();
}

bool
WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

int
RunScenario(int aCount,
            char** aArguments,
            const std::function<verdict(const scenario_paths&)>& aScenario)
{
  if (aCount != 3) {
    std::cerr << "usage: " << aArguments[0] << " NODE_PROGRAM FOLDER\n";
    return static_cast<int>(verdict::CouldNotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const scenario_paths paths{ aArguments[1], aArguments[2] };
  OpenRecord(paths.folder);
  Note(WithTrouble() ? "with the disruption" : "without the disruption");
  LimitTime(110);
  verdict outcome = verdict::CouldNotRun;
  try {
    outcome = aScenario(paths);
  } catch (const std::exception& error) {
    Note(std::string("the case could not run: ") + error.what());
  }
  if (sNodes) {
    sNodes->EndAll();
  }
  const char* text = outcome == verdict::Held     ? "the rule held"
                     : outcome == verdict::Broken ? "the rule was broken"
                                                  : "the case could not run";
  Note(text);
  std::cout << text << std::endl;
  // Threads of the stand-ins may still run.
  _exit(static_cast<int>(outcome));
}

} // namespace review
