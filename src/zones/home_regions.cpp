#include "zones/home_regions.hpp"

#include <utility>

namespace arbutusferry::node {

namespace {

/// Separates regions in a header; no region's name contains it.
constexpr char kSeparator = ',';

} // namespace

region_map::region_map(std::map<std::string, std::string> aByZone)
  : mByZone(std::move(aByZone))
{
}

const std::string&
region_map::RegionOf(const std::string& aZone) const
{
  static const std::string kUnknown;
  const auto found = mByZone.find(aZone);
  return found == mByZone.end() ? kUnknown : found->second;
}

home_regions::home_regions(std::set<std::string> aRegions)
{
  if (!aRegions.empty()) {
    mRegions = std::move(aRegions);
  }
}

void
home_regions::Restrict(const home_regions& aOther)
{
  if (!aOther.mRegions) {
    return;
  }
  if (!mRegions) {
    mRegions = aOther.mRegions;
    return;
  }
  std::erase_if(*mRegions, [&](const std::string& aRegion) {
    return !aOther.mRegions->contains(aRegion);
  });
}

bool
home_regions::Allows(const std::string& aRegion) const
{
  return !mRegions || (!aRegion.empty() && mRegions->contains(aRegion));
}

std::string
home_regions::Text() const
{
  std::string text;
  for (const std::string& region : mRegions.value_or(std::set<std::string>{})) {
    if (!text.empty()) {
      text += kSeparator;
    }
    text += region;
  }
  return text;
}

home_regions
home_regions::FromText(std::optional<std::string_view> aText)
{
  home_regions homes;
  if (!aText) {
    return homes;
  }
  homes.mRegions.emplace();
  while (!aText->empty()) {
    const auto end = aText->find(kSeparator);
    if (end != 0) {
      homes.mRegions->emplace(aText->substr(0, end));
    }
    *aText = end == std::string_view::npos ? "" : aText->substr(end + 1);
  }
  return homes;
}

} // namespace arbutusferry::node
