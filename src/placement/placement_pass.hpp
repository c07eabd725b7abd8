#pragma once

#include "arbutusferry/node/batch_table.hpp"
#include "arbutusferry/node/environment_view.hpp"
#include "placement/contention.hpp"
#include "placement/item_queue.hpp"
#include "placement/run_history.hpp"
#include "placement/step_feasibility.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::node {

/// Samplers of a service during a pass.
struct service_samplers
{
  std::vector<sampler_state> states;
  event_intervals intervals;
};

/// @return The samplers with their median and least event interval; 1 ms both
/// while no speed is known.
[[nodiscard]] service_samplers
SummarizeSamplers(std::vector<sampler_state> aStates);

struct batch_rating
{
  std::vector<group_slack> groups; ///< By `batch::GroupOf`.
  double untilDueMs = kNeverDueMs;
  double neededEvents = 0.0; ///< Events that its needed groups still need.
};

/// Rates the incomplete groups of a batch.
[[nodiscard]] batch_rating
RateBatch(const batch& aBatch,
          const route_entry* aRoute,
          const length_estimate& aLengths,
          const event_intervals& aIntervals,
          std::int64_t aNowUnixMs);

/// @return Events that an item probably still needs.
/// @param aTypicalHint `TypicalHint` of the batch.
[[nodiscard]] double
RemainingOf(const batch& aBatch,
            std::size_t aIndex,
            const length_estimate& aLengths,
            double aTypicalHint);

/// @return Mean length hint of the items of a batch that have one, or 0.
[[nodiscard]] double
TypicalHint(const batch& aBatch);

/// One pass over all waiting items: finds the demands that compete for slots,
/// and yields their items in the order of placement. Items that don't compete
/// come in the order of `SortWaiting`.
class placement_pass
{
public:
  using batch_map = std::map<std::string, std::unique_ptr<batch>>;

  /// Counts the waiting items.
  placement_pass(const batch_map& aBatches,
                 const environment_view& aEnvironment,
                 const run_history& aHistory,
                 time_point aNow,
                 std::int64_t aNowUnixMs);

  /// @return Demands with waiting items.
  [[nodiscard]] const std::vector<placement_demand>& Demands() const noexcept
  {
    return mDemands;
  }
  /// @return Waiting items without a route, by batch and index.
  [[nodiscard]] const std::vector<std::pair<std::string, std::size_t>>&
  WithoutRoute() const noexcept
  {
    return mWithoutRoute;
  }
  /// Collects and orders the items that may be placed.
  /// @param aSamplers Samplers by service.
  void Arrange(const std::map<std::string, service_samplers>& aSamplers);
  /// @return The index for `AddRunning` of a team's runs of a model, if their
  /// number matters.
  [[nodiscard]] std::optional<std::size_t> FindShare(
    const std::string& aTeam,
    const std::string& aModel) const;
  void AddRunning(std::size_t aShare) { ++mSlots[aShare]; }
  /// @return The next item to place, or null if there is none. Running items
  /// must have been added before.
  [[nodiscard]] waiting_item* Next();
  /// Counts a slot for the team of an item.
  void NotePlaced(const waiting_item& aItem);
  /// @return Slots of the team of a contended item at its model.
  [[nodiscard]] int SlotsOf(const waiting_item& aItem) const
  {
    return aItem.contended ? mQueue->SlotsOf(aItem) : 0;
  }
  [[nodiscard]] demand_state StateOf(std::size_t aDemand) const
  {
    return mStates[aDemand];
  }
  /// @return Items that need more events count as long.
  [[nodiscard]] double TypicalEvents() const noexcept { return mTypicalEvents; }
  [[nodiscard]] std::size_t ContendedItems() const noexcept
  {
    return mContended.size();
  }

private:
  /// Finds the demand of an item of a batch, and nothing without a route.
  /// Consecutive items mostly have the same path, so the last one is kept.
  class demand_finder;
  struct open_batch
  {
    const batch* entry = nullptr;
    std::vector<std::pair<std::size_t, std::size_t>> items; ///< With demand.
  };

  /// Rating of a batch with contended items.
  struct rated_step
  {
    step_work work;
    std::size_t firstItem = 0; ///< Index of its first contended item.
  };
  /// Sets the classes that depend on several steps.
  void RateSteps(const std::map<std::string, service_samplers>& aSamplers);
  void Collect(const open_batch& aOpen,
               const std::map<std::string, service_samplers>& aSamplers);
  [[nodiscard]] std::size_t AddShare(const std::string& aTeam,
                                     const std::string& aModel);

  const environment_view& mEnvironment;
  const run_history& mHistory;
  std::int64_t mNowUnixMs;
  std::vector<open_batch> mOpen;
  std::vector<placement_demand> mDemands;
  std::vector<demand_state> mStates;
  std::vector<std::pair<std::string, std::size_t>> mWithoutRoute;
  std::map<std::pair<std::string, std::string>, std::size_t> mShares;
  std::vector<int> mSlots; ///< Running items by share.
  std::vector<rated_step> mSteps;
  std::vector<waiting_item> mContended;
  std::vector<waiting_item> mAmple;
  std::optional<item_queue> mQueue;
  std::size_t mNextAmple = 0;
  double mTypicalEvents = 0.0;
};

} // namespace arbutusferry::node
