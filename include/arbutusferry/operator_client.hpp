#pragma once

#include "arbutusferry/config_state.hpp"
#include "arbutusferry/error.hpp"
#include "arbutusferry/rpc.hpp"
#include "arbutusferry/time.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusferry {

/// What became of an operator's change.
enum class change_outcome
{
  InForce, ///< It took effect.
  Void,    ///< It has no effect: its base was not in force, or it is wrong.
  Unknown, ///< It may take effect; query its record id.
};

template<>
inline constexpr enum_name_table<change_outcome, 3> kEnumNames<change_outcome>{
  { { change_outcome::InForce, "in_force" },
    { change_outcome::Void, "void" },
    { change_outcome::Unknown, "unknown" } }
};

struct change_result
{
  change_outcome outcome = change_outcome::Unknown;
  log_offset offset = kNoOffset;
  std::string recordId;
  std::string reason; ///< Why the outcome is unknown.
};

/// A document in force.
struct document_in_force
{
  log_offset revision = kNoOffset;
  std::optional<environment_document> document; ///< Nothing if none.
};

/// Calls the control processes for an operator. Answers that are lost after a
/// change was sent are looked up by the id of its record.
class operator_client
{
public:
  /// @return Client of the control process at an address.
  using connect_function =
    std::function<std::unique_ptr<rpc_client>(const std::string& aAddress)>;

  /// @param aAddresses Control processes; the next one is used when one cannot
  /// be reached or answers that it can do nothing now.
  /// @param aWait Waits for a time between two look-ups.
  operator_client(std::vector<std::string> aAddresses,
                  connect_function aConnect,
                  std::function<void(duration)> aWait);

  /// Calls a method that changes nothing.
  /// @return The answer; `Unreachable`, `NotFound`, `InvalidArgument`,
  /// `Unavailable` or `BrokenExchange`.
  [[nodiscard]] result<Json::Value> Query(const std::string& aMethod,
                                          const Json::Value& aParams);

  /// Sends a change at most once to a process that may act on it.
  /// @param aParams Parameters without the record id.
  /// @param aRecordId Unique id of the change.
  /// @return The outcome, or an error if certainly nothing was changed.
  [[nodiscard]] result<change_result> Change(const std::string& aMethod,
                                             Json::Value aParams,
                                             const std::string& aRecordId);

  /// @return Outcome of an earlier change.
  [[nodiscard]] result<change_result> FindRecord(const std::string& aRecordId);

  /// @return The document in force and its revision.
  [[nodiscard]] result<document_in_force> Document(
    const std::string& aEnvironment,
    stage aStage);

private:
  struct reply;

  [[nodiscard]] reply CallAny(const std::string& aMethod,
                              const Json::Value& aParams,
                              bool aChanges);
  [[nodiscard]] change_result LookUp(const std::string& aRecordId,
                                     const std::string& aReason);

  std::vector<std::string> mAddresses;
  connect_function mConnect;
  std::function<void(duration)> mWait;
};

} // namespace arbutusferry
