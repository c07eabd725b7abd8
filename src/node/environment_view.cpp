#include "arbutusferry/node/environment_view.hpp"

#include "arbutusferry/hash.hpp"

#include <algorithm>

namespace arbutusferry::node {

namespace {

/// Host names compare without case and without a port.
std::string
HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar | 0x20)
                                        : aChar;
  });
  return key;
}

template<typename List>
auto*
FindByName(List& aList, std::string_view aName)
{
  const auto found =
    std::find_if(aList.begin(), aList.end(), [&](const auto& aEntry) {
      return aEntry.name == aName;
    });
  return found == aList.end() ? nullptr : &*found;
}

} // namespace

environment_view::environment_view(std::uint64_t aVersion,
                                   std::vector<route_entry> aRoutes,
                                   std::vector<service_entry> aServices,
                                   std::vector<team_entry> aTeams,
                                   caller_limits aLimits,
                                   bool aHasTeams)
  : mVersion(aVersion)
  , mRoutes(std::move(aRoutes))
  , mServices(std::move(aServices))
  , mTeams(std::move(aTeams))
  , mLimits(aLimits)
  , mHasTeams(aHasTeams)
{
  for (std::size_t index = 0; index < mRoutes.size(); ++index) {
    mByHost[HostKey(mRoutes[index].host)].push_back(index);
  }
  for (auto& [host, list] : mByHost) {
    std::stable_sort(
      list.begin(), list.end(), [this](std::size_t aLeft, std::size_t aRight) {
        return mRoutes[aLeft].pathPrefix.size() >
               mRoutes[aRight].pathPrefix.size();
      });
  }
  for (std::size_t index = 0; index < mTeams.size(); ++index) {
    for (const std::string& key : mTeams[index].keys) {
      mByKey.emplace(key, index);
    }
  }
}

const route_entry*
environment_view::FindRoute(std::string_view aHost,
                            std::string_view aPath) const
{
  const auto found = mByHost.find(HostKey(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const std::size_t index : found->second) {
    if (path.starts_with(mRoutes[index].pathPrefix)) {
      return &mRoutes[index];
    }
  }
  return nullptr;
}

bool
environment_view::HasBatchRoute(std::string_view aHost, bool aOpen) const
{
  const auto found = mByHost.find(HostKey(aHost));
  return found != mByHost.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](std::size_t aIndex) {
             const route_entry& route = mRoutes[aIndex];
             return route.kind == route_kind::Batch && (route.open || !aOpen);
           });
}

std::set<std::string>
environment_view::SingleVersionModels() const
{
  std::set<std::string> models;
  for (const route_entry& route : mRoutes) {
    if (!route.singleVersion) {
      continue;
    }
    for (const weighted_service& entry : route.services) {
      if (const service_entry* service = Service(entry.service)) {
        models.insert(service->models.begin(), service->models.end());
      }
    }
  }
  return models;
}

const route_entry*
environment_view::RouteByName(std::string_view aName) const
{
  return FindByName(mRoutes, aName);
}

const team_entry*
environment_view::TeamOfKey(std::string_view aKey) const
{
  const auto found = mByKey.find(std::string(aKey));
  return found == mByKey.end() ? nullptr : &mTeams[found->second];
}

home_regions
environment_view::HomesOf(const route_entry& aRoute,
                          std::string_view aTeam) const
{
  home_regions homes = aRoute.homes;
  if (const team_entry* team = FindByName(mTeams, aTeam)) {
    homes.Restrict(team->homes);
  }
  return homes;
}

const team_entry*
environment_view::Team(std::string_view aName) const
{
  return FindByName(mTeams, aName);
}

const service_entry*
environment_view::Service(std::string_view aName) const
{
  return FindByName(mServices, aName);
}

std::string
ChooseService(const route_entry& aRoute, const std::string& aRequestId)
{
  std::int64_t total = 0;
  for (const weighted_service& entry : aRoute.services) {
    total += std::max<std::int64_t>(0, entry.weight);
  }
  if (total == 0) {
    return aRoute.services.empty() ? std::string()
                                   : aRoute.services.front().service;
  }
  auto remainder = static_cast<std::int64_t>(Hash64(aRequestId) %
                                             static_cast<std::uint64_t>(total));
  for (const weighted_service& entry : aRoute.services) {
    remainder -= std::max<std::int64_t>(0, entry.weight);
    if (remainder < 0) {
      return entry.service;
    }
  }
  return aRoute.services.back().service;
}

} // namespace arbutusferry::node
