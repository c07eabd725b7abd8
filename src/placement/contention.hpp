#pragma once

#include "arbutusferry/node/item_scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Waiting items that the same samplers may run.
struct placement_demand
{
  std::string service;
  std::string model;
  std::int64_t minimumVersion = 0;
  std::size_t waiting = 0;
};

enum class demand_state
{
  Full,      ///< No sampler can take an item: there is nothing to choose.
  Ample,     ///< There are fewer waiting items than free slots.
  Contended, ///< The free slots don't suffice.
};

/// Compares demands with the free slots at the samplers of a service. Demands
/// that share samplers are contended together.
/// @param aStates Set for the demands of the service only.
void
FindContention(const std::string& aService,
               const std::vector<placement_demand>& aDemands,
               const std::vector<sampler_state>& aSamplers,
               std::vector<demand_state>& aStates);

} // namespace arbutusferry::node
