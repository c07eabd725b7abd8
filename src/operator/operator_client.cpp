#include "arbutusferry/operator_client.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/rpc_codes.hpp"
#include "environment/json_support.hpp"

#include <limits>

namespace arbutusferry {

namespace {

/// A control process waits up to 10 s for a record when the response to its
/// append was lost; the client polls for as long.
constexpr int kMaxLookUps = 6;
constexpr std::chrono::seconds kLookUpInterval{ 2 };
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

error_code
ToErrorCode(int aCode)
{
  switch (aCode) {
    case kRpcCodeNotFound:
      return error_code::NotFound;
    case kRpcCodeUnavailable:
    case kRpcCodeNoMethod:
      return error_code::Unavailable;
    case kRpcCodeInvalidParams:
    case kRpcCodeInvalidRequest:
      return error_code::InvalidArgument;
    default:
      return error_code::BrokenExchange;
  }
}

std::string
Describe(const rpc_failure& aFailure, const std::string& aAddress)
{
  std::string text = aFailure.what();
  if (aFailure.Code() == kRpcCodeNoMethod) {
    return "method not supported; expected a control process of the client's "
           "version";
  }
  if (aFailure.Code() != 0) {
    return text;
  }
  if (text.rfind(aAddress + ": ", 0) == 0) {
    text.erase(0, aAddress.size() + 2);
  }
  return text + "; expected a control process that answers";
}

result<change_result>
ReadChange(const Json::Value& aResponse,
           const std::string& aPeer,
           const std::string& aRecordId)
{
  object_reader reader(aResponse, aPeer);
  AllowUnknownFields(reader, aResponse);
  change_result change;
  change.outcome = reader.Enumerator<change_outcome>("outcome");
  change.offset = reader.Integer("offset", kNoOffset, kMaxInt64, kNoOffset);
  change.recordId = aRecordId;
  if (change.outcome == change_outcome::Unknown) {
    change.reason = "the record has not been read back from the log";
  }
  ARBUTUSFERRY_CHECK(reader.Finish(error_code::BrokenExchange));
  return change;
}

} // namespace

/// Response to a call, or the failure at the last process tried.
struct operator_client::call_result
{
  Json::Value response;
  std::string peer;
  std::optional<error_info> failure;
  bool mayHaveActed = false; ///< The failed call may have taken effect.
};

operator_client::operator_client(std::vector<std::string> aAddresses,
                                 connect_function aConnect,
                                 std::function<void(duration)> aWait)
  : mAddresses(std::move(aAddresses))
  , mConnect(std::move(aConnect))
  , mWait(std::move(aWait))
{
}

operator_client::call_result
operator_client::CallAny(const std::string& aMethod,
                         const Json::Value& aParams,
                         bool aIsChange)
{
  call_result last;
  last.failure = error_info{
    error_code::InvalidArgument, aMethod, "", "expected a control address"
  };
  for (const std::string& address : mAddresses) {
    last.peer = address;
    try {
      last.response = mConnect(address)->Call(aMethod, aParams);
      last.failure.reset();
      return last;
    } catch (const rpc_failure& failure) {
      const bool transportFailed = failure.Code() == 0;
      const bool mayHaveActed =
        transportFailed ? failure.Sent() : !ProvesNoEffect(failure.Code());
      last.failure = error_info{ transportFailed && !mayHaveActed
                                   ? error_code::Unreachable
                                   : ToErrorCode(failure.Code()),
                                 aMethod,
                                 address,
                                 Describe(failure, address) };
      last.mayHaveActed = mayHaveActed;
      const bool tryNext = transportFailed
                             ? !mayHaveActed || !aIsChange
                             : failure.Code() == kRpcCodeUnavailable;
      if (!tryNext) {
        return last;
      }
    }
  }
  return last;
}

result<Json::Value>
operator_client::Query(const std::string& aMethod, const Json::Value& aParams)
{
  call_result call = CallAny(aMethod, aParams, false);
  if (call.failure) {
    return leaf::new_error(*call.failure);
  }
  return std::move(call.response);
}

result<change_result>
operator_client::Change(const std::string& aMethod,
                        Json::Value aParams,
                        const std::string& aRecordId)
{
  aParams["record_id"] = aRecordId;
  const call_result call = CallAny(aMethod, aParams, true);
  if (call.failure && !call.mayHaveActed) {
    return leaf::new_error(*call.failure);
  }
  if (call.failure) {
    return LookUp(aRecordId, FormatError(*call.failure));
  }
  const auto change =
    Capture([&] { return ReadChange(call.response, call.peer, aRecordId); });
  if (const auto* failure = std::get_if<error_info>(&change)) {
    return LookUp(aRecordId, FormatError(*failure));
  }
  return std::get<change_result>(change);
}

change_result
operator_client::LookUp(const std::string& aRecordId,
                        const std::string& aReason)
{
  for (int i = 0; i < kMaxLookUps; ++i) {
    if (i > 0) {
      mWait(kLookUpInterval);
    }
    const auto found = Capture([&] { return FindRecord(aRecordId); });
    const auto* change = std::get_if<change_result>(&found);
    if (change != nullptr && change->outcome != change_outcome::Unknown) {
      return *change;
    }
  }
  return { change_outcome::Unknown, kNoOffset, aRecordId, aReason };
}

result<change_result>
operator_client::FindRecord(const std::string& aRecordId)
{
  Json::Value params(Json::objectValue);
  params["record_id"] = aRecordId;
  const call_result call = CallAny("operator.record", params, false);
  if (call.failure) {
    return leaf::new_error(*call.failure);
  }
  return ReadChange(call.response, call.peer, aRecordId);
}

result<document_in_force>
operator_client::Document(const std::string& aEnvironment, stage aStage)
{
  Json::Value params(Json::objectValue);
  params["environment"] = aEnvironment;
  params["stage"] = std::string(EnumName(aStage));
  const call_result call = CallAny("operator.document", params, false);
  if (call.failure && call.failure->code == error_code::NotFound) {
    return document_in_force{};
  }
  if (call.failure) {
    return leaf::new_error(*call.failure);
  }
  object_reader reader(call.response, call.peer);
  AllowUnknownFields(reader, call.response);
  document_in_force found;
  found.revision = reader.Integer("revision", kNoOffset, kMaxInt64);
  const Json::Value& document = reader.Any("document");
  if (!document.isNull()) {
    BOOST_LEAF_ASSIGN(found.document, ReadEnvironment(document, call.peer));
  }
  ARBUTUSFERRY_CHECK(reader.Finish(error_code::BrokenExchange));
  return found;
}

} // namespace arbutusferry
