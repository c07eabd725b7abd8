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
  };

  /// Items of a model that no sampler may take at present.
  struct demand
  {
    std::size_t waiting = 0;
    /// Slots that loads on their way will open for them.
    std::size_t slots = 0;
  };

  struct order
  {
    std::string sampler;
    std::string model;
    std::int64_t version = 0;
  };

  /// Notes the version that a trainer named; versions never go back.
  /// @return Whether it is new.
  bool SetNewestVersion(const std::string& aModel, std::int64_t aVersion);
  [[nodiscard]] std::int64_t Named(const std::string& aModel) const;

  /// Divides samplers among the models that are in use, in equal parts, and
  /// moves as few as possible.
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
  /// What the orders of a model are decided by.
  struct model_state
  {
    std::vector<const sampler*> due; ///< The next to load last.
    std::size_t current = 0;         ///< Have or load the newest weights.
    std::size_t lacking = 0;         ///< Items that wait beyond loads begun.
  };
  [[nodiscard]] std::map<std::string, model_state> ModelStates(
    const std::vector<sampler>& aSamplers,
    const std::map<std::string, demand>& aDemands,
    time_point aNow) const;

  std::map<std::string, std::int64_t> mNamed;
  std::map<std::string, std::string> mHome; ///< Model by sampler.
};

} // namespace arbutusferry::node
