#pragma once

#include "arbutusferry/enum_names.hpp"
#include "zones/cold_state.hpp"
#include "zones/home_regions.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusferry::node {

/// Whether requests may be repeated, and how the response arrives.
enum class route_kind
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< A stream of events.
  Batch,         ///< Batches of samples that run later.
};
} // namespace arbutusferry::node

template<>
inline constexpr arbutusferry::enum_name_table<arbutusferry::node::route_kind,
                                               4>
  arbutusferry::kEnumNames<arbutusferry::node::route_kind>{ {
    { arbutusferry::node::route_kind::Idempotent, "idempotent" },
    { arbutusferry::node::route_kind::NonIdempotent, "non_idempotent" },
    { arbutusferry::node::route_kind::Stream, "stream" },
    { arbutusferry::node::route_kind::Batch, "batch" },
  } };

namespace arbutusferry::node {

struct weighted_service
{
  std::string service;
  std::int64_t weight = 1;
};

struct route_entry
{
  std::string name;
  std::string host;
  std::string pathPrefix; ///< Begins and ends with a slash.
  route_kind kind = route_kind::NonIdempotent;
  std::chrono::milliseconds timeout{ 10'000 };
  std::chrono::milliseconds latencyTarget{ 1'000 };
  int priority = 0; ///< 0 is served first.
  std::vector<weighted_service> services;
  int maxAttempts = 1;        ///< Targets one request may be sent to.
  bool open = false;          ///< Needs no key.
  bool resumable = false;     ///< Streams may continue at another target.
  home_regions homes;         ///< Regions that its requests may reach.
  bool singleVersion = false; ///< All of a sample has one weight version.
  std::chrono::milliseconds resultDue{ 0 };
  /// Time after submission from which an item may be given up.
  std::chrono::milliseconds itemRetention{ 0 };
};

/// Bounds of the number of targets ordered for a service, per zone.
struct scaling_bounds
{
  int minimum = 0;
  int maximum = 0;
  std::chrono::milliseconds boot{ 0 };
};

struct service_entry
{
  std::string name;
  std::optional<scaling_bounds> scaling;
  std::vector<std::string> models;
  /// What its targets can take while they are cold, if they may be.
  std::optional<cold_rate> coldRate = {};
};

struct team_entry
{
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  home_regions homes = {}; ///< Regions that its requests may reach.
};

/// Limits for client connections and requests.
struct caller_limits
{
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxBodyBytes = std::size_t{ 32 } * 1024 * 1024;
  std::chrono::milliseconds headerTimeout{ 3'000 };
  std::chrono::milliseconds idleTimeout{ 15'000 };
};

/// One version of the operator's environment, indexed for lookups.
class environment_view
{
public:
  environment_view() = default;
  environment_view(std::uint64_t aVersion,
                   std::vector<route_entry> aRoutes,
                   std::vector<service_entry> aServices,
                   std::vector<team_entry> aTeams,
                   caller_limits aLimits,
                   bool aHasTeams);

  [[nodiscard]] std::uint64_t Version() const noexcept { return mVersion; }
  /// @return The route of the host with the longest prefix of the path, or
  /// null.
  [[nodiscard]] const route_entry* FindRoute(std::string_view aHost,
                                             std::string_view aPath) const;
  /// @return Whether a route of a host takes batches, or takes them without a
  /// key if `aOpen` is set.
  [[nodiscard]] bool HasBatchRoute(std::string_view aHost,
                                   bool aOpen = false) const;
  /// @return Models of the services whose samples, on one route at least, must
  /// each have a single weight version.
  [[nodiscard]] std::set<std::string> SingleVersionModels() const;
  [[nodiscard]] const route_entry* RouteByName(std::string_view aName) const;
  /// @return The team that holds a key, or null.
  [[nodiscard]] const team_entry* TeamOfKey(std::string_view aKey) const;
  /// @param aTeam Team's name; empty if no key was needed.
  /// @return The regions that a request of a team on a route may reach.
  [[nodiscard]] home_regions HomesOf(const route_entry& aRoute,
                                     std::string_view aTeam) const;
  [[nodiscard]] const team_entry* Team(std::string_view aName) const;
  [[nodiscard]] const service_entry* Service(std::string_view aName) const;
  [[nodiscard]] const std::vector<service_entry>& Services() const noexcept
  {
    return mServices;
  }
  [[nodiscard]] const caller_limits& Limits() const noexcept { return mLimits; }
  /// @return Whether requests need a key.
  [[nodiscard]] bool HasTeams() const noexcept { return mHasTeams; }

private:
  std::uint64_t mVersion = 0;
  std::vector<route_entry> mRoutes;
  std::vector<service_entry> mServices;
  std::vector<team_entry> mTeams;
  caller_limits mLimits;
  bool mHasTeams = false;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
  std::unordered_map<std::string, std::size_t> mByKey;
};

/// Provides the operator's current environment.
class environment_source
{
public:
  virtual ~environment_source() = default;
  [[nodiscard]] virtual const environment_view& Environment() const = 0;
};

/// Chooses a service of a route by weight and a hash of the request id, so that
/// a retried request goes to the same service.
/// @return Its name; empty if the route has none.
[[nodiscard]] std::string
ChooseService(const route_entry& aRoute, const std::string& aRequestId);

} // namespace arbutusferry::node
