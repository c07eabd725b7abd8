#pragma once

#include "arbutusferry/log_record.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace arbutusferry {

/// Granted API key. The configuration keeps only a salted hash of its secret.
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

/// Effect of a log record on the configuration.
enum class fold_outcome
{
  InForce, ///< The record took effect.
  Void,    ///< No effect: its base revision was stale, or it was invalid.
  Ignored, ///< Not a configuration record, or already applied.
};

template<>
inline constexpr enum_name_table<fold_outcome, 3> kEnumNames<fold_outcome>{ {
  { fold_outcome::InForce, "in_force" },
  { fold_outcome::Void, "void" },
  { fold_outcome::Ignored, "ignored" },
} };

/// Configuration that results from the records of the log. A record at or below
/// the highest applied offset is ignored, so the state never reverts.
class config_state
{
public:
  /// Applies one record. A checkpoint that is ahead of the state replaces it
  /// and sets the offset to the checkpoint's `through`; continue reading there.
  /// If the log no longer keeps the reader's offset, restore the newest
  /// checkpoint first.
  /// @return Whether it took effect.
  fold_outcome Apply(const raw_log_record& aRecord);

  /// Marks all offsets up to and including `aOffset` as applied, for records
  /// that a relay filtered out.
  void SkipTo(log_offset aOffset) noexcept;

  /// @return Highest offset applied, or `kNoOffset`.
  [[nodiscard]] log_offset Offset() const noexcept { return mOffset; }

  /// @return Configuration of an environment and stage, or null.
  [[nodiscard]] const stage_config* Find(std::string_view aEnvironment,
                                         stage aStage) const;

  /// @return Outcome of a recent record by its id, for operators whose response
  /// was lost; nothing if the id is unknown. The newest 4096 ids are kept.
  [[nodiscard]] std::optional<std::pair<log_offset, fold_outcome>> FindRecord(
    std::string_view aId) const;

  /// @return Number of records that were invalid or void.
  [[nodiscard]] std::int64_t VoidCount() const noexcept { return mVoidCount; }

  /// @return The whole state as JSON, for checkpoints and starting processes.
  [[nodiscard]] Json::Value Save() const;

  /// Replaces the state by a saved one if that is newer.
  [[nodiscard]] result<void> Restore(const Json::Value& aState);

private:
  using stage_key = std::pair<std::string, stage>;

  void StoreOutcome(const std::string& aId,
                    log_offset aOffset,
                    fold_outcome aOutcome);

  log_offset mOffset = kNoOffset;
  std::int64_t mVoidCount = 0;
  std::map<stage_key, stage_config> mStages;
  std::map<std::string, std::pair<log_offset, fold_outcome>, std::less<>>
    mOutcomesById;
  std::map<log_offset, std::string> mIdsByOffset;
};

} // namespace arbutusferry
