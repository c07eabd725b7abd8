#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>

namespace arbutusferry {

/// Checks a property for generated history seeds. The default seed is fixed, so
/// that every run gives the same result; RC_PARAMS, such as
/// "seed=7 max_success=2000", selects other histories. rapidcheck prints the
/// seed.
/// @param aRuns Number of histories unless RC_PARAMS is set.
template<typename Property>
[[nodiscard]] bool
CheckHistories(const std::string& aName, int aRuns, Property aProperty)
{
  const std::string parameters =
    "seed=20261204 max_success=" + std::to_string(aRuns);
  setenv("RC_PARAMS", parameters.c_str(), 0);
  return rc::check(aName, [&] {
    const auto seed = *rc::gen::noShrink(
      rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>()));
    RC_LOG() << "history seed " << seed;
    aProperty(seed);
  });
}

} // namespace arbutusferry
