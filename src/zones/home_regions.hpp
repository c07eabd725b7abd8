#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace arbutusferry::node {

/// The region of each zone.
class region_map
{
public:
  region_map() = default;
  explicit region_map(std::map<std::string, std::string> aByZone);

  /// @return The region of a zone; empty if it isn't known.
  [[nodiscard]] const std::string& RegionOf(const std::string& aZone) const;

private:
  std::map<std::string, std::string> mByZone;
};

/// The regions that a request may reach; all where its route and team name
/// none.
class home_regions
{
public:
  home_regions() = default;
  /// @param aRegions Regions; if empty, the request may reach all.
  explicit home_regions(std::set<std::string> aRegions);

  /// Binds the request to the regions of another list too.
  void Restrict(const home_regions& aOther);
  [[nodiscard]] bool Restricted() const noexcept
  {
    return mRegions.has_value();
  }
  /// @param aRegion Region; one that isn't known is no home region.
  [[nodiscard]] bool Allows(const std::string& aRegion) const;

  /// @return The regions as a header of messages between nodes. Only for
  /// restricted requests.
  [[nodiscard]] std::string Text() const;
  /// @param aText Text made by `Text`, or null if the message has none.
  [[nodiscard]] static home_regions FromText(
    std::optional<std::string_view> aText);

private:
  std::optional<std::set<std::string>> mRegions;
};

} // namespace arbutusferry::node
