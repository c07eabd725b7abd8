#pragma once

#include "arbutusferry/environment.hpp"

#include <json/value.h>
#include <string>
#include <vector>

namespace arbutusferry {

/// One difference between two documents.
struct document_change
{
  std::string path;   ///< Such as "tenants[north].share".
  Json::Value before; ///< Null if added.
  Json::Value after;  ///< Null if removed.
};

/// Compares two documents. Items of lists are matched by name, zone or class,
/// so that their order does not matter.
/// @param aBefore Document in force in canonical form; null if there is none.
/// @param aAfter New document in canonical form.
/// @return The differences in order of path.
[[nodiscard]] std::vector<document_change>
CompareDocuments(const Json::Value& aBefore, const Json::Value& aAfter);

} // namespace arbutusferry
