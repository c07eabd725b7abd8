#pragma once

#include "arbutusferry/environment.hpp"
#include "arbutusferry/json.hpp"

#include <string>

namespace arbutusferry {

/// Environment document with all kinds of routes, used by several tests.
inline constexpr const char* kSampleEnvironment = R"({
  "environment": "trust",
  "tenants": [{"name": "north", "share": 2}, {"name": "south", "share": 1.5}],
  "models": [{"name": "slips", "target_class": "sampler", "min_version": 3,
              "staleness_bound": 2}],
  "routes": [
    {"name": "complete", "kind": "completions", "model": "slips",
     "target_class": "sampler", "access": "keyed", "idempotent": true},
    {"name": "train", "kind": "steps", "model": "slips",
     "target_class": "sampler", "access": "keyed", "tenants": ["north"]},
    {"name": "orders", "kind": "service", "path": "/orders",
     "target_class": "desk", "access": "keyed", "tenants": ["north", "south"],
     "idempotent": false, "deadline_ms": 2000},
    {"name": "quotes", "kind": "service", "path": "/orders/quotes",
     "target_class": "desk", "access": "open", "idempotent": true}],
  "targets": [
    {"class": "sampler", "zones": [
      {"zone": "a", "min_protected": 1, "max": 8, "max_reclaimable": 4},
      {"zone": "b", "min_protected": 1, "max": 8, "max_reclaimable": 4}]},
    {"class": "desk", "zones": [{"zone": "a", "min_protected": 1, "max": 3}]}],
  "usage": {"window_s": 60, "grace_s": 5},
  "isolation": {"key_grace_s": 0}
})";

/// @return The sample document as JSON.
[[nodiscard]] inline Json::Value
SampleEnvironmentJson()
{
  return ParseJson(kSampleEnvironment, "sample").value();
}

/// @return The sample document.
[[nodiscard]] inline environment_document
SampleEnvironment()
{
  return ReadEnvironment(SampleEnvironmentJson(), "sample").value();
}

} // namespace arbutusferry
