#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace arbutusferry::harness {

namespace {

constexpr const char* kPlatformLinkName = "platform";

std::string
TextOrEmpty(const Json::Value& aValue)
{
  return aValue.isString() ? aValue.asString() : std::string();
}

} // namespace

cluster::cluster(cluster_options aOptions)
  : mOptions(std::move(aOptions))
{
  mPlatform = std::make_unique<child_process>(
    "platform",
    "fake-platform",
    std::vector<std::string>{ "--views=" + std::to_string(mOptions.zones) });
  for (std::size_t zone = 0; zone < mOptions.zones; ++zone) {
    for (std::size_t index = 0; index < mOptions.vmsPerZone; ++index) {
      vm_node& vm = mVms.emplace_back();
      vm.zone = ZoneName(zone);
      vm.id = vm.zone + "-vm" + std::to_string(index + 1);
      StartControl(vm);
    }
  }
  for (vm_node& vm : mVms) {
    StartEntry(vm);
  }
  PublishLists();
}

cluster::~cluster()
{
  // Resumes paused children, so that they can be ended.
  for (vm_node& vm : mVms) {
    for (child_process* child : { vm.entry.get(), vm.control.get() }) {
      if (child != nullptr) {
        child->Signal(SIGCONT);
      }
    }
  }
}

std::string
cluster::ZoneName(std::size_t aZone) const
{
  return "z" + std::to_string(aZone + 1);
}

std::string
cluster::PlatformAddress()
{
  return mPlatform->Address();
}

std::string
cluster::EntryAddress(std::size_t aVm)
{
  return mVms.at(aVm).entry->Address();
}

std::string
cluster::PlatformAddressFor(const std::string& aZone)
{
  for (std::size_t zone = 0; zone < mOptions.zones; ++zone) {
    if (ZoneName(zone) == aZone) {
      const Json::Value& views = mPlatform->Ready()["views"];
      return LinkAddress(
        aZone, kPlatformLinkName, views[Json::ArrayIndex(zone)].asString());
    }
  }
  throw std::runtime_error("unknown zone: " + aZone);
}

std::string
cluster::LinkAddress(const std::string& aFrom,
                     const std::string& aTo,
                     const std::string& aAddress)
{
  if (!mOptions.linkProxies || aFrom == aTo) {
    return aAddress;
  }
  for (const link& each : mLinks) {
    if (each.from == aFrom && each.to == aTo && each.address == aAddress) {
      return each.proxy->Address();
    }
  }
  link added{ aFrom, aTo, aAddress, std::make_unique<standin::tcp_proxy>() };
  if (!added.proxy->Start("127.0.0.1:0", aAddress)) {
    throw std::runtime_error("cannot start a proxy to " + aAddress);
  }
  mLinks.push_back(std::move(added));
  return mLinks.back().proxy->Address();
}

void
cluster::StartControl(vm_node& aVm)
{
  Json::Value settings(Json::objectValue);
  settings["vm"] = aVm.id;
  settings["zone"] = aVm.zone;
  settings["environment"] = mOptions.environment;
  settings["listen"] = "127.0.0.1:0";
  settings["platform"] = PlatformAddressFor(aVm.zone);
  settings["log_level"] = mOptions.logLevel;
  if (!mOptions.timing.empty()) {
    settings["timing"] = mOptions.timing;
  }
  const std::string file = mDirectory.Write(
    aVm.id + "-control-" + std::to_string(mNextFileNumber++) + ".json",
    WriteJson(settings));
  aVm.control =
    std::make_unique<child_process>(aVm.id + "-control",
                                    "arbutusferry-control",
                                    std::vector{ "--settings=" + file });
}

void
cluster::StartEntry(vm_node& aVm)
{
  Json::Value settings(Json::objectValue);
  settings["vm"] = aVm.id;
  settings["zone"] = aVm.zone;
  settings["environment"] = mOptions.environment;
  settings["listen"] = "127.0.0.1:0";
  settings["log_level"] = mOptions.logLevel;
  settings["control"] = Json::Value(Json::arrayValue);
  settings["control"].append(aVm.control->Address());
  for (const vm_node& other : mVms) {
    if (other.zone == aVm.zone && other.id != aVm.id) {
      settings["control"].append(other.control->Address());
    }
  }
  if (!mOptions.limits.empty()) {
    settings["limits"] = mOptions.limits;
  }
  const std::string file = mDirectory.Write(
    aVm.id + "-entry-" + std::to_string(mNextFileNumber++) + ".json",
    WriteJson(settings));
  aVm.entry =
    std::make_unique<child_process>(aVm.id + "-entry",
                                    "arbutusferry-entry",
                                    std::vector{ "--settings=" + file });
}

target_node&
cluster::AddTarget(const std::string& aZone,
                   const std::string& aClass,
                   target_kind aKind,
                   std::int64_t aSlots,
                   bool aProxied,
                   const std::vector<std::string>& aArguments)
{
  target_node& target = mTargets.emplace_back();
  target.info.id = aClass + "-" + aZone + "-" + std::to_string(mTargets.size());
  target.info.zone = aZone;
  target.info.targetClass = aClass;
  target.info.kind = aKind;
  target.info.slots = aSlots;
  std::vector<std::string> arguments = aArguments;
  if (aKind == target_kind::Engine) {
    arguments.push_back("--slots=" + std::to_string(aSlots));
  }
  target.process = std::make_unique<child_process>(
    target.info.id,
    aKind == target_kind::Engine ? "fake-engine" : "fake-service",
    arguments);
  target.info.address = target.process->Address();
  if (aProxied) {
    target.proxy = std::make_unique<standin::tcp_proxy>();
    if (!target.proxy->Start("127.0.0.1:0", target.info.address)) {
      throw std::runtime_error("cannot start a proxy to " +
                               target.info.address);
    }
    target.info.address = target.proxy->Address();
  }
  return target;
}

void
cluster::PublishLists()
{
  Json::Value vms(Json::objectValue);
  vms["vms"] = Json::Value(Json::arrayValue);
  for (const vm_node& vm : mVms) {
    Json::Value item(Json::objectValue);
    item["id"] = vm.id;
    item["zone"] = vm.zone;
    item["entry_address"] = vm.entry->Address();
    item["control_address"] = vm.control->Address();
    item["state"] = vm.leaving ? "leaving" : "live";
    vms["vms"].append(item);
  }
  Json::Value targets(Json::objectValue);
  targets["targets"] = Json::Value(Json::arrayValue);
  for (const target_node& target : mTargets) {
    Json::Value item(Json::objectValue);
    item["id"] = target.info.id;
    item["zone"] = target.info.zone;
    item["pool"] = std::string(EnumName(target.info.pool));
    item["class"] = target.info.targetClass;
    item["kind"] = std::string(EnumName(target.info.kind));
    item["address"] = target.info.address;
    item["slots"] = Json::Int64(target.info.slots);
    item["state"] = std::string(EnumName(target.info.state));
    item["checks_fencing"] = target.info.checksFencing;
    targets["targets"].append(item);
  }
  for (std::size_t zone = 0; mOptions.linkProxies && zone < mOptions.zones;
       ++zone) {
    Json::Value body(Json::objectValue);
    body["view"] = Json::UInt64(zone + 1);
    Json::Value& table = body["rewrites"] = Json::Value(Json::objectValue);
    const std::string from = ZoneName(zone);
    const auto rewrite = [&](const std::string& aTo,
                             const std::string& aAddress) {
      if (aTo != from) {
        table[aAddress] = LinkAddress(from, aTo, aAddress);
      }
    };
    for (const vm_node& vm : mVms) {
      rewrite(vm.zone, vm.entry->Address());
      rewrite(vm.zone, vm.control->Address());
    }
    for (const target_node& target : mTargets) {
      rewrite(target.info.zone, target.info.address);
    }
    SendJson(PlatformAddress(), "PUT", "/admin/rewrites", body);
  }
  SendJson(PlatformAddress(), "PUT", "/admin/vms", vms);
  SendJson(PlatformAddress(), "PUT", "/admin/targets", targets);
}

void
cluster::SetZoneFault(const std::string& aZone,
                      standin::fault_mode aMode,
                      bool aPlatform)
{
  standin::fault_setting setting;
  setting.mode = aMode;
  for (const link& each : mLinks) {
    const bool touches = each.from == aZone || each.to == aZone;
    if (touches && (aPlatform || each.to != kPlatformLinkName)) {
      each.proxy->Set(setting);
    }
  }
}

client_result
cluster::RunClient(const std::vector<std::string>& aArguments, std::size_t aVm)
{
  std::vector<std::string> arguments = aArguments;
  arguments.push_back("--control=" + mVms.at(aVm).control->Address());
  arguments.push_back("--json");
  child_process client("client", "arbutusferry", arguments);
  client_result result;
  result.exitCode = client.WaitForExit();
  result.output = client.StandardOutput();
  result.errors = client.StandardError();
  return result;
}

void
cluster::Apply(const Json::Value& aDocument, const std::string& aStage)
{
  const client_result result = RunClient({ "apply",
                                           WriteDocument(aDocument),
                                           "--stage=" + aStage,
                                           "--base=current" });
  if (result.exitCode != 0) {
    throw std::runtime_error("apply failed: " + result.output + result.errors);
  }
}

std::string
cluster::WriteDocument(const Json::Value& aDocument)
{
  return mDirectory.Write("document-" + std::to_string(mNextFileNumber++) +
                            ".json",
                          WriteJson(aDocument));
}

std::string
cluster::Grant(const std::string& aTeam, const std::string& aStage)
{
  const client_result result =
    RunClient({ "grant", mOptions.environment, aTeam, "--stage=" + aStage });
  if (result.exitCode != 0) {
    throw std::runtime_error("grant failed: " + result.output + result.errors);
  }
  return Parse(result.output)["key"].asString();
}

client_result
cluster::Withdraw(const std::string& aKey,
                  std::size_t aVm,
                  const std::string& aStage)
{
  // The key id is the second part of af_<key id>_<secret>.
  const std::string id = aKey.substr(3, aKey.find('_', 3) - 3);
  return RunClient(
    { "withdraw", mOptions.environment, id, "--stage=" + aStage }, aVm);
}

void
cluster::WaitUntilReady()
{
  for (vm_node& vm : mVms) {
    WaitUntil(vm.id + " is ready to serve", [&] {
      return Send(vm.entry->Address(), "GET", "/readyz").status == 200;
    });
  }
}

std::vector<Json::Value>
cluster::History(const std::string& aEvent)
{
  std::vector<Json::Value> found;
  const Json::Value answer = SendJson(PlatformAddress(), "GET", "/history");
  for (const Json::Value& item : answer["history"]) {
    if (TextOrEmpty(item["event"]) == aEvent) {
      found.push_back(item);
    }
  }
  return found;
}

Json::Value
ExampleDocument(const std::string& aEnvironment, std::size_t aZones)
{
  static constexpr const char* kText = R"({
    "environment": "shop",
    "tenants": [ { "name": "acme", "share": 2 }, { "name": "birch", "share": 1 } ],
    "models": [ { "name": "slip-reader", "target_class": "sampler",
                  "min_version": 1, "staleness_bound": 1 } ],
    "routes": [
      { "name": "complete", "kind": "completions", "model": "slip-reader",
        "target_class": "sampler", "access": "keyed", "tenants": [],
        "idempotent": true, "deadline_ms": 30000 },
      { "name": "train", "kind": "steps", "model": "slip-reader",
        "target_class": "sampler", "access": "keyed", "tenants": ["acme"],
        "idempotent": true, "deadline_ms": 60000 },
      { "name": "bookings", "kind": "service", "path": "/bookings",
        "target_class": "desk", "access": "keyed", "tenants": [],
        "idempotent": false, "deadline_ms": 10000 },
      { "name": "quotes", "kind": "service", "path": "/quotes",
        "target_class": "desk", "access": "keyed", "tenants": [],
        "idempotent": true, "deadline_ms": 10000 },
      { "name": "hours", "kind": "service", "path": "/hours",
        "target_class": "desk", "access": "open", "tenants": [],
        "idempotent": true, "deadline_ms": 10000 }
    ],
    "targets": [],
    "usage": { "window_s": 3600, "grace_s": 30 },
    "isolation": { "key_grace_s": 0 }
  })";
  Json::Value document = Parse(kText);
  document["environment"] = aEnvironment;
  for (const char* name : { "sampler", "desk" }) {
    Json::Value entry(Json::objectValue);
    entry["class"] = name;
    entry["zones"] = Json::Value(Json::arrayValue);
    for (std::size_t zone = 0; zone < aZones; ++zone) {
      Json::Value line(Json::objectValue);
      line["zone"] = "z" + std::to_string(zone + 1);
      line["min_protected"] = 1;
      line["max"] = 1;
      line["max_reclaimable"] = 0;
      entry["zones"].append(line);
    }
    document["targets"].append(entry);
  }
  return document;
}

} // namespace arbutusferry::harness
