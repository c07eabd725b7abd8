#include "entry/config_view.hpp"

#include <algorithm>

namespace arbutusferry {

result<bool>
config_view::Apply(const node_sync_response& aResponse, time_point aSent)
{
  std::shared_ptr<const config_state> present = State();
  std::shared_ptr<config_state> next;
  const bool changes = !aResponse.state.isNull() ||
                       !aResponse.records.empty() || !present ||
                       aResponse.offset > present->Offset();
  if (changes) {
    next = present ? std::make_shared<config_state>(*present)
                   : std::make_shared<config_state>();
    if (!aResponse.state.isNull()) {
      if (auto restored = next->Restore(aResponse.state); !restored) {
        return restored.error();
      }
    }
    for (const raw_log_record& record : aResponse.records) {
      next->Apply(record);
    }
    next->SkipTo(aResponse.offset);
  }
  const std::lock_guard lock(mMutex);
  if (next) {
    mState = std::move(next);
  }
  // A control process that lags behind the applied offset says nothing about
  // the records in between, so the age of its response counts only if its
  // offset is not lower.
  if (aResponse.viewAgeMs >= 0 && aResponse.offset >= mState->Offset() &&
      aResponse.viewAgeMs <= aResponse.staleAfterMs) {
    mCompleteAsOf = std::max(
      mCompleteAsOf, aSent - std::chrono::milliseconds(aResponse.viewAgeMs));
    mStaleAfter = std::chrono::milliseconds(aResponse.staleAfterMs);
  }
  mEntries = aResponse.entries;
  mTargets = aResponse.targets;
  return changes;
}

std::shared_ptr<const config_state>
config_view::State() const
{
  const std::lock_guard lock(mMutex);
  return mState;
}

log_offset
config_view::Offset() const
{
  const auto state = State();
  return state ? state->Offset() : kNoOffset;
}

bool
config_view::KeysUsable(duration aGrace, time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  return mCompleteAsOf != time_point::min() &&
         aNow - mCompleteAsOf <= mStaleAfter + kSyncAllowance + aGrace;
}

bool
config_view::Withdrawn(const std::string& aEnvironment,
                       const caller_identity& aCaller) const
{
  if (aCaller.keyId.empty()) {
    return false;
  }
  const auto state = State();
  const stage_config* config =
    state ? state->Find(aEnvironment, aCaller.callerStage) : nullptr;
  if (config == nullptr) {
    return true;
  }
  const auto key = config->keys.find(aCaller.keyId);
  return key == config->keys.end() || key->second.withdrawn;
}

std::vector<entry_info>
config_view::Entries() const
{
  const std::lock_guard lock(mMutex);
  return mEntries;
}

std::vector<target_info>
config_view::Targets() const
{
  const std::lock_guard lock(mMutex);
  return mTargets;
}

} // namespace arbutusferry
