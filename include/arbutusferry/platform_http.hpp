#pragma once

#include "arbutusferry/platform.hpp"

#include <memory>
#include <string>

namespace arbutusferry {

/// HTTP clients of all platform interfaces.
struct platform_clients
{
  std::shared_ptr<platform_log> log;
  std::shared_ptr<vm_directory> directory;
  std::shared_ptr<target_provisioner> orders;
  std::shared_ptr<usage_sink> usage;
};

/// @return Clients of the platform.
/// @param aAddress "IP:port" of the platform.
/// @param aTimeout Time limit of each call; long polls add their wait time.
[[nodiscard]] platform_clients
MakeHttpPlatform(const std::string& aAddress, duration aTimeout);

} // namespace arbutusferry
