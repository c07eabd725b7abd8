#include "commands.hpp"

#include "arbutusferry/address.hpp"
#include "arbutusferry/api_key.hpp"
#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/operator_client.hpp"
#include "arbutusferry/rpc_http.hpp"
#include "arbutusferry/settings.hpp"
#include "http_get.hpp"
#include "output.hpp"

#include <charconv>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

namespace arbutusferry {

namespace {

leaf::error_id
MakeCommandLineError(const std::string& aArgument, const std::string& aExpected)
{
  return MakeError(error_code::InvalidArgument,
                   "command line",
                   "",
                   "argument \"" + aArgument + "\": " + aExpected);
}

/// Runs one command of the client.
class command_runner
{
public:
  command_runner(const command_options& aOptions,
                 std::vector<std::string> aArguments)
    : mOptions(aOptions)
    , mArguments(std::move(aArguments))
    , mClient(
        aOptions.controlAddresses,
        [timeout = aOptions.timeout](const std::string& aAddress) {
          return MakeHttpRpcClient(aAddress, timeout);
        },
        [](duration aTime) { std::this_thread::sleep_for(aTime); })
  {
  }

  result<exit_code> Check();
  result<exit_code> Diff();
  result<exit_code> Apply();
  result<exit_code> Promote();
  result<exit_code> Grant();
  result<exit_code> Withdraw();
  result<exit_code> Record();
  result<exit_code> Status() { return QueryAndPrint("operator.status", {}); }
  result<exit_code> Drain();
  result<exit_code> Usage();
  result<exit_code> Metrics();

private:
  result<environment_document> ReadDocument() const
  {
    BOOST_LEAF_AUTO(text, ReadTextFile(mArguments[1]));
    BOOST_LEAF_AUTO(value, ParseJson(text, mArguments[1]));
    return ReadEnvironment(value, mArguments[1]);
  }

  result<stage> StageOr(stage aDefault) const
  {
    const auto parsed = ParseEnum<stage>(mOptions.stage);
    if (!parsed && !mOptions.stage.empty()) {
      return MakeCommandLineError("--stage", "expected trial or production");
    }
    return parsed.value_or(aDefault);
  }

  result<log_offset> ResolveBase(log_offset aRevisionInForce) const;
  result<exit_code> SubmitChange(const std::string& aMethod,
                                 const Json::Value& aParams,
                                 const generated_key* aKey = nullptr);
  result<exit_code> ReportOutcome(const change_result& aChange,
                                  const generated_key* aKey = nullptr) const;
  result<exit_code> QueryAndPrint(const std::string& aMethod,
                                  Json::Value aParams);

  void Print(const Json::Value& aValue, const std::string& aText) const
  {
    std::cout << (mOptions.json ? WriteJson(aValue) + "\n" : aText);
  }

  const command_options& mOptions;
  std::vector<std::string> mArguments;
  operator_client mClient;
};

/// Returns the revision that a change is based on. The operator names it, so
/// that two operators cannot overwrite each other's changes unnoticed.
result<log_offset>
command_runner::ResolveBase(log_offset aRevisionInForce) const
{
  log_offset base = kNoOffset;
  if (mOptions.base == "current") {
    return aRevisionInForce;
  }
  if (!mOptions.base.empty()) {
    const char* const end = mOptions.base.data() + mOptions.base.size();
    const auto [parsedEnd, parseError] =
      std::from_chars(mOptions.base.data(), end, base);
    if (parseError != std::errc() || parsedEnd != end || base < kNoOffset) {
      return MakeCommandLineError("--base",
                                  "expected a revision or \"current\"");
    }
  }
  if (base != aRevisionInForce) {
    return MakeError(error_code::Conflict,
                     "command line",
                     "",
                     "argument \"--base\": expected the revision in force, " +
                       std::to_string(aRevisionInForce) +
                       (mOptions.base.empty() ? "; see diff" : ""));
  }
  return base;
}

result<exit_code>
command_runner::SubmitChange(const std::string& aMethod,
                             const Json::Value& aParams,
                             const generated_key* aKey)
{
  const std::string recordId =
    mOptions.recordId.empty() ? "op-" + RandomHex(12) : mOptions.recordId;
  BOOST_LEAF_AUTO(change, mClient.Change(aMethod, aParams, recordId));
  return ReportOutcome(change, aKey);
}

result<exit_code>
command_runner::ReportOutcome(const change_result& aChange,
                              const generated_key* aKey) const
{
  Json::Value value(Json::objectValue);
  value["outcome"] = std::string(EnumName(aChange.outcome));
  value["offset"] = Json::Int64(aChange.offset);
  value["record_id"] = aChange.recordId;
  std::string text;
  exit_code code = exit_code::Success;
  if (aChange.outcome == change_outcome::InForce) {
    text = "in force at offset " + std::to_string(aChange.offset) +
           " (record " + aChange.recordId + ")\n";
    if (aKey != nullptr) {
      value["key"] = aKey->text;
      text += "key (shown once): " + aKey->text + "\n";
    }
  } else if (aChange.outcome == change_outcome::Void) {
    code = exit_code::Failed;
    std::cerr << "record " << aChange.recordId << " at offset "
              << aChange.offset
              << ": void, nothing was changed; its base was not in force or "
                 "it names something that does not exist\n";
  } else {
    code = exit_code::Unknown;
    value["reason"] = aChange.reason;
    std::cerr << "record " << aChange.recordId << ": outcome unknown ("
              << aChange.reason << "); query it with: "
              << "arbutusferry record " << aChange.recordId << "\n";
  }
  if (aKey != nullptr) {
    value["key_id"] = aKey->keyId;
    text += "key id: " + aKey->keyId + "\n";
  }
  Print(value, text);
  return code;
}

result<exit_code>
command_runner::QueryAndPrint(const std::string& aMethod, Json::Value aParams)
{
  if (aParams.isNull()) {
    aParams = Json::Value(Json::objectValue);
  }
  BOOST_LEAF_AUTO(response, mClient.Query(aMethod, aParams));
  Print(response, FormatText(response));
  return exit_code::Success;
}

result<exit_code>
command_runner::Check()
{
  BOOST_LEAF_AUTO(document, ReadDocument());
  Json::Value value(Json::objectValue);
  value["valid"] = true;
  value["environment"] = document.environment;
  value["sha256"] = EnvironmentHash(document);
  Print(value,
        mArguments[1] + ": valid, environment " + document.environment +
          ", sha256 " + value["sha256"].asString() + "\n");
  return exit_code::Success;
}

result<exit_code>
command_runner::Diff()
{
  BOOST_LEAF_AUTO(document, ReadDocument());
  BOOST_LEAF_AUTO(selectedStage, StageOr(stage::Trial));
  BOOST_LEAF_AUTO(inForce,
                  mClient.Document(document.environment, selectedStage));
  const auto changes = CompareDocuments(
    inForce.document ? WriteEnvironment(*inForce.document) : Json::Value(),
    WriteEnvironment(document));
  Json::Value value(Json::objectValue);
  value["revision"] = Json::Int64(inForce.revision);
  value["stage"] = std::string(EnumName(selectedStage));
  value["changes"] = Json::Value(Json::arrayValue);
  for (const document_change& change : changes) {
    Json::Value item(Json::objectValue);
    item["path"] = change.path;
    item["before"] = change.before;
    item["after"] = change.after;
    value["changes"].append(item);
  }
  std::string text =
    inForce.document
      ? "in force: revision " + std::to_string(inForce.revision) + "\n"
      : "in force: no document\n";
  if (!inForce.document) {
    text += "+ the whole document\n";
  } else {
    text += changes.empty() ? "no changes\n" : FormatChanges(changes);
  }
  Print(value, text);
  return exit_code::Success;
}

result<exit_code>
command_runner::Apply()
{
  BOOST_LEAF_AUTO(document, ReadDocument());
  BOOST_LEAF_AUTO(selectedStage, StageOr(stage::Trial));
  BOOST_LEAF_AUTO(inForce,
                  mClient.Document(document.environment, selectedStage));
  BOOST_LEAF_AUTO(base, ResolveBase(inForce.revision));
  Json::Value params(Json::objectValue);
  params["environment"] = document.environment;
  params["stage"] = std::string(EnumName(selectedStage));
  params["base"] = Json::Int64(base);
  params["document"] = WriteEnvironment(document);
  return SubmitChange("operator.apply", params);
}

result<exit_code>
command_runner::Promote()
{
  const std::string& environment = mArguments[1];
  BOOST_LEAF_AUTO(trial, mClient.Document(environment, stage::Trial));
  if (!trial.document) {
    return MakeError(error_code::NotFound,
                     "promote",
                     environment,
                     "no trial document is in force");
  }
  const std::string hash = EnvironmentHash(*trial.document);
  if (!mOptions.sha256.empty() && mOptions.sha256 != hash) {
    return MakeError(error_code::Conflict,
                     "promote",
                     environment,
                     "argument \"--sha256\": expected the hash of the trial "
                     "document in force, " +
                       hash);
  }
  BOOST_LEAF_AUTO(inForce, mClient.Document(environment, stage::Production));
  BOOST_LEAF_AUTO(base, ResolveBase(inForce.revision));
  Json::Value params(Json::objectValue);
  params["environment"] = environment;
  params["base"] = Json::Int64(base);
  params["sha256"] = hash;
  return SubmitChange("operator.promote", params);
}

result<exit_code>
command_runner::Grant()
{
  BOOST_LEAF_AUTO(selectedStage, StageOr(stage::Production));
  const generated_key key = GenerateKey();
  Json::Value params(Json::objectValue);
  params["environment"] = mArguments[1];
  params["stage"] = std::string(EnumName(selectedStage));
  params["tenant"] = mArguments[2];
  params["key_id"] = key.keyId;
  params["salt"] = key.salt;
  params["hash"] = key.hash;
  return SubmitChange("operator.grant", params, &key);
}

result<exit_code>
command_runner::Withdraw()
{
  BOOST_LEAF_AUTO(selectedStage, StageOr(stage::Production));
  // Accepts a whole key in place of its id; the secret part is not sent.
  const auto key = ParseKey(mArguments[2]);
  Json::Value params(Json::objectValue);
  params["environment"] = mArguments[1];
  params["stage"] = std::string(EnumName(selectedStage));
  params["key_id"] = key ? std::string(key->keyId) : mArguments[2];
  return SubmitChange("operator.withdraw", params);
}

result<exit_code>
command_runner::Record()
{
  BOOST_LEAF_AUTO(change, mClient.FindRecord(mArguments[1]));
  return ReportOutcome(change);
}

result<exit_code>
command_runner::Drain()
{
  const std::string& kind = mArguments[1];
  if (kind != "target" && kind != "vm") {
    return MakeCommandLineError("drain", "expected \"target ID\" or \"vm ID\"");
  }
  Json::Value params(Json::objectValue);
  params[kind] = mArguments[2];
  return QueryAndPrint("operator.drain", params);
}

result<exit_code>
command_runner::Usage()
{
  Json::Value params(Json::objectValue);
  if (mOptions.windowStart) {
    params["window"] = Json::Int64(*mOptions.windowStart);
  }
  return QueryAndPrint("operator.usage", params);
}

result<exit_code>
command_runner::Metrics()
{
  const auto address = ParseAddress(mOptions.entryAddress);
  if (!address || address->port == 0) {
    return MakeCommandLineError("--entry",
                                "expected \"IP:port\" of an entry process");
  }
  BOOST_LEAF_AUTO(text,
                  HttpGet(mOptions.entryAddress, "/metrics", mOptions.timeout));
  BOOST_LEAF_AUTO(histograms, ReadHistograms(text, mOptions.entryAddress));
  Json::Value list(Json::arrayValue);
  std::string histogramText;
  for (const metric_histogram& histogram : histograms) {
    if (histogram.name.find(mOptions.nameFilter) == std::string::npos) {
      continue;
    }
    histogramText += FormatHistogram(histogram);
    Json::Value item(Json::objectValue);
    item["name"] = histogram.name;
    item["labels"] = Json::Value(Json::objectValue);
    for (const auto& [name, value] : histogram.labels) {
      item["labels"][name] = value;
    }
    item["count"] = Json::Int64(histogram.count);
    item["sum"] = histogram.sum;
    for (const int percent : { 50, 95, 99 }) {
      item["p" + std::to_string(percent)] =
        EstimateQuantile(histogram, percent / 100.0);
    }
    list.append(item);
  }
  Json::Value value(Json::objectValue);
  value["histograms"] = list;
  Print(value, histogramText.empty() ? "no histograms\n" : histogramText);
  return exit_code::Success;
}

struct command
{
  std::size_t argumentCount; ///< After the name of the command.
  const char* usage;
  bool needsControl;
  result<exit_code> (command_runner::*handler)();
};

const std::map<std::string, command>&
Commands()
{
  static const std::map<std::string, command> kCommands = {
    { "check", { 1, "check FILE", false, &command_runner::Check } },
    { "diff", { 1, "diff FILE", true, &command_runner::Diff } },
    { "apply", { 1, "apply FILE", true, &command_runner::Apply } },
    { "promote", { 1, "promote ENVIRONMENT", true, &command_runner::Promote } },
    { "grant",
      { 2, "grant ENVIRONMENT TENANT", true, &command_runner::Grant } },
    { "withdraw",
      { 2, "withdraw ENVIRONMENT KEY_ID", true, &command_runner::Withdraw } },
    { "record", { 1, "record RECORD_ID", true, &command_runner::Record } },
    { "status", { 0, "status", true, &command_runner::Status } },
    { "drain", { 2, "drain target|vm ID", true, &command_runner::Drain } },
    { "usage", { 0, "usage", true, &command_runner::Usage } },
    { "metrics", { 0, "metrics", false, &command_runner::Metrics } },
  };
  return kCommands;
}

} // namespace

result<exit_code>
RunCommand(const command_options& aOptions,
           const std::vector<std::string>& aArguments)
{
  const auto found =
    aArguments.empty() ? Commands().end() : Commands().find(aArguments[0]);
  if (found == Commands().end()) {
    std::string names;
    for (const auto& known : Commands()) {
      names += (names.empty() ? "" : ", ") + known.first;
    }
    return MakeCommandLineError("command", "expected one of " + names);
  }
  const command& selected = found->second;
  if (aArguments.size() != selected.argumentCount + 1) {
    return MakeCommandLineError(
      found->first, std::string("expected: arbutusferry ") + selected.usage);
  }
  if (selected.needsControl && aOptions.controlAddresses.empty()) {
    return MakeCommandLineError("--control", "expected \"IP:port\"");
  }
  for (const std::string& address : aOptions.controlAddresses) {
    const auto parsed = ParseAddress(address);
    if (!parsed || parsed->port == 0) {
      return MakeCommandLineError(
        "--control", "expected \"IP:port\", not \"" + address + "\"");
    }
  }
  command_runner runner(aOptions, aArguments);
  return (runner.*selected.handler)();
}

} // namespace arbutusferry
