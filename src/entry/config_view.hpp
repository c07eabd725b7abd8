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

/// Identity of the sender of a request.
struct caller_identity
{
  std::string team; ///< Empty for calls of open routes without a key.
  std::string keyId;
  stage callerStage = stage::Production;
};

/// Configuration as last received by this entry. Thread-safe.
class config_view
{
public:
  /// Time that may pass between the response of the control process and its use
  /// here, in addition to the age that the control process reported. With the
  /// bound of 4 s on that age, the sum stays below the 5 s within which a
  /// withdrawn key must stop working.
  static constexpr duration kSyncAllowance = std::chrono::milliseconds(800);

  /// Applies a response of the control process.
  /// @param aSent Time before the request was sent.
  /// @return True if the configuration changed.
  [[nodiscard]] result<bool> Apply(const node_sync_response& aResponse,
                                   time_point aSent);

  /// @return Current configuration; null before the first response.
  [[nodiscard]] std::shared_ptr<const config_state> State() const;

  /// @return Highest log offset applied.
  [[nodiscard]] log_offset Offset() const;

  /// @return True if the configuration is recent enough that no accepted
  /// withdrawal of a key can be missing.
  /// @param aGrace Extra age that the environment document allows.
  [[nodiscard]] bool KeysUsable(duration aGrace, time_point aNow) const;

  /// @return True if the key of an open stream is no longer valid.
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
