#pragma once

#include "arbutusferry/node/interval_average.hpp"
#include "arbutusferry/node/item_run.hpp"
#include "arbutusferry/node/item_scheduler.hpp"
#include "arbutusferry/node/target_view.hpp"
#include "arbutusferry/node/version_plan.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace arbutusferry::node {

/// A weight order whose outcome is not known yet.
struct pending_order
{
  version_plan::order load;
  time_point sentAt; ///< Once accepted, the time of the acceptance.
  bool accepted = false;
  time_point nextReport; ///< When to request the next report.
  time_point nextProbe;  ///< When to send an item to see if the load ended.
  int probes = 0;
};

/// The leader's view of the samplers: their runs, speed and weights. Sends
/// weight orders and tracks them until the weights are loaded.
class sampler_pool
{
public:
  struct parts
  {
    event_loop& loop;
    http_client& client;
    target_view& targets;
    const target_protocol& protocol;
    std::string holder;
    std::uint64_t fence = 0;
    /// Called when a target rejects an order because it saw a higher fence.
    std::function<void()> superseded;
    /// Called when a sampler may have new weights or have become available.
    std::function<void()> samplersChanged;
  };

  explicit sampler_pool(parts aParts)
    : mParts(std::move(aParts))
  {
  }

  /// Updates the samplers from the view of targets.
  /// @param aServices Services that run models.
  void Refresh(const std::set<std::string>& aServices);
  [[nodiscard]] std::vector<sampler_state> States(
    const std::string& aService) const;
  [[nodiscard]] sampler_state State(const std::string& aId) const;
  /// @return Mean time between the events of a sampler's runs, if known.
  [[nodiscard]] std::optional<double> EventIntervalMs(
    const std::string& aId) const;
  /// @return The longest of these times, if any is known.
  [[nodiscard]] std::optional<double> SlowestIntervalMs() const;

  void AddRun(std::shared_ptr<item_run> aRun);
  /// Removes a run and updates its sampler's backoff by the outcome.
  void EndRun(const item_run& aRun, run_outcome aEnd);
  /// Updates the event interval of a run's sampler; ends a pending load if the
  /// run shows that the weights are there.
  /// @param aVersion Weight version of the event.
  void NoteEvent(const item_run& aRun, std::int64_t aVersion);
  /// Gives a sampler no items for a while, since its runs were silent.
  void NoteSilence(const std::string& aId);
  [[nodiscard]] const std::set<std::shared_ptr<item_run>>& Runs() const noexcept
  {
    return mRuns;
  }
  /// Cancels and removes a run without effect on its sampler's backoff.
  void CancelRun(const std::shared_ptr<item_run>& aRun);
  void CancelRun(const item_run& aRun);
  /// Detaches from all runs: relayed ones go on for the next leader, others
  /// end.
  void DetachAll();

  void SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
  {
    mPlan.SetNewestVersion(aModel, aVersion);
  }
  /// Sends the weight orders that are due.
  /// @param aModels Models in use.
  /// @param aSingleVersion Models whose samples must each have a single
  /// version.
  /// @param aWaiting Number of items, by model, that no sampler can take now.
  void SendWeightOrders(const std::set<std::string>& aModels,
                        const std::set<std::string>& aSingleVersion,
                        const std::map<std::string, std::size_t>& aWaiting);
  /// @return The presumed weight version of a model at a sampler; once a load
  /// may have ended, the version being loaded. 0 if unknown.
  [[nodiscard]] std::int64_t VersionOf(const std::string& aId,
                                       const std::string& aModel) const;

private:
  struct sampler
  {
    target_entry target;
    std::map<std::string, std::int64_t> versions;
    /// Orders it has accepted; empty until its first report.
    std::optional<std::uint64_t> ordersAccepted;
    interval_average eventInterval;
    int running = 0;
    std::map<std::string, int> groups;
    std::optional<pending_order> order;
    bool reportPending = false;
    time_point orderNotBefore;
    time_point avoidUntil;
    int failures = 0;
    time_point loadEndedAt; ///< When the last load was seen to have ended.
  };

  [[nodiscard]] bool Usable(const sampler& aSampler, time_point aNow) const;
  [[nodiscard]] sampler_state StateOf(const std::string& aId,
                                      const sampler& aSampler) const;
  /// Subtracts a run from its sampler's running items.
  void ReleaseSlot(const item_run& aRun);
  /// Avoids a sampler for longer with each failure.
  void BackOff(sampler& aSampler);
  /// @return Whether a load may have ended, so that an item may be sent.
  [[nodiscard]] bool ProbeDue(const sampler& aSampler) const;
  void EndLoad(const std::string& aId, sampler& aSampler, const char* aSeenBy);
  /// @return Items that a sampler can run at once, given its limit.
  [[nodiscard]] int Capacity(const sampler& aSampler) const;
  void SendOrder(const version_plan::order& aOrder, bool aKeepRuns);
  void OnOrderAnswer(const std::string& aId, const http_response* aResponse);
  void RequestReport(const std::string& aId);
  void OnReport(const std::string& aId, const http_response* aResponse);

  parts mParts;
  version_plan mPlan;
  std::map<std::string, sampler> mSamplers;
  std::set<std::shared_ptr<item_run>> mRuns;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
