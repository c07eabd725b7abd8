#pragma once

#include "arbutusferry/enum_names.hpp"

#include <cstdint>
#include <string>

namespace arbutusferry {

/// Capacity type of a target: its price and protection.
enum class target_pool
{
  Protected,   ///< Runs until it is explicitly stopped.
  Reclaimable, ///< Cheaper; the platform may reclaim it at short notice.
};

template<>
inline constexpr enum_name_table<target_pool, 2> kEnumNames<target_pool>{ {
  { target_pool::Protected, "protected" },
  { target_pool::Reclaimable, "reclaimable" },
} };

/// What a target runs.
enum class target_kind
{
  Engine,  ///< Inference engine.
  Service, ///< Plain HTTP service.
};

template<>
inline constexpr enum_name_table<target_kind, 2> kEnumNames<target_kind>{ {
  { target_kind::Engine, "engine" },
  { target_kind::Service, "service" },
} };

/// Life cycle state of a target in the platform's list.
enum class target_state
{
  Starting,
  Live,
  Leaving, ///< Takes no new work; in-flight work may finish.
};

template<>
inline constexpr enum_name_table<target_state, 3> kEnumNames<target_state>{ {
  { target_state::Starting, "starting" },
  { target_state::Live, "live" },
  { target_state::Leaving, "leaving" },
} };

/// A target in the platform's list, with its latest load report.
struct target_info
{
  std::string id;
  std::string zone;
  std::string targetClass;
  std::string address; ///< "IP:port".
  target_pool pool = target_pool::Protected;
  target_kind kind = target_kind::Engine;
  target_state state = target_state::Live;
  std::int64_t slots = 1;     ///< Concurrent requests that the target accepts.
  bool checksFencing = false; ///< Rejects commands with an old fencing token.
  std::int64_t running = 0;   ///< From the load report, which lags.
  std::int64_t waiting = 0;   ///< From the load report, which lags.
  std::int64_t weightVersion = -1; ///< From the load report; -1 if unknown.
};

} // namespace arbutusferry
