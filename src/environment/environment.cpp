#include "arbutusferry/environment.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/percent.hpp"
#include "environment/json_support.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace arbutusferry {

namespace {

constexpr std::int64_t kMaxVersion = std::int64_t{ 1 } << 53;
constexpr std::int64_t kMaxTargets = 100'000;
constexpr std::int64_t kMaxSeconds = std::int64_t{ 31 } * 86'400;
/// Paths that the entry process serves itself.
constexpr std::array<std::string_view, 5> kReservedPaths = { "/v1",
                                                             "/internal",
                                                             "/healthz",
                                                             "/readyz",
                                                             "/metrics" };

/// @return True if `aPath` is `aPrefix` or lies below it.
bool
MatchesPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (aPrefix == "/") {
    return true;
  }
  return aPath.substr(0, aPrefix.size()) == aPrefix &&
         (aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/');
}

/// @return True if no target can resolve the path to one outside its prefix:
/// no empty, "." or ".." segments and no backslash.
bool
IsPlainPath(std::string_view aPath)
{
  if (aPath.empty() || aPath.front() != '/' ||
      aPath.find('\\') != std::string_view::npos) {
    return false;
  }
  std::size_t begin = 1;
  while (begin <= aPath.size()) {
    const std::size_t end = std::min(aPath.find('/', begin), aPath.size());
    const std::string_view segment = aPath.substr(begin, end - begin);
    if ((segment.empty() && end != aPath.size()) || segment == "." ||
        segment == "..") {
      return false;
    }
    begin = end + 1;
  }
  return true;
}

const route_config*
LongestPrefix(const std::vector<route_config>& aRoutes, std::string_view aPath)
{
  const route_config* best = nullptr;
  for (const route_config& route : aRoutes) {
    if (route.kind == route_kind::Service && MatchesPrefix(aPath, route.path) &&
        (best == nullptr || route.path.size() > best->path.size())) {
      best = &route;
    }
  }
  return best;
}

/// Reports a name that occurs twice in a list.
template<typename Item, typename Name>
void
CheckUnique(object_reader& aReader,
            const char* aList,
            const std::vector<Item>& aItems,
            const char* aField,
            Name aName)
{
  std::set<std::string> seen;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const std::string name = aName(aItems[i]);
    if (!name.empty() && !seen.insert(name).second) {
      aReader.Fail(std::string(aList) + "[" + std::to_string(i) + "]." + aField,
                   "expected a unique value, but \"" + name +
                     "\" occurs again");
    }
  }
}

result<team_config>
ReadTeam(const Json::Value& aValue,
         const std::string& aSource,
         const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  team_config team;
  team.name = ReadName(reader, "name");
  team.share = reader.Number("share", 0.000'001, 1'000'000, 1.0);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return team;
}

result<model_config>
ReadModel(const Json::Value& aValue,
          const std::string& aSource,
          const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  model_config model;
  model.name = ReadName(reader, "name");
  model.targetClass = ReadName(reader, "target_class");
  model.minVersion = reader.Integer("min_version", 0, kMaxVersion, 0);
  model.stalenessBound = reader.Integer("staleness_bound", 0, kMaxVersion, 0);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return model;
}

void
ReadModelRoute(object_reader& aReader, route_config& aRoute)
{
  aRoute.model = ReadName(aReader, "model");
  aRoute.targetClass = aReader.String("target_class", "");
  const std::string fixedPath =
    aRoute.kind == route_kind::Steps ? "/v1/steps" : "/v1/completions";
  const std::string path = aReader.String("path", fixedPath);
  if (!path.empty() && path != fixedPath) {
    aReader.Fail("path", "expected no path or \"" + fixedPath + "\"");
  }
  const bool isSteps = aRoute.kind == route_kind::Steps;
  aRoute.idempotent = aReader.Boolean("idempotent", isSteps);
  if (isSteps && !aRoute.idempotent) {
    aReader.Fail("idempotent", "expected true, because samples are retried");
  }
}

void
ReadServiceRoute(object_reader& aReader, route_config& aRoute)
{
  aRoute.targetClass = ReadName(aReader, "target_class");
  aRoute.path = aReader.String("path");
  const bool trailingSlash =
    aRoute.path.size() > 1 && aRoute.path.back() == '/';
  if (!IsPlainPath(aRoute.path) || trailingSlash ||
      aRoute.path.find_first_of("%?# ") != std::string::npos) {
    aReader.Fail("path",
                 "expected a path such as \"/booking\" without query, escapes, "
                 "dot segments or trailing slash");
  }
  for (const std::string_view reserved : kReservedPaths) {
    if (MatchesPrefix(aRoute.path, reserved)) {
      aReader.Fail(
        "path", "expected a path that is not below " + std::string(reserved));
    }
  }
  if (aReader.Has("model") && !aReader.String("model", "").empty()) {
    aReader.Fail("model", "expected no model on a service route");
  }
  aRoute.idempotent = aReader.Boolean("idempotent", false);
}

result<route_config>
ReadRoute(const Json::Value& aValue,
          const std::string& aSource,
          const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  route_config route;
  route.name = ReadName(reader, "name");
  route.kind = reader.Enumerator<route_kind>("kind");
  route.access = reader.Enumerator<route_access>("access");
  route.teams = reader.Strings("tenants");
  if (route.access == route_access::Open && !route.teams.empty()) {
    reader.Fail("tenants", "expected no tenants on an open route");
  }
  if (!reader.Failed()) {
    if (route.kind == route_kind::Service) {
      ReadServiceRoute(reader, route);
    } else {
      ReadModelRoute(reader, route);
    }
  }
  route.deadline = std::chrono::milliseconds(
    reader.Integer("deadline_ms", 1, 86'400'000, 30'000));
  ARBUTUSFERRY_CHECK(reader.Finish());
  return route;
}

result<target_zone_config>
ReadZone(const Json::Value& aValue,
         const std::string& aSource,
         const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  target_zone_config zone;
  zone.zone = ReadName(reader, "zone");
  zone.minProtected = reader.Integer("min_protected", 0, kMaxTargets, 0);
  zone.max = reader.Integer("max", 0, kMaxTargets);
  zone.maxReclaimable = reader.Integer("max_reclaimable", 0, kMaxTargets, 0);
  if (zone.max < zone.minProtected) {
    reader.Fail("max", "expected at least min_protected");
  }
  if (zone.maxReclaimable > zone.max) {
    reader.Fail("max_reclaimable", "expected at most max");
  }
  ARBUTUSFERRY_CHECK(reader.Finish());
  return zone;
}

result<target_class_config>
ReadTargetClass(const Json::Value& aValue,
                const std::string& aSource,
                const std::string& aPath)
{
  object_reader reader(aValue, aSource, aPath);
  target_class_config targets;
  targets.targetClass = ReadName(reader, "class");
  BOOST_LEAF_ASSIGN(
    targets.zones,
    ReadList(reader,
             "zones",
             [&](const Json::Value& aItem, const std::string& aItemPath) {
               return ReadZone(aItem, aSource, aItemPath);
             }));
  if (targets.zones.empty()) {
    reader.Fail("zones", "expected at least one zone");
  }
  CheckUnique(reader, "zones", targets.zones, "zone", [](const auto& aZone) {
    return aZone.zone;
  });
  ARBUTUSFERRY_CHECK(reader.Finish());
  return targets;
}

/// Checks references between the parts of a document and fills in the target
/// class of model routes.
void
CheckReferences(object_reader& aReader, environment_document& aDocument)
{
  const auto knownClass = [&](const std::string& aClass) {
    return std::any_of(aDocument.targets.begin(),
                       aDocument.targets.end(),
                       [&](const target_class_config& aTargets) {
                         return aTargets.targetClass == aClass;
                       });
  };
  for (std::size_t i = 0; i < aDocument.models.size(); ++i) {
    if (!knownClass(aDocument.models[i].targetClass)) {
      aReader.Fail("models[" + std::to_string(i) + "].target_class",
                   "expected a class listed in targets");
    }
  }
  std::set<std::pair<route_kind, std::string>> modelRoutes;
  for (std::size_t i = 0; i < aDocument.routes.size(); ++i) {
    route_config& route = aDocument.routes[i];
    const std::string path = "routes[" + std::to_string(i) + "].";
    for (const std::string& team : route.teams) {
      if (aDocument.FindTeam(team) == nullptr) {
        aReader.Fail(path + "tenants",
                     "expected names listed in tenants, not \"" + team + "\"");
      }
    }
    if (route.kind != route_kind::Service) {
      const model_config* model = aDocument.FindModel(route.model);
      if (model == nullptr) {
        aReader.Fail(path + "model", "expected a model listed in models");
        continue;
      }
      if (route.targetClass.empty()) {
        route.targetClass = model->targetClass;
      }
      if (route.targetClass != model->targetClass) {
        aReader.Fail(path + "target_class",
                     "expected the class of the model, \"" +
                       model->targetClass + "\"");
      }
      if (!modelRoutes.emplace(route.kind, route.model).second) {
        aReader.Fail(path + "model",
                     "expected one route of a kind for each model");
      }
    } else if (!knownClass(route.targetClass)) {
      aReader.Fail(path + "target_class", "expected a class listed in targets");
    }
  }
}

Json::Value
WriteRoute(const route_config& aRoute)
{
  Json::Value value(Json::objectValue);
  value["name"] = aRoute.name;
  value["kind"] = std::string(EnumName(aRoute.kind));
  if (aRoute.kind == route_kind::Service) {
    value["path"] = aRoute.path;
  } else {
    value["model"] = aRoute.model;
  }
  value["target_class"] = aRoute.targetClass;
  value["access"] = std::string(EnumName(aRoute.access));
  const std::set<std::string> teams(aRoute.teams.begin(), aRoute.teams.end());
  value["tenants"] = Json::Value(Json::arrayValue);
  for (const std::string& team : teams) {
    value["tenants"].append(team);
  }
  value["idempotent"] = aRoute.idempotent;
  value["deadline_ms"] = JsonInteger(aRoute.deadline.count());
  return value;
}

Json::Value
WriteZone(const target_zone_config& aZone)
{
  Json::Value value(Json::objectValue);
  value["zone"] = aZone.zone;
  value["min_protected"] = JsonInteger(aZone.minProtected);
  value["max"] = JsonInteger(aZone.max);
  value["max_reclaimable"] = JsonInteger(aZone.maxReclaimable);
  return value;
}

/// Writes a list sorted by name, so that the order in a file does not change
/// the hash of a document.
template<typename Item, typename Name, typename Write>
Json::Value
WriteSorted(std::vector<Item> aItems, Name aName, Write aWrite)
{
  std::sort(
    aItems.begin(), aItems.end(), [&](const Item& aLeft, const Item& aRight) {
      return aName(aLeft) < aName(aRight);
    });
  Json::Value list(Json::arrayValue);
  for (const Item& item : aItems) {
    list.append(aWrite(item));
  }
  return list;
}

} // namespace

const team_config*
environment_document::FindTeam(std::string_view aName) const
{
  for (const team_config& team : teams) {
    if (team.name == aName) {
      return &team;
    }
  }
  return nullptr;
}

const model_config*
environment_document::FindModel(std::string_view aName) const
{
  for (const model_config& model : models) {
    if (model.name == aName) {
      return &model;
    }
  }
  return nullptr;
}

const route_config*
environment_document::FindModelRoute(route_kind aKind,
                                     std::string_view aModel) const
{
  for (const route_config& route : routes) {
    if (route.kind == aKind && route.model == aModel) {
      return &route;
    }
  }
  return nullptr;
}

const route_config*
environment_document::FindServiceRoute(std::string_view aPath) const
{
  // A path whose route depends on how often it is unescaped matches no route:
  // otherwise an escaped path could reach a keyed service by an open route.
  constexpr int kMaxDecodings = 4;
  std::string path(aPath.substr(0, aPath.find_first_of("?#")));
  const route_config* first = LongestPrefix(routes, path);
  for (int i = 0; i < kMaxDecodings; ++i) {
    if (!IsPlainPath(path) || LongestPrefix(routes, path) != first) {
      return nullptr;
    }
    std::string decoded = DecodePercent(path);
    if (decoded == path) {
      return first;
    }
    path = std::move(decoded);
  }
  return nullptr;
}

result<environment_document>
ReadEnvironment(const Json::Value& aValue, const std::string& aSource)
{
  object_reader reader(aValue, aSource);
  environment_document document;
  document.environment = ReadName(reader, "environment");
  const auto withSource = [&](auto aRead) {
    return
      [&aSource, aRead](const Json::Value& aItem, const std::string& aPath) {
        return aRead(aItem, aSource, aPath);
      };
  };
  BOOST_LEAF_ASSIGN(document.teams,
                    ReadList(reader, "tenants", withSource(ReadTeam)));
  BOOST_LEAF_ASSIGN(document.models,
                    ReadList(reader, "models", withSource(ReadModel)));
  BOOST_LEAF_ASSIGN(document.routes,
                    ReadList(reader, "routes", withSource(ReadRoute)));
  BOOST_LEAF_ASSIGN(document.targets,
                    ReadList(reader, "targets", withSource(ReadTargetClass)));

  object_reader usage(reader.Object("usage"), aSource, "usage");
  document.usageWindow =
    std::chrono::seconds(usage.Integer("window_s", 1, kMaxSeconds, 3600));
  document.usageGrace =
    std::chrono::seconds(usage.Integer("grace_s", 0, 86'400, 30));
  ARBUTUSFERRY_CHECK(usage.Finish());
  object_reader isolation(reader.Object("isolation"), aSource, "isolation");
  document.keyGrace =
    std::chrono::seconds(isolation.Integer("key_grace_s", 0, 86'400, 0));
  ARBUTUSFERRY_CHECK(isolation.Finish());

  const auto byName = [](const auto& aItem) { return aItem.name; };
  CheckUnique(reader, "tenants", document.teams, "name", byName);
  CheckUnique(reader, "models", document.models, "name", byName);
  CheckUnique(reader, "routes", document.routes, "name", byName);
  CheckUnique(
    reader, "routes", document.routes, "path", [](const auto& aRoute) {
      return aRoute.path;
    });
  CheckUnique(
    reader, "targets", document.targets, "class", [](const auto& aTargets) {
      return aTargets.targetClass;
    });
  CheckReferences(reader, document);
  ARBUTUSFERRY_CHECK(reader.Finish());
  return document;
}

Json::Value
WriteEnvironment(const environment_document& aDocument)
{
  const auto byName = [](const auto& aItem) { return aItem.name; };
  Json::Value value(Json::objectValue);
  value["environment"] = aDocument.environment;
  value["tenants"] =
    WriteSorted(aDocument.teams, byName, [](const team_config& aTeam) {
      Json::Value item(Json::objectValue);
      item["name"] = aTeam.name;
      item["share"] = aTeam.share;
      return item;
    });
  value["models"] =
    WriteSorted(aDocument.models, byName, [](const model_config& aModel) {
      Json::Value item(Json::objectValue);
      item["name"] = aModel.name;
      item["target_class"] = aModel.targetClass;
      item["min_version"] = JsonInteger(aModel.minVersion);
      item["staleness_bound"] = JsonInteger(aModel.stalenessBound);
      return item;
    });
  value["routes"] = WriteSorted(aDocument.routes, byName, WriteRoute);
  value["targets"] = WriteSorted(
    aDocument.targets,
    [](const auto& aTargets) { return aTargets.targetClass; },
    [](const target_class_config& aTargets) {
      Json::Value item(Json::objectValue);
      item["class"] = aTargets.targetClass;
      item["zones"] = WriteSorted(
        aTargets.zones,
        [](const auto& aZone) { return aZone.zone; },
        WriteZone);
      return item;
    });
  value["usage"]["window_s"] = JsonInteger(aDocument.usageWindow.count());
  value["usage"]["grace_s"] = JsonInteger(aDocument.usageGrace.count());
  value["isolation"]["key_grace_s"] = JsonInteger(aDocument.keyGrace.count());
  return value;
}

std::string
EnvironmentHash(const environment_document& aDocument)
{
  return Sha256Hex(WriteJson(WriteEnvironment(aDocument)));
}

} // namespace arbutusferry
