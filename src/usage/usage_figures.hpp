#pragma once

#include "arbutusferry/usage.hpp"

#include <algorithm>

namespace arbutusferry {

inline void
MergeMaximum(usage_figures& aInto, const usage_figures& aFrom)
{
  aInto.requests = std::max(aInto.requests, aFrom.requests);
  aInto.promptTokens = std::max(aInto.promptTokens, aFrom.promptTokens);
  aInto.generatedTokens =
    std::max(aInto.generatedTokens, aFrom.generatedTokens);
}

inline void
AddFigures(usage_figures& aInto, const usage_figures& aFrom)
{
  aInto.requests += aFrom.requests;
  aInto.promptTokens += aFrom.promptTokens;
  aInto.generatedTokens += aFrom.generatedTokens;
}

/// @return Difference of each figure of `aWhole` and `aPart`, at least 0.
[[nodiscard]] inline usage_figures
Remainder(const usage_figures& aWhole, const usage_figures& aPart)
{
  return { std::max<std::int64_t>(0, aWhole.requests - aPart.requests),
           std::max<std::int64_t>(0, aWhole.promptTokens - aPart.promptTokens),
           std::max<std::int64_t>(
             0, aWhole.generatedTokens - aPart.generatedTokens) };
}

[[nodiscard]] inline bool
Within(const usage_figures& aPart, const usage_figures& aWhole)
{
  return aPart.requests <= aWhole.requests &&
         aPart.promptTokens <= aWhole.promptTokens &&
         aPart.generatedTokens <= aWhole.generatedTokens;
}

[[nodiscard]] inline usage_figures
Figures(const usage_counter& aCounter)
{
  return { aCounter.requests, aCounter.promptTokens, aCounter.generatedTokens };
}

[[nodiscard]] inline usage_figures
Figures(const usage_line& aLine)
{
  return { aLine.requests, aLine.promptTokens, aLine.generatedTokens };
}

[[nodiscard]] inline usage_line
MakeLine(const std::string& aTeam,
         const usage_figures& aFigures,
         unix_seconds aCarriedFrom)
{
  return { aTeam,
           aFigures.requests,
           aFigures.promptTokens,
           aFigures.generatedTokens,
           aCarriedFrom };
}

} // namespace arbutusferry
