#include "arbutusferry/document_diff.hpp"

#include <map>
#include <optional>
#include <set>

namespace arbutusferry {

namespace {

/// @return Items by name, zone or class; nothing if an item has none of these
/// or a name occurs twice.
std::optional<std::map<std::string, Json::Value>>
ItemsByName(const Json::Value& aList)
{
  std::map<std::string, Json::Value> items;
  for (const Json::Value& item : aList) {
    bool named = false;
    for (const char* key : { "name", "zone", "class" }) {
      if (!named && item.isObject() && item[key].isString()) {
        named = items.emplace(item[key].asString(), item).second;
      }
    }
    if (!named) {
      return std::nullopt;
    }
  }
  return items;
}

void
Compare(const std::string& aPath,
        const Json::Value& aBefore,
        const Json::Value& aAfter,
        std::vector<document_change>& aChanges)
{
  if (aBefore == aAfter) {
    return;
  }
  if (aBefore.isObject() && aAfter.isObject()) {
    std::set<std::string> names;
    for (const Json::Value* value : { &aBefore, &aAfter }) {
      for (const std::string& name : value->getMemberNames()) {
        names.insert(name);
      }
    }
    for (const std::string& name : names) {
      Compare(aPath.empty() ? name
                            : std::string(aPath).append(".").append(name),
              aBefore[name],
              aAfter[name],
              aChanges);
    }
    return;
  }
  if (aBefore.isArray() && aAfter.isArray()) {
    auto before = ItemsByName(aBefore);
    auto after = ItemsByName(aAfter);
    if (before && after) {
      std::set<std::string> names;
      for (const auto* items : { &*before, &*after }) {
        for (const auto& item : *items) {
          names.insert(item.first);
        }
      }
      for (const std::string& name : names) {
        Compare(std::string(aPath).append("[").append(name).append("]"),
                (*before)[name],
                (*after)[name],
                aChanges);
      }
      return;
    }
  }
  aChanges.push_back({ aPath, aBefore, aAfter });
}

} // namespace

std::vector<document_change>
CompareDocuments(const Json::Value& aBefore, const Json::Value& aAfter)
{
  std::vector<document_change> changes;
  Compare("", aBefore, aAfter, changes);
  return changes;
}

} // namespace arbutusferry
