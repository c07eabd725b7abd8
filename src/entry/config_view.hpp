#pragma once

#include "arbutusferry/config_state.hpp"
#include "arbutusferry/node_sync.hpp"
#include "arbutusferry/time.hpp"
#include "arbutusferry/upstream.hpp"

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace arbutusferry {

/// Who sent a request.
struct caller_identity
{
  std::string tenant; ///< Empty on open routes without a key.
  std::string keyId;
  stage callerStage = stage::Production;
};

/// The configuration as this entry knows it. Thread-safe.
class config_view
{
public:
  /// Time that may pass between the control process's answer and its use here,
  /// on top of the age that the control process reported. Together with the
  /// bound of 4 s it stays below the 5 s within which a withdrawn key stops
  /// working.
  static constexpr duration kSyncAllowance = std::chrono::milliseconds(800);

  /// Folds an answer of the control process.
  /// @param aSent Time before the request was sent.
  /// @return True if the configuration changed.
  [[nodiscard]] result<bool> Apply(const node_sync_response& aResponse,
                                   time_point aSent);

  /// @return The present configuration; null before the first answer.
  [[nodiscard]] std::shared_ptr<const config_state> State() const;

  /// @return Highest offset folded.
  [[nodiscard]] log_offset Offset() const;

  /// @return True while no withdrawal can have been accepted unnoticed.
  /// @param aGrace Extra time that the document allows.
  [[nodiscard]] bool KeysUsable(duration aGrace, time_point aNow) const;

  /// @return True if the key of an open stream no longer works.
  [[nodiscard]] bool Withdrawn(const std::string& aEnvironment,
                               const caller_identity& aCaller) const;

  /// @return Live entries as last reported.
  [[nodiscard]] std::vector<entry_info> Entries() const;
  /// @return Targets as last reported.
  [[nodiscard]] std::vector<target_info> Targets() const;

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const config_state> mState;
  time_point mCompleteAsOf = time_point::min();
  duration mStaleAfter{};
  std::vector<entry_info> mEntries;
  std::vector<target_info> mTargets;
};

} // namespace arbutusferry
