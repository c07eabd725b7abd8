#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusferry {

/// An IP address and a TCP port.
struct socket_address
{
  std::string ip; ///< Without brackets.
  std::uint16_t port = 0;

  bool operator==(const socket_address&) const = default;
};

/// Reads "IP:port" or "[IPv6]:port". Host names are refused.
/// @return The address, or nothing if the text is not one.
[[nodiscard]] std::optional<socket_address>
ParseAddress(std::string_view aText);

/// @return "IP:port", with brackets around an IPv6 address.
[[nodiscard]] std::string
FormatAddress(const socket_address& aAddress);

} // namespace arbutusferry
