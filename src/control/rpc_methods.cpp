#include "control/rpc_methods.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/logging.hpp"
#include "arbutusferry/message_json.hpp"
#include "arbutusferry/rpc_codes.hpp"
#include "arbutusferry/rpc_http.hpp"

namespace arbutusferry {

namespace {

/// Time to wait until an appended record is read back, also when the answer to
/// the append was lost. After it the outcome is reported as unknown.
constexpr std::chrono::seconds kReadBackTimeout{ 10 };

constexpr std::chrono::seconds kForwardTimeout{ 2 };
constexpr std::int64_t kMaxWindow = std::int64_t{ 1 } << 40;

/// Returns the value of a result; throws `rpc_failure` for an error.
template<typename Function>
auto
Unwrap(Function&& aFunction)
{
  auto outcome = Capture(std::forward<Function>(aFunction));
  if (const auto* failure = std::get_if<error_info>(&outcome)) {
    const bool invalid = failure->code == error_code::InvalidArgument;
    throw rpc_failure(FormatError(*failure),
                      !invalid,
                      invalid ? kRpcCodeInvalidParams : kRpcCodeUnavailable);
  }
  return std::get<0>(std::move(outcome));
}

class operator_methods
{
public:
  operator_methods(node_state& aState,
                   const platform_clients& aPlatform,
                   std::shared_ptr<usage_log_listener> aUsage,
                   std::shared_ptr<drain_requests> aDrains)
    : mState(aState)
    , mPlatform(aPlatform)
    , mUsage(std::move(aUsage))
    , mDrains(std::move(aDrains))
  {
  }

  /// Appends a record of type `aType` and reads it back. The parameters are the
  /// fields of the record, with the id in "record_id" and the stage in "stage".
  Json::Value Change(const char* aType, const Json::Value& aParams)
  {
    Json::Value fields = aParams;
    const std::string id = TakeRecordId(fields);
    fields["type"] = aType;
    if (fields.isMember("document") && !fields.isMember("environment") &&
        fields["document"].isObject()) {
      fields["environment"] = fields["document"]["environment"];
    }
    const auto record = Unwrap([&]() -> result<log_record> {
      BOOST_LEAF_AUTO(read, ReadLogRecord(fields));
      if (!read) {
        return MakeError(
          error_code::InvalidArgument, "read record", "operator", "type");
      }
      return std::move(*read);
    });
    return Append(id, record);
  }

  Json::Value Append(const std::string& aId, const log_record& aRecord)
  {
    if (mState.Stopping()) {
      throw rpc_failure("the process is stopping", false, kRpcCodeUnavailable);
    }
    auto appended = Capture(
      [&] { return mPlatform.log->Append(aId, WriteLogRecord(aRecord)); });
    log_offset offset = kNoOffset;
    if (const auto* known = std::get_if<log_offset>(&appended)) {
      offset = *known;
    } else {
      const auto& failure = std::get<error_info>(appended);
      if (failure.code != error_code::Timeout &&
          failure.code != error_code::BrokenExchange) {
        throw rpc_failure(FormatError(failure), false, kRpcCodeUnavailable);
      }
      LogError(log_level::Warning, "append_answer_lost", failure);
    }
    return WaitForOutcome(aId, offset, kReadBackTimeout);
  }

  Json::Value Record(const Json::Value& aParams)
  {
    Json::Value fields = aParams;
    return WaitForOutcome(TakeRecordId(fields), kNoOffset, {});
  }

  Json::Value Document(const Json::Value& aParams)
  {
    object_reader reader(aParams, "operator");
    const std::string environment = reader.String("environment");
    const stage which = reader.Enumerator<stage>("stage");
    Unwrap([&] { return reader.Finish(); });
    return mState.WithFeed([&](const config_feed& aFeed) {
      const stage_config* config = aFeed.State().Find(environment, which);
      if (config == nullptr || !config->document) {
        throw rpc_failure("no document for this environment and stage",
                          false,
                          kRpcCodeNotFound);
      }
      Json::Value answer(Json::objectValue);
      answer["revision"] = Json::Int64(config->revision);
      answer["sha256"] = EnvironmentHash(*config->document);
      answer["document"] = WriteEnvironment(*config->document);
      return answer;
    });
  }

  /// Returns the closed usage windows. Only processes that read the log have
  /// them; others forward the call to their relay.
  Json::Value Usage(const Json::Value& aParams)
  {
    object_reader reader(aParams, "operator");
    const std::int64_t window = reader.Integer("window", 0, kMaxWindow, -1);
    const bool forwarded = reader.Boolean("forwarded", false);
    Unwrap([&] { return reader.Finish(); });
    if (!mState.ReadsLog() && !forwarded) {
      return Forward("operator.usage", aParams, mState.Options().zone);
    }
    return mState.WithFeed([&](const config_feed&) {
      Json::Value answer(Json::objectValue);
      answer["windows"] = Json::Value(Json::arrayValue);
      for (const auto& [start, report] : mUsage->Ledger().Finals()) {
        if (window < 0 || window == start) {
          answer["windows"].append(WriteUsageReport(report));
        }
      }
      if (window >= 0 && answer["windows"].empty()) {
        throw rpc_failure(
          "the usage window is not closed", false, kRpcCodeNotFound);
      }
      return answer;
    });
  }

  /// Drains a target: it gets no new work and is stopped once it has no work
  /// left.
  Json::Value Drain(const Json::Value& aParams)
  {
    object_reader reader(aParams, "operator");
    const std::string target = reader.String("target", std::string());
    const std::string vm = reader.String("vm", std::string());
    const bool forwarded = reader.Boolean("forwarded", false);
    Unwrap([&] { return reader.Finish(); });
    if (target.empty()) {
      throw rpc_failure("field \"vm\": a VM cannot be drained by a call; stop "
                        "its processes gracefully with SIGTERM",
                        false,
                        kRpcCodeInvalidParams);
    }
    const std::string zone =
      mState.WithZoneView([&](const zone_view& aZoneView) {
        for (const target_info& known : aZoneView.Targets()) {
          if (known.id == target) {
            return known.zone;
          }
        }
        throw rpc_failure("no such target", false, kRpcCodeNotFound);
      });
    const bool isZoneRelay = zone == mState.Options().zone && mState.IsRelay();
    if (!isZoneRelay && !forwarded) {
      return Forward("operator.drain", aParams, zone);
    }
    if (!isZoneRelay) {
      throw rpc_failure("this process is not the current relay of the zone",
                        false,
                        kRpcCodeUnavailable);
    }
    mDrains->Add(target, mState.Clock().Now());
    Json::Value answer(Json::objectValue);
    answer["target"] = target;
    answer["state"] = "draining";
    return answer;
  }

private:
  Json::Value Forward(const char* aMethod,
                      Json::Value aParams,
                      const std::string& aZone)
  {
    const auto relay = mState.WithZoneView([&](const zone_view& aZoneView) {
      if (aZone == mState.Options().zone) {
        return aZoneView.Membership().Find(
          aZoneView.Membership().Relay(mState.Clock().Now()));
      }
      return FirstRelay(aZoneView.Vms(), aZone, {});
    });
    if (!relay || relay->controlAddress.empty()) {
      throw rpc_failure(
        "no known relay for the zone", false, kRpcCodeUnavailable);
    }
    aParams["forwarded"] = true;
    return MakeHttpRpcClient(relay->controlAddress, kForwardTimeout)
      ->Call(aMethod, aParams);
  }

  Json::Value WaitForOutcome(const std::string& aId,
                             log_offset aOffset,
                             duration aTimeout)
  {
    const auto found = mState.WaitForRecord(aId, aOffset, aTimeout);
    Json::Value answer(Json::objectValue);
    answer["record_id"] = aId;
    answer["outcome"] =
      found ? std::string(EnumName(found->second)) : std::string("unknown");
    answer["offset"] = Json::Int64(found ? found->first : aOffset);
    return answer;
  }

  static std::string TakeRecordId(Json::Value& aFields)
  {
    if (!aFields.isObject() || !aFields["record_id"].isString() ||
        aFields["record_id"].asString().empty()) {
      throw rpc_failure(
        "field \"record_id\": expected a string", false, kRpcCodeInvalidParams);
    }
    std::string id = aFields["record_id"].asString();
    aFields.removeMember("record_id");
    return id;
  }

  node_state& mState;
  platform_clients mPlatform;
  std::shared_ptr<usage_log_listener> mUsage;
  std::shared_ptr<drain_requests> mDrains;
};

} // namespace

std::map<std::string, rpc_method>
MakeControlMethods(node_state& aState,
                   const platform_clients& aPlatform,
                   std::shared_ptr<usage_log_listener> aUsage,
                   std::shared_ptr<drain_requests> aDrains)
{
  auto operators = std::make_shared<operator_methods>(
    aState, aPlatform, std::move(aUsage), std::move(aDrains));
  const auto change = [operators](const char* aType) {
    return [operators, aType](const Json::Value& aParams) {
      return operators->Change(aType, aParams);
    };
  };
  std::map<std::string, rpc_method> methods;
  methods["node.sync"] = [&aState](const Json::Value& aParams) {
    const auto request =
      Unwrap([&] { return ReadNodeSyncRequest(aParams, "entry"); });
    return WriteNodeSyncResponse(aState.NodeSync(request));
  };
  methods["zone.sync"] = [&aState](const Json::Value& aParams) {
    const auto request =
      Unwrap([&] { return ReadZoneSyncRequest(aParams, "member"); });
    return WriteZoneSyncResponse(aState.ZoneSync(request));
  };
  methods["zone.summary"] = [&aState](const Json::Value& aParams) {
    const auto request =
      Unwrap([&] { return ReadZoneSummaryRequest(aParams, "relay"); });
    return WriteZoneSummaryResponse(aState.ZoneSummary(request));
  };
  methods["operator.apply"] = change("environment_applied");
  methods["operator.promote"] = change("environment_promoted");
  methods["operator.grant"] = change("key_granted");
  methods["operator.withdraw"] = change("key_withdrawn");
  // The entry repeats a published version until it takes effect, so the record
  // id is optional.
  methods["weights.publish"] = [operators](const Json::Value& aParams) {
    Json::Value fields = aParams;
    if (!fields.isMember("record_id")) {
      fields["record_id"] = "weights-" + RandomHex(12);
    }
    return operators->Change("weights_published", fields);
  };
  methods["operator.record"] = [operators](const Json::Value& aParams) {
    return operators->Record(aParams);
  };
  methods["operator.document"] = [operators](const Json::Value& aParams) {
    return operators->Document(aParams);
  };
  methods["operator.usage"] = [operators](const Json::Value& aParams) {
    return operators->Usage(aParams);
  };
  methods["operator.drain"] = [operators](const Json::Value& aParams) {
    return operators->Drain(aParams);
  };
  methods["operator.status"] = [&aState](const Json::Value&) {
    return aState.Status();
  };
  return methods;
}

} // namespace arbutusferry
