#pragma once

#include "arbutusferry/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Decides which samplers get which model's new weights, and when.
class version_plan
{
public:
  struct sampler
  {
    std::string id;
    std::map<std::string, std::int64_t> versions; ///< As last reported.
    bool usable = true;
    bool loading = false;
    int running = 0;
    time_point notBefore; ///< Pause after a refused order.
    int slots = 1;
    /// Items it can run at once: its slots, or fewer under a limit. At least 1.
    int capacity = 1;
  };

  /// Items of a model that no sampler can take at present.
  struct demand
  {
    std::size_t waiting = 0;
    /// Slots that loads in progress will open for them.
    std::size_t slots = 0;
  };

  struct order
  {
    std::string sampler;
    std::string model;
    std::int64_t version = 0;
  };

  /// Sets the newest version of a model, as published by its trainer. Older
  /// versions are ignored.
  /// @return Whether it is newer than before.
  bool SetNewestVersion(const std::string& aModel, std::int64_t aVersion);
  [[nodiscard]] std::int64_t NewestVersion(const std::string& aModel) const;

  /// Divides the capacity of the samplers evenly among the models in use and
  /// moves as few samplers as possible.
  void Assign(const std::vector<sampler>& aSamplers,
              const std::set<std::string>& aModels);
  /// @return The model whose new versions a sampler gets, or empty.
  [[nodiscard]] std::string AssignedModel(const std::string& aSampler) const;

  /// @param aDemands Items that wait for weights, by model.
  /// @return The orders to send now: first for the models whose items wait,
  /// then for those with the fewest samplers that have the newest weights.
  [[nodiscard]] std::vector<order> Orders(
    const std::vector<sampler>& aSamplers,
    const std::map<std::string, demand>& aDemands,
    time_point aNow) const;

private:
  /// State by which the orders of a model are chosen.
  struct model_state
  {
    /// Samplers to load; the next is at the back.
    std::vector<const sampler*> due;
    std::size_t current = 0;  ///< Have or load the newest weights.
    std::size_t unserved = 0; ///< Items that wait beyond the loads in progress.
  };
  [[nodiscard]] std::map<std::string, model_state> ModelStates(
    const std::vector<sampler>& aSamplers,
    const std::map<std::string, demand>& aDemands,
    time_point aNow) const;

  std::map<std::string, std::int64_t> mNewestVersions;
  std::map<std::string, std::string> mAssignedModels; ///< Model by sampler.
};

} // namespace arbutusferry::node
