#pragma once

#include "arbutusferry/node/platform_duties.hpp"

#include <functional>
#include <string>

namespace arbutusferry::node {

/// Duty client for tests that don't look at duties.
struct ignored_duties final : duty_client
{
  void ReportUsage(std::int64_t,
                   const team_counts&,
                   std::uint64_t,
                   std::function<void(duty_status)>) override
  {
  }
  void OrderTargets(const std::string&,
                    const std::string&,
                    int,
                    std::uint64_t,
                    std::function<void(duty_status)>) override
  {
  }
};

} // namespace arbutusferry::node
