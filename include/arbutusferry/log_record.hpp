#pragma once

#include "arbutusferry/environment.hpp"
#include "arbutusferry/platform.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutusferry {

struct environment_applied
{
  stage recordStage = stage::Production;
  log_offset base = kNoOffset; ///< Revision the operator started from.
  environment_document document;
};

struct environment_promoted
{
  std::string environment;
  log_offset base = kNoOffset; ///< Production revision the operator saw.
  std::string sha256;          ///< Hash of the trial document.
};

struct key_granted
{
  std::string environment;
  stage recordStage = stage::Production;
  std::string team;
  std::string keyId;
  std::string salt;
  std::string hash; ///< SHA-256 of salt and secret.
};

struct key_withdrawn
{
  std::string environment;
  stage recordStage = stage::Production;
  std::string keyId;
};

struct weights_published
{
  std::string environment;
  stage recordStage = stage::Production;
  std::string model;
  std::int64_t version = 0;
};

struct lease_claimed
{
  std::string role;
  std::string holder;
  log_offset previous = kNoOffset; ///< Newest valid record of the role.
};

struct lease_renewed
{
  std::string role;
  std::string holder;
  log_offset previous = kNoOffset;
};

struct lease_released
{
  std::string role;
  std::string holder;
  log_offset previous = kNoOffset;
};

struct order_intent
{
  target_order order;
};

/// Cumulative counters of one team in one window at one entry instance.
struct usage_counter
{
  std::string team;
  unix_seconds window = 0;
  std::string instance; ///< Entry process that counted.
  std::int64_t requests = 0;
  std::int64_t promptTokens = 0;
  std::int64_t generatedTokens = 0;
};

struct usage_batch
{
  std::string zone;
  std::vector<usage_counter> counters;
};

struct usage_closed
{
  usage_report report;
};

struct checkpoint
{
  log_offset through = kNoOffset; ///< Last offset included in the state.
  Json::Value state;
};

using log_record = std::variant<environment_applied,
                                environment_promoted,
                                key_granted,
                                key_withdrawn,
                                weights_published,
                                lease_claimed,
                                lease_renewed,
                                lease_released,
                                order_intent,
                                usage_batch,
                                usage_closed,
                                checkpoint>;

/// @return The record as JSON with its type in the field "type".
[[nodiscard]] Json::Value
WriteLogRecord(const log_record& aRecord);

/// Reads a record of the log.
/// @return The record; nothing when its type is unknown; an error when the
/// type is known and a field is wrong.
[[nodiscard]] result<std::optional<log_record>>
ReadLogRecord(const Json::Value& aValue);

/// @return True for records that change the configuration and are relayed to
/// every process: documents, promotions, keys, weights and checkpoints.
[[nodiscard]] bool
IsConfigurationRecord(const log_record& aRecord) noexcept;

} // namespace arbutusferry
