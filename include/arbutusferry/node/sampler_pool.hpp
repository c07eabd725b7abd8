#pragma once

#include "arbutusferry/node/item_run.hpp"
#include "arbutusferry/node/item_scheduler.hpp"
#include "arbutusferry/node/target_view.hpp"
#include "arbutusferry/node/version_plan.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace arbutusferry::node {

/// An order of weights whose end is not known yet.
struct pending_order
{
  version_plan::order order;
  time_point sentAt;
  bool accepted = false;
  time_point nextReport; ///< When to ask how far the load is.
  time_point nextTrial;  ///< When an item may try whether the load has ended.
  int trials = 0;
};

/// The leader's view of samplers: their runs, pace and weights. Sends the
/// orders of weights and follows them until they hold.
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
    /// Called when a target has seen a higher fence.
    std::function<void()> superseded;
    /// Called when a sampler may have room or weights that it had not.
    std::function<void()> changed;
  };

  explicit sampler_pool(parts aParts)
    : mParts(std::move(aParts))
  {
  }

  /// Takes the targets that run models from the view.
  /// @param aServices Services that run models.
  void Refresh(const std::set<std::string>& aServices);
  /// @return States of the samplers of a service.
  [[nodiscard]] std::vector<sampler_state> States(
    const std::string& aService) const;
  [[nodiscard]] sampler_state State(const std::string& aId) const;

  void AddRun(std::shared_ptr<item_run> aRun);
  /// Notes how a run ended, and forgets it.
  void EndRun(const item_run& aRun, run_outcome aEnd);
  /// Notes the time between two events of a run.
  void NoteEvent(const item_run& aRun);
  [[nodiscard]] const std::set<std::shared_ptr<item_run>>& Runs() const noexcept
  {
    return mRuns;
  }
  /// Cancels and forgets a run without judging its sampler.
  void CancelRun(const std::shared_ptr<item_run>& aRun);
  /// Leaves all runs to the next leader, as far as other nodes hold them.
  void DetachAll();

  void SetNewestVersion(const std::string& aModel, std::int64_t aVersion)
  {
    mPlan.SetNewestVersion(aModel, aVersion);
  }
  /// Sends due orders of weights.
  /// @param aModels Models in use.
  /// @param aSingleVersion Models with samples that must have one version.
  /// @param aWaiting Items by model that no sampler may take at present.
  void SendWeightOrders(const std::set<std::string>& aModels,
                        const std::set<std::string>& aSingleVersion,
                        const std::map<std::string, std::size_t>& aWaiting);
  /// @return The version of a model that a sampler is believed to have.
  /// While a load may have ended: the version that it brings.
  [[nodiscard]] std::int64_t VersionOf(const std::string& aId,
                                       const std::string& aModel) const;

private:
  struct sampler
  {
    target_entry entry;
    std::map<std::string, std::int64_t> versions;
    /// Orders it has accepted; nothing until it was asked.
    std::optional<std::uint64_t> ordersAccepted;
    std::optional<double> eventMilliseconds;
    int running = 0;
    std::map<std::string, int> groups;
    std::optional<pending_order> order;
    bool reporting = false;
    time_point orderNotBefore;
    time_point avoidUntil;
    int failures = 0;
    time_point paceSince; ///< Last time the pace was measured.
    time_point loadSeen;  ///< End of the last load of weights.
  };

  [[nodiscard]] bool Usable(const sampler& aSampler, time_point aNow) const;
  [[nodiscard]] sampler_state StateOf(const std::string& aId,
                                      const sampler& aSampler) const;
  /// Takes a run off the load of its sampler.
  void Leave(const item_run& aRun);
  /// @return Whether a load may have ended, so that an item may try.
  [[nodiscard]] bool TrialDue(const sampler& aSampler) const;
  void EndLoad(const std::string& aId, sampler& aSampler, const char* aSeenBy);
  void SendOrder(const version_plan::order& aOrder, bool aKeepRuns);
  void OnOrderAnswer(const std::string& aId, const http_response* aResponse);
  void AskReport(const std::string& aId);
  void OnReport(const std::string& aId, const http_response* aResponse);

  parts mParts;
  version_plan mPlan;
  std::map<std::string, sampler> mSamplers;
  std::set<std::shared_ptr<item_run>> mRuns;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace arbutusferry::node
