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

/// Outcome of an operator's change.
enum class change_outcome
{
  InForce, ///< It took effect.
  Void,    ///< It has no effect: its base revision is stale, or it is invalid.
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

/// Client of the control processes for operators. If the response to a change
/// is lost, looks up the outcome by the id of its record.
class operator_client
{
public:
  /// Creates a client of the control process at an address.
  using connect_function =
    std::function<std::unique_ptr<rpc_client>(const std::string& aAddress)>;

  /// @param aAddresses Control processes; the next one is tried when one is
  /// unreachable or reports that it is unavailable.
  /// @param aWait Called to wait between two look-ups.
  operator_client(std::vector<std::string> aAddresses,
                  connect_function aConnect,
                  std::function<void(duration)> aWait);

  /// Calls a read-only method.
  /// @return The response; `Unreachable`, `NotFound`, `InvalidArgument`,
  /// `Unavailable` or `BrokenExchange`.
  [[nodiscard]] result<Json::Value> Query(const std::string& aMethod,
                                          const Json::Value& aParams);

  /// Sends a change. Once a process may have acted on it, the change is not
  /// sent again.
  /// @param aParams Parameters without the record id.
  /// @param aRecordId Unique id of the change.
  /// @return The outcome, or an error if the change certainly has no effect.
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
  struct call_result;

  [[nodiscard]] call_result CallAny(const std::string& aMethod,
                                    const Json::Value& aParams,
                                    bool aIsChange);
  [[nodiscard]] change_result LookUp(const std::string& aRecordId,
                                     const std::string& aReason);

  std::vector<std::string> mAddresses;
  connect_function mConnect;
  std::function<void(duration)> mWait;
};

} // namespace arbutusferry
