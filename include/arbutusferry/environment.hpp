#pragma once

#include "arbutusferry/enum_names.hpp"
#include "arbutusferry/error.hpp"

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusferry {

/// Stage of an environment document.
enum class stage
{
  Trial,
  Production,
};

template<>
inline constexpr enum_name_table<stage, 2> kEnumNames<stage>{ {
  { stage::Trial, "trial" },
  { stage::Production, "production" },
} };

/// Kind of requests that a route serves.
enum class route_kind
{
  Completions, ///< Requests to a model engine.
  Steps,       ///< Steps of a trainer, each a set of samples.
  Service,     ///< Requests to a plain HTTP service.
};

template<>
inline constexpr enum_name_table<route_kind, 3> kEnumNames<route_kind>{ {
  { route_kind::Completions, "completions" },
  { route_kind::Steps, "steps" },
  { route_kind::Service, "service" },
} };

/// Who may use a route.
enum class route_access
{
  Open,  ///< Everyone, without a key.
  Keyed, ///< Teams listed on the route (all teams if none is listed).
};

template<>
inline constexpr enum_name_table<route_access, 2> kEnumNames<route_access>{ {
  { route_access::Open, "open" },
  { route_access::Keyed, "keyed" },
} };

struct team_config
{
  std::string name;
  double share = 1.0; ///< Weight of the team in the fair queue.
};

struct model_config
{
  std::string name;
  std::string targetClass;
  std::int64_t minVersion = 0;     ///< Oldest weight version that may serve.
  std::int64_t stalenessBound = 0; ///< Versions a sample may lag the trainer.
};

struct route_config
{
  std::string name;
  route_kind kind = route_kind::Service;
  std::string path;  ///< Path prefix of a service route.
  std::string model; ///< Model of a completions or steps route.
  std::string targetClass;
  route_access access = route_access::Keyed;
  std::vector<std::string> teams;
  bool idempotent = false;
  std::chrono::milliseconds deadline{ 30'000 };
};

struct target_zone_config
{
  std::string zone;
  std::int64_t minProtected = 0;
  std::int64_t max = 0;
  std::int64_t maxReclaimable = 0;
};

struct target_class_config
{
  std::string targetClass;
  std::vector<target_zone_config> zones;
};

/// Environment document: who may call, which weights may serve, how stale
/// samples may be, and the share of each team.
struct environment_document
{
  std::string environment;
  std::vector<team_config> teams;
  std::vector<model_config> models;
  std::vector<route_config> routes;
  std::vector<target_class_config> targets;
  std::chrono::seconds usageWindow{ 3600 };
  std::chrono::seconds usageGrace{ 30 };
  std::chrono::seconds keyGrace{
    0
  }; ///< Extra time keys are accepted when the configuration is stale.

  [[nodiscard]] const team_config* FindTeam(std::string_view aName) const;
  [[nodiscard]] const model_config* FindModel(std::string_view aName) const;
  /// @return The route of this model and kind, or null.
  [[nodiscard]] const route_config* FindModelRoute(
    route_kind aKind,
    std::string_view aModel) const;
  /// @return The service route with the longest path prefix that matches.
  [[nodiscard]] const route_config* FindServiceRoute(
    std::string_view aPath) const;
};

/// Reads and validates an environment document.
/// @param aValue Parsed JSON.
/// @param aSource File name or peer, for errors.
[[nodiscard]] result<environment_document>
ReadEnvironment(const Json::Value& aValue, const std::string& aSource);

/// @return The document as JSON in canonical form.
[[nodiscard]] Json::Value
WriteEnvironment(const environment_document& aDocument);

/// @return SHA-256 of the canonical form; identifies the document in a
/// promotion.
[[nodiscard]] std::string
EnvironmentHash(const environment_document& aDocument);

} // namespace arbutusferry
