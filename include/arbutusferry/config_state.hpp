#pragma once

#include "arbutusferry/log_record.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace arbutusferry {

/// A granted key as kept in the configuration.
struct key_entry
{
  std::string team;
  std::string salt;
  std::string hash;
  bool withdrawn = false;
};

/// Configuration in force for one environment and stage.
struct stage_config
{
  log_offset revision = kNoOffset; ///< Offset of the document in force.
  std::optional<environment_document> document;
  std::map<std::string, key_entry, std::less<>> keys;       ///< By key id.
  std::map<std::string, std::int64_t, std::less<>> weights; ///< By model.
};

/// What a record did when it was folded.
enum class fold_outcome
{
  InForce, ///< The record took effect.
  Void,    ///< Its base was not in force, or it did not validate.
  Ignored, ///< Not a configuration record, or already folded.
};

template<>
inline constexpr enum_name_table<fold_outcome, 3> kEnumNames<fold_outcome>{ {
  { fold_outcome::InForce, "in_force" },
  { fold_outcome::Void, "void" },
  { fold_outcome::Ignored, "ignored" },
} };

/// Fold of the log into the configuration. Offsets only grow: a record at or
/// below the folded offset is ignored, so the state never reverts.
class config_state
{
public:
  /// Folds one record. A checkpoint that is ahead of the state replaces it and
  /// sets the offset to the checkpoint's `through`; read on from there. A
  /// reader that finds its offset no longer kept restores the newest checkpoint
  /// first.
  /// @return Whether it took effect.
  fold_outcome Apply(const raw_log_record& aRecord);

  /// Marks all offsets up to and including `aOffset` as folded, for records
  /// that a relay filtered out.
  void SkipTo(log_offset aOffset) noexcept;

  /// @return Highest offset folded, or `kNoOffset`.
  [[nodiscard]] log_offset Offset() const noexcept { return mOffset; }

  /// @return Configuration of an environment and stage, or null.
  [[nodiscard]] const stage_config* Find(std::string_view aEnvironment,
                                         stage aStage) const;

  /// @return Outcome of a recent record by its id, for operators that lost an
  /// answer; nothing if the id was not seen. The newest 4096 ids are kept.
  [[nodiscard]] std::optional<std::pair<log_offset, fold_outcome>> FindRecord(
    std::string_view aId) const;

  /// @return Records that did not validate or were void.
  [[nodiscard]] std::int64_t VoidCount() const noexcept { return mVoidCount; }

  /// @return The whole state as JSON, for checkpoints and starting processes.
  [[nodiscard]] Json::Value Save() const;

  /// Replaces the state by a saved one, unless the saved one is older.
  [[nodiscard]] result<void> Restore(const Json::Value& aState);

private:
  using stage_key = std::pair<std::string, stage>;

  void Remember(const std::string& aId,
                log_offset aOffset,
                fold_outcome aOutcome);

  log_offset mOffset = kNoOffset;
  std::int64_t mVoidCount = 0;
  std::map<stage_key, stage_config> mStages;
  std::map<std::string, std::pair<log_offset, fold_outcome>, std::less<>>
    mRecords;
  std::map<log_offset, std::string> mRecordOrder;
};

} // namespace arbutusferry
