#pragma once

#include "arbutusferry/node_sync.hpp"
#include "arbutusferry/platform.hpp"

#include <string>

/// JSON of types that several messages and log records share. Readers take the
/// value and, for errors, its source and its path in the message.
namespace arbutusferry {

[[nodiscard]] Json::Value
WriteUsageCounter(const usage_counter& aCounter);
[[nodiscard]] result<usage_counter>
ReadUsageCounter(const Json::Value& aValue,
                 const std::string& aSource,
                 const std::string& aPath);

/// @return `{"order_id","fencing","counts","stop"}`; without the zone.
[[nodiscard]] Json::Value
WriteTargetOrder(const target_order& aOrder);
/// Reads an order; `zone` may be present.
[[nodiscard]] result<target_order>
ReadTargetOrder(const Json::Value& aValue, const std::string& aSource);

/// @return `{"window","fencing","lines"}`.
[[nodiscard]] Json::Value
WriteUsageReport(const usage_report& aReport);
[[nodiscard]] result<usage_report>
ReadUsageReport(const Json::Value& aValue, const std::string& aSource);

[[nodiscard]] Json::Value
WriteRawRecord(const raw_log_record& aRecord);
[[nodiscard]] result<raw_log_record>
ReadRawRecord(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath);

[[nodiscard]] Json::Value
WriteTeamDemand(const team_demand& aDemand);
[[nodiscard]] result<team_demand>
ReadTeamDemand(const Json::Value& aValue,
               const std::string& aSource,
               const std::string& aPath);

[[nodiscard]] Json::Value
WriteSlotGrant(const slot_grant& aGrant);
[[nodiscard]] result<slot_grant>
ReadSlotGrant(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath);

[[nodiscard]] Json::Value
WriteTeamGrant(const team_grant& aGrant);
[[nodiscard]] result<team_grant>
ReadTeamGrant(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath);

/// @return `[target, running, waiting, version]`: loads are the largest part
/// of most sync responses, and field names would triple their size.
[[nodiscard]] Json::Value
WriteTargetLoad(const target_load& aLoad);
[[nodiscard]] result<target_load>
ReadTargetLoad(const Json::Value& aValue,
               const std::string& aSource,
               const std::string& aPath);

[[nodiscard]] Json::Value
WriteEntryInfo(const entry_info& aEntry);
[[nodiscard]] result<entry_info>
ReadEntryInfo(const Json::Value& aValue,
              const std::string& aSource,
              const std::string& aPath);

/// @return The target as the platform lists it, with its load.
[[nodiscard]] Json::Value
WriteTargetInfo(const target_info& aTarget);
/// Reads a target; the fields of the load report may be absent.
[[nodiscard]] result<target_info>
ReadTargetInfo(const Json::Value& aValue,
               const std::string& aSource,
               const std::string& aPath);

} // namespace arbutusferry
