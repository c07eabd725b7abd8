#pragma once

#include "arbutusferry/node/crash_guard.hpp"
#include "arbutusferry/node/crash_ledger.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/keyed_follower.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace arbutusferry::node {

/// Finds out which targets ended under which requests, and shares that with all
/// nodes through the store, where it outlives this process.
class crash_watch final
  : public crash_guard
  , private record_observer
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    record_log& log;
  };

  explicit crash_watch(parts aParts);

  void Start() { mFollower.Start(); }
  [[nodiscard]] std::optional<std::chrono::milliseconds> BlockedFor(
    const std::string& aFingerprint) const override;
  void NoteBroken(const std::string& aFingerprint,
                  const target_entry& aTarget) override;
  void NoteServed(const std::string& aFingerprint) override;
  /// Notes a record that a target has written to the registry.
  void NoteRecord(const target_entry& aTarget);
  /// @return Whether there is a report on a target's end.
  [[nodiscard]] bool EndReported(const std::string& aTarget) const
  {
    return mLedger.EndReported(aTarget);
  }
  /// Ends old reports. To be called at intervals.
  /// @param aRemove Whether to remove ended reports from the store, which is
  /// the leader's task.
  void Expire(bool aRemove);
  [[nodiscard]] std::size_t CountBlocked() const
  {
    return mLedger.CountBlocked();
  }

private:
  void OnRecord(const std::string& aKey,
                const std::string* aValue,
                std::uint64_t aOffset) override;
  void OnCaughtUp() override {}
  void Probe(const target_entry& aTarget,
             std::function<void(std::optional<exchange_failure>)> aDone);
  void OnProbed(const target_entry& aTarget,
                std::optional<exchange_failure> aFailure);
  void Write(const std::string& aKey, std::string aValue);
  void Flush();

  parts mParts;
  crash_ledger mLedger;
  keyed_follower mFollower;
  /// Reports whose targets are being probed, by key.
  std::map<std::string, crash_report> mUnconfirmed;
  /// By target that accepted the first probe.
  std::map<std::string, std::unique_ptr<timer>> mSecondProbes;
  /// Records to append, by key; a report that ended is empty.
  std::map<std::string, std::string> mOutbox;
  bool mWriting = false;
  std::unique_ptr<timer> mRetryTimer;
  /// Requests that were served lately: a set that grows, and the one before.
  std::unordered_set<std::string> mServed;
  std::unordered_set<std::string> mServedBefore;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
